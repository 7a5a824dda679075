// A timer with the resolution of the kernel's clock.
//
// The timers of GLib's main loop fire up to one millisecond late, because the
// loop waits with poll(); that is too coarse for planned arrivals.
#pragma once

#include "connection/glib_handle.hpp"
#include "process/event_loop.hpp"

#include <functional>

namespace shallotwood::process::experiment
{

class precise_timer
{
public:
    explicit precise_timer(std::function<void()> task);
    ~precise_timer();
    precise_timer(const precise_timer&) = delete;
    precise_timer& operator=(const precise_timer&) = delete;

    // Replaces the pending time.
    void start(duration delay);

private:
    static int fire(int fd, GIOCondition condition, void* data);

    std::function<void()> task_;
    int fd_;
    connection::source_handle source_;
};

} // namespace shallotwood::process::experiment
