// The calls that the local backend server is executing, by token.
//
// A backend server makes further calls with the token of the request it
// serves. The entry behind the token holds what those calls may use: they
// can't extend the deadline, raise the importance or add retries. An entry
// exists from the permit to the end of the request, so the admission limit
// bounds their number.
#pragma once

#include "process/event_loop.hpp"
#include "request/call_policy.hpp"
#include "request/retry_allowance.hpp"

#include <string>
#include <unordered_map>

namespace shallotwood::process
{

// Child calls that one request may have open at a time.
constexpr int max_open_children = 64;

struct running_call {
    request::call it;
    time_point deadline;
    request::retry_allowance allowance;
    // Lowest shed threshold that child calls have reported.
    request::shed_key downstream_threshold = request::no_shed_threshold;
    // True once a child call was refused for overload; a failure of this call
    // is then not retried.
    bool overload_below = false;
    int open_children = 0;
    // Total time with at least one child call open, and the start of the
    // current such interval.
    duration downstream{};
    time_point children_since{};
};

class call_table
{
public:
    // Returns the new token: 144 random bits.
    std::string open(running_call it);

    // Null if the token is unknown or its request has ended.
    running_call* find(const std::string& token);

    void close(const std::string& token);

    std::size_t size() const { return calls_.size(); }

private:
    std::unordered_map<std::string, running_call> calls_;
};

} // namespace shallotwood::process
