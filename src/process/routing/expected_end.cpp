#include "process/routing/expected_end.hpp"

#include <algorithm>
#include <cmath>

namespace shallotwood::process::routing
{

namespace
{

// Weight of the newest call in the averages, and the calls needed to judge a
// service. A call that takes seven times as long comes in 33.
constexpr double newest_sample_weight = 0.01;
constexpr double min_samples = 100;

// The expected end applies to a service from this coefficient of variation of
// its calls' times on, and until it falls below the lower one.
constexpr double wide_variation = 0.6;
constexpr double narrow_variation = 0.45;

// Cost of an instance where the call is expected to miss its objective; as that
// of an instance without a free slot.
constexpr double missed_objective_cost = 1;

} // namespace

void expected_end::record(const std::string& service, duration elapsed)
{
    if (!enabled_)
        return;
    auto& it = services_[service];
    auto time = static_cast<double>(elapsed.count());
    it.count = std::min(it.count + 1, 1 / newest_sample_weight);
    it.mean += (time - it.mean) / it.count;
    it.mean_square += (time * time - it.mean_square) / it.count;
    auto variance = std::max(0.0, it.mean_square - it.mean * it.mean);
    auto least = it.wide ? narrow_variation : wide_variation;
    it.wide = it.count >= min_samples && std::sqrt(variance) >= least * it.mean;
}

bool expected_end::applies_to(const std::string& service,
                              duration in_objective) const
{
    if (!enabled_ || in_objective == duration::max() ||
        in_objective.count() <= 0)
        return false;
    auto found = services_.find(service);
    return found != services_.end() && found->second.wide;
}

double expected_end::cost(const work_ahead& it, double usual,
                          duration in_objective)
{
    auto end = std::max(0.0, it.work) / std::max(it.slots, 1.0) + it.time;
    bool missed = end > static_cast<double>(in_objective.count());
    return end / usual - 1 + (missed ? missed_objective_cost : 0);
}

} // namespace shallotwood::process::routing
