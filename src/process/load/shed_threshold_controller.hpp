// Computes the shed threshold of one admission controller: new requests with
// this shed key or a higher one should not be started.
//
// Handles an overload that outlasts the queue. When calls were queued during a
// whole control period, the threshold is set to the key below which as many
// calls arrived as completed, less a margin that drains the queue. Without
// queued calls it rises in growing steps while slots are free. It is computed
// from the arrivals of both admitted and refused calls, so it does not fall
// further while requests from before the change are still executing.
#pragma once

#include "process/event_loop.hpp"
#include "process/load/shed_key.hpp"

#include <vector>

namespace shallotwood::process::load
{

class shed_threshold_controller
{
public:
    // Control period.
    static constexpr duration period = std::chrono::milliseconds(100);
    // Arrivals sampled in a period; enough for a quantile within 5%.
    static constexpr std::size_t max_sample = 512;

    void arrived(shed_key key);
    void ended() { ++ended_; }
    // A call was refused: shed, late or over the queue limit.
    void refused() { refused_ = true; }
    // After each change of the number of running or waiting calls.
    void observe(time_point now, int running, int limit, std::size_t waiting);
    // Once each period.
    void end_period(time_point now);

    shed_key shed_threshold() const { return shed_threshold_; }
    bool idle() const
    {
        return shed_threshold_ == no_shed_threshold && sample_.empty();
    }

private:
    void lower(double kept);
    void raise(double used);

    shed_key shed_threshold_ = no_shed_threshold;
    std::vector<shed_key> sample_;
    std::size_t arrived_ = 0;
    std::size_t ended_ = 0;
    bool refused_ = false;
    // Minimum queue length in the period.
    std::size_t min_queue_length_ = 0;
    std::size_t waiting_ = 0;
    int running_ = 0;
    int limit_ = 1;
    // Integral of running calls over the period, in microseconds.
    double running_integral_ = 0;
    time_point integrated_until_{};
    time_point period_start_{};
    double raise_step_ = 0;
};

} // namespace shallotwood::process::load
