#include "process/sidecar/announcement_lease.hpp"

namespace shallotwood::process::sidecar
{

std::optional<time_point>
announcement_lease::expires_at(std::uint64_t backend_started_ms,
                               std::uint64_t number, time_point now) const
{
    // The earlier process can't have acknowledged the departure of a later
    // start.
    bool known_later = backend_started_ms > process_started_ms_;
    if (!has_earlier_process_ || known_later ||
        now - process_started_ > max_lateness)
        return std::nullopt;
    if (number <= 1)
        return process_started_ + first_limit;
    return now + next_limit;
}

} // namespace shallotwood::process::sidecar
