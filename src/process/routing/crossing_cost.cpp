#include "process/routing/crossing_cost.hpp"

#include <algorithm>

namespace shallotwood::process::routing
{

namespace
{

// An instance is nearly full from this slot utilization on.
constexpr double crowded_utilization = 0.85;

// Cost of crowding at the last free slot.
constexpr double crowding_cost = 0.3;

} // namespace

crossing_cost::crossing_cost(const clock& time, std::string own_domain)
    : clock_(time), own_domain_(std::move(own_domain))
{
}

void crossing_cost::record(const std::string& domain, duration round_trip)
{
    if (domain == own_domain_ || round_trip <= duration(0))
        return;
    if (measurements_.size() >= max_domains && measurements_.count(domain) == 0)
        return;
    auto& it = measurements_[domain];
    auto now = clock_.now();
    if (it.window_begin + window <= now) {
        it.least_before = it.least;
        it.least = duration::max();
        it.window_begin = now;
    }
    it.least = std::min(it.least, round_trip);
}

duration crossing_cost::round_trip(const std::string& domain) const
{
    auto it = measurements_.find(domain);
    if (it == measurements_.end())
        return {};
    return std::min(it->second.least, it->second.least_before);
}

std::vector<std::string> crossing_cost::domains() const
{
    std::vector<std::string> all;
    for (const auto& [domain, it] : measurements_)
        all.push_back(domain);
    std::sort(all.begin(), all.end());
    return all;
}

double crossing_cost::to(const std::string& domain) const
{
    if (domain == own_domain_)
        return 0;
    auto time = round_trip(domain);
    if (time <= near_round_trip)
        return near_cost;
    auto share =
        std::min(1.0, std::chrono::duration<double>(time - near_round_trip) /
                          std::chrono::duration<double>(far_round_trip -
                                                        near_round_trip));
    return near_cost * (1 - share) + far_cost * share;
}

remoteness::remoteness(double lowest_crossing_cost)
    : value_(
          std::clamp((lowest_crossing_cost - crossing_cost::near_cost) /
                         (crossing_cost::far_cost - crossing_cost::near_cost),
                     0.0, 1.0))
{
}

double remoteness::crowding(double utilization) const
{
    auto share =
        (utilization - crowded_utilization) / (1 - crowded_utilization);
    return value_ * crowding_cost * std::clamp(share, 0.0, 1.0);
}

double remoteness::failure_factor() const
{
    return 1 +
           value_ * (crossing_cost::far_cost / crossing_cost::near_cost - 1);
}

} // namespace shallotwood::process::routing
