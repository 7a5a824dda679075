#include "process/routing/placement.hpp"

#include <algorithm>

namespace shallotwood::process::routing
{

namespace
{

// A report says little about the load after this time.
constexpr duration report_validity = std::chrono::milliseconds(500);

// Another failure domain is used once its backend servers have this much less
// of their slots in use: trips take time, and the platform charges for bytes.
constexpr double domain_cost = 0.2;

// Slower than the fastest by more than this factor costs slow_cost for each
// further multiple.
constexpr double tolerated_slowness = 1.6;
constexpr double slow_cost = 0.4;

// Cost of a candidate that fails every call, and how long a failing part is
// believed: it fades over this time, so that the candidate is tried again.
constexpr double failing_cost = 4;
constexpr double failing_weight = 0.1;
constexpr duration failing_validity = std::chrono::seconds(3);

// Weight of the newest answer in a mean time, and how long it is believed.
constexpr double newest_weight = 0.2;
constexpr duration time_validity = std::chrono::seconds(2);

// First time of avoidance after a failure, and the longest.
constexpr duration first_avoidance = std::chrono::milliseconds(200);
constexpr duration longest_avoidance = std::chrono::seconds(3);

// After a refusal for lack of room.
constexpr duration busy_avoidance = std::chrono::milliseconds(20);

} // namespace

placement::placement(const clock& time, random_source& random,
                     const fleet::fleet_view& fleet, std::string own_domain)
    : clock_(time), random_(random), fleet_(fleet),
      own_domain_(std::move(own_domain))
{
}

const fleet::instance* placement::choose(const std::string& service,
                                         const std::string& route,
                                         const std::vector<std::string>& tried)
{
    auto now = clock_.now();
    struct candidate {
        const fleet::instance* it;
        const figures* of;
    };
    std::vector<candidate> candidates;
    double fastest = 0;
    for (const auto& [name, it] : fleet_.service_threshold(service)) {
        if (!it->takes_calls() ||
            std::find(tried.begin(), tried.end(), *name) != tried.end())
            continue;
        const auto& of = figures_[*name];
        if (!of.reachable)
            continue;
        candidates.push_back({it, &of});
        double time = fresh_time(of, route);
        if (time > 0 && (fastest <= 0 || time < fastest))
            fastest = time;
    }
    const fleet::instance* best = nullptr;
    double best_cost = 0;
    for (const auto& [it, of] : candidates) {
        double value = cost(*it, *of);
        if (double time = fresh_time(*of, route); time > 0)
            value +=
                slow_cost * std::max(0.0, time / fastest - tolerated_slowness);
        // Left for now, but better than nothing.
        if (now < of->avoided_until)
            value += 1e3;
        // Breaks ties, and keeps nodes from acting alike.
        value += 0.05 * random_.unit();
        if (best == nullptr || value < best_cost) {
            best = it;
            best_cost = value;
        }
    }
    return best;
}

double placement::fresh_time(const figures& of, const std::string& route) const
{
    auto it = of.times.find(route);
    if (it == of.times.end() || clock_.now() - it->second.at > time_validity)
        return 0;
    return it->second.mean;
}

double placement::cost(const fleet::instance& it, const figures& of) const
{
    double limit = std::max(of.last.limit > 0 ? of.last.limit : it.slots, 1);
    double load = of.in_flight;
    if (clock_.now() - of.reported_at < report_validity)
        load = std::max(0, of.last.running + of.last.waiting + of.in_flight -
                               of.in_flight_then);
    double value = (load + 1) / limit;
    if (it.failure_domain != own_domain_)
        value += domain_cost;
    return value + failing_cost * failing_part(of);
}

double placement::failing_part(const figures& of) const
{
    auto age = std::chrono::duration<double>(clock_.now() - of.failing_at) /
               std::chrono::duration<double>(failing_validity);
    return of.failing * std::max(0.0, 1 - age);
}

void placement::sent(const std::string& name)
{
    ++figures_[name].in_flight;
}

void placement::ended(const std::string& name, const std::string& route,
                      call_outcome how, duration elapsed)
{
    auto& of = figures_[name];
    of.in_flight = std::max(0, of.in_flight - 1);
    auto now = clock_.now();
    if (how == call_outcome::served || how == call_outcome::failed) {
        double value = how == call_outcome::failed ? 1 : 0;
        of.failing = failing_part(of);
        of.failing += failing_weight * (value - of.failing);
        of.failing_at = now;
    }
    switch (how) {
    case call_outcome::served:
        of.failures = 0;
        of.avoided_until = time_point{};
        note_time(of.times[route], elapsed);
        break;
    case call_outcome::refused_busy:
        of.avoided_until = now + busy_avoidance;
        break;
    case call_outcome::refused_away:
    case call_outcome::failed: {
        auto factor = std::min(of.failures++, 6);
        if (how == call_outcome::failed && of.failures < 3)
            break;
        of.avoided_until =
            now + std::min(first_avoidance * (1 << factor), longest_avoidance);
        break;
    }
    case call_outcome::too_slow:
        note_time(of.times[route], elapsed);
        break;
    case call_outcome::cancelled:
        break;
    }
}

void placement::note_time(answer_time& of, duration elapsed) const
{
    auto value = static_cast<double>(elapsed.count());
    bool fresh = of.mean > 0 && clock_.now() - of.at < time_validity;
    of.mean = fresh ? of.mean + newest_weight * (value - of.mean) : value;
    of.at = clock_.now();
}

void placement::report(const std::string& name, const load_report& it)
{
    auto& of = figures_[name];
    of.last = it;
    if (it.failing > failing_part(of)) {
        of.failing = it.failing;
        of.failing_at = clock_.now();
    }
    of.reported_at = clock_.now();
    of.in_flight_then = of.in_flight;
}

void placement::set_reachable(const std::string& name, bool reachable)
{
    figures_[name].reachable = reachable;
}

} // namespace shallotwood::process::routing
