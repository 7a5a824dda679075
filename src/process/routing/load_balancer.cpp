#include "process/routing/load_balancer.hpp"

#include <algorithm>

namespace shallotwood::process::routing
{

namespace
{

// A load report is ignored after this time.
constexpr duration report_validity = std::chrono::milliseconds(500);

// Another failure domain is used once its slot utilization is lower by this
// much: crossing domains adds latency, and the platform charges for traffic.
constexpr double cross_domain_cost = 0.2;

// A time above the usual by more than this factor costs excess_time_cost for
// each further multiple.
constexpr double tolerated_time_ratio = 1.25;
constexpr double excess_time_cost = 0.5;

// Cost of an instance without a free slot. A free slot of a moderately slow
// instance is better: a queue at the fast ones would shed calls while there is
// capacity left.
constexpr double full_cost = 1;

// Cost of an instance that is expected to answer after the call's deadline.
constexpr double late_cost = 8;

// This node's own calls take this much longer than the instance states: what
// is in between is slow.
constexpr double slow_link_ratio = 2.5;

// Cost of a candidate that fails every call. A failure rate decays to zero over
// failure_rate_validity, so that the candidate is tried again.
constexpr double failure_rate_cost = 4;
constexpr double failure_sample_weight = 0.1;
constexpr duration failure_rate_validity = std::chrono::seconds(3);

// Weight of the newest sample in a mean latency, and how long the mean is
// valid.
constexpr double newest_sample_weight = 0.2;
constexpr duration latency_validity = std::chrono::seconds(2);

// The ejection time doubles with each consecutive failure up to the maximum.
constexpr duration base_ejection_time = std::chrono::milliseconds(200);
constexpr duration max_ejection_time = std::chrono::seconds(3);

// Ejection time after a refusal for overload.
constexpr duration overload_ejection_time = std::chrono::milliseconds(20);

// After a refusal because of an evacuation that this node does not know yet,
// the instance's failure domain is avoided for this time. The set of
// evacuations arrives within it.
constexpr duration evacuation_avoid_time = std::chrono::milliseconds(300);

} // namespace

load_balancer::load_balancer(const clock& time, random_source& random,
                             const fleet::fleet_view& fleet,
                             std::string own_domain)
    : clock_(time), random_(random), fleet_(fleet),
      own_domain_(std::move(own_domain)), speeds_(time, random, fleet)
{
}

const fleet::instance*
load_balancer::choose(const std::string& service, const std::string& route,
                      const std::vector<std::string>& tried, duration remaining)
{
    auto now = clock_.now();
    struct candidate {
        const fleet::instance* it;
        const instance_stats* stats;
        // In microseconds; 0 if it is not known.
        double time;
    };
    std::vector<candidate> candidates;
    std::vector<double> times;
    auto stated = speeds_.times(service, route);
    for (const auto& [name, it] : fleet_.instances_of(service)) {
        if (!it->takes_calls() || evacuated_.count(it->failure_domain) != 0 ||
            std::find(tried.begin(), tried.end(), *name) != tried.end())
            continue;
        const auto& stats = stats_[*name];
        if (!stats.reachable)
            continue;
        // Its node may have restarted since and not know it.
        if (stats.notice.leaving && stats.notice.backend == it->backend_key())
            continue;
        double time = expected_time(stats, route, stated.of(*name));
        candidates.push_back({it, &stats, time});
        if (time > 0)
            times.push_back(time);
    }
    double usual = lower_quartile(times);
    const fleet::instance* best = nullptr;
    double best_cost = 0;
    for (const auto& [it, stats, time] : candidates) {
        double value = cost(*it, *stats);
        if (time > 0)
            value += excess_time_cost *
                     std::max(0.0, time / usual - tolerated_time_ratio);
        if (time > static_cast<double>(remaining.count()))
            value += late_cost;
        // Ejected candidates are used only if there is no other.
        if (now < stats->ejected_until || is_avoided(*it, now))
            value += 1e3;
        // Breaks ties and keeps nodes from choosing in lockstep.
        value += 0.05 * random_.unit();
        if (best == nullptr || value < best_cost) {
            best = it;
            best_cost = value;
        }
    }
    return best;
}

bool load_balancer::is_avoided(const fleet::instance& it, time_point now) const
{
    auto found = avoided_until_.find(it.failure_domain);
    return found != avoided_until_.end() && now < found->second;
}

bool load_balancer::is_evacuated(const std::string& service) const
{
    bool found = false;
    for (const auto& [name, it] : fleet_.instances_of(service)) {
        if (!it->takes_calls())
            continue;
        if (evacuated_.count(it->failure_domain) == 0)
            return false;
        found = true;
    }
    return found;
}

double load_balancer::recent_latency(const instance_stats& stats,
                                     const std::string& route) const
{
    auto it = stats.latency_by_route.find(route);
    if (it == stats.latency_by_route.end() ||
        clock_.now() - it->second.at > latency_validity)
        return 0;
    return it->second.mean;
}

double load_balancer::expected_time(const instance_stats& stats,
                                    const std::string& route,
                                    duration stated) const
{
    double own = recent_latency(stats, route);
    auto time = static_cast<double>(stated.count());
    return time > 0 && own < slow_link_ratio * time ? time : own;
}

double load_balancer::cost(const fleet::instance& it,
                           const instance_stats& stats) const
{
    double limit = std::max(
        stats.last_report.limit > 0 ? stats.last_report.limit : it.slots, 1);
    double load = stats.in_flight;
    if (clock_.now() - stats.reported_at < report_validity)
        load =
            std::max(0, stats.last_report.running + stats.last_report.waiting +
                            stats.in_flight - stats.in_flight_at_report);
    double value = (load + 1) / limit;
    if (load >= limit)
        value += full_cost;
    if (it.failure_domain != own_domain_)
        value += cross_domain_cost;
    return value + failure_rate_cost * decayed_failure_rate(stats);
}

double load_balancer::decayed_failure_rate(const instance_stats& stats) const
{
    auto age =
        std::chrono::duration<double>(clock_.now() - stats.failure_rate_at) /
        std::chrono::duration<double>(failure_rate_validity);
    return stats.failure_rate * std::max(0.0, 1 - age);
}

void load_balancer::sent(const std::string& name)
{
    ++stats_[name].in_flight;
}

void load_balancer::ended(const std::string& name, const std::string& route,
                          attempt_outcome how, duration elapsed)
{
    auto& stats = stats_[name];
    stats.in_flight = std::max(0, stats.in_flight - 1);
    auto now = clock_.now();
    if (how == attempt_outcome::served || how == attempt_outcome::failed) {
        double value = how == attempt_outcome::failed ? 1 : 0;
        stats.failure_rate = decayed_failure_rate(stats);
        stats.failure_rate +=
            failure_sample_weight * (value - stats.failure_rate);
        stats.failure_rate_at = now;
    }
    switch (how) {
    case attempt_outcome::served:
        stats.failures = 0;
        stats.ejected_until = time_point{};
        record_latency(stats.latency_by_route[route], elapsed);
        break;
    case attempt_outcome::refused_overload:
        stats.ejected_until = now + overload_ejection_time;
        break;
    case attempt_outcome::refused_evacuated:
        if (const auto* it = fleet_.find(name))
            avoided_until_[it->failure_domain] = now + evacuation_avoid_time;
        break;
    case attempt_outcome::refused_unavailable:
    case attempt_outcome::failed: {
        auto factor = std::min(stats.failures++, 6);
        if (how == attempt_outcome::failed && stats.failures < 3)
            break;
        stats.ejected_until = now + std::min(base_ejection_time * (1 << factor),
                                             max_ejection_time);
        break;
    }
    case attempt_outcome::timed_out:
        record_latency(stats.latency_by_route[route], elapsed);
        break;
    case attempt_outcome::cancelled:
        break;
    }
}

void load_balancer::record_latency(latency_average& stats,
                                   duration elapsed) const
{
    auto value = static_cast<double>(elapsed.count());
    bool fresh = stats.mean > 0 && clock_.now() - stats.at < latency_validity;
    stats.mean = fresh
                     ? stats.mean + newest_sample_weight * (value - stats.mean)
                     : value;
    stats.at = clock_.now();
}

void load_balancer::report(const std::string& name, const load_report& it)
{
    auto& stats = stats_[name];
    stats.last_report = it;
    if (it.notice.backend != 0)
        stats.notice = it.notice;
    if (it.failure_rate > decayed_failure_rate(stats)) {
        stats.failure_rate = it.failure_rate;
        stats.failure_rate_at = clock_.now();
    }
    stats.reported_at = clock_.now();
    stats.in_flight_at_report = stats.in_flight;
}

void load_balancer::record_speed(const std::string& name,
                                 const std::string& service,
                                 const std::string& route,
                                 const load_report& it)
{
    speeds_.record(service, route, {name, it.route_time, {}, it.stamp_ms});
}

backend_notice load_balancer::notice_of(const std::string& name) const
{
    auto it = stats_.find(name);
    return it == stats_.end() ? backend_notice{} : it->second.notice;
}

void load_balancer::set_reachable(const std::string& name, bool reachable)
{
    stats_[name].reachable = reachable;
}

} // namespace shallotwood::process::routing
