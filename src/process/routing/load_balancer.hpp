// Chooses the instance that runs a call.
//
// Answers uneven speed and load of backend servers, without herding: figures
// are this node's own calls in flight and what came back with its own answers,
// so no two nodes act on the same stale figure. A call goes where the smallest
// part of the slots is in use; a slow backend server holds its calls longer and
// so gets fewer. Calls stay in the own failure domain until another one is
// clearly less used. One that answers this route much slower than the others do
// is left, and tried again when that figure has become old: comparing times of
// different routes would take a backend server with long work for a slow one.
// One that fails part of its calls is left in proportion to that part. A
// candidate that refuses, or fails every call, is left for a time that doubles
// with each repetition.
#pragma once

#include "process/event_loop.hpp"
#include "process/fleet/fleet_view.hpp"
#include "process/load/shed_key.hpp"
#include "process/random_source.hpp"

#include <string>
#include <unordered_map>
#include <vector>

namespace shallotwood::process::routing
{

// What the gate of an instance says with each answer.
struct load_report {
    int running = 0;
    int waiting = 0;
    int limit = 0;
    duration service_time{};
    // Part of the last calls on the backend server that failed.
    double failure_rate = 0;
    // From this key on, requests of the call's route are shed here or below.
    load::shed_key shed_threshold = load::no_shed_threshold;
};

enum class attempt_outcome {
    served,
    // The gate has no room; not run.
    refused_overload,
    // The instance takes no calls: draining, no backend server; not run.
    refused_unavailable,
    // The backend server or the connection to the node failed.
    failed,
    // No answer before the time was up.
    timed_out,
    // The caller left.
    cancelled,
};

class load_balancer
{
public:
    load_balancer(const clock& time, random_source& random,
                  const fleet::fleet_view& fleet, std::string own_domain);

    // An instance of the service that takes calls, can be reached and is not in
    // `tried`; null if there is none.
    const fleet::instance* choose(const std::string& service,
                                  const std::string& route,
                                  const std::vector<std::string>& tried);

    // Brackets each call.
    void sent(const std::string& name);
    void ended(const std::string& name, const std::string& route,
               attempt_outcome how, duration elapsed);
    void report(const std::string& name, const load_report& it);

    // The node of the instance does not answer, or does again.
    void set_reachable(const std::string& name, bool reachable);

private:
    struct latency_average {
        double mean = 0;
        time_point at{};
    };
    struct instance_stats {
        int in_flight = 0;
        load_report last_report;
        time_point reported_at{};
        // In flight when the report came.
        int in_flight_at_report = 0;
        bool reachable = true;
        int failures = 0;
        // Mean of the last calls: 1 for a failure, 0 for a response. The
        // instance itself sees the calls of all nodes; this node also sees
        // those that did not reach it.
        double failure_rate = 0;
        time_point failure_rate_at{};
        time_point ejected_until{};
        // Mean time of served calls, by route.
        std::unordered_map<std::string, latency_average> latency_by_route;
    };

    double cost(const fleet::instance& it, const instance_stats& of) const;
    void record_latency(latency_average& of, duration elapsed) const;
    double decayed_failure_rate(const instance_stats& of) const;
    double recent_latency(const instance_stats& of,
                          const std::string& route) const;

    const clock& clock_;
    random_source& random_;
    const fleet::fleet_view& fleet_;
    std::string own_domain_;
    std::unordered_map<std::string, instance_stats> stats_;
};

} // namespace shallotwood::process::routing
