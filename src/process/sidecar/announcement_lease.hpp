// How long an announcement is valid on a node that has started again.
//
// An earlier process may have acknowledged a departure that nothing remembers:
// the store did not answer then, and the other nodes were killed as well. A
// backend server that has left announces itself no more, but an announcement
// that it sent before may arrive seconds late. So announcements are valid for a
// limited time, which those of a running backend server renew: the first one
// for as long as a restarted node may be wrong.
//
// Does no I/O and sets no timers.
#pragma once

#include "process/event_loop.hpp"

#include <cstdint>
#include <optional>

namespace shallotwood::process::sidecar
{

class announcement_lease
{
public:
    // The platform allows a process that has started 3 s to learn what holds.
    static constexpr duration first_limit = std::chrono::milliseconds(2900);
    // Announcements come every 1.5 s.
    static constexpr duration next_limit = std::chrono::seconds(4);
    // No announcement arrives later than this.
    static constexpr duration max_lateness = std::chrono::seconds(30);

    // `process_started_ms` is by the clock of the backend server's start times.
    // Without an earlier process of the node, no announcement expires.
    announcement_lease(bool has_earlier_process, time_point process_started,
                       std::uint64_t process_started_ms)
        : has_earlier_process_(has_earlier_process),
          process_started_(process_started),
          process_started_ms_(process_started_ms)
    {
    }

    // When an announcement of a backend server's start expires that arrives
    // `now`; nullopt if it doesn't. `number` counts the announcements of the
    // start that this process has got, from 1.
    std::optional<time_point> expires_at(std::uint64_t backend_started_ms,
                                         std::uint64_t number,
                                         time_point now) const;

private:
    const bool has_earlier_process_;
    const time_point process_started_;
    const std::uint64_t process_started_ms_;
};

} // namespace shallotwood::process::sidecar
