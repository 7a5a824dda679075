// Splits the traffic of a route between its services by weight.
//
// Supports gradual migration of a route from one service to another. Each node
// keeps the weights over any sequence of its own requests, so the total over
// all nodes does, too. A request that one service refuses is not sent to
// another, because the weights state what operators want each service to
// receive.
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

    // The result is valid as long as `route`.
    const std::string& choose(const version::route& route);

private:
    struct round_robin_state {
        std::vector<version::service_share> shares;
        // How far each service lags its share, in units of weight.
        std::vector<double> credit;
    };

    random_source& random_;
    // By route. Bounded by the routes of all configurations seen.
    std::map<std::string, round_robin_state> round_robin_state_by_route_;
};

} // namespace shallotwood::process::routing
