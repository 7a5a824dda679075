#include "process/routing/told_speeds.hpp"

#include <algorithm>
#include <cmath>

namespace shallotwood::process::routing
{

namespace
{

// A time that differs by less than this part changes no choice.
constexpr double min_change = 0.1;

} // namespace

std::string told_speeds::key_of(const std::string& service,
                                const std::string& route,
                                const std::string& instance)
{
    return service + '\n' + route + '\n' + instance;
}

void told_speeds::record(const std::string& key, const instance_speed& it)
{
    if (told_.size() >= max_entries && told_.count(key) == 0)
        told_.clear();
    told_[key] = {it.service_time, it.stamp_ms, clock_.now()};
}

void told_speeds::heard(const std::string& service, const std::string& route,
                        const instance_speed& it)
{
    auto key = key_of(service, route, it.instance);
    auto told = told_.find(key);
    if (told == told_.end() || told->second.stamp_ms < it.stamp_ms)
        record(key, it);
}

bool told_speeds::is_news(const statement& told, const instance_speed& it) const
{
    if (clock_.now() - told.told_at >= renewal_interval)
        // After a restart the instance's clock may be behind.
        return it.stamp_ms != told.stamp_ms;
    if (it.stamp_ms <= told.stamp_ms)
        return false;
    auto before = static_cast<double>(told.service_time.count());
    auto now = static_cast<double>(it.service_time.count());
    return std::abs(now - before) > min_change * before;
}

std::vector<instance_speed> told_speeds::news(const std::string& service,
                                              const std::string& route,
                                              std::vector<instance_speed> all)
{
    auto is_known = [&](const instance_speed& it) {
        auto key = key_of(service, route, it.instance);
        auto told = told_.find(key);
        if (told != told_.end() && !is_news(told->second, it))
            return true;
        record(key, it);
        return false;
    };
    all.erase(std::remove_if(all.begin(), all.end(), is_known), all.end());
    return all;
}

} // namespace shallotwood::process::routing
