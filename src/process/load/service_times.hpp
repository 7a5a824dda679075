// How long calls of each route take on the local backend server.
//
// Answers callers that choose between backend servers of uneven speed. A server
// that turns slow is seen before its calls end, by the age of those that run.
//
// Bounded: max_routes routes; further ones are not measured.
#pragma once

#include "process/event_loop.hpp"

#include <cstddef>
#include <string>
#include <unordered_map>

namespace shallotwood::process::load
{

class service_times
{
public:
    static constexpr std::size_t max_routes = 1024;

    explicit service_times(const clock& time) : clock_(time) {}

    // A call begins to run on the backend server, or has ended; `started` is
    // when it began.
    void record_start(const std::string& route, time_point started);
    void record_end(const std::string& route, time_point started);

    // Expected time of a call that starts now; 0 if none has been measured
    // within `validity`.
    duration estimate(const std::string& route) const;

    static constexpr duration validity = std::chrono::seconds(10);

private:
    struct route_times {
        // Moving average of the calls that ended, in microseconds.
        double mean = 0;
        time_point updated{};
        // Calls that run, and the sum of their start times.
        std::int64_t running = 0;
        duration started_sum{};
    };

    const clock& clock_;
    std::unordered_map<std::string, route_times> routes_;
};

} // namespace shallotwood::process::load
