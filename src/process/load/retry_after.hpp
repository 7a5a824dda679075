// Spreads the times at which refused requests may come back.
#pragma once

#include "process/event_loop.hpp"

#include <cstdint>

namespace shallotwood::process::load
{

// Retry-After exceeds the wait by up to this part of it, so that requests that
// were refused together do not return together. It is never shorter: a caller
// that returns earlier finds no room.
constexpr double retry_after_spread = 0.5;

// `number` differs between requests. It is hashed, so that no random number is
// drawn.
inline duration spread_retry_after(duration wait, std::uint64_t number)
{
    // Fibonacci hashing: consecutive numbers are spread evenly.
    constexpr std::uint64_t multiplier = 0x9e3779b97f4a7c15;
    constexpr int bits = 16;
    auto place = (number * multiplier) >> (64 - bits);
    double unit = static_cast<double>(place) / (1 << bits);
    return std::chrono::duration_cast<duration>(
        wait * (1 + retry_after_spread * unit));
}

} // namespace shallotwood::process::load
