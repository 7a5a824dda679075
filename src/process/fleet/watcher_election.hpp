// Decides whether this node watches the platform's store on behalf of the
// fleet.
//
// Each call to the store costs money, so a few nodes watch it and notify the
// rest. Each node orders the nodes that it can reach by rendezvous hashing; the
// first ones that the store answers watch. A brief disagreement between nodes
// only costs extra calls.
//
// A change would go unnoticed if every node believed that others watch.
// Therefore the first nodes of the order, the candidates, rely on reports only:
// a watcher says regularly that the store answers it, and says at once if it
// doesn't. A watcher that stops reporting is skipped, whatever the reason.
//
// Bounded: one record per known instance.
#pragma once

#include "process/event_loop.hpp"
#include "process/fleet/fleet_view.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace shallotwood::process::fleet
{

class watcher_election
{
public:
    // A node to which the store did not respond is skipped for this time.
    static constexpr duration unreachable_hold_time = std::chrono::seconds(2);

    // A watcher is skipped if it has not reported for this time.
    static constexpr duration silence_limit = std::chrono::milliseconds(1100);

    // False if the node was found unreachable.
    using reachability = std::function<bool(const std::string& name)>;

    // `object` is the key under which watchers are elected: what is watched.
    watcher_election(const clock& time, const fleet_view& fleet,
                     std::string object, reachability reachable);

    // Records that the node `name` watches the store, which answers it.
    void record_watcher(const std::string& name);
    // Records that the store does not respond to the node `name`, which is
    // skipped for a while.
    void store_unreachable(const std::string& name);
    void store_reachable(const std::string& name);
    // True while the node is skipped.
    bool store_unreachable_from(const std::string& name) const;

    // The outcome for this node, and what decided it.
    struct result {
        bool chosen = false;
        // Nodes that come before this one, as far as they were counted, and
        // how many of these are skipped.
        std::size_t ahead = 0;
        std::size_t skipped = 0;
        // Number of nodes that are to watch.
        std::size_t wanted = 0;
    };
    result elect();
    bool is_watcher() { return elect().chosen; }

    // The first nodes in the order, to which watchers report.
    std::vector<std::string> candidates();

private:
    struct record {
        time_point skipped_until{};
        time_point reported_at{};
        // Since when the node is expected to report.
        time_point expected_since{};
        // Number of the election in which it was expected last.
        std::uint64_t expected_in = 0;
    };

    bool present(const std::string& name) const;
    void update_order();
    // Of a node that should be watching.
    bool is_silent(const std::string& name);
    result elect_among(const std::vector<std::string>& names, bool reports);

    const clock& clock_;
    const fleet_view& fleet_;
    std::string object_;
    reachability reachable_;
    std::map<std::string, record> records_;
    // All nodes that are not leaving, in the order of the election.
    std::vector<std::string> order_;
    // Membership revision of the fleet for which the order was made.
    std::uint64_t order_membership_ = 0;
    // Starts above expected_in + 1 of a record that was never expected.
    std::uint64_t elections_ = 1;
};

} // namespace shallotwood::process::fleet
