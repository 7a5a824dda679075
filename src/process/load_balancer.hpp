// Selects the backend server of a call.
//
// Uses the power of two choices: two random candidates are compared by this
// node's own requests in flight over their learned capacity, times their
// latency relative to the service. Only data measured by this node is used, so
// there is no shared stale data on which all nodes could herd. Candidates are
// in the local failure domain, except for a share of the calls that spills
// over; the share grows while the local domain responds slower than the remote
// ones, round trip included, and shrinks otherwise. A backend server that keeps
// failing is ejected for a time, but at least half of a service remains.
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
    // Refused without being executed: overload or draining.
    refused,
    // Connection or backend server failure.
    failed,
    // Ended by the caller or the deadline; neither a success nor a failure.
    unknown,
};

struct load_balancer_settings {
    std::string failure_domain;
    duration cross_domain_rtt = std::chrono::milliseconds(2);
    duration base_ejection_time = std::chrono::seconds(5);
    int failures_to_eject = 5;
};

class load_balancer
{
public:
    load_balancer(const clock& time, random_source& random,
                  const load_balancer_settings& settings);

    // Replaces the members of a service; only active and suspect members
    // are selected. Statistics of members that stay are kept.
    void assign(const std::string& service, const std::vector<member>& members);

    // Returns null if all members are in `tried`. `overloaded` means that the
    // service is shedding load: even load then matters more than latency, and
    // failure domains are ignored. The pointer is valid until the next
    // assign().
    const member* choose(const std::string& service,
                         const std::vector<std::string>& tried = {},
                         bool overloaded = false);

    // Called when an attempt is sent and when it is answered or has ended.
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
        // Mean response latency in microseconds; 0 while unknown.
        double latency = 0;
        time_point answered_at{};
        int failures = 0;
        int ejections = 0;
        time_point ejected_until{};
    };

    // Moving average of response latencies, in microseconds.
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
        // Latency of all responses.
        latency_average overall_latency;
        // Lowest local latency; drifts slowly towards a lasting rise.
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
