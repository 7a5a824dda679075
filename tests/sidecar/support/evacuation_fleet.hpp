// Nodes in several failure domains that watch one store for each other and
// exchange messages over a simulated network. The store refuses some of them or
// goes silent; nodes freeze, are cut off, and restart.
#pragma once

#include "process/sidecar/fleet_exchange.hpp"
#include "process/sidecar/store_watch.hpp"
#include "support/virtual_loop.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace shallotwood::test
{

class evacuation_fleet
{
public:
    enum class fault {
        none,
        // Each call is refused at once.
        refuse,
        // Calls are not answered.
        silent,
    };

    // `enabled` tells whether the deployment has evacuations.
    evacuation_fleet(std::size_t size, std::uint64_t seed, bool enabled = true);
    ~evacuation_fleet();
    evacuation_fleet(const evacuation_fleet&) = delete;
    evacuation_fleet& operator=(const evacuation_fleet&) = delete;

    // What the operator does, acknowledged at once.
    void evacuate(const std::string& domain);
    void withdraw(const std::string& domain);

    void set_store(fault how) { store_ = how; }
    void set_store(std::size_t number, fault how) { store_for_[number] = how; }
    // A frozen node neither runs timers nor answers until it is thawed.
    void freeze(std::size_t number);
    void thaw(std::size_t number);
    // No message reaches or leaves the node.
    void cut_off(std::size_t number) { cut_off_.insert(number); }
    void reconnect(std::size_t number) { cut_off_.erase(number); }
    // A new process, which knows all instances and has a policy.
    void restart(std::size_t number);

    void advance(process::duration span) { loop.advance(span); }
    // Advances until all nodes that are in contact have the operator's set, and
    // returns how long it took; `limit` if they don't.
    process::duration time_to_agree(process::duration limit);
    // Domains that are evacuated as far as the node knows; empty if it does not
    // know.
    std::set<std::string> domains_at(std::size_t number) const;
    bool knows(std::size_t number) const;
    bool awaits(std::size_t number) const;
    std::vector<std::size_t> watchers() const;
    std::size_t size() const { return nodes_.size(); }

    virtual_loop loop;
    // Watches of the names of evacuations that were started.
    std::size_t watches_started = 0;
    // Messages that carried a set.
    std::size_t messages_with_set = 0;

private:
    struct node;
    class node_store;

    bool in_contact(std::size_t number) const;
    fault fault_of(std::size_t number) const;
    process::fleet::instance entry(std::size_t number) const;
    void notify();

    std::uint64_t seed_;
    bool enabled_;
    std::vector<std::unique_ptr<node>> nodes_;
    // Former processes of nodes that restarted.
    std::vector<std::unique_ptr<node>> retired_;
    fault store_ = fault::none;
    std::map<std::size_t, fault> store_for_;
    std::set<std::size_t> cut_off_;
    std::set<std::string> domains_;
    std::uint64_t revision_ = 1;
};

} // namespace shallotwood::test
