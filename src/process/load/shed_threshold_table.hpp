// The shed thresholds that responses have reported, by route, and the observed
// edges of the call graph between routes.
//
// A threshold set deep in the call graph returns with the responses, hop by
// hop, to the nodes where requests enter. These refuse the requests that would
// be shed downstream before any work is done for them. A threshold that no
// response confirms expires, so that requests are admitted again.
//
// Bounded by the routes of the configuration.
#pragma once

#include "process/event_loop.hpp"
#include "process/load/shed_key.hpp"

#include <map>
#include <string>
#include <unordered_map>

namespace shallotwood::process::load
{

class shed_threshold_table
{
public:
    explicit shed_threshold_table(const clock& time) : clock_(time) {}

    // A response on the route reported this threshold; no_shed_threshold means
    // that nothing is shed.
    void record_threshold(const std::string& route, shed_key shed_threshold);
    // While the local backend server executed a request of `route`, it called
    // the route `inner`.
    void record_call(const std::string& route, const std::string& inner);

    // True if requests of the route have made calls recently.
    bool makes_calls(const std::string& route) const;

    // Threshold of the route itself.
    shed_key threshold_of(const std::string& route) const;
    // Lowest threshold of the routes that the route calls.
    shed_key downstream_threshold(const std::string& route) const;

private:
    struct entry {
        double shed_threshold = no_shed_threshold;
        time_point at{};
    };
    const clock& clock_;
    std::unordered_map<std::string, entry> shed_thresholds_;
    std::unordered_map<std::string, std::map<std::string, time_point>> inner_;
};

} // namespace shallotwood::process::load
