// Distributes each confirmed configuration to every node within seconds.
//
// In each failure domain two nodes, the watchers, watch the platform. A watcher
// that the platform does not answer tells the nodes that come next, so that
// these watch instead. A node that adopts a revision gossips its number to a
// few random peers for a few rounds; a peer with an older revision pulls the
// changes, so each change is sent to each node once. The revision is also
// piggybacked on membership probes, which reaches the nodes that the gossip
// missed.
//
// Configurations are ordered by the platform's era in which they were
// confirmed, then by revision. The current one never goes back in this order,
// whatever a peer or the platform sends: after a restore of the platform from
// a copy it stays in force until an operator confirms a change.
//
// Bounds: fan_out digests per round whatever the rate of changes, one pull at a
// time, history of max_recent_changes and max_recent_changes_bytes.
#pragma once

#include "process/counters.hpp"
#include "process/event_loop.hpp"
#include "process/membership.hpp"
#include "process/object_store.hpp"
#include "process/peer_transport.hpp"
#include "version/configuration.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace shallotwood::process::configuration
{

// Text encoding of configurations and changes on the wire. Implementations
// must not throw on untrusted input.
class configuration_codec
{
public:
    virtual ~configuration_codec() = default;

    virtual std::string write(const version::configuration& it) const = 0;

    // Null if the text is malformed.
    virtual version::configuration_ptr read(const std::string& text) const = 0;

    // Returns `base` with one more change, at the next revision. Null if the
    // change is malformed or can't be applied.
    virtual version::configuration_ptr
    apply(const version::configuration& base,
          const std::string& change) const = 0;
};

struct loaded_configuration {
    version::configuration_ptr it;
    // The changes from the base to `it`; empty if unknown.
    std::vector<std::string> changes;
};

// Builds a configuration from a value of the platform's head object. Reads the
// snapshot if the changes in the head don't reach back to the base.
class configuration_loader
{
public:
    virtual ~configuration_loader() = default;

    // `base` may be null. `done` is called once, with an empty optional if the
    // head is malformed or the snapshot can't be read.
    virtual void
    load(const stored_object& head, const version::configuration_ptr& base,
         std::function<void(std::optional<loaded_configuration>)> done) = 0;
};

struct configuration_feed_settings {
    duration gossip_period = std::chrono::milliseconds(200);
    int fan_out = 4;
    // Rounds in which a node announces a revision that it adopted.
    int gossip_rounds = 3;
    // Minimum time between pulls; more frequent changes are pulled together.
    duration pull_interval = std::chrono::milliseconds(400);
    // While changes follow each other within this time, a node sends digests
    // only in every second period: if one is lost, the next one makes up for
    // it.
    duration busy_interval = std::chrono::milliseconds(500);
    duration pull_timeout = std::chrono::milliseconds(500);
    std::size_t watchers_per_domain = 2;
    // How often a watcher also reads the head object. The watch reports
    // nothing while nothing changes; a read shows that the platform answers.
    duration poll_period = std::chrono::seconds(5);
    // A watcher that the platform does not answer is skipped for this time.
    duration skip_time = std::chrono::seconds(2);
    // A node that has heard from neither the platform nor peers for this long
    // is isolated: keys may have been withdrawn without its knowledge.
    duration isolation_limit = std::chrono::seconds(10);
};

class configuration_feed
{
public:
    static constexpr std::size_t max_recent_changes = 1'024;
    static constexpr std::size_t max_recent_changes_bytes = 1'000'000;
    // Bytes of changes in one message, unless a single change is larger.
    static constexpr std::size_t max_changes_message_bytes = 64'000;
    static constexpr const char* head_object_name = "configuration/head";

    configuration_feed(event_loop& loop, peer_transport& transport,
                       object_store& store, membership& members,
                       const configuration_codec& codec,
                       configuration_loader& loader, counters& counts,
                       const configuration_feed_settings& settings);
    ~configuration_feed();
    configuration_feed(const configuration_feed&) = delete;
    configuration_feed& operator=(const configuration_feed&) = delete;

    void start();

    // Null until the first configuration is received.
    const version::configuration_ptr& current_configuration() const
    {
        return current_configuration_;
    }

    // True if no message from the platform or a peer arrived within the
    // isolation limit; requests that need a key are then refused.
    bool isolated() const;

    // True while this node watches the platform.
    bool is_watching_platform() const { return watch_.has_value(); }

    // Installs a configuration that this node has just committed or loaded, and
    // announces it to peers at once. Ignored unless it is newer.
    void adopt(const loaded_configuration& newer);

    // Calls `on_change` after each change of current_configuration(). Listeners
    // live as long as the feed.
    void
    listen(std::function<void(const version::configuration_ptr&)> on_change);

private:
    version::position position() const;

    // Platform.
    void check_watch();
    void update_watch();
    bool should_watch() const;
    // The first nodes of this failure domain in the order in which they watch.
    std::vector<member> watch_candidates() const;
    bool skipped(const std::string& instance) const;
    // Records whether the platform answers this node.
    void on_platform_state(bool answers);
    void on_watcher_lost(const Json::Value& params);
    bool should_poll() const;
    void poll();
    void on_head(const get_result& result);

    // Peers.
    void run_gossip_round();
    void send_digests();
    void on_announced(const peer_address& from,
                      const version::position& theirs);
    void pull();
    void schedule_pull(duration delay);
    void send_pull();
    void on_pull(const peer_address& from, const Json::Value& params);
    void on_changes(const peer_address& from, const Json::Value& params);
    void apply_changes(const Json::Value& changes);
    void install(const version::configuration_ptr& newer,
                 const std::vector<std::string>& changes);

    void after(duration delay, std::function<void()> task);

    event_loop& loop_;
    peer_transport& transport_;
    object_store& store_;
    membership& members_;
    const configuration_codec& codec_;
    configuration_loader& loader_;
    counters& counts_;
    const configuration_feed_settings settings_;

    version::configuration_ptr current_configuration_;
    // The changes that made the latest revisions; the last one made
    // current_configuration_.
    std::deque<std::string> recent_changes_;
    std::size_t recent_changes_bytes_ = 0;

    time_point start_time_{};
    std::optional<time_point> last_platform_reply_;
    std::optional<watch_id> watch_;
    time_point last_poll_{};
    // Until when nodes are skipped that the platform does not answer.
    std::map<std::string, time_point> skipped_until_;

    int gossip_rounds_left_ = 0;
    bool skip_gossip_round_ = false;
    // When the last configuration was adopted, and how long after the one
    // before.
    std::optional<time_point> last_adoption_;
    duration previous_adoption_interval_{0};
    // The newest position announced by peers, and the peer that last announced
    // it.
    version::position newest_announced_;
    std::optional<peer_address> announcer_;
    std::optional<time_point> last_pull_;
    // True while the last pull is unanswered.
    bool pull_pending_ = false;
    int pull_failures_ = 0;
    std::optional<timer_id> next_pull_;

    std::vector<std::function<void(const version::configuration_ptr&)>>
        listeners_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace shallotwood::process::configuration
