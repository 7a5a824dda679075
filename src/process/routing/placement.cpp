#include "process/routing/placement.hpp"

#include <algorithm>
#include <cmath>

namespace shallotwood::process::routing
{

namespace
{

// A report says little about the load after this time.
constexpr duration report_validity = std::chrono::milliseconds(500);

// Service time assumed for an instance that has not answered yet.
constexpr duration first_service_time = std::chrono::milliseconds(50);

// Cost of a call to another failure domain: the trip, and the bytes that the
// platform charges for.
constexpr duration domain_cost = std::chrono::milliseconds(6);

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
                                         const std::vector<std::string>& tried)
{
    auto now = clock_.now();
    const fleet::instance* best = nullptr;
    double best_cost = 0;
    for (const auto* it : fleet_.of_service(service)) {
        if (!it->takes_calls())
            continue;
        auto name = it->name();
        if (std::find(tried.begin(), tried.end(), name) != tried.end())
            continue;
        const auto& of = figures_[name];
        double value = cost(*it, of);
        // Left for now, but better than nothing.
        if (!of.reachable)
            value += 1e12;
        else if (now < of.avoided_until)
            value += 1e9;
        // Breaks ties, and keeps nodes from acting alike.
        value *= 1 + 0.05 * random_.unit();
        if (best == nullptr || value < best_cost) {
            best = it;
            best_cost = value;
        }
    }
    return best;
}

double placement::cost(const fleet::instance& it, const figures& of) const
{
    auto service_time = of.last.service_time > duration(0)
                            ? of.last.service_time
                            : first_service_time;
    double limit = std::max(of.last.limit > 0 ? of.last.limit : it.slots, 1);
    double load = of.in_flight;
    if (clock_.now() - of.reported_at < report_validity)
        load = std::max(0, of.last.running + of.last.waiting + of.in_flight -
                               of.in_flight_then);
    double used = (load + 1) / limit;
    // Flat while slots are free, and the time in the queue beyond.
    double factor = 1 + 0.5 * used * used;
    if (used > 1)
        factor += 2 * (used - 1);
    double value = static_cast<double>(service_time.count()) * factor;
    if (it.failure_domain != own_domain_)
        value += static_cast<double>(domain_cost.count());
    return value;
}

void placement::sent(const std::string& name)
{
    ++figures_[name].in_flight;
}

void placement::ended(const std::string& name, call_outcome how, duration)
{
    auto& of = figures_[name];
    of.in_flight = std::max(0, of.in_flight - 1);
    auto now = clock_.now();
    switch (how) {
    case call_outcome::served:
        of.failures = 0;
        of.avoided_until = time_point{};
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
    case call_outcome::abandoned:
        break;
    }
}

void placement::report(const std::string& name, const load_report& it)
{
    auto& of = figures_[name];
    of.last = it;
    of.reported_at = clock_.now();
    of.in_flight_then = of.in_flight;
}

void placement::set_reachable(const std::string& name, bool reachable)
{
    figures_[name].reachable = reachable;
}

} // namespace shallotwood::process::routing
