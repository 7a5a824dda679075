#include "process/record_store.hpp"

#include "process/json_text.hpp"
#include "process/keyed_hash.hpp"
#include "process/log.hpp"
#include "process/shard_messages.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>

namespace shallotwood::process
{

namespace
{

const char* const client_name = "record";
// Key of the entry that keeps a lost shard closed; not a base64 text, so it is
// never the key of a record.
const char* const lost_key = "!";
// Fixed cost of a record beside its texts, in bytes.
constexpr std::size_t record_overhead = 256;
// Claims given up by this node that are remembered, so that a late grant is
// given back.
constexpr std::size_t max_void_claims = 65536;
constexpr std::size_t max_content_type_bytes = 1024;
constexpr int sends_before_reroute = 2;
constexpr int most_redirections = 3;
constexpr duration longest_finish_pause = std::chrono::seconds(1);
constexpr duration expiry_period = std::chrono::seconds(1);

enum class record_state { claimed, may_have_run, done };

struct record {
    record_state state = record_state::claimed;
    std::string claim;
    request::recorded_response response;
    time_point claimed_at{};
    time_point expires{};
    // A majority of the witnesses holds this state. Not known of a record
    // that came from an earlier owner.
    bool held = false;
    // It is being copied.
    bool copying = false;
};

std::size_t size_of(const std::string& key, const record& it)
{
    return record_overhead + key.size() + it.claim.size() +
           it.response.content_type.size() + it.response.body.size();
}

Json::Value to_json(const request::recorded_response& it)
{
    Json::Value out;
    out["status"] = it.status;
    out["type"] = to_base64(it.content_type);
    out["body"] = to_base64(it.body);
    out["recorded"] = it.body_recorded;
    return out;
}

std::optional<request::recorded_response>
response_from_json(const Json::Value& value, std::size_t max_body)
{
    message_fields in(value);
    request::recorded_response it;
    it.status = static_cast<int>(in.number("status", 999));
    auto type = from_base64(in.text("type", 2 * max_content_type_bytes));
    auto body = from_base64(in.text("body", 2 * max_body));
    it.body_recorded = in.flag("recorded");
    if (!in.valid() || !type || !body || body->size() > max_body)
        return std::nullopt;
    it.content_type = std::move(*type);
    it.body = std::move(*body);
    return it;
}

const char* name_of(record_state state)
{
    switch (state) {
    case record_state::claimed:
        return "claimed";
    case record_state::may_have_run:
        return "may_have_run";
    case record_state::done:
        return "done";
    }
    return "may_have_run";
}

struct owned_shard {
    std::unordered_map<std::string, record> records;
    // Claims of unknown keys are refused until then.
    time_point lost_until{};
    std::set<std::pair<time_point, std::string>> by_expiry;
};

enum class claim_phase { asking, running, finishing };

// A claim of this node.
struct open_claim {
    claim_phase phase = claim_phase::asking;
    std::string key;
    shard_id shard = 0;
    time_point asked;
    std::function<void(const claim_result&)> on_claimed;
    claim_outcome outcome;
    std::function<void(bool)> on_finished;
    peer_address to;
    int sends = 0;
    int redirections = 0;
    duration pause{};
    timer_id resend_timer{};
    timer_id limit_timer{};
};

} // namespace

struct record_store::impl final : shard_client,
                                  std::enable_shared_from_this<impl> {
    impl(event_loop& event_loop, peer_transport& peers, ownership& shards,
         counters& counts, record_settings values)
        : loop(event_loop), transport(peers), owners(shards), settings(values),
          granted(counts.at("record_claims_total", R"(result="granted")")),
          repeated(counts.at("record_claims_total", R"(result="repeat")")),
          refused(counts.at("record_claims_total", R"(result="refused")")),
          void_answers(counts.at("record_void_answers_total")),
          malformed(counts.at("record_malformed_messages_total"))
    {
    }

    event_loop& loop;
    peer_transport& transport;
    ownership& owners;
    const record_settings settings;
    std::map<shard_id, owned_shard> owned;
    std::size_t count = 0;
    std::size_t bytes = 0;
    std::map<std::string, open_claim> open;
    // Claims that were given up unrun, with their keys.
    std::unordered_map<std::string, std::string> void_claims;
    std::deque<std::string> void_order;
    std::uint64_t last_claim = 0;
    std::uint64_t& granted;
    std::uint64_t& repeated;
    std::uint64_t& refused;
    std::uint64_t& void_answers;
    std::uint64_t& malformed;

    template <typename Task>
    auto guarded(Task task)
    {
        return [weak = weak_from_this(), task = std::move(task)](auto&&... it) {
            if (auto alive = weak.lock())
                task(std::forward<decltype(it)>(it)...);
        };
    }

    void start()
    {
        owners.attach(client_name, *this);
        on("record.claim", &impl::take_claim);
        on("record.claimed", &impl::claimed);
        on("record.finish", &impl::take_finish);
        on("record.finished", &impl::finished);
        expire_later();
    }

    using message_handler = void (impl::*)(const peer_address&,
                                           const Json::Value&);

    void on(const char* method, message_handler act)
    {
        transport.subscribe(
            method, guarded([this, act](const auto& from, const auto& in) {
                (this->*act)(from, in);
            }));
    }

    // --- Owner: state -------------------------------------------------------

    void acquired(shard_id shard, const shard_state& state) override
    {
        released(shard);
        auto now = loop.now();
        auto& in = owned[shard];
        for (const auto& entry : state.entries) {
            if (entry.key == lost_key)
                in.lost_until = now + entry.lifetime;
            else if (auto it = record_from(entry))
                insert(in, entry.key, std::move(*it));
        }
        if (state.complete)
            return;
        SHALLOTWOOD_LOG(warning)
            << "event=records-lost" << field("shard", std::to_string(shard));
        in.lost_until = now + settings.window;
        owners.replicate(client_name, shard, lost_entry(in), [](bool) {});
    }

    shard_entry lost_entry(const owned_shard& in) const
    {
        shard_entry it;
        it.key = lost_key;
        it.value = "{}";
        it.lifetime = in.lost_until - loop.now();
        return it;
    }

    void released(shard_id shard) override
    {
        auto found = owned.find(shard);
        if (found == owned.end())
            return;
        for (const auto& [key, it] : found->second.records) {
            --count;
            bytes -= size_of(key, it);
        }
        owned.erase(found);
    }

    std::vector<shard_entry> state(shard_id shard,
                                   copy_purpose /*purpose*/) const override
    {
        auto found = owned.find(shard);
        if (found == owned.end())
            return {};
        const auto& in = found->second;
        std::vector<shard_entry> entries;
        entries.reserve(in.records.size() + 1);
        for (const auto& [key, it] : in.records)
            entries.push_back(entry_of(key, it));
        if (in.lost_until > loop.now())
            entries.push_back(lost_entry(in));
        return entries;
    }

    shard_entry entry_of(const std::string& key, const record& it) const
    {
        Json::Value value;
        value["state"] = name_of(it.state);
        value["claim"] = it.claim;
        if (it.state == record_state::done)
            value["response"] = to_json(it.response);
        shard_entry entry;
        entry.key = key;
        entry.value = write_json(value);
        entry.lifetime = it.expires - loop.now();
        return entry;
    }

    // A copy that can't be read still means that the key was claimed.
    std::optional<record> record_from(const shard_entry& entry) const
    {
        auto now = loop.now();
        if (entry.key.empty() || entry.lifetime.count() <= 0)
            return std::nullopt;
        record it;
        it.state = record_state::may_have_run;
        it.claimed_at = now;
        it.expires = now + entry.lifetime;
        auto value = parse_json(entry.value).value_or(Json::Value());
        message_fields in(value);
        auto state = in.text("state", max_name_bytes);
        it.claim = in.text("claim", max_name_bytes);
        if (!in.valid())
            return it;
        if (state == name_of(record_state::claimed))
            it.state = record_state::claimed;
        if (state == name_of(record_state::done)) {
            auto response = response_from_json(in.optional("response"),
                                               settings.max_body_bytes);
            if (response) {
                it.state = record_state::done;
                it.response = std::move(*response);
            }
        }
        return it;
    }

    record& insert(owned_shard& in, const std::string& key, record it)
    {
        ++count;
        bytes += size_of(key, it);
        in.by_expiry.emplace(it.expires, key);
        return in.records[key] = std::move(it);
    }

    void erase(owned_shard& in, const std::string& key)
    {
        auto found = in.records.find(key);
        if (found == in.records.end())
            return;
        --count;
        bytes -= size_of(key, found->second);
        in.by_expiry.erase({found->second.expires, key});
        in.records.erase(found);
    }

    void expire_later()
    {
        loop.call_after(expiry_period, guarded([this] {
                            expire();
                            expire_later();
                        }));
    }

    // The witnesses drop their copies by themselves at the same age.
    void expire()
    {
        auto now = loop.now();
        for (auto& [shard, in] : owned) {
            while (!in.by_expiry.empty() && in.by_expiry.begin()->first <= now)
                erase(in, std::string(in.by_expiry.begin()->second));
        }
    }

    // --- Owner: claims ------------------------------------------------------

    struct claim_message {
        std::string claim;
        std::string key;
        shard_id shard = 0;
    };

    std::optional<claim_message> claim_from(message_fields& in)
    {
        claim_message it;
        it.claim = in.text("claim", max_name_bytes);
        it.key = in.text("key", 4 * settings.max_key_bytes + max_name_bytes);
        if (!in.valid() || it.key.empty() || it.key == lost_key) {
            ++malformed;
            return std::nullopt;
        }
        it.shard = owners.shard_of(it.key);
        return it;
    }

    Json::Value answer_to(const claim_message& it, const char* result) const
    {
        Json::Value out;
        out["claim"] = it.claim;
        out["result"] = result;
        out["owner"] = owners.hint(it.shard);
        return out;
    }

    void take_claim(const peer_address& from, const Json::Value& params)
    {
        message_fields in(params);
        auto it = claim_from(in);
        if (!it)
            return;
        if (!owners.owns(it->shard)) {
            transport.send(from, "record.claimed", answer_to(*it, "not_owner"));
            return;
        }
        auto& shard = owned[it->shard];
        auto found = shard.records.find(it->key);
        if (found == shard.records.end())
            begin_claim(shard, from, *it);
        else
            answer_repeat(from, *it, found->second);
    }

    void begin_claim(owned_shard& shard, const peer_address& from,
                     const claim_message& it)
    {
        auto now = loop.now();
        record fresh;
        fresh.claim = it.claim;
        fresh.claimed_at = now;
        fresh.expires = now + settings.window;
        const char* refusal = nullptr;
        if (now < shard.lost_until)
            refusal = "lost";
        else if (count >= settings.max_records ||
                 bytes + size_of(it.key, fresh) > settings.max_bytes)
            refusal = "capacity";
        if (refusal) {
            transport.send(from, "record.claimed", answer_to(it, refusal));
            return;
        }
        auto& kept = insert(shard, it.key, fresh);
        copy(it, entry_of(it.key, kept), [this, from, it] {
            transport.send(from, "record.claimed", answer_to(it, "granted"));
        });
    }

    // Copies the record's present state; calls `then` if it is still in force
    // once a majority holds it and this node still owns the shard.
    void copy(const claim_message& it, shard_entry entry,
              const std::function<void()>& then)
    {
        auto kept = record_at(it);
        auto state_copied = kept->state;
        kept->copying = true;
        owners.replicate(client_name, it.shard, std::move(entry),
                         guarded([this, it, state_copied, then](bool held) {
                             auto after = record_at(it);
                             if (!after || after->state != state_copied)
                                 return;
                             after->copying = false;
                             after->held = held;
                             if (held && owners.owns(it.shard))
                                 then();
                         }));
    }

    // The record that this claim made, or null.
    record* record_at(const claim_message& it)
    {
        auto shard = owned.find(it.shard);
        if (shard == owned.end())
            return nullptr;
        auto found = shard->second.records.find(it.key);
        if (found == shard->second.records.end() ||
            found->second.claim != it.claim)
            return nullptr;
        return &found->second;
    }

    void answer_repeat(const peer_address& from, const claim_message& it,
                       const record& kept)
    {
        bool same = kept.claim == it.claim;
        if (kept.state == record_state::claimed && same) {
            once_held(it.key, it.shard, kept, [this, from, it] {
                transport.send(from, "record.claimed",
                               answer_to(it, "granted"));
            });
            return;
        }
        if (kept.state == record_state::done) {
            auto out = answer_to(it, "done");
            out["response"] = to_json(kept.response);
            once_held(it.key, it.shard, kept, [this, from, out] {
                transport.send(from, "record.claimed", out);
            });
            return;
        }
        bool ended = kept.state == record_state::may_have_run ||
                     (kept.state == record_state::claimed &&
                      loop.now() - kept.claimed_at > settings.run_limit);
        transport.send(from, "record.claimed",
                       answer_to(it, ended ? "may_have_run" : "in_progress"));
    }

    // Acts on a record only when it would outlive this owner: at once, or
    // after it was copied. While a copy is under way the message is dropped,
    // because its sender repeats it.
    void once_held(const std::string& key, shard_id shard, const record& kept,
                   const std::function<void()>& act)
    {
        if (kept.held)
            act();
        else if (!kept.copying)
            copy({kept.claim, key, shard}, entry_of(key, kept), act);
    }

    // --- Owner: ends of claims ----------------------------------------------

    void take_finish(const peer_address& from, const Json::Value& params)
    {
        message_fields in(params);
        auto it = claim_from(in);
        auto how = in.text("how", max_name_bytes);
        if (!it || !in.valid())
            return;
        request::recorded_response response;
        if (how == name_of(record_state::done)) {
            auto parsed = response_from_json(in.optional("response"),
                                             settings.max_body_bytes);
            if (!parsed) {
                ++malformed;
                return;
            }
            response = std::move(*parsed);
        }
        if (!owners.owns(it->shard)) {
            transport.send(from, "record.finished",
                           answer_to(*it, "not_owner"));
            return;
        }
        if (how == "not_run")
            release(from, *it);
        else if (how == name_of(record_state::done))
            settle(from, *it, record_state::done, std::move(response));
        else if (how == name_of(record_state::may_have_run))
            settle(from, *it, record_state::may_have_run, {});
        else
            ++malformed;
    }

    void release(const peer_address& from, const claim_message& it)
    {
        auto kept = record_at(it);
        auto reply = [this, from, it] {
            transport.send(from, "record.finished", answer_to(it, "ok"));
        };
        // Only a claim whose run has not ended otherwise may be given back.
        if (!kept || kept->state != record_state::claimed) {
            reply();
            return;
        }
        erase(owned[it.shard], it.key);
        shard_entry removal;
        removal.key = it.key;
        removal.lifetime = settings.window;
        removal.removed = true;
        owners.replicate(client_name, it.shard, std::move(removal),
                         guarded([reply](bool held) {
                             if (held)
                                 reply();
                         }));
    }

    void settle(const peer_address& from, const claim_message& it,
                record_state state, request::recorded_response response)
    {
        auto reply = [this, from, it] {
            transport.send(from, "record.finished", answer_to(it, "ok"));
        };
        auto& shard = owned[it.shard];
        auto kept = record_at(it);
        if (!kept && shard.records.count(it.key) != 0) {
            transport.send(from, "record.finished", answer_to(it, "unknown"));
            return;
        }
        if (!kept) {
            // The claim was lost with an earlier owner; that it ran is true
            // all the same.
            record fresh;
            fresh.claim = it.claim;
            fresh.claimed_at = loop.now();
            fresh.expires = loop.now() + settings.window;
            kept = &insert(shard, it.key, std::move(fresh));
        }
        if (kept->state != record_state::claimed) {
            if (kept->state == state)
                once_held(it.key, it.shard, *kept, reply);
            return;
        }
        bytes -= size_of(it.key, *kept);
        kept->state = state;
        kept->held = false;
        kept->response = std::move(response);
        if (bytes + size_of(it.key, *kept) > settings.max_bytes) {
            kept->response.body.clear();
            kept->response.body_recorded = false;
        }
        bytes += size_of(it.key, *kept);
        copy(it, entry_of(it.key, *kept), reply);
    }

    // --- Entry node: claims -------------------------------------------------

    void claim(const std::string& workspace, const std::string& key,
               time_point deadline,
               std::function<void(const claim_result&)> done)
    {
        if (key.empty() || key.size() > settings.max_key_bytes ||
            workspace.size() > settings.max_key_bytes) {
            done(claim_refused{request::reason::malformed});
            return;
        }
        if (open.size() >= settings.max_open_claims) {
            ++refused;
            done(claim_refused{request::reason::record_capacity});
            return;
        }
        auto now = loop.now();
        auto id = owners.boot() + "-" + std::to_string(++last_claim);
        auto& it = open[id];
        // A workspace has no zero byte in its name, so the pair is unique.
        it.key = to_base64(workspace + std::string(1, '\0') + key);
        it.shard = owners.shard_of(it.key);
        it.asked = now;
        it.on_claimed = std::move(done);
        auto share = std::chrono::duration_cast<duration>((deadline - now) *
                                                          settings.wait_share);
        auto wait = std::clamp(share, duration(0), settings.answer_limit);
        it.limit_timer =
            loop.call_after(wait, guarded([this, id] { give_up(id); }));
        send(id, it);
    }

    Json::Value message_of(const std::string& id, const open_claim& it) const
    {
        Json::Value out;
        out["claim"] = id;
        out["key"] = it.key;
        if (it.phase == claim_phase::asking)
            return out;
        if (auto response =
                std::get_if<request::recorded_response>(&it.outcome)) {
            out["how"] = name_of(record_state::done);
            out["response"] = to_json(*response);
        } else {
            bool not_run = std::get<request::execution>(it.outcome) ==
                           request::execution::not_run;
            out["how"] =
                not_run ? "not_run" : name_of(record_state::may_have_run);
        }
        return out;
    }

    void send(const std::string& id, open_claim& it)
    {
        it.to = owners.route(it.shard);
        ++it.sends;
        it.pause = it.pause.count() == 0
                       ? settings.resend_period
                       : std::min(2 * it.pause, longest_finish_pause);
        if (it.phase == claim_phase::asking)
            it.pause = settings.resend_period;
        loop.cancel(it.resend_timer);
        it.resend_timer =
            loop.call_after(it.pause, guarded([this, id] { resend(id); }));
        transport.send(it.to,
                       it.phase == claim_phase::asking ? "record.claim"
                                                       : "record.finish",
                       message_of(id, it));
    }

    void resend(const std::string& id)
    {
        auto found = open.find(id);
        if (found == open.end())
            return;
        auto& it = found->second;
        if (it.phase == claim_phase::running)
            return;
        if (it.sends % sends_before_reroute == 0)
            owners.no_answer(it.shard, it.to);
        it.redirections = 0;
        send(id, it);
    }

    void redirect(const std::string& id, open_claim& it,
                  const peer_address& from, bool news)
    {
        if (!news)
            owners.no_answer(it.shard, from);
        if (from == it.to && ++it.redirections <= most_redirections)
            send(id, it);
    }

    // No answer in time: any later one is void, and the claim certainly does
    // not run.
    void give_up(const std::string& id)
    {
        auto found = open.find(id);
        if (found == open.end() || found->second.phase != claim_phase::asking)
            return;
        auto it = close(found);
        remember_void(id, it.key);
        give_back(id, it.key, it.to);
        ++refused;
        it.on_claimed(claim_refused{request::reason::record_owner_unknown});
    }

    open_claim close(std::map<std::string, open_claim>::iterator found)
    {
        loop.cancel(found->second.resend_timer);
        loop.cancel(found->second.limit_timer);
        auto it = std::move(found->second);
        open.erase(found);
        return it;
    }

    void remember_void(const std::string& id, const std::string& key)
    {
        void_claims.emplace(id, key);
        void_order.push_back(id);
        if (void_order.size() > max_void_claims) {
            void_claims.erase(void_order.front());
            void_order.pop_front();
        }
    }

    void give_back(const std::string& id, const std::string& key,
                   const peer_address& to)
    {
        Json::Value out;
        out["claim"] = id;
        out["key"] = key;
        out["how"] = "not_run";
        transport.send(to, "record.finish", out);
    }

    void claimed(const peer_address& from, const Json::Value& params)
    {
        message_fields in(params);
        auto id = in.text("claim", max_name_bytes);
        auto result = in.text("result", max_name_bytes);
        if (!in.valid()) {
            ++malformed;
            return;
        }
        auto found = open.find(id);
        if (found == open.end() || found->second.phase != claim_phase::asking) {
            late_answer(id, result, from);
            return;
        }
        auto& it = found->second;
        if (loop.now() - it.asked >= settings.answer_limit) {
            ++void_answers;
            give_up(id);
            return;
        }
        bool news = owners.learn(it.shard, in.optional("owner"), from);
        if (result == "not_owner")
            redirect(id, it, from, news);
        else if (result == "granted")
            begin_run(id, it);
        else
            end_claim(found, result, in.optional("response"));
    }

    // Only a claim that this node knows it never ran is given back.
    void late_answer(const std::string& id, const std::string& result,
                     const peer_address& from)
    {
        ++void_answers;
        auto key = void_claims.find(id);
        if (result == "granted" && key != void_claims.end())
            give_back(id, key->second, from);
    }

    void begin_run(const std::string& id, open_claim& it)
    {
        it.phase = claim_phase::running;
        loop.cancel(it.resend_timer);
        loop.cancel(it.limit_timer);
        ++granted;
        auto done = std::move(it.on_claimed);
        done(claim_granted{id});
    }

    void end_claim(std::map<std::string, open_claim>::iterator found,
                   const std::string& result, const Json::Value& response)
    {
        auto answer = result_from(result, response);
        if (!answer)
            return;
        auto it = close(found);
        ++(std::holds_alternative<claim_refused>(*answer) ? refused : repeated);
        it.on_claimed(*answer);
    }

    std::optional<claim_result> result_from(const std::string& result,
                                            const Json::Value& response)
    {
        if (result == "in_progress")
            return claim_in_progress{};
        if (result == "may_have_run")
            return claim_may_have_run{};
        if (result == "capacity")
            return claim_refused{request::reason::record_capacity};
        if (result == "lost")
            return claim_refused{request::reason::record_owner_unknown};
        if (result == "done") {
            if (auto it = response_from_json(response, settings.max_body_bytes))
                return claim_done{std::move(*it)};
        }
        ++malformed;
        return std::nullopt;
    }

    // --- Entry node: ends of claims -----------------------------------------

    void finish(const std::string& id, claim_outcome outcome,
                std::function<void(bool)> done)
    {
        auto found = open.find(id);
        if (found == open.end() ||
            found->second.phase != claim_phase::running) {
            done(false);
            return;
        }
        auto& it = found->second;
        if (auto response = std::get_if<request::recorded_response>(&outcome))
            limit_response(*response);
        it.phase = claim_phase::finishing;
        it.outcome = std::move(outcome);
        it.on_finished = std::move(done);
        it.sends = 0;
        it.pause = {};
        it.redirections = 0;
        it.limit_timer =
            loop.call_after(settings.answer_limit,
                            guarded([this, id] { report_unconfirmed(id); }));
        send(id, it);
    }

    void limit_response(request::recorded_response& it) const
    {
        if (it.content_type.size() > max_content_type_bytes)
            it.content_type.clear();
        if (it.body.size() <= settings.max_body_bytes)
            return;
        it.body.clear();
        it.body_recorded = false;
    }

    // The caller is not kept waiting, but the owner may still be reached.
    void report_unconfirmed(const std::string& id)
    {
        auto found = open.find(id);
        if (found == open.end())
            return;
        auto& it = found->second;
        it.limit_timer = loop.call_after(
            std::max(settings.finish_limit - settings.answer_limit,
                     duration(0)),
            guarded([this, id] {
                if (auto late = open.find(id); late != open.end())
                    close(late);
            }));
        auto done = std::move(it.on_finished);
        it.on_finished = nullptr;
        if (done)
            done(false);
    }

    void finished(const peer_address& from, const Json::Value& params)
    {
        message_fields in(params);
        auto id = in.text("claim", max_name_bytes);
        auto result = in.text("result", max_name_bytes);
        if (!in.valid()) {
            ++malformed;
            return;
        }
        auto found = open.find(id);
        if (found == open.end() ||
            found->second.phase != claim_phase::finishing)
            return;
        auto& it = found->second;
        bool news = owners.learn(it.shard, in.optional("owner"), from);
        if (result == "not_owner") {
            redirect(id, it, from, news);
            return;
        }
        auto ended = close(found);
        if (ended.on_finished)
            ended.on_finished(result == "ok");
    }
};

record_store::record_store(event_loop& loop, peer_transport& transport,
                           ownership& owners, counters& counts,
                           record_settings settings)
    : impl_(std::make_shared<impl>(loop, transport, owners, counts, settings))
{
    impl_->start();
}

record_store::~record_store() = default;

void record_store::claim(const std::string& workspace, const std::string& key,
                         time_point deadline,
                         std::function<void(const claim_result&)> done)
{
    impl_->claim(workspace, key, deadline, std::move(done));
}

void record_store::finish(const std::string& claim, claim_outcome outcome,
                          std::function<void(bool recorded)> done)
{
    impl_->finish(claim, std::move(outcome), std::move(done));
}

std::size_t record_store::records() const
{
    return impl_->count;
}

std::size_t record_store::bytes() const
{
    return impl_->bytes;
}

} // namespace shallotwood::process
