// Chooses the instance that runs a call.
//
// Answers uneven speed and load of backend servers, without herding: figures
// are this node's own calls in flight and what came back with its own answers,
// so no two nodes act on the same stale figure. The cost of a candidate is the
// time that a call is expected to take there: its mean service time, times the
// share of its slots in use, plus the trip to its failure domain. A candidate
// that refuses, fails or can't be reached is left for a time that doubles with
// each repetition, and then tried by single calls.
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
    // From this key on, requests of the call's route are shed here or below.
    load::shed_key cut = load::no_cut;
};

enum class call_outcome {
    served,
    // The gate has no room; not run.
    refused_busy,
    // The instance takes no calls: draining, no backend server; not run.
    refused_away,
    // The backend server or the connection to the node failed.
    failed,
    // The caller left or the time was up.
    abandoned,
};

class placement
{
public:
    placement(const clock& time, random_source& random,
              const fleet::fleet_view& fleet, std::string own_domain);

    // An instance of the service that takes calls and is not in `tried`; null
    // if there is none.
    const fleet::instance* choose(const std::string& service,
                                  const std::vector<std::string>& tried);

    // Brackets each call.
    void sent(const std::string& name);
    void ended(const std::string& name, call_outcome how, duration elapsed);
    void report(const std::string& name, const load_report& it);

    // The node of the instance does not answer, or does again.
    void set_reachable(const std::string& name, bool reachable);

private:
    struct figures {
        int in_flight = 0;
        load_report last;
        time_point reported_at{};
        // In flight when the report came.
        int in_flight_then = 0;
        bool reachable = true;
        int failures = 0;
        time_point avoided_until{};
    };

    double cost(const fleet::instance& it, const figures& of) const;

    const clock& clock_;
    random_source& random_;
    const fleet::fleet_view& fleet_;
    std::string own_domain_;
    std::unordered_map<std::string, figures> figures_;
};

} // namespace shallotwood::process::routing
