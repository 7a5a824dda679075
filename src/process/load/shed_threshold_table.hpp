// The cuts that this node has heard of, by route, and which routes lead to
// which.
//
// A cut found deep in the call graph comes back with the responses, hop by hop,
// to the nodes where requests enter; those refuse what would be shed deeper
// before any work is done for it. Cuts fade when nothing is heard, so that a
// route is tried again.
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

    // A response on the route brought this cut; no_shed_threshold says that
    // nothing is shed.
    void heard(const std::string& route, shed_key shed_threshold);
    // While the local backend server ran a request of `route`, it called
    // `inner`.
    void called(const std::string& route, const std::string& inner);

    // True if requests of the route have made calls a short while ago.
    bool makes_calls(const std::string& route) const;

    // Of the route itself, as seen from here.
    shed_key threshold_of(const std::string& route) const;
    // Strictest of what the calls of the route have brought.
    shed_key below(const std::string& route) const;

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
