#include "process/load_balancer.hpp"

#include <algorithm>
#include <cmath>

namespace shallotwood::process
{

namespace
{

// Time constant of the moving averages of latency.
constexpr duration latency_time_constant = std::chrono::milliseconds(500);
// A latency expires after this time without a new sample.
constexpr duration latency_validity = std::chrono::seconds(1);
// Calls spill over when the local domain's latency exceeds that of the remote
// ones by this ratio; with a lower ratio, noise at low load sends calls to
// other domains. The share that spills over is the excess above the ratio.
// Raising the share step by step while the local domain was slower overshot by
// half a second and left domains idle in turn.
constexpr double spillover_latency_ratio = 1.1;
constexpr double max_spillover = 0.95;
// Utilization of a candidate (own requests in flight over capacity) above which
// calls spill over at once; the latency of a growing queue shows it too late.
constexpr double spillover_load = 0.6;
// A refusal counts as a response slower than the mean by this factor.
constexpr double refusal_latency_factor = 2;
constexpr double refusal_capacity_factor = 0.95;
// Fraction of a lasting rise in latency that each response adds to the
// baseline.
constexpr double baseline_drift = 0.001;
// Successes per slot until a new candidate gets its full share of the load.
constexpr double slow_start_successes_per_slot = 3;
// Slow-start growth is multiplied by this once a candidate has refused. At full
// growth, a candidate that announces 5 times its real slots refuses 14% of its
// calls in equilibrium.
constexpr double slow_start_factor_after_refusal = 0.1;
constexpr duration max_ejection_time = std::chrono::seconds(60);
// Bound of the ratio of a candidate's latency to that of its service, as a
// factor of its load. A backend server that announces too many slots gets slow
// long before it refuses; a slow one still needs some calls, or its recovery is
// never noticed.
constexpr double max_latency_ratio = 4;
// Random draws before all candidates are scanned for a usable one.
constexpr int max_random_draws = 6;

bool contains(const std::vector<std::string>& names, const std::string& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

void update_average(double& average, time_point& at, double value,
                    time_point now)
{
    if (now - at >= latency_validity)
        average = value;
    std::chrono::duration<double> age = now - at;
    double weight = std::max(1 - std::exp(-age / latency_time_constant), 0.01);
    average += weight * (value - average);
    at = now;
}

bool selectable(const member& it)
{
    return it.state == member_state::active ||
           it.state == member_state::suspect;
}

} // namespace

load_balancer::load_balancer(const clock& time, random_source& random,
                             const load_balancer_settings& settings)
    : clock_(time), random_(random), settings_(settings)
{
}

void load_balancer::assign(const std::string& service,
                           const std::vector<member>& members)
{
    pool& old = pools_[service];
    pool next;
    next.local_latency = old.local_latency;
    next.remote_latency = old.remote_latency;
    next.overall_latency = old.overall_latency;
    next.local_latency_baseline = old.local_latency_baseline;
    next.spillover = old.spillover;
    for (const auto& it : members) {
        if (!selectable(it))
            continue;
        auto index = next.candidates.size();
        candidate kept;
        if (auto known = old.by_instance.find(it.instance);
            known != old.by_instance.end() &&
            old.candidates[known->second].it.incarnation == it.incarnation)
            kept = old.candidates[known->second];
        kept.it = it;
        next.candidates.push_back(std::move(kept));
        next.by_instance.emplace(it.instance, index);
        bool local = it.failure_domain == settings_.failure_domain;
        next.all.push_back(index);
        (local ? next.local : next.remote).push_back(index);
    }
    if (next.candidates.empty())
        pools_.erase(service);
    else
        old = std::move(next);
}

const member* load_balancer::choose(const std::string& service,
                                    const std::vector<std::string>& tried,
                                    bool overloaded)
{
    auto found = pools_.find(service);
    if (found == pools_.end())
        return nullptr;
    const auto& in = found->second;
    bool spills = random_.unit() < in.spillover;
    const auto& first = overloaded ? in.all : spills ? in.remote : in.local;
    const auto& second = in.all;
    const auto* it = less_loaded_of_two(in, first, tried, false);
    if (it == nullptr || load_of(in, *it) > spillover_load)
        it = less_loaded_of_two(in, second, tried, false);
    // Ejected candidates are used only if there is no other.
    if (it == nullptr)
        it = less_loaded_of_two(in, second, tried, true);
    return it == nullptr ? nullptr : &it->it;
}

const load_balancer::candidate* load_balancer::less_loaded_of_two(
    const pool& in, const std::vector<std::size_t>& from,
    const std::vector<std::string>& tried, bool allow_ejected)
{
    const auto* one = random_candidate(in, from, tried, allow_ejected, nullptr);
    if (one == nullptr)
        return nullptr;
    const auto* other = random_candidate(in, from, tried, allow_ejected, one);
    if (other == nullptr || load_of(in, *one) <= load_of(in, *other))
        return one;
    return other;
}

const load_balancer::candidate*
load_balancer::random_candidate(const pool& in,
                                const std::vector<std::size_t>& from,
                                const std::vector<std::string>& tried,
                                bool allow_ejected, const candidate* except)
{
    if (from.empty() || (except != nullptr && from.size() == 1))
        return nullptr;
    auto now = clock_.now();
    auto usable = [&](const candidate& it) {
        return &it != except && (allow_ejected || it.ejected_until <= now) &&
               !contains(tried, it.it.instance);
    };
    std::size_t at = 0;
    for (int n = 0; n < max_random_draws; ++n) {
        at = random_.below(from.size());
        const auto& it = in.candidates[from[at]];
        if (usable(it))
            return &it;
    }
    for (std::size_t n = 0; n < from.size(); ++n) {
        const auto& it = in.candidates[from[(at + n) % from.size()]];
        if (usable(it))
            return &it;
    }
    return nullptr;
}

double load_balancer::load_of(const pool& in, const candidate& it)
{
    double slots = std::max(it.it.slots, 1) * it.capacity;
    bool known = it.latency > 0 && in.overall_latency.latency > 0;
    double ratio = known ? it.latency / in.overall_latency.latency : 1;
    return it.in_flight / slots * std::clamp(ratio, 1.0, max_latency_ratio);
}

load_balancer::candidate* load_balancer::find(const std::string& service,
                                              const std::string& instance)
{
    auto in = pools_.find(service);
    if (in == pools_.end())
        return nullptr;
    auto it = in->second.by_instance.find(instance);
    return it == in->second.by_instance.end()
               ? nullptr
               : &in->second.candidates[it->second];
}

const load_balancer::candidate*
load_balancer::find(const std::string& service,
                    const std::string& instance) const
{
    return const_cast<load_balancer*>(this)->find(service, instance);
}

void load_balancer::sent(const std::string& service,
                         const std::string& instance)
{
    if (auto* it = find(service, instance))
        ++it->in_flight;
}

void load_balancer::answered(const std::string& service,
                             const std::string& instance, attempt_outcome how,
                             duration elapsed)
{
    auto* it = find(service, instance);
    if (it == nullptr)
        return;
    auto& in = pools_.at(service);
    it->in_flight = std::max(it->in_flight - 1, 0);
    int slots = std::max(it->it.slots, 1);
    if (how == attempt_outcome::success) {
        double step =
            (1 - initial_capacity) / slow_start_successes_per_slot / slots;
        if (it->refused)
            step *= slow_start_factor_after_refusal;
        it->capacity = std::min(1.0, it->capacity + step);
        it->failures = 0;
        it->ejections = 0;
    } else if (how == attempt_outcome::refused) {
        it->refused = true;
        it->capacity =
            std::max(min_capacity, it->capacity * refusal_capacity_factor);
    } else if (how == attempt_outcome::failed) {
        record_failure(in, *it);
    }
    record_latency(in, *it, how, elapsed);
    update_spillover(in);
}

void load_balancer::record_latency(pool& in, candidate& of, attempt_outcome how,
                                   duration elapsed)
{
    bool success = how == attempt_outcome::success;
    if (!success && how != attempt_outcome::refused)
        return;
    bool local = of.it.failure_domain == settings_.failure_domain;
    auto& it = local ? in.local_latency : in.remote_latency;
    auto now = clock_.now();
    auto value = static_cast<double>(elapsed.count());
    if (!success)
        value =
            refusal_latency_factor *
            std::max(it.latency,
                     static_cast<double>(settings_.cross_domain_rtt.count()));
    update_average(it.latency, it.at, value, now);
    if (success) {
        update_average(in.overall_latency.latency, in.overall_latency.at, value,
                       now);
        update_average(of.latency, of.answered_at, value, now);
    }
    if (!local)
        return;
    if (in.local_latency_baseline == 0 ||
        it.latency < in.local_latency_baseline)
        in.local_latency_baseline = it.latency;
    else
        in.local_latency_baseline +=
            baseline_drift * (it.latency - in.local_latency_baseline);
}

void load_balancer::update_spillover(pool& in)
{
    auto now = clock_.now();
    if (in.local.empty() || in.remote.empty()) {
        in.spillover = in.local.empty() ? 1 : 0;
        return;
    }
    bool remote_known = now - in.remote_latency.at < latency_validity;
    // An unknown remote latency is assumed to be the local baseline plus the
    // round trip.
    double remote_latency =
        remote_known
            ? in.remote_latency.latency
            : in.local_latency_baseline +
                  static_cast<double>(settings_.cross_domain_rtt.count());
    double slower = remote_latency > 0
                        ? in.local_latency.latency / remote_latency -
                              spillover_latency_ratio
                        : 0;
    in.spillover = std::clamp(slower, 0.0, max_spillover);
}

void load_balancer::record_failure(pool& in, candidate& of)
{
    if (++of.failures < settings_.failures_to_eject || !may_eject(in))
        return;
    auto span = settings_.base_ejection_time * (1 << std::min(of.ejections, 4));
    of.ejected_until =
        clock_.now() + std::min<duration>(span, max_ejection_time);
    ++of.ejections;
    // The first failure after the ejection ejects again.
    of.failures = settings_.failures_to_eject - 1;
}

bool load_balancer::may_eject(const pool& in) const
{
    auto now = clock_.now();
    auto out = std::count_if(
        in.candidates.begin(), in.candidates.end(),
        [now](const candidate& it) { return it.ejected_until > now; });
    return 2 * (static_cast<std::size_t>(out) + 1) <= in.candidates.size();
}

int load_balancer::in_flight(const std::string& service,
                             const std::string& instance) const
{
    const auto* it = find(service, instance);
    return it == nullptr ? 0 : it->in_flight;
}

bool load_balancer::ejected(const std::string& service,
                            const std::string& instance) const
{
    const auto* it = find(service, instance);
    return it != nullptr && it->ejected_until > clock_.now();
}

double load_balancer::spillover_share(const std::string& service) const
{
    auto it = pools_.find(service);
    return it == pools_.end() ? 0 : it->second.spillover;
}

} // namespace shallotwood::process
