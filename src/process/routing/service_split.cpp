#include "process/routing/service_split.hpp"

namespace shallotwood::process::routing
{

const std::string& service_split::choose(const version::route& route)
{
    if (route.services.size() == 1)
        return route.services.front().service;
    auto& of = round_robin_state_by_route_[route.name];
    if (of.shares != route.services) {
        of.shares = route.services;
        of.credit.assign(route.services.size(), 0);
        // Random initial credits keep nodes from all starting with the same
        // service.
        for (auto& credit : of.credit)
            credit = random_.unit();
    }
    // Smooth weighted round robin: keeps the weights over any run of requests.
    double total = 0;
    std::size_t best = 0;
    for (std::size_t n = 0; n < of.shares.size(); ++n) {
        total += of.shares[n].weight;
        of.credit[n] += of.shares[n].weight;
        if (of.credit[n] > of.credit[best])
            best = n;
    }
    of.credit[best] -= total;
    return route.services[best].service;
}

} // namespace shallotwood::process::routing
