#include "process/routing/load_balancer.hpp"

#include "process/routing/cold_placement.hpp"

#include <algorithm>
#include <utility>

namespace shallotwood::process::routing
{

namespace
{

// A load report is ignored after this time.
constexpr duration report_validity = std::chrono::milliseconds(500);

// A node that has crossed to a distant domain takes the cost of the next
// crossings as lower by this much; the difference vanishes over
// crossing_memory.
constexpr double crossing_hysteresis = 0.05;
constexpr duration crossing_memory = std::chrono::milliseconds(300);

// An instance whose expected time is within this share of what is left until
// the latency objective meets it with few exceptions.
constexpr double safe_objective_share = 0.5;

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

// Longest ejection time after a refusal by a cold instance, whose node says
// when there will be room.
constexpr duration max_cold_ejection_time = std::chrono::seconds(3);
// After a refusal because of an evacuation that this node does not know yet,
// the instance's failure domain is avoided for this time. The set of
// evacuations arrives within it.
constexpr duration evacuation_avoid_time = std::chrono::milliseconds(300);

} // namespace

load_balancer::load_balancer(const clock& time, random_source& random,
                             const fleet::fleet_view& fleet,
                             std::string own_domain)
    : clock_(time), random_(random), fleet_(fleet),
      crossing_(time, std::move(own_domain)), speeds_(time, random, fleet)
{
}

std::vector<load_balancer::candidate>
load_balancer::candidates_of(const std::string& service,
                             const std::string& route,
                             const std::vector<std::string>& tried)
{
    std::vector<candidate> all;
    auto stated = speeds_.times(service, route);
    for (const auto& [name, it] : fleet_.instances_of(service)) {
        if (!it->takes_calls() || evacuated_.count(it->failure_domain) != 0 ||
            std::find(tried.begin(), tried.end(), *name) != tried.end())
            continue;
        auto& stats = stats_[*name];
        if (!stats.reachable)
            continue;
        // Its node may have restarted since and not know it.
        if (stats.notice.leaving && stats.notice.backend == it->backend_key())
            continue;
        // Its limit was that of a cold server.
        if (std::exchange(stats.cold, it->is_cold()) && !it->is_cold())
            stats.last_report.limit = 0;
        double time = expected_time(stats, route, stated.of(*name));
        all.push_back({it, &stats, time});
    }
    return all;
}

const fleet::instance*
load_balancer::choose(const std::string& service, const std::string& route,
                      const std::vector<std::string>& tried, duration remaining,
                      duration in_objective)
{
    auto now = clock_.now();
    auto candidates = candidates_of(service, route, tried);
    std::vector<double> times;
    for (const auto& it : candidates)
        if (it.time > 0 && !it.it->is_cold())
            times.push_back(it.time);
    double usual = lower_quartile(times);
    if (const auto* it = choose_cold(candidates, usual, remaining))
        return it;
    candidates.erase(
        std::remove_if(candidates.begin(), candidates.end(),
                       [](const candidate& it) { return it.it->is_cold(); }),
        candidates.end());
    // A call that an instance has refused or failed may leave the domain as if
    // the others were near.
    auto far = tried.empty() ? remoteness_of(candidates) : remoteness();
    bool by_end =
        far.is_near() && expected_end_.applies_to(service, in_objective);
    candidate best;
    candidate local;
    for (auto& it : candidates) {
        auto end_cost =
            by_end ? cost_by_end(it, usual, in_objective) : std::nullopt;
        it.cost = end_cost.value_or(cost(it, far)) +
                  cost_of_crossing(it, service, far);
        if (it.time > 0 && !end_cost) {
            auto excess = excess_time_cost *
                          std::max(0.0, it.time / usual - tolerated_time_ratio);
            it.cost += excess;
            if (it.time <= safe_objective_share *
                               static_cast<double>(in_objective.count()))
                it.tolerated = far.value() * excess;
        }
        if (it.time > static_cast<double>(remaining.count()))
            it.cost += late_cost;
        // Ejected candidates are used only if there is no other.
        if (now < it.stats->ejected_until || is_avoided(*it.it, now))
            it.cost += 1e3;
        // Breaks ties and keeps nodes from choosing in lockstep.
        it.cost += 0.05 * random_.unit();
        if (!best.exists() || it.cost < best.cost)
            best = it;
        if (is_local(it) &&
            (!local.exists() ||
             it.cost - it.tolerated < local.cost - local.tolerated))
            local = it;
    }
    if (far.is_near() || !best.exists() || is_local(best))
        return best.it;
    if (local.exists() && local.cost - local.tolerated < best.cost)
        return local.it;
    crossed_at_[service] = now;
    return best.it;
}

const fleet::instance*
load_balancer::choose_cold(const std::vector<candidate>& all, double usual,
                           duration remaining)
{
    auto now = clock_.now();
    cold_placement placement(usual);
    for (const auto& it : all)
        if (!it.it->is_cold())
            placement.add_warm(it.it->slots);
        else
            placement.add_cold(
                *it.it, now >= it.stats->ejected_until &&
                            !is_avoided(*it.it, now) &&
                            it.time <= static_cast<double>(remaining.count()));
    return placement.choose(random_);
}

remoteness load_balancer::remoteness_of(const std::vector<candidate>& all) const
{
    double least = crossing_cost::far_cost;
    bool has_remote = false;
    for (const auto& it : all) {
        if (is_local(it))
            continue;
        has_remote = true;
        least = std::min(least, crossing_.to(it.it->failure_domain));
    }
    return has_remote ? remoteness(least) : remoteness();
}

double load_balancer::cost_of_crossing(const candidate& of,
                                       const std::string& service,
                                       const remoteness& far) const
{
    if (is_local(of))
        return 0;
    if (far.is_near())
        return crossing_cost::near_cost;
    auto value = crossing_.to(of.it->failure_domain);
    auto it = crossed_at_.find(service);
    if (it == crossed_at_.end())
        return value;
    auto age = std::chrono::duration<double>(clock_.now() - it->second) /
               std::chrono::duration<double>(crossing_memory);
    return value - far.value() * crossing_hysteresis * std::max(0.0, 1 - age);
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

double load_balancer::cost(const candidate& of, const remoteness& far) const
{
    const auto& stats = *of.stats;
    double limit = slots_of(of);
    double load = load_of(stats);
    double value = (load + 1) / limit;
    value += far.crowding(value);
    if (load >= limit)
        value += full_cost;
    return value + failure_rate_cost * far.failure_factor() *
                       decayed_failure_rate(stats);
}

std::optional<double> load_balancer::cost_by_end(const candidate& of,
                                                 double usual,
                                                 duration in_objective) const
{
    const auto& stats = *of.stats;
    const auto& left = stats.last_report.work_left;
    if (of.time <= 0 || usual <= 0 || !left ||
        clock_.now() - stats.reported_at >= report_validity)
        return std::nullopt;
    double sent_since = stats.in_flight - stats.in_flight_at_report;
    double limit = slots_of(of);
    work_ahead it{static_cast<double>(left->count()) + sent_since * of.time,
                  limit, of.time};
    return expected_end::cost(it, usual, in_objective) +
           (load_of(stats) >= limit ? full_cost : 0) +
           failure_rate_cost * decayed_failure_rate(stats);
}

double load_balancer::load_of(const instance_stats& stats) const
{
    if (clock_.now() - stats.reported_at >= report_validity)
        return stats.in_flight;
    return std::max(0, stats.last_report.running + stats.last_report.waiting +
                           stats.in_flight - stats.in_flight_at_report);
}

double load_balancer::slots_of(const candidate& of)
{
    int limit = of.stats->last_report.limit;
    return std::max(limit > 0 ? limit : of.it->slots, 1);
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
                          attempt_outcome how, duration elapsed,
                          std::optional<duration> retry_after)
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
        if (const auto* it = fleet_.find(name))
            expected_end_.record(it->service, elapsed);
        break;
    case attempt_outcome::refused_overload:
        stats.ejected_until = now + overload_ejection_time;
        if (const auto* it = fleet_.find(name);
            retry_after && it != nullptr && it->is_cold())
            stats.ejected_until =
                now + std::min(*retry_after, max_cold_ejection_time);
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

void load_balancer::record_round_trip(const std::string& name, duration took)
{
    if (const auto* it = fleet_.find(name))
        crossing_.record(it->failure_domain, took);
}

std::vector<instance_speed>
load_balancer::useful_in(const std::string& domain, const std::string& service,
                         std::vector<instance_speed> all) const
{
    if (remoteness(crossing_.to(domain)).is_near())
        return all;
    const auto& instances = fleet_.instances_of(service);
    bool served_there =
        std::any_of(instances.begin(), instances.end(), [&](const auto& n) {
            return n.it->failure_domain == domain && n.it->takes_calls();
        });
    if (!served_there)
        return all;
    auto is_elsewhere = [&](const instance_speed& it) {
        const auto* known = fleet_.find(it.instance);
        return known == nullptr || known->failure_domain != domain;
    };
    all.erase(std::remove_if(all.begin(), all.end(), is_elsewhere), all.end());
    return all;
}

bool load_balancer::is_cold_among_warm(const std::string& name) const
{
    const auto* of = fleet_.find(name);
    if (of == nullptr || !of->is_cold())
        return false;
    const auto& all = fleet_.instances_of(of->service);
    return std::any_of(all.begin(), all.end(), [](const auto& entry) {
        return entry.it->takes_calls() && !entry.it->is_cold();
    });
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
