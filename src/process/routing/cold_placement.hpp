// Decides whether a call goes to a cold instance, and to which.
//
// A cold instance gets the part of the calls that its rate is of what all
// candidates can serve. So all nodes together send it no more than its rate as
// long as the demand is below the capacity, without exchanging messages.
#pragma once

#include "process/fleet/instance.hpp"
#include "process/random_source.hpp"

#include <vector>

namespace shallotwood::process::routing
{

// The candidates of one choice.
class cold_placement
{
public:
    // `usual_time` is that of a call of the route at a warm instance, in
    // microseconds; 0 if it is not known.
    explicit cold_placement(double usual_time);

    void add_warm(int slots);
    // A candidate that is not `preferred` is chosen only if there is neither a
    // warm candidate nor a preferred one.
    void add_cold(const fleet::instance& it, bool preferred);

    // The cold instance for the call; null if the call goes to a warm one.
    // Draws no random number unless there is a cold candidate.
    const fleet::instance* choose(random_source& random) const;

private:
    using candidates = std::vector<const fleet::instance*>;

    double usual_time_;
    // Requests per second that the warm candidates can serve.
    double warm_capacity_ = 0;
    bool has_warm_ = false;
    candidates preferred_;
    candidates others_;
};

} // namespace shallotwood::process::routing
