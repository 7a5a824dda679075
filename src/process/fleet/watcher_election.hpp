// Decides whether this node watches the platform's store on behalf of the
// fleet.
//
// Each call to the store costs money, so a few nodes watch it and notify the
// rest. Each node derives the watchers by rendezvous hashing from its fleet
// view; a brief disagreement between nodes only costs extra calls. A node that
// gets no response from the store reports this and is skipped for a while.
//
// Bounded: one timestamp per known instance.
#pragma once

#include "process/event_loop.hpp"
#include "process/fleet/fleet_view.hpp"

#include <functional>
#include <map>
#include <string>

namespace shallotwood::process::fleet
{

class watcher_election
{
public:
    // False if the node was found unreachable.
    using reachability = std::function<bool(const std::string& name)>;

    // `object` is the key under which watchers are elected: what is watched.
    watcher_election(const clock& time, const fleet_view& fleet,
                     std::string object, reachability reachable);

    // Records that the store does not respond to the node `name`.
    void store_unreachable(const std::string& name);
    void store_reachable(const std::string& name);
    bool store_unreachable_from(const std::string& name) const;

    // The outcome for this node, and what decided it.
    struct result {
        bool chosen = false;
        // Nodes that come before this one, and how many of these are skipped
        // because the store does not respond to them.
        std::size_t ahead = 0;
        std::size_t skipped = 0;
        // Number of nodes that are to watch.
        std::size_t wanted = 0;
    };
    result elect() const;
    bool is_watcher() const { return elect().chosen; }

private:
    const clock& clock_;
    const fleet_view& fleet_;
    std::string object_;
    reachability reachable_;
    // Time until which a node is skipped.
    std::map<std::string, time_point> unreachable_until_;
};

} // namespace shallotwood::process::fleet
