// What nodes tell one another about the fleet.
//
// Each message carries the sender's own entry, the revision of its policy, a
// digest of its view, and whether the store answers it; the reply carries the
// same. News is passed on once by each node that had not heard it, so its cost
// to a node doesn't depend on the number of nodes, and only its origin sends it
// to other failure domains. To repair what was lost,
// views are compared with one other node a second: if their digests differ, the
// digests of their parts are, and then the entries of the parts that differ go
// both ways. The store holds one entry for each instance, for nodes that know
// nobody yet.
#pragma once

#include "process/fleet/fleet_view.hpp"
#include "process/fleet/isolation_detector.hpp"
#include "process/fleet/watcher_election.hpp"
#include "process/object_store.hpp"
#include "process/random_source.hpp"
#include "process/sidecar/peer_links.hpp"
#include "process/sidecar/policy_feed.hpp"

#include <functional>
#include <json/json.h>
#include <set>
#include <string>
#include <vector>

namespace shallotwood::process::sidecar
{

class fleet_exchange
{
public:
    // What it works on; all outlive it.
    struct parts {
        loop::reactor& loop;
        random_source& random;
        object_store& store;
        fleet::fleet_view& fleet;
        fleet::watcher_election& duty;
        fleet::isolation_detector& contact;
        peer_links& links;
        policy_feed& feed;
    };

    // The names of entries in the store follow `entry_prefix`. `changed` is
    // called when instances have come to be known.
    fleet_exchange(const parts& with, std::string entry_prefix,
                   std::function<void()> changed);
    ~fleet_exchange();
    fleet_exchange(const fleet_exchange&) = delete;
    fleet_exchange& operator=(const fleet_exchange&) = delete;

    // Makes this instance known to the nodes there, and to those that the
    // store names.
    void start(const std::vector<peer_address>& seeds);

    // This instance's entry has changed.
    void publish_own_entry();
    // Writes this instance's entry to the store, until that has succeeded.
    void write_entry();
    // This node has a new policy; from the store if `first_hand`.
    void announce_policy(bool first_hand);
    // Whether the store answers this node.
    void announce_store_state(bool lost);

    // The reply to another node's message.
    std::string handle_message(const Json::Value& message);

private:
    void queue_update(const std::string& name);
    void send_updates();
    enum class scope { fleet, failure_domain };
    void send_to_random_nodes(std::size_t count, scope where,
                              const Json::Value& message);
    // Up to `count` other nodes, at random, without those that were found to
    // be unreachable.
    std::vector<const fleet::instance*> random_nodes(std::size_t count,
                                                     scope where) const;
    // With `differing` parts of the views found before this exchange.
    void exchange_with(const peer_address& to, const Json::Value& message,
                       std::size_t differing = fleet::fleet_view::bucket_count +
                                               1);
    Json::Value make_message(const std::set<std::string>& names) const;
    Json::Value make_comparison() const;
    void apply_message(const Json::Value& message);
    void learn(const Json::Value& entry);
    void repair(const peer_address& to, const Json::Value& digests,
                std::size_t differing_before);
    void compare_views();
    void read_entries();
    void handle_entries(const list_result& result);

    parts dependencies_;
    std::string entry_prefix_;
    std::function<void()> fleet_changed_;
    std::set<std::string> pending_updates_;
    bool send_scheduled_ = false;
    bool entry_writing_ = false;
    bool entry_changed_ = false;
    bool entry_written_ = false;
    timer_id compare_timer_{};
};

} // namespace shallotwood::process::sidecar
