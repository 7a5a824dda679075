// The state of ownership and its steps, in parts: where the owner is and calls
// to the platform (ownership.cpp), takeover, lease and copies, change of
// witnesses, planned leave.
#pragma once

#include "process/ownership.hpp"
#include "process/shard_messages.hpp"
#include "process/witness_quorum.hpp"
#include "process/witness_table.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace shallotwood::process
{

namespace ownership_detail
{

// Nodes that may take a shard, in order; the rest do not watch it.
inline constexpr std::size_t acting_candidates = 3;
// Owners that may be acting, in the object of a shard.
inline constexpr std::size_t max_earlier = 8;
// A node that hears from no other is alone after this time; before that, the
// others may be alive and about to take the shard over.
inline constexpr duration alone_limit = std::chrono::seconds(30);
// Kept a shard, so that the loss of a few needs no search of the membership.
inline constexpr std::size_t kept_candidates = 8;
inline constexpr std::size_t fewest_candidates = 4;
// Candidates for witnesses that are compared by failure domain.
inline constexpr std::size_t compared_witnesses = 16;
// Pages of a transfer under way at a time.
inline constexpr std::size_t transfer_window = 8;
inline constexpr std::size_t max_transfer_pages = 4096;
// Witnesses that did not answer are asked again after this time.
inline constexpr duration nudge_period = std::chrono::milliseconds(250);
inline constexpr duration longest_resend_pause = std::chrono::seconds(1);
// Copies that a majority holds are still sent to the rest for this time.
inline constexpr duration straggler_limit = std::chrono::seconds(10);
inline constexpr duration first_backoff = std::chrono::seconds(1);
inline constexpr duration longest_backoff = std::chrono::seconds(16);
// A node that did not answer as a witness is not asked again for this time.
inline constexpr duration avoid_limit = std::chrono::seconds(30);
// A takeover that has not excluded the old owner by then does not keep the
// other candidates from trying.
inline constexpr duration takeover_patience = std::chrono::seconds(15);
inline constexpr duration hand_over_answer_limit = std::chrono::seconds(1);
// An unfinished hand-over is dropped after this time.
inline constexpr duration incoming_limit = std::chrono::seconds(10);
// Questions to witnesses that are remembered until answered, a shard.
inline constexpr std::size_t remembered_questions = 64;

inline bool may_act(const member& it)
{
    return it.state == member_state::active ||
           it.state == member_state::suspect;
}

inline std::string object_name(shard_id shard)
{
    return "shard/" + std::to_string(shard);
}

// A message that is sent again until answered, at a growing interval.
struct resend_state {
    time_point next{};
    duration pause{};

    bool due(time_point now, duration first)
    {
        if (now < next)
            return false;
        pause = pause.count() == 0 ? first
                                   : std::min(2 * pause, longest_resend_pause);
        next = now + pause;
        return true;
    }
};

struct copy_operation {
    std::vector<shard_entry> entries;
    std::set<std::string> held_by;
    std::function<void(bool)> done;
    // Part of the state for a proposed set of witnesses; the current set has
    // it already and may have lost its majority.
    bool transfer = false;
    time_point started{};
    resend_state sending;
};

struct fence_progress {
    bool complete = false;
    bool restarted = false;
    std::string cursor;
};

// Replacement of witnesses: ask the new ones, copy the state to them, write.
struct witness_change {
    std::vector<node_ref> known;
    std::vector<member> asked;
    time_point started{};
    resend_state sending;
    // Pages of the state that were not sent yet, last first.
    std::vector<std::vector<shard_entry>> pages;
    std::size_t pages_under_way = 0;
    bool writing = false;
};

enum class term_phase { fencing, active };

// From the write of the object until this node steps down.
struct shard_term {
    explicit shard_term(std::vector<node_ref> witnesses)
        : quorum(std::move(witnesses))
    {
    }

    term_phase phase = term_phase::fencing;
    std::uint64_t epoch = 0;
    std::uint64_t version = 0;
    witness_quorum quorum;
    // The object says that earlier owners are excluded.
    bool settled = false;
    time_point started{};
    time_point lease_end{};
    // Witnesses that said that they lost their state.
    std::set<std::string> restarted;
    // A witness has seen a higher epoch.
    bool superseded = false;
    std::uint64_t last_id = 0;
    std::map<std::uint64_t, time_point> questions;
    time_point asked_all{};
    time_point next_nudge{};

    // Takeover.
    // Owners that may still be acting, and those of them that said, or whose
    // restart proved, that they hold no lower epoch and never will.
    std::vector<node_ref> earlier;
    std::set<std::string> gone;
    // One of them told its whole state, because it had no witness.
    bool told_state = false;
    time_point next_direct{};
    std::map<std::string, fence_progress> fences;
    resend_state fencing;
    // Latest end of a lease that an answer told of.
    time_point lease_bound{};
    // End of every earlier lease; set once the old owner is excluded.
    std::optional<time_point> excluded_at;
    shard_state state;
    std::map<std::string, shard_entry> gathered;

    // Copies.
    std::uint64_t last_sequence = 0;
    std::map<std::uint64_t, copy_operation> copies;

    std::optional<witness_change> change;
    time_point next_change{};
    std::map<std::string, time_point> avoided;
};

// The planned leave of one shard.
struct departure {
    std::uint64_t epoch = 0;
    std::uint64_t version = 0;
    std::vector<node_ref> witnesses;
    std::vector<std::vector<shard_entry>> pages;
    std::set<std::size_t> received;
    std::optional<member> successor;
    std::string successor_boot;
    std::set<std::string> tried;
    time_point asked{};
    resend_state sending;
    bool writing = false;
    bool written = false;
};

// Pages from an owner that leaves.
struct arrival {
    std::uint64_t epoch = 0;
    std::string boot;
    time_point last{};
    std::size_t bytes = 0;
    std::map<std::uint64_t, std::vector<shard_entry>> pages;
};

// The state of an owner without witnesses that a successor has stopped; kept
// because the answer that carries it may be lost.
struct farewell {
    bool complete = false;
    std::vector<shard_entry> entries;
};

struct owner_hint {
    std::uint64_t epoch = 0;
    peer_address address;
};

struct shard_slot {
    shard_id id = 0;
    std::vector<member> candidates;
    bool candidates_known = false;

    // The object as last read. Version 0: it does not exist.
    bool object_known = false;
    shard_object object;
    std::uint64_t version = 0;
    // A call to the platform is under way.
    bool busy = false;
    time_point next_read{};
    duration backoff = first_backoff;

    // Signs of the owner, as a candidate.
    time_point last_sign{};
    time_point next_check{};
    bool owner_gone = false;

    std::optional<owner_hint> hint;
    std::size_t guess = 0;

    // Highest epoch that this node ever began to act under.
    std::uint64_t begun_epoch = 0;
    std::shared_ptr<shard_term> term;
    std::shared_ptr<departure> leaving;
    std::optional<farewell> last_state;
    std::optional<arrival> incoming;
    // New witnesses for a shard that has no object yet.
    std::optional<witness_change> first_witnesses;
};

} // namespace ownership_detail

using namespace ownership_detail;

struct ownership::impl : std::enable_shared_from_this<ownership::impl> {
    impl(event_loop& event_loop, peer_transport& peers, object_store& platform,
         member_view& view, counters& counts, std::uint64_t seed,
         std::string own_boot, ownership_settings values)
        : loop(event_loop), transport(peers), store(platform), members(view),
          random(seed), boot(std::move(own_boot)), settings(values),
          witnesses(loop, settings, boot), slots(settings.shards),
          takeovers(counts.at("ownership_takeovers_total")),
          lapses(counts.at("ownership_lease_lapses_total")),
          platform_calls(counts.at("ownership_platform_calls_total")),
          malformed(counts.at("ownership_malformed_messages_total"))
    {
        for (shard_id n = 0; n < settings.shards; ++n)
            slots[n].id = n;
    }

    event_loop& loop;
    peer_transport& transport;
    object_store& store;
    member_view& members;
    random_source random;
    const std::string boot;
    const ownership_settings settings;
    witness_table witnesses;
    std::vector<shard_slot> slots;
    std::map<std::string, shard_client*> clients;
    std::size_t calls_under_way = 0;
    time_point started{};
    timer_id timer{};
    shard_id next_expiry = 0;
    std::function<void()> on_left;
    time_point leave_by{};
    bool is_leaving = false;
    std::uint64_t& takeovers;
    std::uint64_t& lapses;
    std::uint64_t& platform_calls;
    std::uint64_t& malformed;

    node_ref self() const;

    // Runs the task unless this object has gone by then.
    template <typename Task>
    auto guarded(Task task)
    {
        return [weak = weak_from_this(), task = std::move(task)](auto&&... it) {
            if (auto alive = weak.lock())
                task(std::forward<decltype(it)>(it)...);
        };
    }

    // Messages.
    void subscribe();
    void on(const char* method, peer_transport::handler act);
    using shard_handler = void (impl::*)(shard_slot&, const peer_address&,
                                         const Json::Value&);
    void on_shard(const char* method, shard_handler act);
    Json::Value message(const shard_slot& slot) const;
    Json::Value to_witness(const shard_slot& slot, const node_ref& witness,
                           std::uint64_t id) const;

    // Candidates and routing.
    const std::vector<member>& candidates(shard_slot& slot);
    void member_changed(const member& changed);
    // Place of this node among the candidates; acting_candidates if it has
    // none.
    std::size_t rank(shard_slot& slot);
    peer_address route(shard_slot& slot);
    void set_hint(shard_slot& slot, std::uint64_t epoch,
                  const peer_address& address);
    Json::Value hint(shard_slot& slot) const;
    bool learn(shard_slot& slot, const Json::Value& value,
               const peer_address& asked);

    // Platform.
    bool may_call() const;
    void read(shard_slot& slot, std::function<void(get_result)> done);
    void back_off(shard_slot& slot);
    // Takes over what the platform says. Returns false if it said nothing.
    bool adopt(shard_slot& slot, const get_result& result);
    // Writes the object and calls `done` with its version, or with nothing if
    // it was certainly not written. An unknown outcome is resolved by reading,
    // as often as it takes.
    void write(shard_slot& slot, const shard_object& wanted,
               std::uint64_t expected,
               const std::function<void(std::optional<std::uint64_t>)>& done);
    void written(shard_slot& slot, const shard_object& wanted,
                 std::uint64_t version);
    void resolve(shard_slot& slot, const shard_object& wanted,
                 std::uint64_t expected,
                 const std::function<void(std::optional<std::uint64_t>)>& done);

    // Periodic work.
    void start();
    void tick();

    // Candidate.
    void tick_candidate(shard_slot& slot);
    void read_object(shard_slot& slot);
    void send_check(shard_slot& slot, const node_ref& owner);
    void send_check_to(shard_slot& slot, const node_ref& owner,
                       std::uint64_t epoch);
    void check(shard_slot& slot, const peer_address& from,
               const Json::Value& params);
    // A successor under `epoch` asks this node to promise that it will not act
    // under a lower one. An owner with witnesses leaves that to them, because
    // they hold its state; one without must give the state itself.
    void yield_to(shard_slot& slot, std::uint64_t epoch, Json::Value& out);
    farewell last_state(shard_slot& slot);
    // A node that holds the state of a shard can resume it sooner than anyone
    // can take it over, so it is "busy" for a while after its lease lapsed.
    const char* status(const shard_slot& slot) const;
    void checked(shard_slot& slot, const peer_address& from,
                 const Json::Value& params);
    void note_gone(shard_term& term, const peer_address& from,
                   const std::string& its_boot, const Json::Value& params);
    void take_farewell(shard_term& term, const node_ref& node,
                       message_fields& in);
    static void merge(shard_term& term,
                      const std::vector<shard_entry>& entries);

    // First owner.
    void create(shard_slot& slot);

    // Takeover.
    void begin_takeover(shard_slot& slot);
    void begin_term(shard_slot& slot, const shard_object& object,
                    std::uint64_t version, shard_state::origin from,
                    std::vector<shard_entry> entries = {});
    void tick_term(shard_slot& slot);
    void tick_fencing(shard_slot& slot);
    void send_direct(shard_slot& slot, const node_ref& owner);
    void send_fence(shard_slot& slot, const node_ref& witness);
    void fenced(shard_slot& slot, const peer_address&,
                const Json::Value& params);
    // Takes one page of a witness's copies. Returns false if the answer does
    // not change anything.
    bool gather(shard_slot& slot, fence_progress& progress,
                const Json::Value& params);
    void evaluate_fencing(shard_slot& slot);
    void activate(shard_slot& slot);
    static shard_state state_of(const std::string& name,
                                const shard_state& all);
    std::vector<shard_entry> collect(shard_id shard, copy_purpose purpose);

    // Lease.
    bool owns(const shard_slot& slot) const;
    time_point current_lease(const shard_term& term) const;
    void extend(shard_slot& slot);
    // Common part of the witnesses' answers to an owner. Returns true if the
    // answer belongs to this term and the witness accepted.
    bool accepted(shard_slot& slot, message_fields& in, std::string& witness,
                  std::uint64_t& id);
    void extended(shard_slot& slot, const peer_address&,
                  const Json::Value& params);
    void watch_lease(shard_slot& slot);
    void step_down(shard_slot& slot);

    // Copies.
    void replicate(const std::string& client, shard_slot& slot,
                   shard_entry entry, std::function<void(bool)> done);
    // The number tells which of two states of an entry is newer, so it is
    // given when the state is read, not when it is sent.
    static void number(shard_term& term, shard_entry& it);
    void begin_copy(shard_slot& slot, std::vector<shard_entry> entries,
                    std::function<void(bool)> done, bool transfer = false);
    void send_copy(shard_slot& slot, std::uint64_t id,
                   const copy_operation& copy);
    void copied(shard_slot& slot, const peer_address&,
                const Json::Value& params);
    void evaluate_copy(shard_slot& slot, std::uint64_t id);
    void resend_copies(shard_slot& slot);
    static void fail_copies(shard_term& term);

    // Change of witnesses.
    bool is_healthy(const shard_term& term, const node_ref& it) const;
    // Members to add to `kept`, from further failure domains first.
    std::vector<member>
    pick_witnesses(shard_slot& slot, const std::vector<node_ref>& kept,
                   const std::map<std::string, time_point>& avoided);
    void tick_change(shard_slot& slot);
    void consider_change(shard_slot& slot);
    void send_enlist(shard_slot& slot, witness_change& change);
    void enlisted(shard_slot& slot, const peer_address& from,
                  const Json::Value& params);
    void begin_transfer(shard_slot& slot);
    void continue_transfer(shard_slot& slot);
    void write_change(shard_slot& slot);
    void confirm_change(shard_slot& slot);
    void abandon_change(shard_slot& slot);
    static void drop_transfer(shard_term& term);
    void evaluate_copies(shard_slot& slot);

    // Planned leave.
    void leave(duration limit, std::function<void()> done);
    void begin_departure(shard_slot& slot);
    void tick_departure(shard_slot& slot);
    void choose_successor(shard_slot& slot);
    void send_pages(shard_slot& slot);
    void send_commit(shard_slot& slot);
    void write_departure(shard_slot& slot);
    void handed(shard_slot& slot, const peer_address& from,
                const Json::Value& params);
    void finish_leave();
    void hand_over(shard_slot& slot, const peer_address& from,
                   const Json::Value& params);
    bool take_page(shard_slot& slot, std::uint64_t epoch,
                   const std::string& sender, std::uint64_t id,
                   const Json::Value& params);
    bool take_commit(shard_slot& slot, std::uint64_t epoch,
                     const std::string& sender, std::uint64_t count,
                     const Json::Value& params);
};

} // namespace shallotwood::process
