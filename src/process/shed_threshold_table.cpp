#include "process/shed_threshold_table.hpp"

#include "process/shed_key.hpp"

#include <algorithm>
#include <cmath>

namespace shallotwood::process
{

namespace
{

// Minimum weight of a response, however soon after the previous one.
constexpr double least_weight = 0.02;

} // namespace

void shed_threshold_table::update_service(const std::string& service,
                                          request::shed_key shed_threshold)
{
    note(services_, service, shed_threshold);
}

void shed_threshold_table::update_route(const std::string& route,
                                        request::shed_key shed_threshold)
{
    note(routes_, route, shed_threshold);
}

request::shed_key
shed_threshold_table::service_threshold(const std::string& service) const
{
    return find(services_, service);
}

request::shed_key
shed_threshold_table::route_threshold(const std::string& route) const
{
    return find(routes_, route);
}

void shed_threshold_table::note(table& in, const std::string& name,
                                request::shed_key shed_threshold)
{
    auto now = clock_.now();
    double value = std::min(shed_threshold, above_all_keys);
    auto it = in.find(name);
    if (it == in.end()) {
        if (in.size() < max_names)
            in.emplace(name, seen{value, now});
        return;
    }
    auto& [average, at] = it->second;
    std::chrono::duration<double> age = now - at;
    bool fresh = now - at < lifetime;
    double weight = fresh ? 1 - std::exp(-age / memory) : 1;
    average += std::max(weight, least_weight) * (value - average);
    at = now;
}

request::shed_key shed_threshold_table::find(const table& in,
                                             const std::string& name) const
{
    auto it = in.find(name);
    if (it == in.end() || clock_.now() - it->second.at >= lifetime)
        return request::no_shed_threshold;
    // The average approaches this value from below and never reaches it.
    if (it->second.shed_threshold > above_all_keys - 1.0)
        return request::no_shed_threshold;
    return static_cast<request::shed_key>(it->second.shed_threshold);
}

} // namespace shallotwood::process
