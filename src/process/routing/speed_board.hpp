// Service times of instances by route, as their own nodes have measured them.
//
// Lets one node's knowledge serve all. With hundreds of nodes, each calls a
// given instance too seldom to learn by itself which ones are slow. The node
// beside a backend server states its service time in each reply; callers pass
// such statements on with their next calls, and replies carry those of the
// service's other instances. Slow instances are passed on first. A statement is
// only ever made by the instance that it is about, so an instance can at most
// misplace its own calls.
//
// A statement expires after a random time, different at each node, so that an
// instance that all avoid is tried again by a few nodes first.
//
// Bounded: instances of the fleet view, max_routes routes, and
// max_shared_speeds statements in a message.
#pragma once

#include "process/event_loop.hpp"
#include "process/fleet/fleet_view.hpp"
#include "process/random_source.hpp"

#include <cstdint>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace shallotwood::process::routing
{

struct instance_speed {
    std::string instance;
    duration service_time{};
    // Since the instance stated it.
    duration age{};
    // Orders the statements of one instance: its clock, in milliseconds.
    std::uint64_t stamp_ms = 0;

    auto fields() const
    {
        return std::tie(instance, service_time, age, stamp_ms);
    }
    friend bool operator==(const instance_speed& a, const instance_speed& b)
    {
        return a.fields() == b.fields();
    }
};

// Statements in one message.
constexpr std::size_t max_shared_speeds = 6;

class speed_board
{
    struct sample {
        duration service_time{};
        std::uint64_t stamp_ms = 0;
        time_point stated_at{};
        time_point expires_at{};
    };
    struct table {
        std::unordered_map<std::string, sample> samples;
        // Instances that were slow at `scanned_at`.
        std::vector<std::string> slow;
        time_point scanned_at{};
    };

public:
    static constexpr std::size_t max_routes = 1024;

    speed_board(const clock& time, random_source& random,
                const fleet::fleet_view& fleet)
        : clock_(time), random_(random), fleet_(fleet)
    {
    }

    // Ignored unless it is newer than what is known of the instance.
    void record(const std::string& service, const std::string& route,
                const instance_speed& it);

    // The known times of one service and route. Valid until the next call of
    // record().
    class known_times
    {
    public:
        // 0 if it is not known.
        duration of(const std::string& instance) const;

    private:
        friend class speed_board;
        const table* from_ = nullptr;
        time_point now_{};
    };
    known_times times(const std::string& service,
                      const std::string& route) const;

    // Up to max_shared_speeds statements for another node, without that about
    // `except`.
    std::vector<instance_speed> select(const std::string& service,
                                       const std::string& route,
                                       const std::string& except);

private:
    static std::string key_of(const std::string& service,
                              const std::string& route);
    void scan(table& of) const;

    const clock& clock_;
    random_source& random_;
    const fleet::fleet_view& fleet_;
    std::unordered_map<std::string, table> tables_;
};

// The value that a quarter of them is below; 0 if there are none. A few slow or
// lucky instances don't move it.
double lower_quartile(std::vector<double>& values);

} // namespace shallotwood::process::routing
