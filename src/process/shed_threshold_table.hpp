// The shed thresholds that responses have reported, by service and by entry
// route.
//
// A response carries the lowest threshold of the call tree below it. The table
// averages these over a short time, because the backend servers of a service
// have different thresholds: the lowest of them would refuse work for which
// others have free slots. A threshold that no response confirms expires after
// its lifetime. Bounded: at most max_names; further names have no threshold.
#pragma once

#include "process/event_loop.hpp"
#include "request/call_context.hpp"

#include <string>
#include <unordered_map>

namespace shallotwood::process
{

class shed_threshold_table
{
public:
    static constexpr std::size_t max_names = 4096;
    static constexpr duration lifetime = std::chrono::seconds(1);
    // Time constant of the average.
    static constexpr duration memory = std::chrono::milliseconds(50);

    explicit shed_threshold_table(const clock& time) : clock_(time) {}

    // A response from the service, or to a request of the entry route, reported
    // this threshold.
    void update_service(const std::string& service,
                        request::shed_key shed_threshold);
    void update_route(const std::string& route,
                      request::shed_key shed_threshold);

    request::shed_key service_threshold(const std::string& service) const;
    request::shed_key route_threshold(const std::string& route) const;

private:
    struct seen {
        double shed_threshold = 0;
        time_point at;
    };
    using table = std::unordered_map<std::string, seen>;

    void note(table& in, const std::string& name,
              request::shed_key shed_threshold);
    request::shed_key find(const table& in, const std::string& name) const;

    const clock& clock_;
    table services_;
    table routes_;
};

} // namespace shallotwood::process
