#include "request/retry_allowance.hpp"

namespace shallotwood::request
{

bool retry_allowance::spend()
{
    if (left_ == 0)
        return false;
    --left_;
    return true;
}

int retry_allowance::lend()
{
    int part = (left_ + 1) / 2;
    left_ -= part;
    return part;
}

void retry_allowance::take_back(int lent, int unused)
{
    left_ += std::clamp(unused, 0, lent);
}

} // namespace shallotwood::request
