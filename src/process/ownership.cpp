#include "process/ownership.hpp"

#include "process/keyed_hash.hpp"
#include "process/log.hpp"
#include "process/shard_messages.hpp"
#include "process/witness_quorum.hpp"
#include "process/witness_table.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace shallotwood::process
{

namespace
{

// Nodes that may take a shard, in order; the rest do not watch it.
constexpr std::size_t acting_candidates = 3;
// Owners that may be acting, in the object of a shard.
constexpr std::size_t max_earlier = 8;
// A node that hears from no other is alone after this time; before that, the
// others may be alive and about to take the shard over.
constexpr duration alone_limit = std::chrono::seconds(30);
// Kept a shard, so that the loss of a few needs no search of the membership.
constexpr std::size_t kept_candidates = 8;
constexpr std::size_t fewest_candidates = 4;
// Candidates for witnesses that are compared by failure domain.
constexpr std::size_t compared_witnesses = 16;
// Pages of a transfer under way at a time.
constexpr std::size_t transfer_window = 8;
constexpr std::size_t max_transfer_pages = 4096;
// Witnesses that did not answer are asked again after this time.
constexpr duration nudge_period = std::chrono::milliseconds(250);
constexpr duration longest_resend_pause = std::chrono::seconds(1);
// Copies that a majority holds are still sent to the rest for this time.
constexpr duration straggler_limit = std::chrono::seconds(10);
constexpr duration first_backoff = std::chrono::seconds(1);
constexpr duration longest_backoff = std::chrono::seconds(16);
// A node that did not answer as a witness is not asked again for this time.
constexpr duration avoid_limit = std::chrono::seconds(30);
// A takeover that has not excluded the old owner by then does not keep the
// other candidates from trying.
constexpr duration takeover_patience = std::chrono::seconds(15);
constexpr duration hand_over_answer_limit = std::chrono::seconds(1);
// An unfinished hand-over is dropped after this time.
constexpr duration incoming_limit = std::chrono::seconds(10);
// Questions to witnesses that are remembered until answered, a shard.
constexpr std::size_t remembered_questions = 64;

bool may_act(const member& it)
{
    return it.state == member_state::active ||
           it.state == member_state::suspect;
}

std::string object_name(shard_id shard)
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

} // namespace

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

    node_ref self() const
    {
        const auto& it = members.self();
        return {it.instance, boot, it.peer};
    }

    // Runs the task unless this object has gone by then.
    template <typename Task>
    auto guarded(Task task)
    {
        return [weak = weak_from_this(), task = std::move(task)](auto&&... it) {
            if (auto alive = weak.lock())
                task(std::forward<decltype(it)>(it)...);
        };
    }

    // --- Messages -----------------------------------------------------------

    void subscribe()
    {
        using params = Json::Value;
        auto answer = [this](const char* request, const char* reply,
                             Json::Value (witness_table::*act)(const params&)) {
            on(request, [this, reply, act](const auto& from, const auto& in) {
                auto out = (witnesses.*act)(in);
                if (out.isNull())
                    ++malformed;
                else
                    transport.send(from, reply, out);
            });
        };
        answer("ownership.extend", "ownership.extended",
               &witness_table::extend);
        answer("ownership.fence", "ownership.fenced", &witness_table::fence);
        answer("record.copy", "record.copied", &witness_table::copy);
        answer("ownership.enlist", "ownership.enlisted",
               &witness_table::enlist);
        on("ownership.dismiss",
           [this](const auto&, const auto& in) { witnesses.dismiss(in); });
        on_shard("ownership.extended", &impl::extended);
        on_shard("ownership.fenced", &impl::fenced);
        on_shard("record.copied", &impl::copied);
        on_shard("ownership.enlisted", &impl::enlisted);
        on_shard("ownership.check", &impl::check);
        on_shard("ownership.checked", &impl::checked);
        on_shard("ownership.hand_over", &impl::hand_over);
        on_shard("ownership.handed", &impl::handed);
    }

    void on(const char* method, peer_transport::handler act)
    {
        transport.subscribe(method, guarded(std::move(act)));
    }

    using shard_handler = void (impl::*)(shard_slot&, const peer_address&,
                                         const Json::Value&);

    void on_shard(const char* method, shard_handler act)
    {
        on(method, [this, act](const auto& from, const auto& params) {
            message_fields in(params);
            auto shard = in.number("shard", settings.shards - 1);
            if (in.valid())
                (this->*act)(slots[shard], from, params);
            else
                ++malformed;
        });
    }

    Json::Value message(const shard_slot& slot) const
    {
        Json::Value out;
        out["shard"] = slot.id;
        return out;
    }

    Json::Value to_witness(const shard_slot& slot, const node_ref& witness,
                           std::uint64_t id) const
    {
        auto out = message(slot);
        out["epoch"] = Json::UInt64(slot.term->epoch);
        out["id"] = Json::UInt64(id);
        out["boot"] = witness.boot;
        return out;
    }

    // --- Candidates and routing ---------------------------------------------

    const std::vector<member>& candidates(shard_slot& slot)
    {
        if (!slot.candidates_known) {
            slot.candidates =
                rendezvous_order(members.members(), object_name(slot.id),
                                 kept_candidates, may_act);
            slot.candidates_known = true;
        }
        return slot.candidates;
    }

    void member_changed(const member& changed)
    {
        for (auto& slot : slots) {
            if (!slot.candidates_known)
                continue;
            auto& list = slot.candidates;
            auto found =
                std::find_if(list.begin(), list.end(), [&](const auto& it) {
                    return it.instance == changed.instance;
                });
            if (!may_act(changed)) {
                if (found != list.end())
                    list.erase(found);
                slot.candidates_known = list.size() >= fewest_candidates;
            } else if (found != list.end()) {
                *found = changed;
            } else {
                list.push_back(changed);
                list = rendezvous_order(list, object_name(slot.id),
                                        kept_candidates, may_act);
            }
        }
    }

    // Place of this node among the candidates; acting_candidates if it has
    // none.
    std::size_t rank(shard_slot& slot)
    {
        const auto& list = candidates(slot);
        auto n = std::min(acting_candidates, list.size());
        for (std::size_t it = 0; it < n; ++it) {
            if (list[it].instance == members.self().instance)
                return it;
        }
        return acting_candidates;
    }

    peer_address route(shard_slot& slot)
    {
        if (owns(slot))
            return members.self().peer;
        if (slot.hint)
            return slot.hint->address;
        const auto& list = candidates(slot);
        if (list.empty())
            return members.self().peer;
        auto n = std::min(acting_candidates, list.size());
        return list[slot.guess % n].peer;
    }

    void set_hint(shard_slot& slot, std::uint64_t epoch,
                  const peer_address& address)
    {
        if (!slot.hint || slot.hint->epoch <= epoch)
            slot.hint = owner_hint{epoch, address};
    }

    Json::Value hint(shard_slot& slot) const
    {
        owner_hint it;
        if (slot.term && slot.term->phase == term_phase::active)
            it = {slot.term->epoch, members.self().peer};
        else if (slot.hint)
            it = *slot.hint;
        else
            return {};
        Json::Value out;
        out["epoch"] = Json::UInt64(it.epoch);
        out["host"] = it.address.host;
        out["port"] = it.address.port;
        return out;
    }

    bool learn(shard_slot& slot, const Json::Value& value,
               const peer_address& asked)
    {
        if (!value.isObject())
            return false;
        message_fields in(value);
        auto epoch = in.number("epoch");
        peer_address address;
        address.host = in.text("host", max_name_bytes);
        address.port =
            static_cast<std::uint16_t>(in.number("port", UINT16_MAX));
        if (!in.valid())
            return false;
        bool news = !slot.hint || slot.hint->epoch < epoch;
        set_hint(slot, epoch, address);
        return news || address != asked;
    }

    // --- Platform -----------------------------------------------------------

    bool may_call() const
    {
        return calls_under_way < settings.max_platform_calls;
    }

    void read(shard_slot& slot, std::function<void(get_result)> done)
    {
        ++calls_under_way;
        ++platform_calls;
        store.get(object_name(slot.id),
                  guarded([this, done = std::move(done)](get_result it) {
                      --calls_under_way;
                      done(std::move(it));
                  }));
    }

    void back_off(shard_slot& slot)
    {
        auto spread = random.below(slot.backoff.count());
        slot.next_read = loop.now() + slot.backoff + duration(spread);
        slot.backoff = std::min(2 * slot.backoff, longest_backoff);
    }

    // Takes over what the platform says. Returns false if it said nothing.
    bool adopt(shard_slot& slot, const get_result& result)
    {
        auto now = loop.now();
        if (auto it = std::get_if<stored_object>(&result)) {
            auto parsed = parse_shard_object(it->value);
            if (!parsed) {
                SHALLOTWOOD_LOG(error)
                    << "event=shard-object-malformed"
                    << field("shard", std::to_string(slot.id));
                back_off(slot);
                return false;
            }
            if (!slot.object_known || slot.version != it->version) {
                slot.last_sign = now;
                slot.owner_gone = false;
            }
            slot.object = std::move(*parsed);
            slot.version = it->version;
            if (!slot.object.owner.instance.empty())
                set_hint(slot, slot.object.epoch, slot.object.owner.address);
        } else if (std::get<store_error>(result) == store_error::not_found) {
            if (!slot.object_known)
                slot.last_sign = now;
            slot.object = {};
            slot.version = 0;
        } else {
            back_off(slot);
            return false;
        }
        slot.object_known = true;
        slot.backoff = first_backoff;
        return true;
    }

    // Writes the object and calls `done` with its version, or with nothing if
    // it was certainly not written. An unknown outcome is resolved by reading,
    // as often as it takes.
    void write(shard_slot& slot, const shard_object& wanted,
               std::uint64_t expected,
               const std::function<void(std::optional<std::uint64_t>)>& done)
    {
        ++calls_under_way;
        ++platform_calls;
        slot.busy = true;
        store.put(
            object_name(slot.id), to_text(wanted), expected,
            guarded([this, &slot, wanted, expected, done](put_result result) {
                --calls_under_way;
                if (auto version = std::get_if<std::uint64_t>(&result)) {
                    written(slot, wanted, *version);
                    done(*version);
                    return;
                }
                auto why = std::get<store_error>(result);
                if (why == store_error::conflict ||
                    why == store_error::unknown_outcome) {
                    resolve(slot, wanted, expected, done);
                    return;
                }
                slot.busy = false;
                back_off(slot);
                done(std::nullopt);
            }));
    }

    void written(shard_slot& slot, const shard_object& wanted,
                 std::uint64_t version)
    {
        slot.busy = false;
        slot.object_known = true;
        slot.object = wanted;
        slot.version = version;
        slot.backoff = first_backoff;
        slot.last_sign = loop.now();
        slot.owner_gone = false;
    }

    void resolve(shard_slot& slot, const shard_object& wanted,
                 std::uint64_t expected,
                 const std::function<void(std::optional<std::uint64_t>)>& done)
    {
        read(slot, [this, &slot, wanted, expected, done](get_result result) {
            if (auto it = std::get_if<stored_object>(&result)) {
                auto parsed = parse_shard_object(it->value);
                if (parsed && *parsed == wanted) {
                    written(slot, wanted, it->version);
                    done(it->version);
                    return;
                }
                if (it->version != expected) {
                    slot.busy = false;
                    adopt(slot, result);
                    done(std::nullopt);
                    return;
                }
                // The write may still arrive, so the same one is sent again.
                write(slot, wanted, expected, done);
                return;
            }
            if (std::get<store_error>(result) == store_error::not_found) {
                write(slot, wanted, expected, done);
                return;
            }
            back_off(slot);
            loop.call_after(slot.next_read - loop.now(),
                            guarded([this, &slot, wanted, expected, done] {
                                resolve(slot, wanted, expected, done);
                            }));
        });
    }

    // --- Periodic work ------------------------------------------------------

    void start()
    {
        started = loop.now();
        subscribe();
        members.listen(
            guarded([this](const member& it) { member_changed(it); }));
        tick();
    }

    void tick()
    {
        for (auto& slot : slots) {
            if (slot.incoming &&
                loop.now() - slot.incoming->last > incoming_limit)
                slot.incoming.reset();
            if (slot.leaving)
                tick_departure(slot);
            else if (slot.term)
                tick_term(slot);
            else if (!is_leaving)
                tick_candidate(slot);
        }
        witnesses.expire(next_expiry);
        next_expiry = (next_expiry + 1) % settings.shards;
        finish_leave();
        timer = loop.call_after(settings.resend_period,
                                guarded([this] { tick(); }));
    }

    // --- Candidate ----------------------------------------------------------

    void tick_candidate(shard_slot& slot)
    {
        auto now = loop.now();
        if (slot.busy || now < started + settings.settle ||
            now < slot.next_read)
            return;
        auto place = rank(slot);
        if (place == acting_candidates)
            return;
        if (!slot.object_known) {
            read_object(slot);
            return;
        }
        auto delay = place * settings.candidate_step;
        auto silence = now - slot.last_sign;
        if (slot.version == 0) {
            if (silence >= delay)
                create(slot);
            return;
        }
        if (slot.object.owner.boot != boot)
            send_check(slot, slot.object.owner);
        if (!slot.owner_gone && !slot.object.owner.instance.empty())
            delay += settings.silence_limit;
        if (silence >= delay)
            begin_takeover(slot);
    }

    void read_object(shard_slot& slot)
    {
        if (!may_call())
            return;
        slot.busy = true;
        read(slot, [this, &slot](const get_result& it) {
            slot.busy = false;
            adopt(slot, it);
        });
    }

    void send_check(shard_slot& slot, const node_ref& owner)
    {
        auto now = loop.now();
        if (now < slot.next_check || owner.instance.empty())
            return;
        slot.next_check = now + settings.extend_period;
        send_check_to(slot, owner, 0);
    }

    void send_check_to(shard_slot& slot, const node_ref& owner,
                       std::uint64_t epoch)
    {
        auto out = message(slot);
        out["epoch"] = Json::UInt64(epoch);
        transport.send(owner.address, "ownership.check", out);
    }

    void check(shard_slot& slot, const peer_address& from,
               const Json::Value& params)
    {
        message_fields in(params);
        auto epoch = in.number("epoch");
        if (!in.valid()) {
            ++malformed;
            return;
        }
        auto out = message(slot);
        if (epoch > 0)
            yield_to(slot, epoch, out);
        out["boot"] = boot;
        out["status"] = status(slot);
        out["owner"] = hint(slot);
        transport.send(from, "ownership.checked", out);
    }

    // A successor under `epoch` asks this node to promise that it will not act
    // under a lower one. An owner with witnesses leaves that to them, because
    // they hold its state; one without must give the state itself.
    void yield_to(shard_slot& slot, std::uint64_t epoch, Json::Value& out)
    {
        auto term = slot.term;
        if (term && term->epoch < epoch) {
            bool alone = term->quorum.all().empty();
            bool acting = term->phase == term_phase::active;
            if (acting && !alone)
                return;
            if (acting)
                slot.last_state = last_state(slot);
            step_down(slot);
        }
        if (slot.leaving && slot.leaving->epoch <= epoch)
            return;
        slot.begun_epoch = std::max(slot.begun_epoch, epoch - 1);
        out["below"] = Json::UInt64(epoch);
        if (!slot.last_state)
            return;
        out["complete"] = slot.last_state->complete;
        out["entries"] = Json::Value(Json::arrayValue);
        for (const auto& it : slot.last_state->entries)
            out["entries"].append(to_json(it));
    }

    farewell last_state(shard_slot& slot)
    {
        auto entries = collect(slot.id, copy_purpose::witness);
        for (auto& it : entries)
            number(*slot.term, it);
        auto pages = pages_of(std::move(entries));
        farewell it;
        it.complete = pages.size() <= 1;
        if (!pages.empty())
            it.entries = std::move(pages.front());
        return it;
    }

    // A node that holds the state of a shard can resume it sooner than anyone
    // can take it over, so it is "busy" for a while after its lease lapsed.
    const char* status(const shard_slot& slot) const
    {
        if (!slot.term)
            return "none";
        if (owns(slot))
            return "owner";
        auto since = slot.term->phase == term_phase::fencing
                         ? slot.term->started
                         : slot.term->lease_end;
        return loop.now() - since > takeover_patience ? "none" : "busy";
    }

    void checked(shard_slot& slot, const peer_address& from,
                 const Json::Value& params)
    {
        message_fields in(params);
        auto owner_boot = in.text("boot", max_name_bytes);
        auto what = in.text("status", max_name_bytes);
        if (!in.valid()) {
            ++malformed;
            return;
        }
        auto& term = slot.term;
        if (term && !term->excluded_at)
            note_gone(*term, from, owner_boot, params);
        if (!slot.object_known || from != slot.object.owner.address)
            return;
        if (owner_boot != slot.object.owner.boot)
            slot.owner_gone = true;
        else if (what != "none")
            slot.last_sign = loop.now();
        auto epoch_before = slot.object.epoch;
        learn(slot, in.optional("owner"), from);
        // The shard has moved on since the object was read.
        if (!term && slot.hint && slot.hint->epoch > epoch_before)
            slot.object_known = false;
    }

    void note_gone(shard_term& term, const peer_address& from,
                   const std::string& its_boot, const Json::Value& params)
    {
        message_fields in(params);
        for (const auto& it : term.earlier) {
            if (it.address != from)
                continue;
            bool promised = in.optional("below").isUInt64() &&
                            in.number("below") == term.epoch;
            if (it.boot != its_boot)
                term.gone.insert(it.boot);
            else if (promised)
                take_farewell(term, it, in);
        }
    }

    void take_farewell(shard_term& term, const node_ref& node,
                       message_fields& in)
    {
        term.gone.insert(node.boot);
        if (in.optional("entries").isNull())
            return;
        auto entries = entries_from_json(in.optional("entries"));
        bool complete = in.flag("complete");
        if (!entries || !in.valid()) {
            ++malformed;
            return;
        }
        merge(term, *entries);
        term.told_state = term.told_state || complete;
    }

    static void merge(shard_term& term, const std::vector<shard_entry>& entries)
    {
        for (const auto& it : entries) {
            auto [known, added] = term.gathered.emplace(it.key, it);
            if (!added && is_newer(it, known->second))
                known->second = it;
        }
    }

    // --- First owner --------------------------------------------------------

    void create(shard_slot& slot)
    {
        auto& change = slot.first_witnesses;
        if (!change) {
            change.emplace();
            change->started = loop.now();
            change->asked = pick_witnesses(slot, {}, {});
        }
        bool waited = loop.now() - change->started > settings.witness_limit;
        if (change->known.size() < change->asked.size() && !waited) {
            send_enlist(slot, *change);
            return;
        }
        if (!may_call())
            return;
        shard_object wanted{1, self(), change->known, {}};
        change.reset();
        write(slot, wanted, 0,
              [this, &slot, wanted](std::optional<std::uint64_t> version) {
                  if (version)
                      begin_term(slot, wanted, *version,
                                 shard_state::origin::fresh);
              });
    }

    // --- Takeover -----------------------------------------------------------

    void begin_takeover(shard_slot& slot)
    {
        if (!may_call())
            return;
        slot.busy = true;
        auto seen = slot.version;
        read(slot, [this, &slot, seen](const get_result& it) {
            slot.busy = false;
            // A changed object restarts the wait for a sign of its owner.
            if (!adopt(slot, it) || slot.version != seen || slot.term ||
                is_leaving)
                return;
            auto old = slot.object;
            auto earlier = old.earlier;
            if (!old.owner.instance.empty() &&
                std::find(earlier.begin(), earlier.end(), old.owner) ==
                    earlier.end())
                earlier.push_back(old.owner);
            if (earlier.size() > max_earlier) {
                back_off(slot);
                return;
            }
            shard_object wanted{old.epoch + 1, self(), old.witnesses, earlier};
            write(slot, wanted, seen,
                  [this, &slot, wanted](std::optional<std::uint64_t> version) {
                      if (!version)
                          return;
                      ++takeovers;
                      begin_term(slot, wanted, *version,
                                 shard_state::origin::takeover);
                  });
        });
    }

    void begin_term(shard_slot& slot, const shard_object& object,
                    std::uint64_t version, shard_state::origin from,
                    std::vector<shard_entry> entries = {})
    {
        if (is_leaving || object.epoch <= slot.begun_epoch)
            return;
        SHALLOTWOOD_LOG(info)
            << "event=shard-term" << field("shard", std::to_string(slot.id))
            << field("epoch", std::to_string(object.epoch))
            << field("takeover",
                     from == shard_state::origin::takeover ? "yes" : "no");
        slot.begun_epoch = object.epoch;
        slot.term = std::make_shared<shard_term>(object.witnesses);
        auto& term = *slot.term;
        term.epoch = object.epoch;
        term.version = version;
        term.started = loop.now();
        term.state.from = from;
        term.state.entries = std::move(entries);
        term.earlier = object.earlier;
        term.settled = object.earlier.empty();
        slot.last_state.reset();
        if (from == shard_state::origin::takeover) {
            for (const auto& it : object.witnesses)
                term.fences[it.boot];
        } else {
            term.excluded_at = loop.now();
        }
        set_hint(slot, object.epoch, members.self().peer);
        tick_term(slot);
    }

    void tick_term(shard_slot& slot)
    {
        // Keeps the term alive if it ends on the way.
        auto term = slot.term;
        if (!term->excluded_at) {
            tick_fencing(slot);
            return;
        }
        extend(slot);
        if (term->phase == term_phase::fencing) {
            activate(slot);
            return;
        }
        resend_copies(slot);
        watch_lease(slot);
        if (slot.term == term)
            tick_change(slot);
    }

    void tick_fencing(shard_slot& slot)
    {
        auto& term = *slot.term;
        if (term.fencing.due(loop.now(), settings.resend_period)) {
            for (const auto& it : term.quorum.current())
                send_fence(slot, it);
        }
        if (loop.now() >= term.next_direct) {
            term.next_direct = loop.now() + settings.extend_period;
            for (const auto& it : term.earlier)
                send_direct(slot, it);
        }
        evaluate_fencing(slot);
    }

    void send_direct(shard_slot& slot, const node_ref& owner)
    {
        auto& term = *slot.term;
        if (term.gone.count(owner.boot) != 0)
            return;
        // An earlier term of this process ended before this one began.
        if (owner.boot == boot)
            term.gone.insert(boot);
        else
            send_check_to(slot, owner, term.epoch);
    }

    void send_fence(shard_slot& slot, const node_ref& witness)
    {
        const auto& progress = slot.term->fences[witness.boot];
        if (progress.complete || progress.restarted)
            return;
        auto out = to_witness(slot, witness, 0);
        out["cursor"] = progress.cursor;
        transport.send(witness.address, "ownership.fence", out);
    }

    void fenced(shard_slot& slot, const peer_address&,
                const Json::Value& params)
    {
        if (!slot.term || slot.term->phase != term_phase::fencing)
            return;
        auto& term = *slot.term;
        message_fields in(params);
        auto epoch = in.number("epoch");
        auto witness = in.text("boot", max_name_bytes);
        auto result = in.text("result", max_name_bytes);
        if (!in.valid()) {
            ++malformed;
            return;
        }
        auto found = term.fences.find(witness);
        if (epoch != term.epoch || found == term.fences.end())
            return;
        if (result == "refused") {
            step_down(slot);
            return;
        }
        if (result == "restarted")
            found->second.restarted = true;
        else if (!gather(slot, found->second, params))
            return;
        evaluate_fencing(slot);
    }

    // Takes one page of a witness's copies. Returns false if the answer does
    // not change anything.
    bool gather(shard_slot& slot, fence_progress& progress,
                const Json::Value& params)
    {
        auto& term = *slot.term;
        message_fields in(params);
        auto left = in.number("remaining_us", UINT32_MAX);
        auto cursor = in.text("cursor", max_entry_bytes);
        auto entries = entries_from_json(in.optional("entries"));
        if (!in.valid() || !entries) {
            ++malformed;
            return false;
        }
        if (progress.complete || cursor != progress.cursor)
            return false;
        merge(term, *entries);
        term.lease_bound =
            std::max(term.lease_bound, loop.now() + duration(left));
        if (in.optional("next").isString()) {
            progress.cursor = in.text("next", max_entry_bytes);
            auto again = in.optional("boot").asString();
            for (const auto& it : term.quorum.current()) {
                if (it.boot == again)
                    send_fence(slot, it);
            }
            return true;
        }
        progress.complete = true;
        return true;
    }

    void evaluate_fencing(shard_slot& slot)
    {
        auto& term = *slot.term;
        if (term.excluded_at)
            return;
        auto now = loop.now();
        auto n = term.fences.size();
        std::size_t complete = 0;
        std::size_t restarted = 0;
        for (const auto& [it_boot, it] : term.fences) {
            complete += it.complete ? 1 : 0;
            restarted += it.restarted ? 1 : 0;
        }
        bool fenced_majority = n > 0 && complete + restarted >= majority(n);
        bool presumed = now - term.started >= settings.presume_lost_after;
        bool ended = term.gone.size() == term.earlier.size();
        if (!fenced_majority && !ended && !presumed)
            return;
        // With fewer answers, all copies of an entry may be at the others.
        auto needed = n - majority(n) + 1;
        bool possible = n - restarted >= needed;
        if (complete < needed && possible &&
            now - term.started < settings.gather_limit)
            return;
        // A restarted witness forgot when the lease it promised ends.
        if (!fenced_majority || restarted > 0)
            term.lease_bound =
                std::max(term.lease_bound,
                         now + settings.lease_term + settings.clock_margin);
        term.state.complete = complete >= needed || (n == 0 && term.told_state);
        term.excluded_at = std::max(now, term.lease_bound);
        extend(slot);
    }

    void activate(shard_slot& slot)
    {
        auto& term = *slot.term;
        auto now = loop.now();
        if (!term.excluded_at || now < *term.excluded_at)
            return;
        // The lease may come later: if the witnesses are lost, new ones must
        // get the state first. The clients check owns() before each act.
        term.phase = term_phase::active;
        for (auto& [key, it] : term.gathered) {
            if (!it.removed)
                term.state.entries.push_back(std::move(it));
        }
        term.gathered.clear();
        SHALLOTWOOD_LOG(info)
            << "event=shard-owned" << field("shard", std::to_string(slot.id))
            << field("epoch", std::to_string(term.epoch))
            << field("entries", std::to_string(term.state.entries.size()))
            << field("complete", term.state.complete ? "yes" : "no");
        auto state = std::move(term.state);
        for (const auto& [name, client] : clients)
            client->acquired(slot.id, state_of(name, state));
    }

    static shard_state state_of(const std::string& name, const shard_state& all)
    {
        shard_state part;
        part.from = all.from;
        part.complete = all.complete;
        auto prefix = name + ":";
        for (const auto& it : all.entries) {
            if (it.key.compare(0, prefix.size(), prefix) != 0)
                continue;
            part.entries.push_back(it);
            part.entries.back().key.erase(0, prefix.size());
        }
        return part;
    }

    std::vector<shard_entry> collect(shard_id shard, copy_purpose purpose)
    {
        std::vector<shard_entry> all;
        for (const auto& [name, client] : clients) {
            for (auto& it : client->state(shard, purpose)) {
                all.push_back(std::move(it));
                all.back().key.insert(0, name + ":");
            }
        }
        return all;
    }

    // --- Lease --------------------------------------------------------------

    bool owns(const shard_slot& slot) const
    {
        return slot.term && slot.term->phase == term_phase::active &&
               loop.now() < slot.term->lease_end;
    }

    time_point current_lease(const shard_term& term) const
    {
        return term.quorum.lease_end(settings.lease_term,
                                     term.change && term.change->writing);
    }

    void extend(shard_slot& slot)
    {
        auto& term = *slot.term;
        auto now = loop.now();
        bool all = now >= term.asked_all + settings.extend_period;
        if (!all && now < term.next_nudge)
            return;
        if (all)
            term.asked_all = now;
        term.next_nudge = now + nudge_period;
        auto id = ++term.last_id;
        term.questions[id] = now;
        while (term.questions.size() > remembered_questions)
            term.questions.erase(term.questions.begin());
        for (const auto& it : term.quorum.all()) {
            auto last = term.quorum.last_acknowledged(it.boot);
            if (all || !last || *last < term.asked_all)
                transport.send(it.address, "ownership.extend",
                               to_witness(slot, it, id));
        }
        term.lease_end = current_lease(term);
    }

    // Common part of the witnesses' answers to an owner. Returns true if the
    // answer belongs to this term and the witness accepted.
    bool accepted(shard_slot& slot, message_fields& in, std::string& witness,
                  std::uint64_t& id)
    {
        auto epoch = in.number("epoch");
        id = in.number("id");
        witness = in.text("boot", max_name_bytes);
        auto result = in.text("result", max_name_bytes);
        if (!in.valid()) {
            ++malformed;
            return false;
        }
        if (!slot.term || slot.term->epoch != epoch)
            return false;
        if (result == "restarted")
            slot.term->restarted.insert(witness);
        if (result == "refused")
            slot.term->superseded = true;
        return result == "ok";
    }

    void extended(shard_slot& slot, const peer_address&,
                  const Json::Value& params)
    {
        message_fields in(params);
        std::string witness;
        std::uint64_t id = 0;
        if (!accepted(slot, in, witness, id))
            return;
        auto term = slot.term;
        auto asked = term->questions.find(id);
        if (asked == term->questions.end())
            return;
        term->quorum.acknowledge(witness, asked->second);
        term->lease_end = current_lease(*term);
        if (term->phase == term_phase::fencing)
            activate(slot);
    }

    void watch_lease(shard_slot& slot)
    {
        auto& term = *slot.term;
        auto now = loop.now();
        if (now < term.lease_end)
            return;
        if (term.superseded) {
            ++lapses;
            step_down(slot);
            return;
        }
        if (slot.busy || now < slot.next_read || !may_call())
            return;
        // Nobody else acts unless the object names another epoch.
        slot.next_read = now + settings.lease_term;
        slot.busy = true;
        read(slot, [this, &slot](const get_result& it) {
            slot.busy = false;
            if (adopt(slot, it) && slot.term &&
                slot.object.epoch > slot.term->epoch)
                step_down(slot);
        });
    }

    void step_down(shard_slot& slot)
    {
        auto term = std::move(slot.term);
        slot.term.reset();
        if (!term)
            return;
        SHALLOTWOOD_LOG(info)
            << "event=shard-lost" << field("shard", std::to_string(slot.id))
            << field("epoch", std::to_string(term->epoch));
        slot.object_known = false;
        if (slot.hint && slot.hint->address == members.self().peer)
            slot.hint.reset();
        if (term->phase == term_phase::active) {
            for (const auto& [name, client] : clients)
                client->released(slot.id);
        }
        fail_copies(*term);
    }

    // --- Copies -------------------------------------------------------------

    void replicate(const std::string& client, shard_slot& slot,
                   shard_entry entry, std::function<void(bool)> done)
    {
        if (!owns(slot) ||
            slot.term->copies.size() >= settings.max_pending_copies) {
            done(false);
            return;
        }
        entry.key.insert(0, client + ":");
        number(*slot.term, entry);
        begin_copy(slot, {std::move(entry)}, std::move(done));
    }

    // The number tells which of two states of an entry is newer, so it is
    // given when the state is read, not when it is sent.
    static void number(shard_term& term, shard_entry& it)
    {
        it.epoch = term.epoch;
        it.sequence = ++term.last_sequence;
    }

    void begin_copy(shard_slot& slot, std::vector<shard_entry> entries,
                    std::function<void(bool)> done, bool transfer = false)
    {
        auto& term = *slot.term;
        auto id = ++term.last_id;
        auto& it = term.copies[id];
        it.entries = std::move(entries);
        it.done = std::move(done);
        it.transfer = transfer;
        it.started = loop.now();
        it.sending.due(loop.now(), settings.resend_period);
        send_copy(slot, id, it);
        evaluate_copy(slot, id);
    }

    void send_copy(shard_slot& slot, std::uint64_t id,
                   const copy_operation& copy)
    {
        Json::Value entries(Json::arrayValue);
        for (const auto& it : copy.entries)
            entries.append(to_json(it));
        for (const auto& it : slot.term->quorum.all()) {
            if (copy.held_by.count(it.boot) != 0)
                continue;
            auto out = to_witness(slot, it, id);
            out["entries"] = entries;
            transport.send(it.address, "record.copy", out);
        }
    }

    void copied(shard_slot& slot, const peer_address&,
                const Json::Value& params)
    {
        message_fields in(params);
        std::string witness;
        std::uint64_t id = 0;
        if (!accepted(slot, in, witness, id))
            return;
        auto found = slot.term->copies.find(id);
        if (found == slot.term->copies.end())
            return;
        found->second.held_by.insert(witness);
        evaluate_copy(slot, id);
    }

    void evaluate_copy(shard_slot& slot, std::uint64_t id)
    {
        auto term = slot.term;
        auto found = term->copies.find(id);
        auto& copy = found->second;
        if (copy.transfer ? !term->quorum.next_reached(copy.held_by)
                          : !term->quorum.reached(copy.held_by))
            return;
        auto done = std::move(copy.done);
        copy.done = nullptr;
        auto nodes = term->quorum.all();
        bool everywhere =
            std::all_of(nodes.begin(), nodes.end(), [&](const auto& it) {
                return copy.held_by.count(it.boot) != 0;
            });
        bool old = loop.now() - copy.started > straggler_limit;
        if (everywhere || old)
            term->copies.erase(found);
        if (done)
            done(true);
    }

    void resend_copies(shard_slot& slot)
    {
        auto term = slot.term;
        std::vector<std::uint64_t> due;
        for (auto& [id, it] : term->copies) {
            if (!it.sending.due(loop.now(), settings.resend_period))
                continue;
            send_copy(slot, id, it);
            due.push_back(id);
        }
        for (auto id : due) {
            if (slot.term == term && term->copies.count(id) != 0)
                evaluate_copy(slot, id);
        }
    }

    static void fail_copies(shard_term& term)
    {
        auto copies = std::move(term.copies);
        term.copies.clear();
        for (auto& [id, it] : copies) {
            if (it.done)
                it.done(false);
        }
    }

    // --- Change of witnesses ------------------------------------------------

    bool is_healthy(const shard_term& term, const node_ref& it) const
    {
        if (it.instance == members.self().instance ||
            term.restarted.count(it.boot) != 0)
            return false;
        auto known = members.find(it.instance);
        if (!known || !may_act(*known) || known->peer != it.address)
            return false;
        auto last = term.quorum.last_acknowledged(it.boot);
        auto heard = std::max(last.value_or(term.started), term.started);
        return loop.now() - heard < settings.witness_limit;
    }

    // Members to add to `kept`, from further failure domains first.
    std::vector<member>
    pick_witnesses(shard_slot& slot, const std::vector<node_ref>& kept,
                   const std::map<std::string, time_point>& avoided)
    {
        std::set<std::string> excluded{members.self().instance};
        // A witness that went silent would only delay the change; one that
        // restarted may be a witness again.
        if (slot.term) {
            for (const auto& it : slot.term->quorum.current()) {
                if (slot.term->restarted.count(it.boot) == 0)
                    excluded.insert(it.instance);
            }
        }
        std::set<std::string> domains{members.self().failure_domain};
        for (const auto& it : kept) {
            excluded.insert(it.instance);
            if (auto known = members.find(it.instance))
                domains.insert(known->failure_domain);
        }
        auto eligible = [&](const member& it) {
            auto wait = avoided.find(it.instance);
            return it.state == member_state::active &&
                   excluded.count(it.instance) == 0 &&
                   (wait == avoided.end() || wait->second <= loop.now());
        };
        auto found = rendezvous_order(members.members(),
                                      "witness/" + std::to_string(slot.id),
                                      compared_witnesses, eligible);
        std::vector<member> picked;
        auto take = [&](bool new_domain) {
            for (const auto& it : found) {
                if (kept.size() + picked.size() >= settings.witnesses)
                    return;
                if (excluded.count(it.instance) != 0 ||
                    (new_domain && domains.count(it.failure_domain) != 0))
                    continue;
                excluded.insert(it.instance);
                domains.insert(it.failure_domain);
                picked.push_back(it);
            }
        };
        take(true);
        take(false);
        return picked;
    }

    void tick_change(shard_slot& slot)
    {
        auto& term = *slot.term;
        if (!term.change) {
            if (loop.now() >= term.next_change && !slot.busy)
                consider_change(slot);
            return;
        }
        auto& change = *term.change;
        if (change.writing)
            return;
        bool hopeless = std::any_of(change.asked.begin(), change.asked.end(),
                                    [&](const auto& it) {
                                        auto known = members.find(it.instance);
                                        return !known || !may_act(*known);
                                    });
        if (hopeless ||
            loop.now() - change.started > 2 * settings.witness_limit) {
            abandon_change(slot);
            return;
        }
        if (!term.quorum.next()) {
            if (change.asked.empty())
                begin_transfer(slot);
            else
                send_enlist(slot, change);
            return;
        }
        continue_transfer(slot);
    }

    void consider_change(shard_slot& slot)
    {
        auto& term = *slot.term;
        auto now = loop.now();
        term.next_change = now + settings.extend_period / 2;
        const auto& current = term.quorum.current();
        std::vector<node_ref> healthy;
        std::vector<node_ref> own;
        for (const auto& it : current) {
            if (is_healthy(term, it))
                healthy.push_back(it);
            else if (it.boot == boot)
                own.push_back(it);
        }
        if (healthy.size() == current.size() &&
            healthy.size() >= settings.witnesses && term.settled)
            return;
        auto picked = pick_witnesses(slot, healthy, term.avoided);
        // Fewer witnesses are no better while a majority of them answers, and
        // this node itself is better than none.
        bool keep = picked.empty() &&
                    healthy.size() + own.size() >= majority(current.size());
        if (keep && term.settled)
            return;
        // An owner that lost all of several witnesses is more likely cut off
        // than alone, and a successor can fence them sooner.
        if (!keep && healthy.empty() && picked.empty() && current.size() > 1 &&
            now - term.lease_end < alone_limit)
            return;
        term.change.emplace();
        term.change->known = keep ? current : healthy;
        term.change->asked = picked;
        term.change->started = now;
        tick_change(slot);
    }

    void send_enlist(shard_slot& slot, witness_change& change)
    {
        if (!change.sending.due(loop.now(), settings.resend_period))
            return;
        for (const auto& it : change.asked) {
            auto out = message(slot);
            out["version"] = Json::UInt64(slot.term ? slot.term->version : 0);
            out["instance"] = it.instance;
            transport.send(it.peer, "ownership.enlist", out);
        }
    }

    void enlisted(shard_slot& slot, const peer_address& from,
                  const Json::Value& params)
    {
        message_fields in(params);
        auto instance = in.text("instance", max_name_bytes);
        auto witness = in.text("boot", max_name_bytes);
        if (!in.valid()) {
            ++malformed;
            return;
        }
        bool first = slot.first_witnesses && !slot.term;
        if (!first &&
            (!slot.term || !slot.term->change || slot.term->quorum.next()))
            return;
        auto& change = first ? *slot.first_witnesses : *slot.term->change;
        auto found = std::find_if(
            change.asked.begin(), change.asked.end(), [&](const auto& it) {
                return it.instance == instance && it.peer == from;
            });
        if (found == change.asked.end())
            return;
        change.known.push_back({instance, witness, from});
        change.asked.erase(found);
        if (!first && change.asked.empty())
            begin_transfer(slot);
    }

    void begin_transfer(shard_slot& slot)
    {
        auto& term = *slot.term;
        auto& change = *term.change;
        term.quorum.propose(change.known);

        term.asked_all = {};
        extend(slot);
        auto entries = collect(slot.id, copy_purpose::witness);
        for (auto& it : entries)
            number(term, it);
        change.pages = pages_of(std::move(entries));
        std::reverse(change.pages.begin(), change.pages.end());
        continue_transfer(slot);
    }

    void continue_transfer(shard_slot& slot)
    {
        auto term = slot.term;
        while (slot.term == term && term->change &&
               !term->change->pages.empty() &&
               term->change->pages_under_way < transfer_window) {
            auto page = std::move(term->change->pages.back());
            term->change->pages.pop_back();
            ++term->change->pages_under_way;
            auto arrived = [&slot](bool held) {
                if (held && slot.term && slot.term->change)
                    --slot.term->change->pages_under_way;
            };
            begin_copy(slot, std::move(page), arrived, true);
        }
        if (slot.term != term || !term->change ||
            term->change->pages_under_way > 0 || term->change->writing ||
            slot.busy || !may_call() ||
            term->quorum.next_lease_end(settings.lease_term) <= loop.now())
            return;
        write_change(slot);
    }

    void write_change(shard_slot& slot)
    {
        auto term = slot.term;
        term->change->writing = true;
        term->lease_end = current_lease(*term);
        shard_object wanted{term->epoch, self(), *term->quorum.next(), {}};
        write(slot, wanted, term->version,
              [this, &slot, term](std::optional<std::uint64_t> version) {
                  if (slot.term != term)
                      return;
                  if (version) {
                      term->version = *version;
                      confirm_change(slot);
                  } else if (slot.object_known &&
                             slot.version != term->version) {
                      step_down(slot);
                  } else {
                      abandon_change(slot);
                  }
              });
    }

    void confirm_change(shard_slot& slot)
    {
        auto term = slot.term;
        auto before = term->quorum.current();
        term->quorum.confirm();
        term->change.reset();
        term->settled = true;
        drop_transfer(*term);
        term->lease_end = current_lease(*term);
        const auto& now = term->quorum.current();
        for (const auto& it : before) {
            if (std::find(now.begin(), now.end(), it) != now.end())
                continue;
            auto out = message(slot);
            out["version"] = Json::UInt64(term->version);
            out["boot"] = it.boot;
            transport.send(it.address, "ownership.dismiss", out);
        }
        evaluate_copies(slot);
    }

    void abandon_change(shard_slot& slot)
    {
        auto& term = *slot.term;
        for (const auto& it : term.change->asked)
            term.avoided[it.instance] = loop.now() + avoid_limit;
        for (auto it = term.avoided.begin(); it != term.avoided.end();)
            it = it->second <= loop.now() ? term.avoided.erase(it)
                                          : std::next(it);
        term.quorum.abandon();
        term.change.reset();
        drop_transfer(term);
        term.next_change = loop.now() + settings.extend_period;
        term.lease_end = current_lease(term);
        evaluate_copies(slot);
    }

    static void drop_transfer(shard_term& term)
    {
        for (auto it = term.copies.begin(); it != term.copies.end();)
            it = it->second.transfer ? term.copies.erase(it) : std::next(it);
    }

    void evaluate_copies(shard_slot& slot)
    {
        auto term = slot.term;
        std::vector<std::uint64_t> ids;
        for (const auto& [id, it] : term->copies)
            ids.push_back(id);
        for (auto id : ids) {
            if (slot.term == term && term->copies.count(id) != 0)
                evaluate_copy(slot, id);
        }
    }

    // --- Planned leave ------------------------------------------------------

    void leave(duration limit, std::function<void()> done)
    {
        is_leaving = true;
        leave_by = loop.now() + limit;
        on_left = std::move(done);
        for (auto& slot : slots) {
            if (!slot.term)
                continue;
            if (owns(slot) && !slot.busy)
                begin_departure(slot);
            else
                step_down(slot);
        }
    }

    void begin_departure(shard_slot& slot)
    {
        auto it = std::make_shared<departure>();
        it->epoch = slot.term->epoch + 1;
        it->version = slot.term->version;
        it->witnesses = slot.term->quorum.current();
        it->pages = pages_of(collect(slot.id, copy_purpose::successor));
        // The successor tells its boot in answer to a page.
        if (it->pages.empty())
            it->pages.emplace_back();
        step_down(slot);
        slot.leaving = it;
        tick_departure(slot);
    }

    void tick_departure(shard_slot& slot)
    {
        auto& it = *slot.leaving;
        if (it.writing)
            return;
        if (!it.written &&
            (!it.successor || loop.now() - it.asked > hand_over_answer_limit))
            choose_successor(slot);
        if (it.writing || !it.successor)
            return;
        if (!it.written && it.received.size() == it.pages.size()) {
            write_departure(slot);
            return;
        }
        if (!it.sending.due(loop.now(), settings.resend_period))
            return;
        if (it.written)
            send_commit(slot);
        else
            send_pages(slot);
    }

    void choose_successor(shard_slot& slot)
    {
        auto& it = *slot.leaving;
        if (it.successor)
            it.tried.insert(it.successor->instance);
        it.successor.reset();
        it.successor_boot.clear();
        it.received.clear();
        it.sending = {};
        it.asked = loop.now();
        for (const auto& next : candidates(slot)) {
            if (next.instance != members.self().instance &&
                next.state == member_state::active &&
                it.tried.count(next.instance) == 0) {
                it.successor = next;
                return;
            }
        }
        // Nobody is left to hand over to.
        write_departure(slot);
    }

    void send_pages(shard_slot& slot)
    {
        auto& it = *slot.leaving;
        std::size_t sent = 0;
        for (std::size_t n = 0; n < it.pages.size(); ++n) {
            if (it.received.count(n) != 0)
                continue;
            auto out = message(slot);
            out["epoch"] = Json::UInt64(it.epoch);
            out["boot"] = boot;
            out["id"] = Json::UInt64(n);
            out["commit"] = false;
            Json::Value entries(Json::arrayValue);
            for (const auto& entry : it.pages[n])
                entries.append(to_json(entry));
            out["entries"] = entries;
            transport.send(it.successor->peer, "ownership.hand_over", out);
            if (++sent == transfer_window)
                return;
        }
    }

    void send_commit(shard_slot& slot)
    {
        auto& it = *slot.leaving;
        auto out = message(slot);
        out["epoch"] = Json::UInt64(it.epoch);
        out["boot"] = boot;
        out["id"] = Json::UInt64(it.pages.size());
        out["commit"] = true;
        out["version"] = Json::UInt64(it.version);
        out["witnesses"] = to_json(it.witnesses);
        transport.send(it.successor->peer, "ownership.hand_over", out);
    }

    void write_departure(shard_slot& slot)
    {
        auto it = slot.leaving;
        if (slot.busy || !may_call())
            return;
        it->writing = true;
        shard_object wanted{it->epoch, {}, it->witnesses, {}};
        if (it->successor)
            wanted.owner = {it->successor->instance, it->successor_boot,
                            it->successor->peer};
        write(slot, wanted, it->version,
              [this, &slot, it](std::optional<std::uint64_t> version) {
                  if (slot.leaving != it)
                      return;
                  it->writing = false;
                  if (!version || !it->successor) {
                      slot.leaving.reset();
                      return;
                  }
                  it->written = true;
                  it->version = *version;
                  it->sending = {};
                  set_hint(slot, it->epoch, it->successor->peer);
                  tick_departure(slot);
              });
    }

    void handed(shard_slot& slot, const peer_address& from,
                const Json::Value& params)
    {
        message_fields in(params);
        auto epoch = in.number("epoch");
        auto id = in.number("id");
        auto successor = in.text("boot", max_name_bytes);
        if (!in.valid()) {
            ++malformed;
            return;
        }
        auto it = slot.leaving;
        if (!it || !it->successor || it->successor->peer != from ||
            it->epoch != epoch || it->writing)
            return;
        if (it->written) {
            if (id == it->pages.size() && successor == it->successor_boot)
                slot.leaving.reset();
            finish_leave();
            return;
        }
        // The successor restarted between two pages.
        if (it->successor_boot != successor)
            it->received.clear();
        it->successor_boot = successor;
        if (id < it->pages.size())
            it->received.insert(id);
        it->asked = loop.now();
        it->sending = {};
        tick_departure(slot);
    }

    void finish_leave()
    {
        if (!on_left)
            return;
        bool pending =
            std::any_of(slots.begin(), slots.end(),
                        [](const auto& it) { return it.leaving != nullptr; });
        if (pending && loop.now() < leave_by)
            return;
        for (auto& it : slots)
            it.leaving.reset();
        auto done = std::move(on_left);
        on_left = nullptr;
        done();
    }

    void hand_over(shard_slot& slot, const peer_address& from,
                   const Json::Value& params)
    {
        message_fields in(params);
        auto epoch = in.number("epoch");
        auto sender = in.text("boot", max_name_bytes);
        auto id = in.number("id", max_transfer_pages);
        auto commit = in.flag("commit");
        if (!in.valid()) {
            ++malformed;
            return;
        }
        if (is_leaving)
            return;
        auto answer = message(slot);
        answer["epoch"] = Json::UInt64(epoch);
        answer["id"] = Json::UInt64(id);
        answer["boot"] = boot;
        bool begun = epoch <= slot.begun_epoch;
        bool taken = commit ? take_commit(slot, epoch, sender, id, params)
                            : take_page(slot, epoch, sender, id, params);
        if (begun || taken)
            transport.send(from, "ownership.handed", answer);
    }

    bool take_page(shard_slot& slot, std::uint64_t epoch,
                   const std::string& sender, std::uint64_t id,
                   const Json::Value& params)
    {
        message_fields in(params);
        auto entries = entries_from_json(in.optional("entries"));
        if (!entries || epoch <= slot.begun_epoch)
            return false;
        auto& it = slot.incoming;
        if (!it || it->epoch != epoch || it->boot != sender) {
            it.emplace();
            it->epoch = epoch;
            it->boot = sender;
        }
        it->last = loop.now();
        if (it->pages.count(id) != 0)
            return true;
        for (const auto& entry : *entries)
            it->bytes += size_of(entry);
        if (it->bytes > settings.max_copy_bytes) {
            it.reset();
            return false;
        }
        it->pages[id] = std::move(*entries);
        return true;
    }

    bool take_commit(shard_slot& slot, std::uint64_t epoch,
                     const std::string& sender, std::uint64_t count,
                     const Json::Value& params)
    {
        message_fields in(params);
        auto version = in.number("version");
        auto nodes = nodes_from_json(in.optional("witnesses"));
        auto& it = slot.incoming;
        if (!in.valid() || !nodes || !it || it->epoch != epoch ||
            it->boot != sender || it->pages.size() != count ||
            epoch <= slot.begun_epoch)
            return false;
        auto pages = std::move(it->pages);
        it.reset();
        std::vector<shard_entry> entries;
        for (auto& [part, page] : pages) {
            for (auto& entry : page)
                entries.push_back(std::move(entry));
        }
        step_down(slot);
        shard_object object{epoch, self(), *nodes, {}};
        written(slot, object, version);
        begin_term(slot, object, version, shard_state::origin::hand_over,
                   std::move(entries));
        return true;
    }
};

