// Adaptive limit of the requests that execute at once on the local backend
// server.
//
// Starts at a part of the announced slots and adds one for each success, which
// doubles the limit in each service time, until it reaches the slots or latency
// has grown past `tolerance`. After that it compares windows of completions
// with the backend server's own baseline: when latency has grown past
// `tolerance`, it tries a lower limit, and keeps it only if throughput did not
// fall. A backend server that is slow at any concurrency loses throughput with
// the limit, so its limit is restored and its latency becomes the new baseline.
// Load that the backend server reports about itself is not used. The limit is
// never above the announced slots.
#pragma once

#include "process/event_loop.hpp"

namespace shallotwood::process
{

class concurrency_limit
{
public:
    // Initial limit of a cold backend server, as a share of its slots.
    static constexpr double initial_limit_share = 0.25;
    // Growth of the mean latency that makes a lower limit worth a trial.
    static constexpr double tolerance = 2;
    // Factor applied to the limit in a trial.
    static constexpr double trial_factor = 0.8;
    // Throughput below this share of the one before ends a trial as failed.
    static constexpr double min_trial_throughput_share = 0.9;
    // Shortest window.
    static constexpr duration window = std::chrono::milliseconds(250);

    concurrency_limit(const clock& time, int slots);

    // The backend server announced another number of slots.
    void set_slots(int slots);

    // The backend server restarted and is cold again.
    void restart();

    int current() const { return limit_; }

    // The backend server is cold: the limit says nothing about overload yet.
    bool ramping() const { return cold_; }

    // A request ended. `own` is its time on the backend server without the
    // time in calls to further services, which says nothing about this one.
    // `running` is the number of requests that ran just before it ended.
    void finished(bool success, duration own, int running);

private:
    struct measured {
        double latency = 0;
        double throughput = 0;
    };

    void ramp();
    void end_window(const measured& it);
    void end_trial(const measured& it);
    void change(int limit);
    void start_window();

    const clock& clock_;
    int slots_;
    int limit_;
    bool cold_ = true;

    time_point window_start_;
    int successes_ = 0;
    double latency_sum_ = 0;
    bool saturated_ = false;

    // Lowest mean latency of a window so far, in microseconds, or of the
    // window that a failed trial has accepted; 0 while unknown.
    double baseline_latency_ = 0;
    bool in_trial_ = false;
    // The last window was slow.
    bool slow_ = false;
    int limit_before_ = 0;
    measured before_;
    // The window after a change still contains requests that started before it.
    bool settling_ = false;
};

} // namespace shallotwood::process
