// Splits the traffic of a route between its services by their weights.
//
// Answers routes that are moved from one service to another step by step. Each
// node keeps to the weights over any stretch of its own requests, so the sum
// over all nodes does, too. What one service turns away is not moved to
// another: the weights say what operators want each to get.
#pragma once

#include "process/random_source.hpp"
#include "version/policy.hpp"

#include <map>
#include <string>
#include <vector>

namespace shallotwood::process::routing
{

class service_split
{
public:
    explicit service_split(random_source& random) : random_(random) {}

    // Valid as long as the route.
    const std::string& choose(const version::route& route);

private:
    struct round_robin_state {
        std::vector<version::service_share> shares;
        // How far each service is behind its weight, in units of weight.
        std::vector<double> credit;
    };

    random_source& random_;
    // By route. Bounded by the routes of all configurations seen.
    std::map<std::string, round_robin_state> round_robin_state_by_route;
};

} // namespace shallotwood::process::routing
