// Nodes with their membership on a virtual loop, a fake network and a fake
// platform; the base of the scenarios for everything that spreads.
#pragma once

#include "process/membership.hpp"
#include "support/fake_network.hpp"
#include "support/fake_object_store.hpp"
#include "support/pausable_loop.hpp"
#include "support/scenario.hpp"

#include <memory>
#include <string>
#include <vector>

namespace shallotwood::test
{

struct fleet_node {
    explicit fleet_node(process::event_loop& outer) : loop(outer) {}

    pausable_loop loop;
    process::counters counts;
    process::peer_address address;
    std::unique_ptr<process::membership> members;
    // The modules under test beside the membership.
    std::shared_ptr<void> extra;
};

class fleet
{
public:
    explicit fleet(std::uint64_t seed);

    // Called for each node after its membership is made, before it starts.
    std::function<void(fleet_node&)> on_node;
    // The next nodes get the addresses of the first nodes in their settings.
    bool seeds_in_settings = false;

    // Makes nodes n1, n2, ... up to `count` in all, by turns in the failure
    // domains d1 to d4 of the regions r1 (odd) and r2 (even).
    void grow(int count);
    void start(const std::string& name);
    fleet_node& at(const std::string& name);
    void kill(const std::string& name);
    void freeze(const std::string& name);
    void thaw(const std::string& name);
    void cut_regions();
    bool alive(const std::string& name) const { return nodes_.count(name); }

    // On every other living node that has started.
    int count_holding(const std::string& name, process::member_state state);
    // Nodes whose view is exactly the living nodes.
    int count_complete();
    std::size_t size() const { return nodes_.size(); }
    std::map<std::string, std::unique_ptr<fleet_node>>& nodes()
    {
        return nodes_;
    }

    // Verbs of the network, the platform and the membership.
    verb_table verbs();

    virtual_loop loop;
    fake_network network;
    fake_object_store platform;

private:
    process::peer_address address_of(const std::string& name) const;
    void announce_all();

    std::uint64_t seed_;
    int made_ = 0;
    std::map<std::string, std::unique_ptr<fleet_node>> nodes_;
    std::map<std::string, process::peer_address> addresses_;
    // Ended nodes stay: their timers are still queued.
    std::vector<std::unique_ptr<fleet_node>> ended_;
};

// The text as a whole number; throws if it is none.
int number(const std::string& text);
process::member_state parse_state(const std::string& text);

} // namespace shallotwood::test
