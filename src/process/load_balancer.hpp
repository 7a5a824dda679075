// Selects the backend server of a call.
//
// Two random candidates are compared by this node's own requests in flight over
// their learned capacity, times latency over that of the service; only figures
// that this node has itself are used, so there is no stale figure on which all
// nodes could herd. Candidates are in the own failure domain, except for a
// share of the calls that spills over: the share grows while the own domain
// answers slower than another one, trip included, and shrinks otherwise. A
// backend server that keeps failing is ejected for a time, but at least half of
// a service remains.
//
// Bounded by the membership: one entry for each member of the assigned
// services.
#pragma once

#include "process/event_loop.hpp"
#include "process/member.hpp"
#include "process/random_source.hpp"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace shallotwood::process
{

enum class attempt_outcome {
    success,
    // Refused unrun: overload or draining.
    refused,
    // Connection or backend server failure.
    failed,
    // Ended by the caller or the deadline: says nothing about success.
    unknown,
};

struct load_balancer_settings {
    std::string failure_domain;
    // Round trip to another failure domain.
    duration cross_domain_rtt = std::chrono::milliseconds(2);
    duration base_ejection_time = std::chrono::seconds(5);
    int failures_to_eject = 5;
};

class load_balancer
{
public:
    load_balancer(const clock& time, random_source& random,
                  const load_balancer_settings& settings);

    // Replaces the members of a service; those that are neither active nor
    // suspect are not selected. Figures of members that stay are kept.
    void assign(const std::string& service, const std::vector<member>& members);

    // Nothing if no member is left beside those in `tried`. `overloaded` says
    // that a cut of the service is in force: then an even load matters more
    // than trips, and the failure domain is not considered. The pointer is
    // valid until the next assign().
    const member* choose(const std::string& service,
                         const std::vector<std::string>& tried = {},
                         bool overloaded = false);

    // Brackets each attempt.
    void sent(const std::string& service, const std::string& instance);
    void answered(const std::string& service, const std::string& instance,
                  attempt_outcome how, duration elapsed);

    // For status output and tests.
    int in_flight(const std::string& service,
                  const std::string& instance) const;
    bool ejected(const std::string& service, const std::string& instance) const;
    double spillover_share(const std::string& service) const;

private:
    struct candidate {
        member it;
        int in_flight = 0;
        // Share of the announced slots, learned from refusals and successes.
        double capacity = initial_capacity;
        bool refused = false;
        // Mean latency of its answers, in microseconds; 0 while unknown.
        double latency = 0;
        time_point answered_at{};
        int failures = 0;
        int ejections = 0;
        time_point ejected_until{};
    };

    // Mean latency of the answers from one side, in microseconds.
    struct latency_average {
        double latency = 0;
        time_point at{};
    };

    struct pool {
        std::vector<candidate> candidates;
        std::unordered_map<std::string, std::size_t> by_instance;
        std::vector<std::size_t> all;
        std::vector<std::size_t> local;
        std::vector<std::size_t> remote;
        latency_average local_latency;
        latency_average remote_latency;
        // Of all answers.
        latency_average overall_latency;
        // Lowest near latency, following a lasting change slowly.
        double local_latency_baseline = 0;
        double spillover = 0;
    };

    static constexpr double initial_capacity = 0.25;
    static constexpr double min_capacity = 1.0 / 16;

    candidate* find(const std::string& service, const std::string& instance);
    const candidate* find(const std::string& service,
                          const std::string& instance) const;
    const candidate* less_loaded_of_two(const pool& in,
                                        const std::vector<std::size_t>& from,
                                        const std::vector<std::string>& tried,
                                        bool allow_ejected);
    const candidate* random_candidate(const pool& in,
                                      const std::vector<std::size_t>& from,
                                      const std::vector<std::string>& tried,
                                      bool allow_ejected,
                                      const candidate* except);
    static double load_of(const pool& in, const candidate& it);
    void record_latency(pool& in, candidate& of, attempt_outcome how,
                        duration elapsed);
    void update_spillover(pool& in);
    void record_failure(pool& in, candidate& of);
    bool may_eject(const pool& in) const;

    const clock& clock_;
    random_source& random_;
    load_balancer_settings settings_;
    std::unordered_map<std::string, pool> pools_;
};

} // namespace shallotwood::process
