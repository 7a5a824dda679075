// Selects the instance that runs a call.
//
// Balances backend servers of uneven speed and load without herding: for load,
// it uses only this node's own calls in flight and the load reports in its own
// responses, so no two nodes act on the same stale data. A call goes to the
// instance with the lowest slot utilization, and stays in the local failure
// domain until another one is clearly less utilized; how clearly depends on the
// round-trip time to it (crossing_cost). Between distant domains an instance
// that is slow, but answers within the latency objective, is preferred to a
// crossing, and a node that has crossed for lack of room goes on for a moment,
// so that not all nodes return at the first free slot. An instance that takes
// longer for this route than most others is avoided in proportion, and one that
// takes longer than the call has left is used only if there is no other. The
// times are those that the instances' nodes state (speed_board) or, where this
// node's own calls take much longer, for example over a slow link, its own.
// Times of different routes are not compared, because long work would then
// look like a slow backend server. An instance that fails some of its calls is
// penalized in proportion to its failure rate. A candidate that refuses, or
// fails every call, is ejected for a time that doubles with each repetition.
//
// Cold instances get the calls that cold_placement decides on, and no others
// while there is a warm one.
// Instances of evacuated failure domains are never chosen.
#pragma once

#include "process/event_loop.hpp"
#include "process/fleet/fleet_view.hpp"
#include "process/load/shed_key.hpp"
#include "process/random_source.hpp"
#include "process/routing/backend_notice.hpp"
#include "process/routing/crossing_cost.hpp"
#include "process/routing/expected_end.hpp"
#include "process/routing/speed_board.hpp"

