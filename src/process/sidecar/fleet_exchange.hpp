// Gossip protocol that spreads the fleet view between nodes.
//
// Each message carries the sender's own entry, its policy revision, a digest of
// its view, whether the store answers it, and the evacuated failure domains as
// far as it knows them; the reply carries the same. Each
// node forwards an update once, when it is new to it, so the cost to a node
// doesn't depend on the number of nodes. Traffic between failure domains is
// charged, so only the origin of an update sends it to other domains, to two
// nodes of each, which send it to more nodes of their domain than others do.
// Anti-entropy repairs lost updates: once a second, a node compares its view
// with one other node of its domain, and two nodes of each domain compare with
// each other domain. If the digests differ, they compare the digests of the
// parts, and then exchange the entries of the parts that differ. The store
// holds one entry for each instance, for nodes that know no other node yet.
#pragma once

#include "process/callback_guard.hpp"
#include "process/fleet/fleet_view.hpp"
#include "process/fleet/isolation_detector.hpp"
#include "process/fleet/watcher_election.hpp"
#include "process/object_store.hpp"
#include "process/random_source.hpp"
#include "process/sidecar/domain_contacts.hpp"
#include "process/sidecar/evacuation_feed.hpp"
#include "process/sidecar/peer_channel.hpp"
#include "process/sidecar/policy_feed.hpp"

#include <functional>
#include <json/json.h>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace shallotwood::process::sidecar
{

class fleet_exchange
{
public:
    // All referenced objects must outlive the exchange.
    struct dependencies {
        event_loop& loop;
        random_source& random;
        object_store& store;
        fleet::fleet_view& fleet;
        fleet::watcher_election& watcher_election;
        fleet::isolation_detector& isolation_detector;
        peer_channel& links;
        policy_feed& feed;
        // Null on deployments without evacuations.
        evacuation_feed* evacuations = nullptr;
    };

    // An entry in the store is named by `entry_prefix` and the instance's name.
    // `changed` is called after entries were received.
    fleet_exchange(const dependencies& with, std::string entry_prefix,
                   std::function<void()> changed);
    ~fleet_exchange();
    fleet_exchange(const fleet_exchange&) = delete;
    fleet_exchange& operator=(const fleet_exchange&) = delete;

    // Called with the entry of an earlier process of this node, from the store
    // or from another node, if its backend server was leaving or gone.
    void on_former(std::function<void(const fleet::instance&)> handler)
    {
        on_former_ = std::move(handler);
    }
    // Called once the store has told whether it holds an entry of an earlier
    // process; on_former() is called before, if there is one to report.
    void on_former_read(std::function<void()> handler)
    {
        on_former_read_ = std::move(handler);
    }

    // Contacts the nodes at `seeds`, and those that are listed in the store.
    // `first_start` tells that no earlier process of this node can have written
    // an entry, so that none is looked for.
    void start(const std::vector<peer_address>& seeds, bool first_start);

    // Spreads this instance's entry after a change.
    void publish_own_entry();
    // Writes this instance's entry to the store unless it was written before,
    // and retries until it succeeds; again after a restore of the store, which
    // may have lost it.
    void write_entry();
    // Writes the entry although it was written before.
    void rewrite_entry();
    // Calls `done` with true once the entry as it is now is in the store, if a
    // write of it was asked for; with false after `limit`.
    void when_written(duration limit, std::function<void(bool)> done);
    // Announces that this node has a new policy.
    void announce_policy(policy_feed::origin from);
    // Announces a new set of evacuations, twice; `first_hand` if it came from
    // the store.
    void announce_evacuations(bool first_hand);
    // Asks some nodes for the set of evacuations, and again while it is
    // awaited.
    void ask_for_evacuations();

    // Returns the reply to another node's message.
    std::string handle_message(const Json::Value& message);

private:
    std::optional<duration> policy_delay(const std::string& name);
    void send_evacuations(bool first_hand, std::size_t count);
    void queue_update(const std::string& name);
    void send_updates();
    using scope = domain_contacts::scope;
    void send_to_random_nodes(std::size_t count, scope where,
                              const Json::Value& message);
    // Nodes of other domains to which an update of this node is sent.
    domain_contacts::instances update_contacts();
    // Sends to origin_fan_out nodes of the own domain, and to the nodes
    // `elsewhere`, or to another one of their domain if one does not reply.
    void send_from_origin(const Json::Value& message,
                          const domain_contacts::instances& elsewhere);
    void send_to_domain(const fleet::instance& to, const Json::Value& message,
                        std::size_t attempts);
    // `differing` is the number of parts in which the views differed before
    // this exchange. `replied` gets null if no reply came in time.
    void exchange_with(const peer_address& to, const Json::Value& message,
                       std::size_t differing = fleet::fleet_view::bucket_count +
                                               1,
                       std::function<void(const Json::Value&)> replied = {});
    Json::Value make_message(const std::set<std::string>& names) const;
    Json::Value make_comparison() const;
    void apply_message(const Json::Value& message);
    // Merges an entry, and keeps a departure that it may leave out.
    bool learn(const fleet::instance& entry);
    // What the earlier process of a node said last, if its backend server was
    // leaving or gone and the present process does not know; null otherwise.
    const fleet::instance* former_entry(const std::string& name) const;
    // True if the message comes from the origin of an update in another domain.
    bool brings_news_of_another_domain(const Json::Value& message) const;
    void apply_former(const Json::Value& entry);
    // Returns whether the instance was not known before.
    bool apply_entry(const Json::Value& entry);
    void repair(const peer_address& to, const Json::Value& digests,
                std::size_t differing_before);
    void compare_views();
    void compare_at_start();
    void read_entries();
    void read_own_entry();
    void handle_own_entry(const get_result& result);
    void put_entry(std::uint64_t version);
    void handle_written(const put_result& result);
    // Records an era of the store, from its own responses or from another node.
    void record_store_era(std::uint64_t era);
    void handle_entries(const list_result& result);

    dependencies dependencies_;
    std::string entry_prefix_;
    std::function<void()> fleet_changed_;
    std::function<void(const fleet::instance&)> on_former_;
    domain_contacts contacts_;
    // Entries with departures, by the names of instances whose later processes
    // have not repeated them.
    std::map<std::string, fleet::instance> former_entries_;
    std::set<std::string> pending_updates_;
    // An update came from its origin in another domain, so that most nodes of
    // this domain still lack it.
    bool pending_from_origin_ = false;
    bool send_scheduled_ = false;
    std::function<void()> on_former_read_;
    bool entry_reading_ = false;
    bool entry_requested_ = false;
    bool entry_writing_ = false;
    bool entry_changed_ = false;
    bool entry_written_ = false;
    // Version of the entry in the store; nothing while it is unknown. All
    // writes depend on it, so that a write that is delayed on its way can't
    // replace a later one.
    std::optional<std::uint64_t> entry_version_;
    std::list<std::function<void(bool)>> write_waiters_;
    // Latest era of the store that this node knows, and the one in which its
    // entry was written; 0 if unknown.
    std::uint64_t store_era_ = 0;
    std::uint64_t entry_era_ = 0;
    bool rewrite_scheduled_ = false;
    timer_id compare_timer_{};
    callback_guard guard_;
};

} // namespace shallotwood::process::sidecar
