// What a backend server says of itself in its responses.
#pragma once

#include <cstdint>
#include <tuple>

namespace shallotwood::process::routing
{

struct backend_notice {
    // fleet::backend_key() of the backend server; 0 if it is unknown.
    std::uint64_t backend = 0;
    // Requests per second that it takes from all instances together; 0 if it
    // names no limit.
    double rate_limit = 0;
    // It takes no further requests.
    bool leaving = false;

    friend bool operator==(const backend_notice& a, const backend_notice& b)
    {
        return std::tie(a.backend, a.rate_limit, a.leaving) ==
               std::tie(b.backend, b.rate_limit, b.leaving);
    }
};

} // namespace shallotwood::process::routing
