// A virtual-time experiment on the policy under load.
//
// Drives the decision objects of the node (admission, balancer,
// shed_threshold_table, demand_estimator, success_retry_budget,
// retry_allowance) through a chain of services with open-loop callers that
// retry hard, and compares them with two baselines: a pass-through, and static
// limits with retries at each hop. Runs with the same seed offer the same
// requests to each policy. It has no sockets, message sizes, processor costs or
// faults of nodes: it is an experiment on the policy, not a simulator of a
// cluster.
//
// A backend server has as many parallel workers as slots and keeps a worker
// while it waits for a call to the next service. Service times are exponential.
#pragma once

#include "process/event_loop.hpp"

#include <cstdint>
#include <json/json.h>
#include <string>
#include <string_view>
#include <vector>

namespace shallotwood::process::experiment
{

enum class load_policy { shallotwood, pass_through, static_limits };

std::string_view name_of(load_policy policy);

struct experiment_service {
    std::string name;
    int servers = 1;
    // Of each backend server.
    int slots = 1;
    int connections = 1;
};

// What is wrong with one backend server, all the time.
struct server_fault {
    std::size_t service = 0;
    std::size_t server = 0;
    // Factor of its service times.
    double slowness = 1;
    // Announced slots over the slots that it has.
    double announced = 1;
    // Fails every request at once.
    bool refuses = false;
    // Service times are 5 times as long until this time.
    duration cold{};
};

struct experiment_workspace {
    std::string name;
    // Configured rate over the capacity.
    double rate = 0;
    // Demand over the configured rate, outside and during the trigger.
    double usual = 0;
    double peak = 0;
};

struct experiment_settings {
    load_policy policy = load_policy::shallotwood;
    std::uint64_t seed = 1;
    // In the order of the chain.
    std::vector<experiment_service> services;
    int failure_domains = 1;
    // One way, between failure domains and to callers.
    duration trip = std::chrono::milliseconds(1);
    duration caller_trip = std::chrono::milliseconds(1);
    // Own time of a request in each service; the design gives none.
    duration mean_service = std::chrono::milliseconds(50);
    std::vector<experiment_workspace> workspaces;
    // Demand rises to its peak after `before` for `trigger`.
    duration before = std::chrono::seconds(3);
    duration trigger = std::chrono::seconds(6);
    duration after = std::chrono::seconds(5);
    // Factor of the service times of the last service during the trigger.
    double trigger_slowness = 1;
    // A caller sends again 50 to 150 ms after each failure, whatever
    // Retry-After says.
    int caller_attempts = 5;
    duration caller_timeout = std::chrono::seconds(1);
    std::vector<server_fault> faults;
};

struct experiment_result {
    // Requests per second that the narrowest service completes when nothing is
    // wasted and nothing waits.
    double capacity = 0;
    // Demand during the trigger, over the capacity.
    double demand = 0;
    // Whole responses during the trigger, over the lesser of demand and
    // capacity.
    double goodput = 0;
    // Until at least 95% of the requests of every later 100 ms were answered
    // whole within the caller's timeout; the whole time after the trigger if
    // that was never reached.
    duration recovery{};
    // Whole responses of the worst-served workspace over its weighted max-min
    // fair share of the capacity, during the trigger.
    double worst_share = 0;
    // Requests that a workspace got less than its demand or its rate,
    // whichever is lower, during the trigger; over the sum of these.
    double refused_inside_rate = 0;
    // Refusals of critical and high requests that arrived in the same 100 ms
    // as a normal or low one that was answered whole.
    std::uint64_t important_refused = 0;
    // Attempts that reach the last service, for each that enters the first.
    double attempts_at_last = 0;
    // Refusals for overload, in the whole run.
    std::uint64_t refused = 0;
    // Part of the requests at the last service that its first backend server
    // started.
    double share_of_first = 0;
};

// Deployments A and B of the design, at the given demand over the capacity.
// Two of eight workspaces keep their usual demand. The configured rates sum to
// 80% of the capacity; the usual demand is 70% of the capacity.
experiment_settings deployment_a(double demand);
experiment_settings deployment_b(double demand);

double capacity_of(const experiment_settings& settings);

experiment_result run_experiment(const experiment_settings& settings);

Json::Value to_json(const experiment_result& it);

} // namespace shallotwood::process::experiment
