#include "process/routing/speed_board.hpp"

#include <algorithm>
#include <cmath>

namespace shallotwood::process::routing
{

namespace
{

// A statement expires between these ages.
constexpr duration min_validity = std::chrono::seconds(4);
constexpr duration max_validity = std::chrono::seconds(16);

// Statements about instances of usual speed are passed on up to this age.
constexpr duration max_shared_age = std::chrono::seconds(2);

// Slower than the usual by this factor, so that all nodes should know.
constexpr double slow_ratio = 1.5;

// How often the slow instances are determined.
constexpr duration scan_period = std::chrono::milliseconds(100);

// Share of the statements in a message that is kept for other than slow
// instances.
constexpr std::size_t min_usual_speeds = 2;

} // namespace

double lower_quartile(std::vector<double>& values)
{
    if (values.empty())
        return 0;
    auto at =
        values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 4);
    std::nth_element(values.begin(), at, values.end());
    return *at;
}

std::string speed_board::key_of(const std::string& service,
                                const std::string& route)
{
    return service + '\n' + route;
}

void speed_board::record(const std::string& service, const std::string& route,
                         const instance_speed& it)
{
    const auto* known = fleet_.find(it.instance);
    if (known == nullptr || known->service != service ||
        it.service_time <= duration(0) || it.age > max_validity)
        return;
    auto key = key_of(service, route);
    if (tables_.size() >= max_routes && tables_.count(key) == 0)
        return;
    auto now = clock_.now();
    auto& to = tables_[key].samples[it.instance];
    // After a restart the instance's clock may be behind.
    if (it.stamp_ms <= to.stamp_ms && now < to.expires_at)
        return;
    auto span = static_cast<double>((max_validity - min_validity).count());
    // Few expire early: the outcome of the first trials of an avoided instance
    // spreads before most nodes would try it.
    auto validity =
        min_validity +
        duration(static_cast<duration::rep>(std::sqrt(random_.unit()) * span));
    to = {it.service_time, it.stamp_ms, now - it.age, now - it.age + validity};
}

speed_board::known_times speed_board::times(const std::string& service,
                                            const std::string& route) const
{
    known_times it;
    auto found = tables_.find(key_of(service, route));
    if (found != tables_.end())
        it.from_ = &found->second;
    it.now_ = clock_.now();
    return it;
}

duration speed_board::known_times::of(const std::string& instance) const
{
    if (from_ == nullptr)
        return {};
    auto it = from_->samples.find(instance);
    if (it == from_->samples.end() || now_ >= it->second.expires_at)
        return {};
    return it->second.service_time;
}

void speed_board::scan(table& of) const
{
    auto now = clock_.now();
    if (now - of.scanned_at < scan_period)
        return;
    of.scanned_at = now;
    of.slow.clear();
    std::vector<double> times;
    auto time_of = [&](const sample& it) {
        return now < it.expires_at
                   ? static_cast<double>(it.service_time.count())
                   : 0.0;
    };
    for (const auto& [name, it] : of.samples)
        if (auto time = time_of(it); time > 0)
            times.push_back(time);
    auto limit = slow_ratio * lower_quartile(times);
    for (const auto& [name, it] : of.samples)
        if (time_of(it) > limit)
            of.slow.push_back(name);
}

std::vector<instance_speed> speed_board::select(const std::string& service,
                                                const std::string& route,
                                                const std::string& except)
{
    std::vector<instance_speed> chosen;
    auto found = tables_.find(key_of(service, route));
    if (found == tables_.end() || found->second.samples.empty())
        return chosen;
    auto& from = found->second;
    scan(from);
    auto now = clock_.now();
    auto add = [&](const std::string& name, duration max_age) {
        auto it = from.samples.find(name);
        bool wanted =
            it != from.samples.end() && name != except &&
            now < it->second.expires_at &&
            now - it->second.stated_at <= max_age &&
            std::none_of(chosen.begin(), chosen.end(),
                         [&](const auto& n) { return n.instance == name; });
        if (wanted)
            chosen.push_back({name, it->second.service_time,
                              now - it->second.stated_at, it->second.stamp_ms});
    };
    // From a random place on, so that each gets its turn.
    auto visit = [&](const auto& names, std::size_t most, duration max_age,
                     auto name_of) {
        auto n = names.size();
        auto first = n == 0 ? 0 : random_.below(n);
        auto limit = std::min(n, 2 * max_shared_speeds);
        for (std::size_t i = 0; i < limit && chosen.size() < most; ++i)
            add(name_of(names[(first + i) % n]), max_age);
    };
    visit(from.slow, max_shared_speeds - min_usual_speeds, max_validity,
          [](const std::string& it) { return it; });
    visit(fleet_.instances_of(service), max_shared_speeds, max_shared_age,
          [](const fleet::fleet_view::named_instance& it) { return *it.name; });
    return chosen;
}

} // namespace shallotwood::process::routing
