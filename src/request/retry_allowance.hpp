// The retry budget of one call tree.
//
// Each call has an allowance. A child call is lent half of what is left,
// rounded up, and returns the unused part with its response. The allowance is
// moved and never copied, so the retries of a whole tree are bounded by the
// allowance at entry, however deep the tree is.
#pragma once

#include <algorithm>

namespace shallotwood::request
{

// Retries of a whole call tree unless the settings say otherwise.
constexpr int default_retry_allowance = 2;

class retry_allowance
{
public:
    explicit retry_allowance(int retries) : left_(std::max(retries, 0)) {}

    int left() const { return left_; }

    // Spends one retry; false if there is none.
    bool spend();

    // Takes the part that a child call may use.
    int lend();

    // Takes back what a child reports as unused. A child that reports more
    // than it was lent gets no credit for the excess.
    void take_back(int lent, int unused);

private:
    int left_;
};

} // namespace shallotwood::request