#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace shallotwood::process::routing
{

// Load of an instance, reported by its admission control with each response.
struct load_report {
    int running = 0;
    int waiting = 0;
    int limit = 0;
    duration service_time{};
    // Fraction of recent calls on the backend server that failed.
    double failure_rate = 0;
    // Requests of the call's route with this shed key or a higher one are shed
    // at the instance or further down the call graph.
    load::shed_key shed_threshold = load::no_shed_threshold;
    backend_notice notice{};
    // Expected time of a call of this route; 0 if it is not known. And the time
    // of the statement by the instance's clock.
    duration route_time{};
    std::uint64_t stamp_ms = 0;
    // Expected work of the running and the queued calls, in whole milliseconds
    // between nodes; nothing if the node does not report it.
    std::optional<duration> work_left{};
};

enum class attempt_outcome {
    served,
    // Refused by admission control for overload; not run.
    refused_overload,
    // The instance accepts no calls (draining, no backend server); not run.
    refused_unavailable,
    // The instance's failure domain is evacuated; not run.
    refused_evacuated,
    // The backend server or the connection to the node failed.
    failed,
    // No response before the timeout.
    timed_out,
    // Cancelled by the caller.
    cancelled,
};

class load_balancer
{
public:
    load_balancer(const clock& time, random_source& random,
                  const fleet::fleet_view& fleet, std::string own_domain);

    // Returns a reachable instance of the service that accepts calls and is not
    // in `tried`, or null. `remaining` is the time until the call's deadline,
    // `in_objective` that until its latency objective.
    const fleet::instance* choose(const std::string& service,
                                  const std::string& route,
                                  const std::vector<std::string>& tried,
                                  duration remaining = duration::max(),
                                  duration in_objective = duration::max());

    // Called when a call is sent and when it has ended.
    void sent(const std::string& name);
    // `retry_after` is what a refusal says of its duration.
    void ended(const std::string& name, const std::string& route,
               attempt_outcome how, duration elapsed,
               std::optional<duration> retry_after = std::nullopt);
    void report(const std::string& name, const load_report& it);
    // Records the time that the instance states for the route in its report.
    void record_speed(const std::string& name, const std::string& service,
                      const std::string& route, const load_report& it);
    speed_board& speeds() { return speeds_; }

    // Records the time of a ping or a short reply of the instance's node.
    void record_round_trip(const std::string& name, duration took);
    const crossing_cost& crossing() const { return crossing_; }
    // The statements that a node of another domain may use. A node of a distant
    // domain hardly chooses other instances than those of its domain, unless
    // the service has none there.
    std::vector<instance_speed>
    useful_in(const std::string& domain, const std::string& service,
              std::vector<instance_speed> all) const;
    // The latest notice of the instance's backend server.
    backend_notice notice_of(const std::string& name) const;

    // True if the instance is cold while others of its service are warm. What
    // it sheds then says nothing of the service.
    bool is_cold_among_warm(const std::string& name) const;
    // No instance of these failure domains is chosen.
    void set_evacuated(std::set<std::string> domains)
    {
        evacuated_ = std::move(domains);
    }
    // True if evacuations leave no instance of the service that accepts calls.
    bool is_evacuated(const std::string& service) const;

    // Places calls by their expected end where expected_end applies.
    void set_placement_by_cost(bool enabled)
    {
        expected_end_.set_enabled(enabled);
    }

    // Records whether the node of the instance responds.
    void set_reachable(const std::string& name, bool reachable);

private:
    struct latency_average {
        double mean = 0;
        time_point at{};
    };
    struct instance_stats {
        int in_flight = 0;
        load_report last_report;
        backend_notice notice;
        time_point reported_at{};
        // in_flight when the last report arrived.
        int in_flight_at_report = 0;
        bool reachable = true;
        // The last choice has seen it cold.
        bool cold = false;
        int failures = 0;
        // Moving average: 1 for a failure, 0 for a response. The instance's own
        // report covers the calls of all nodes; this average also includes
        // calls that did not reach the instance.
        double failure_rate = 0;
        time_point failure_rate_at{};
        time_point ejected_until{};
        // Mean latency by route.
        std::unordered_map<std::string, latency_average> latency_by_route;
    };

    struct candidate {
        const fleet::instance* it = nullptr;
        const instance_stats* stats = nullptr;
        // In microseconds; 0 if it is not known.
        double time = 0;
        double cost = 0;
        // Part of the cost that does not count against a crossing.
        double tolerated = 0;

        bool exists() const { return it != nullptr; }
    };

    std::vector<candidate> candidates_of(const std::string& service,
                                         const std::string& route,
                                         const std::vector<std::string>& tried);
    // A cold instance if the call goes to one; null otherwise.
    const fleet::instance* choose_cold(const std::vector<candidate>& all,
                                       double usual, duration remaining);
    remoteness remoteness_of(const std::vector<candidate>& all) const;
    double cost(const candidate& of, const remoteness& far) const;
    // The same with the expected end in place of the utilization; nothing if
    // the work or the time at the instance is not known.
    std::optional<double> cost_by_end(const candidate& of, double usual,
                                      duration in_objective) const;
    // Calls running and waiting at the instance.
    double load_of(const instance_stats& stats) const;
    static double slots_of(const candidate& of);
    // Cost of leaving the own domain for that of the candidate.
    double cost_of_crossing(const candidate& of, const std::string& service,
                            const remoteness& far) const;
    bool is_local(const candidate& of) const
    {
        return of.it->failure_domain == crossing_.own_domain();
    }
    void record_latency(latency_average& stats, duration elapsed) const;
    double decayed_failure_rate(const instance_stats& stats) const;
    bool is_avoided(const fleet::instance& it, time_point now) const;
    double recent_latency(const instance_stats& stats,
                          const std::string& route) const;
    // Of a call of the route at the instance, in microseconds; 0 if it is not
    // known. `stated` is what its node states.
    double expected_time(const instance_stats& stats, const std::string& route,
                         duration stated) const;

    const clock& clock_;
    random_source& random_;
    const fleet::fleet_view& fleet_;
    crossing_cost crossing_;
    // When a call of the service last crossed between distant domains. Bounded
    // by the services of all configurations seen.
    std::unordered_map<std::string, time_point> crossed_at_;
    speed_board speeds_;
    expected_end expected_end_;
    std::unordered_map<std::string, instance_stats> stats_;
    std::set<std::string> evacuated_;
    // Failure domains in which an instance refused a call as evacuated; they
    // are avoided until then. At most one entry for each domain of the fleet.
    std::unordered_map<std::string, time_point> avoided_until_;
};

} // namespace shallotwood::process::routing
