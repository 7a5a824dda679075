// Decides for which services the choice of an instance goes by the expected end
// of a call, and what the expected end costs in the choice.
//
// Inactive unless the node's settings enable it. Then it applies to a service
// whose calls differ much in time, as seen by this node: requests of unlike
// cost, servers of uneven speed, or servers that are disturbed.
#pragma once

#include "process/event_loop.hpp"

#include <string>
#include <unordered_map>

namespace shallotwood::process::routing
{

// A candidate as far as its expected end depends on it; times in microseconds.
struct work_ahead {
    // Expected work of the running and the queued calls, with those sent since
    // the report.
    double work = 0;
    double slots = 1;
    // Of the call at this instance.
    double time = 0;
};

class expected_end
{
public:
    void set_enabled(bool enabled) { enabled_ = enabled; }

    // A call of the service was served.
    void record(const std::string& service, duration elapsed);
    // `in_objective` is the time until the call's latency objective, or
    // duration::max(). False once the objective is missed.
    bool applies_to(const std::string& service, duration in_objective) const;

    // In the unit of slot utilization: 0 for an idle instance with the usual
    // time. More than 1 is added if the call would end after its objective.
    static double cost(const work_ahead& it, double usual,
                       duration in_objective);

private:
    struct spread {
        double count = 0;
        // Moving averages of the times and their squares, in microseconds.
        double mean = 0;
        double mean_square = 0;
        bool wide = false;
    };

    bool enabled_ = false;
    // Bounded by the services of all configurations seen.
    std::unordered_map<std::string, spread> services_;
};

} // namespace shallotwood::process::routing
