#include "process/load/service_times.hpp"

#include <algorithm>

namespace shallotwood::process::load
{

namespace
{

// Weight of the newest call. It grows with the time since the one before, up to
// 1 after this time: rare calls would not show in time that a slow server has
// recovered.
constexpr double newest_sample_weight = 0.1;
constexpr duration replaced_after = std::chrono::seconds(2);

} // namespace

void service_times::record_start(const std::string& route, time_point started)
{
    if (routes_.size() >= max_routes && routes_.count(route) == 0)
        return;
    auto& it = routes_[route];
    ++it.running;
    it.started_sum += started.time_since_epoch();
}

void service_times::record_end(const std::string& route, time_point started)
{
    auto found = routes_.find(route);
    if (found == routes_.end() || found->second.running == 0)
        return;
    auto& it = found->second;
    --it.running;
    it.started_sum -= started.time_since_epoch();
    auto now = clock_.now();
    auto elapsed = static_cast<double>((now - started).count());
    bool fresh = it.mean > 0 && now - it.updated < validity;
    auto gap = std::chrono::duration<double>(now - it.updated) /
               std::chrono::duration<double>(replaced_after);
    auto weight = std::clamp(gap, newest_sample_weight, 1.0);
    it.mean = fresh ? it.mean + weight * (elapsed - it.mean) : elapsed;
    it.updated = now;
}

duration service_times::estimate(const std::string& route) const
{
    auto found = routes_.find(route);
    if (found == routes_.end())
        return {};
    const auto& it = found->second;
    auto now = clock_.now();
    duration mean{};
    if (now - it.updated < validity)
        mean = duration(static_cast<duration::rep>(it.mean));
    if (it.running == 0)
        return mean;
    // Calls that run are half done on average, so this exceeds the mean only
    // once the server takes more than twice as long as before.
    auto age = now.time_since_epoch() - it.started_sum / it.running;
    return std::max(mean, duration(age));
}

} // namespace shallotwood::process::load
