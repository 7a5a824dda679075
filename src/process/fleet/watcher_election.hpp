// Decides whether this node watches the platform's store for the others.
//
// Each call to the store is paid for, so a few nodes watch and tell the rest.
// Which ones follows by rendezvous hashing from what each node knows; that two
// nodes disagree for a moment only costs calls. A node that the store does not
// answer says so and is passed over for a while.
//
// Bounded: one time for each instance known.
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
    // True unless the node was found not to answer.
    using reachability = std::function<bool(const std::string& name)>;

    // `object` names what is watched.
    watcher_election(const clock& time, const fleet_view& fleet,
                     std::string object, reachability reachable);

    // The store does not answer the node of this name.
    void store_unreachable(const std::string& name);
    void store_reachable(const std::string& name);
    bool store_unreachable_from(const std::string& name) const;

    // Whether this node should watch now.
    bool is_watcher() const;

private:
    const clock& clock_;
    const fleet_view& fleet_;
    std::string object_;
    reachability reachable_;
    // Until when a node is passed over.
    std::map<std::string, time_point> unreachable_until_;
};

} // namespace shallotwood::process::fleet