ownership::ownership(event_loop& loop, peer_transport& transport,
                     object_store& store, member_view& members,
                     counters& counts, std::uint64_t seed, std::string boot,
                     ownership_settings settings)
    : impl_(std::make_shared<impl>(loop, transport, store, members, counts,
                                   seed, std::move(boot), settings))
{
}

ownership::~ownership()
{
    impl_->loop.cancel(impl_->timer);
}

void ownership::attach(const std::string& name, shard_client& client)
{
    impl_->clients[name] = &client;
}

void ownership::start()
{
    impl_->start();
}

void ownership::leave(duration limit, std::function<void()> done)
{
    impl_->leave(limit, std::move(done));
}

shard_id ownership::shard_of(std::string_view key) const
{
    return static_cast<shard_id>(stable_hash(key) % impl_->settings.shards);
}

bool ownership::owns(shard_id shard) const
{
    return impl_->owns(impl_->slots.at(shard));
}

std::uint64_t ownership::epoch(shard_id shard) const
{
    const auto& slot = impl_->slots.at(shard);
    return impl_->owns(slot) ? slot.term->epoch : 0;
}

peer_address ownership::route(shard_id shard) const
{
    return impl_->route(impl_->slots.at(shard));
}

void ownership::no_answer(shard_id shard, const peer_address& asked)
{
    auto& slot = impl_->slots.at(shard);
    if (slot.hint) {
        if (slot.hint->address == asked)
            slot.hint.reset();
        return;
    }
    if (impl_->route(slot) == asked)
        ++slot.guess;
}

Json::Value ownership::hint(shard_id shard) const
{
    return impl_->hint(impl_->slots.at(shard));
}

bool ownership::learn(shard_id shard, const Json::Value& hint,
                      const peer_address& asked)
{
    return impl_->learn(impl_->slots.at(shard), hint, asked);
}

void ownership::replicate(const std::string& client, shard_id shard,
                          shard_entry entry,
                          std::function<void(bool held)> done)
{
    impl_->replicate(client, impl_->slots.at(shard), std::move(entry),
                     std::move(done));
}

const std::string& ownership::boot() const
{
    return impl_->boot;
}

const ownership_settings& ownership::settings() const
{
    return impl_->settings;
}

} // namespace shallotwood::process
