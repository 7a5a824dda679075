// Monotonic time and timers.
//
// Every decision module takes its time from a clock and its timers from a
// scheduler, so that the same object runs in a node and, on a virtual clock,
// in a test. Times are on the process's own monotonic clock; they are never
// sent to another process, only durations are.
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

    // Calls `task` once, no earlier than `delay` from now, on the loop.
    virtual timer_id call_after(duration delay, std::function<void()> task) = 0;

    // Does nothing if the timer has fired or was cancelled.
    virtual void cancel(timer_id id) = 0;
};

class event_loop : public clock, public scheduler
{
};

} // namespace shallotwood::process
