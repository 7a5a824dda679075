// SWIM-style group membership: every node holds the list of all nodes, and the
// traffic per node and second does not grow with their number.
//
// Each period a node probes one random member, directly and then indirectly
// through other members. A member that does not answer becomes suspect, and is
// declared dead unless it refutes the suspicion with a higher incarnation.
// Updates spread by gossip: for a few rounds in messages of their own under a
// byte budget, then piggybacked on probes, each a bounded number of times.
// Anti-entropy exchanges, which compare digests first, deliver updates that
// gossip missed and merge parts of the fleet after a network partition.
//
// Bounds: max_members entries, dead ones included; one probe per period and
// its indirect probes; gossip within gossip_bytes_per_second; update messages
// within max_update_bytes, pages of an exchange within max_page_bytes.
#pragma once

#include "process/counters.hpp"
#include "process/event_loop.hpp"
#include "process/member.hpp"
#include "process/object_store.hpp"
#include "process/peer_transport.hpp"
#include "process/random_source.hpp"
#include "version/position.hpp"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace shallotwood::process
{

struct membership_settings {
    duration probe_period = std::chrono::seconds(1);
    // After this long without an ack, indirect probes are sent.
    duration probe_timeout = std::chrono::milliseconds(300);
    int indirect_probes = 3;
    // Probe periods that a suspect has to refute before it is declared dead.
    int suspicion_periods = 4;

    duration gossip_period = std::chrono::milliseconds(200);
    int fan_out = 4;
    // Rounds in which an update is sent in gossip messages; after that it is
    // only piggybacked on probes.
    int gossip_rounds = 4;
    // Sustained gossip rate; bursts may use up to eight seconds' worth. When
    // thousands of members die at once, their removal takes longer rather than
    // exceed it.
    double gossip_bytes_per_second = 2000;

    duration exchange_period = std::chrono::seconds(30);
    // Interval between exchanges while the last one found many differences.
    duration repair_exchange_period = std::chrono::seconds(2);
    // Interval between pages while this node is still joining.
    duration join_page_interval = std::chrono::milliseconds(200);

    // How long a dead member is kept. Meanwhile dead members are probed in
    // turn, one per dead_probe_period, because regions may be partitioned from
    // each other for an hour.
    duration dead_member_retention = std::chrono::hours(3);
    duration dead_probe_period = std::chrono::seconds(5);
    // After this time, a peer's report in an exchange that the member is live
    // overrides its death at the same incarnation. By then the peer would have
    // learned of a real death, so it must have been on the member's side of a
    // network partition that has healed.
    duration death_settle_time = std::chrono::seconds(60);

    // Addresses to join through, in addition to those in the platform's
    // `seed/DOMAIN` objects.
    std::vector<peer_address> seeds;
    std::size_t seeds_per_domain = 3;
    // How often the member of a failure domain that maintains its seeds (the
    // first in rendezvous order) checks them.
    duration seed_check_period = std::chrono::seconds(60);

    std::size_t max_members = 65'536;
};

class membership final : public member_view
{
public:
    // `self` holds the instance, peer address, failure domain and region. Its
    // incarnation must exceed those of earlier processes of the same instance;
    // wall-clock time in microseconds suffices.
    membership(event_loop& loop, peer_transport& transport, object_store& store,
               counters& counts, const membership_settings& settings,
               const member& self, std::uint64_t seed);
    ~membership() override;
    membership(const membership&) = delete;
    membership& operator=(const membership&) = delete;

    // Sets the port on which this node accepts calls from other nodes. Must be
    // called before start().
    void set_http_port(std::uint16_t http_port);

    // Starts probing and joins the fleet through the seeds.
    void start();

    // Records an announcement of the local backend server and raises the
    // incarnation, unless nothing changed. A leaving member becomes active.
    void announce(const std::string& service, int slots);

    // Marks this node's backend server as accepting no new work, and gossips
    // the change at once.
    void leave();

    // Called when the process ends. Tells a few peers that this member is
    // dead, so that they need not wait for a suspicion to time out. Nothing is
    // sent afterwards.
    void stop();

    // True once an exchange with a peer has completed, or this node has found
    // itself to be the only seed.
    bool joined() const { return joined_; }

    // The lowest incarnation that belongs to this process rather than to an
    // earlier one of the same instance, as far as peers have records; 0 until
    // this node has joined and so received those records.
    std::uint64_t first_incarnation() const
    {
        return joined_ ? first_incarnation_ : 0;
    }

    // When a message from a peer last arrived; empty if none has.
    std::optional<time_point> last_message_time() const
    {
        return last_message_time_;
    }

    // Every probe and ack carries the value of `own()`; `on_peer_position` is
    // called with the values received from peers.
    using position_source = std::function<version::position()>;
    using position_listener = std::function<void(
        const peer_address& from, const version::position& theirs)>;
    void piggyback_position(position_source own,
                            position_listener on_peer_position);

    // Up to `count` distinct random members, excluding this node and the dead.
    std::vector<member> random_members(std::size_t count);

    const member& self() const override { return self_; }
    std::optional<member> find(const std::string& instance) const override;
    const std::vector<member>& members() const override { return members_; }
    std::vector<member> serving(const std::string& service) const override;
    void listen(std::function<void(const member& changed)> on_change) override;

    static constexpr std::size_t max_update_bytes = 700;
    static constexpr std::size_t max_page_bytes = 16'000;
    static constexpr std::size_t max_join_page_bytes = 200'000;
    static constexpr std::size_t max_name_bytes = 128;

private:
    struct record {
        member entry;
        // Timer of the pending suspicion. A leaving member that is suspected
        // keeps the state leaving.
        std::optional<timer_id> suspicion;
        // When it was declared dead; valid only in state dead.
        time_point died{};
    };
    // Counts the transmissions of an update that still spreads. The entry
    // itself is looked up when it is sent.
    struct queued_update {
        int rounds = 0;
        int sent = 0;
    };
    struct probe {
        std::string instance;
        // Receiver of the ack, if this is an indirect probe for another member.
        std::optional<peer_address> requester;
        std::uint64_t requester_probe_id = 0;
    };
    // How an update reached this node.
    enum class update_source { gossip, exchange };

    static constexpr std::size_t buckets = 256;

    // Probing.
    void tick_probe();
    std::optional<std::string> next_probe_target();
    void send_probe(const probe& it);
    void send_indirect_probes(std::uint64_t id);
    void probe_failed(std::uint64_t id);
    void confirm_alive(const std::string& instance, std::uint64_t incarnation);
    void on_probe(const peer_address& from, const Json::Value& params);
    void on_ack(const peer_address& from, const Json::Value& params);
    void on_indirect_probe(const peer_address& from, const Json::Value& params);
    void tick_dead();

    // Updates.
    bool receive(const peer_address& from, const Json::Value& params);
    std::size_t apply(const Json::Value& entries, update_source origin);
    bool apply_entry(const Json::Value& entry, update_source origin);
    bool apply_own_entry(const member& claimed);
    bool supersedes(const member& claimed, const record& known,
                    update_source origin) const;
    void store_entry(const member& claimed);
    void start_suspicion(const std::string& instance);
    void on_suspicion_timeout(const std::string& instance, bool late);
    void queue_priority_probe(const std::string& instance);
    void raise_incarnation(std::uint64_t above);
    void publish(const member& now);
    bool evict_one_if_full();
    void evict_dead(time_point oldest, std::size_t keep);

    // Gossip.
    void queue_update(const std::string& instance);
    void tick_gossip();
    void send_gossip();
    const member* entry_of(const std::string& instance) const;
    std::vector<std::string> select_updates(std::size_t limit,
                                            bool rounds_only);
    void record_transmissions(const std::vector<std::string>& names, int copies,
                              bool round);
    Json::Value make_probe_params(const std::string& to);

    // Exchanges.
    void tick_exchange();
    void schedule_exchange(duration delay);
    void exchange_with(const peer_address& to);
    void on_exchange(const peer_address& from, const Json::Value& params);
    void answer_digest(const peer_address& from, const Json::Value& params);
    void answer_buckets(const peer_address& from, const Json::Value& params);
    void answer_page(const peer_address& from, const Json::Value& params);
    Json::Value make_page(std::vector<std::size_t> wanted_buckets,
                          std::size_t limit, bool& complete);
    bool indicates_partition(std::size_t changed) const;
    void on_exchange_completed();

    // Seeds.
    void join();
    void check_seeds();
    void contact_seeds(const std::vector<stored_object>& objects);
    void update_domain_seeds(const std::vector<stored_object>& objects);

    void after(duration delay, std::function<void(bool late)> task);
    timer_id start_timer(duration delay, std::function<void(bool late)> task);
    bool fired_late(time_point due) const;

    event_loop& loop_;
    peer_transport& transport_;
    object_store& store_;
    counters& counts_;
    const membership_settings settings_;
    random_source random_;
    member self_;
    std::uint64_t first_incarnation_;
    bool joined_ = false;
    bool stopped_ = false;
    // Set after this process was paused: its view is outdated, and not sent in
    // exchanges until one has completed.
    bool view_is_stale_ = false;
    int join_attempts_ = 0;
    int quick_exchanges_left_ = 0;
    std::optional<time_point> last_message_time_;
    time_point last_tick_{};

    // All other members, dead ones included.
    std::unordered_map<std::string, record> records_;
    // The dead, oldest death first.
    std::set<std::pair<time_point, std::string>> dead_;
    // The dead member probed last; they are probed round-robin.
    std::pair<time_point, std::string> last_dead_probed_;
    // Self and all live members, ordered by instance.
    std::vector<member> members_;
    std::map<std::string, std::set<std::string>> by_service_;
    // For each bucket, the sum of the hashes of its live entries.
    std::array<std::uint64_t, buckets> digests_{};

    std::map<std::string, queued_update> update_queue_;
    double gossip_budget_bytes_ = 0;
    std::uint64_t last_probe_ = 0;
    std::map<std::uint64_t, probe> probes_;
    // Members to probe before a random one; at most max_priority_probes.
    std::deque<std::string> priority_probes_;
    // Members whose suspicion this node raised itself; at most
    // max_own_suspects.
    std::deque<std::string> own_suspects_;
    std::optional<timer_id> next_exchange_;

    position_source own_position_;
    position_listener on_peer_position_;
    std::vector<std::function<void(const member&)>> listeners_;
    // Callbacks of timers and platform calls hold it weakly and do nothing
    // once this object is stopped or destroyed.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace shallotwood::process
