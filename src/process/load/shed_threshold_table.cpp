#include "process/load/shed_threshold_table.hpp"

#include <algorithm>

namespace shallotwood::process::load
{

namespace
{

// Weight of the newest response in the moving average. Responses come from
// several backend servers with different thresholds; the average matches their
// joint capacity.
constexpr double newest_response_weight = 0.3;

// A threshold stays in force this long without a response, and then rises
// linearly to no_shed_threshold within the same time.
constexpr duration hold_time = std::chrono::milliseconds(400);

// A call between two routes is forgotten if it wasn't seen for this time.
constexpr duration call_edge_lifetime = std::chrono::seconds(10);

} // namespace

void shed_threshold_table::record_threshold(const std::string& route,
                                            shed_key shed_threshold)
{
    auto& it = shed_thresholds_[route];
    auto current = static_cast<double>(threshold_of(route));
    // One response from an idle backend server must not admit all classes of
    // importance at once.
    auto reported =
        std::min(static_cast<double>(shed_threshold), current + keys_per_class);
    it.shed_threshold =
        std::min(current + newest_response_weight * (reported - current),
                 static_cast<double>(no_shed_threshold));
    it.at = clock_.now();
}

void shed_threshold_table::record_call(const std::string& route,
                                       const std::string& inner)
{
    inner_[route][inner] = clock_.now();
}

bool shed_threshold_table::makes_calls(const std::string& route) const
{
    auto it = inner_.find(route);
    if (it == inner_.end())
        return false;
    auto now = clock_.now();
    return std::any_of(
        it->second.begin(), it->second.end(),
        [now](const auto& to) { return now - to.second < call_edge_lifetime; });
}

shed_key shed_threshold_table::threshold_of(const std::string& route) const
{
    auto it = shed_thresholds_.find(route);
    if (it == shed_thresholds_.end())
        return no_shed_threshold;
    auto age = clock_.now() - it->second.at;
    double fading = static_cast<double>((age - hold_time).count()) /
                    static_cast<double>(hold_time.count());
    double shed_threshold = it->second.shed_threshold +
                            std::clamp(fading, 0.0, 1.0) *
                                (no_shed_threshold - it->second.shed_threshold);
    return static_cast<shed_key>(
        std::min<double>(shed_threshold, no_shed_threshold));
}

shed_key
shed_threshold_table::downstream_threshold(const std::string& route) const
{
    auto it = inner_.find(route);
    if (it == inner_.end())
        return no_shed_threshold;
    shed_key strictest = no_shed_threshold;
    for (const auto& [inner, at] : it->second)
        if (clock_.now() - at < call_edge_lifetime)
            strictest = std::min(strictest, threshold_of(inner));
    return strictest;
}

} // namespace shallotwood::process::load
