#include "process/routing/cold_placement.hpp"

#include <algorithm>

namespace shallotwood::process::routing
{

namespace
{

// Time of a call before the first has been measured, in microseconds.
constexpr double default_call_time = 50'000;

constexpr double microseconds_per_second = 1e6;

} // namespace

cold_placement::cold_placement(double usual_time)
    : usual_time_(usual_time > 0 ? usual_time : default_call_time)
{
}

void cold_placement::add_warm(int slots)
{
    has_warm_ = true;
    warm_capacity_ +=
        std::max(slots, 1) * microseconds_per_second / usual_time_;
}

void cold_placement::add_cold(const fleet::instance& it, bool preferred)
{
    (preferred ? preferred_ : others_).push_back(&it);
}

const fleet::instance* cold_placement::choose(random_source& random) const
{
    bool any_left = !preferred_.empty() || has_warm_;
    const auto& from = any_left ? preferred_ : others_;
    if (from.empty())
        return nullptr;
    double cold_capacity = 0;
    for (const auto* it : from)
        cold_capacity += it->cold_rate;
    double at = random.unit() * (cold_capacity + warm_capacity_);
    for (const auto* it : from) {
        at -= it->cold_rate;
        if (at < 0)
            return it;
    }
    // Rounding may leave a remainder.
    return has_warm_ ? nullptr : from.back();
}

} // namespace shallotwood::process::routing
