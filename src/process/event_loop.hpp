// Interfaces for monotonic time and timers.
//
// Controllers take the time from a clock and set timers through a scheduler, so
// that the same code runs in a node and, with a virtual clock, in a test. Time
// points are on the process's own monotonic clock and are never sent to another
// process; durations are sent instead.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace shallotwood::process
{

// All internal times have a resolution of one microsecond.
using duration = std::chrono::microseconds;

struct monotonic_clock_tag {
    using duration = process::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock_tag>;
    static constexpr bool is_steady = true;
};

using time_point = monotonic_clock_tag::time_point;

class clock
{
public:
    virtual ~clock() = default;
    virtual time_point now() const = 0;
};

// Identifies a pending timer; 0 is never used.
enum class timer_id : std::uint64_t {};

class scheduler
{
public:
    virtual ~scheduler() = default;

    // Calls `task` once on the event loop, no earlier than `delay` from now.
    virtual timer_id call_after(duration delay, std::function<void()> task) = 0;

    // Does nothing if the timer has fired or was cancelled.
    virtual void cancel(timer_id id) = 0;
};

class event_loop : public clock, public scheduler
{
};

} // namespace shallotwood::process
