#include "process/rate_ledger.hpp"

#include "process/json_text.hpp"
#include "process/log.hpp"
#include "process/message_fields.hpp"

#include <algorithm>
#include <cmath>
#include <deque>

namespace shallotwood::process
{

namespace
{

const char* const client_name = "rate";
constexpr std::size_t max_text_bytes = 1024;
constexpr std::uint64_t most_tokens = 1'000'000'000;
// Key of the entry that carries the base of workspaces without a bucket; no
// workspace has an empty name.
const char* const base_key = "#";
// Weight of the recent past in the estimate of demand.
constexpr double demand_memory_s = 1.0;
// Unanswered sends after which another node is asked.
constexpr int sends_before_reroute = 2;
// Redirections that are followed at once; after that the next resend is
// waited for, so that two stale hints can't make a loop.
constexpr int most_redirections = 3;
constexpr duration longest_pause = std::chrono::seconds(1);
constexpr duration unknown_owner_retry = std::chrono::seconds(1);

struct held_grant {
    time_point void_at;
    std::uint64_t count = 0;
};

struct waiting_charge {
    std::function<void(const charge_result&)> done;
    time_point arrived;
    time_point until;
    timer_id timer{};
};

struct open_question {
    std::uint64_t sequence = 0;
    time_point asked;
    std::uint64_t need = 0;
    std::uint64_t ahead = 0;
    std::uint64_t held = 0;
    peer_address to;
    int sends = 0;
    int redirections = 0;
    timer_id timer{};
};

// A node's tokens of one workspace.
struct token_pool {
    std::string workspace;
    shard_id shard = 0;
    std::deque<held_grant> grants;
    std::deque<waiting_charge> waiting;
    std::optional<open_question> question;
    std::uint64_t last_sequence = 0;
    // Charges a second, recently.
    double demand = 0;
    time_point demand_at{};
    // No question before this, after a shortage.
    time_point pause_until{};
    // When the owner expects a token.
    time_point token_at{};
    timer_id pause_timer{};
    bool pause_pending = false;
    bool return_pending = false;
    // Tokens spent since the owner was last told.
    bool unreported = false;
    bool report_pending = false;
    // The owner's last answer was a shortage, for the reason of a refusal.
    bool short_of_tokens = false;
    // The owner's bucket was at least half full at its last answer.
    bool plentiful = false;

    std::uint64_t held() const
    {
        std::uint64_t sum = 0;
        for (const auto& it : grants)
            sum += it.count;
        return sum;
    }
};

struct owned_shard {
    // Buckets that are not in the table were empty then; never, if the shard
    // had no owner before.
    std::optional<time_point> base;
    std::map<std::string, token_bucket> buckets;
};

} // namespace

struct rate_ledger::impl final : shard_client,
                                 std::enable_shared_from_this<impl> {
    impl(event_loop& event_loop, peer_transport& peers, ownership& shards,
         counters& counts, rate_lookup lookup, rate_settings values)
        : loop(event_loop), transport(peers), owners(shards),
          limits(std::move(lookup)), settings(values),
          asked(counts.at("rate_questions_total")),
          granted(counts.at("rate_tokens_granted_total")),
          void_grants(counts.at("rate_void_grants_total")),
          refused_over(
              counts.at("rate_refusals_total", R"(reason="over-rate")")),
          refused_unknown(counts.at("rate_refusals_total",
                                    R"(reason="record-owner-unknown")")),
          malformed(counts.at("rate_malformed_messages_total"))
    {
    }

    event_loop& loop;
    peer_transport& transport;
    ownership& owners;
    rate_lookup limits;
    const rate_settings settings;
    std::map<shard_id, owned_shard> owned;
    std::size_t bucket_count = 0;
    std::map<std::string, token_pool> pools;
    bool stopped = false;
    std::uint64_t& asked;
    std::uint64_t& granted;
    std::uint64_t& void_grants;
    std::uint64_t& refused_over;
    std::uint64_t& refused_unknown;
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
        transport.subscribe("rate.ask",
                            guarded([this](const auto& from, const auto& in) {
                                answer_question(from, in);
                            }));
        transport.subscribe(
            "rate.return",
            guarded([this](const auto&, const auto& in) { take_return(in); }));
        transport.subscribe("rate.grant",
                            guarded([this](const auto& from, const auto& in) {
                                take_grant(from, in);
                            }));
    }

    // --- Owner --------------------------------------------------------------

    // The owner counts a grant's validity from its answer, which is later than
    // the question, and allows for clocks of different speed.
    duration owner_validity() const
    {
        return settings.validity + owners.settings().clock_margin;
    }

    void acquired(shard_id shard, const shard_state& state) override
    {
        auto now = loop.now();
        released(shard);
        auto& it = owned[shard];
        if (state.from == shard_state::origin::fresh)
            return;
        // The predecessor may have granted every token at the last moment, and
        // those may be spent until their validity ends. Nothing accrues before
        // that: tokens accrued meanwhile would come on top of them.
        it.base = now + owner_validity();
        if (state.from == shard_state::origin::hand_over)
            import(it, state, now);
    }

    void import(owned_shard& shard, const shard_state& state, time_point now)
    {
        for (const auto& entry : state.entries) {
            auto value = parse_json(entry.value).value_or(Json::Value());
            if (entry.key == base_key) {
                import_base(shard, value, now);
                continue;
            }
            auto limit = limits(entry.key);
            if (!limit || bucket_count >= settings.max_workspaces)
                continue;
            auto bucket = token_bucket::from_json(value, *limit, now);
            if (bucket && shard.buckets.emplace(entry.key, *bucket).second)
                ++bucket_count;
        }
    }

    static void import_base(owned_shard& shard, const Json::Value& value,
                            time_point now)
    {
        message_fields in(value);
        bool none = in.flag("none");
        auto age = in.number("age_us", INT64_MAX / 4);
        auto wait = in.number("wait_us", INT64_MAX / 4);
        if (!in.valid())
            return;
        if (none)
            shard.base.reset();
        else
            shard.base = now - duration(age) + duration(wait);
    }

    void released(shard_id shard) override
    {
        auto found = owned.find(shard);
        if (found == owned.end())
            return;
        bucket_count -= found->second.buckets.size();
        owned.erase(found);
    }

    std::vector<shard_entry> state(shard_id shard,
                                   copy_purpose purpose) const override
    {
        // After the loss of an owner the successor assumes the worst, so
        // witnesses need no copies.
        auto found = owned.find(shard);
        if (purpose == copy_purpose::witness || found == owned.end())
            return {};
        auto now = loop.now();
        std::vector<shard_entry> entries;
        auto add = [&](const std::string& key, const Json::Value& value) {
            shard_entry it;
            it.key = key;
            it.value = write_json(value);
            it.lifetime = settings.validity;
            entries.push_back(std::move(it));
        };
        for (const auto& [workspace, it] : found->second.buckets) {
            auto copy = it;
            add(workspace, copy.to_json(now));
        }
        Json::Value base;
        auto since = found->second.base.value_or(now) - now;
        base["none"] = !found->second.base;
        base["age_us"] =
            Json::UInt64(std::max<duration::rep>(-since.count(), 0));
        base["wait_us"] =
            Json::UInt64(std::max<duration::rep>(since.count(), 0));
        add(base_key, base);
        return entries;
    }

    // Null if the workspace is unknown or the table is full.
    token_bucket* bucket_of(shard_id shard, const std::string& workspace)
    {
        auto limit = limits(workspace);
        auto& in = owned[shard];
        auto found = in.buckets.find(workspace);
        if (!limit) {
            if (found != in.buckets.end()) {
                in.buckets.erase(found);
                --bucket_count;
            }
            return nullptr;
        }
        auto now = loop.now();
        if (found != in.buckets.end()) {
            found->second.set_limit(*limit, now);
            return &found->second;
        }
        if (bucket_count >= settings.max_workspaces && !forget_idle(now))
            return nullptr;
        ++bucket_count;
        auto bucket =
            in.base ? token_bucket(*limit, *in.base) : token_bucket(*limit);
        return &in.buckets.emplace(workspace, bucket).first->second;
    }

    // A full bucket without tokens outstanding is the same as a new one.
    bool forget_idle(time_point now)
    {
        for (auto& [shard, it] : owned) {
            for (auto bucket = it.buckets.begin();
                 bucket != it.buckets.end();) {
                if (bucket->second.idle(now)) {
                    bucket = it.buckets.erase(bucket);
                    --bucket_count;
                } else {
                    ++bucket;
                }
            }
        }
        return bucket_count < settings.max_workspaces;
    }

    static token_question question_from(message_fields& in)
    {
        token_question it;
        it.node = in.text("node", max_text_bytes);
        it.sequence = in.number("sequence");
        it.held = in.number("held", most_tokens);
        it.returned = in.number("returned", most_tokens);
        it.need = in.number("need", most_tokens);
        it.ahead = in.number("ahead", most_tokens);
        return it;
    }

    void answer_question(const peer_address& from, const Json::Value& params)
    {
        message_fields in(params);
        auto workspace = in.text("workspace", max_text_bytes);
        auto question = question_from(in);
        if (!in.valid()) {
            ++malformed;
            return;
        }
        auto shard = owners.shard_of(workspace);
        Json::Value out;
        out["workspace"] = workspace;
        out["sequence"] = Json::UInt64(question.sequence);
        out["owner"] = owners.hint(shard);
        out["status"] = "not_owner";
        if (owners.owns(shard)) {
            out["status"] = "unknown_workspace";
            if (auto bucket = bucket_of(shard, workspace)) {
                auto it = bucket->ask(question, loop.now(), owner_validity(),
                                      settings.max_holders);
                if (!it)
                    return;
                granted += it->count;
                out["status"] = "ok";
                out["count"] = Json::UInt64(it->count);
                out["plentiful"] = it->plentiful;
                out["retry_us"] = Json::UInt64(it->retry_after.count());
            }
        }
        transport.send(from, "rate.grant", out);
    }

    void take_return(const Json::Value& params)
    {
        message_fields in(params);
        auto workspace = in.text("workspace", max_text_bytes);
        auto question = question_from(in);
        if (!in.valid()) {
            ++malformed;
            return;
        }
        auto shard = owners.shard_of(workspace);
        if (!owners.owns(shard))
            return;
        question.need = 0;
        question.ahead = 0;
        if (auto bucket = bucket_of(shard, workspace))
            bucket->ask(question, loop.now(), owner_validity(),
                        settings.max_holders);
    }

    // --- Node ---------------------------------------------------------------

    void charge(const std::string& workspace, time_point deadline,
                std::function<void(const charge_result&)> done)
    {
        auto pool = pool_of(workspace);
        if (stopped || !pool) {
            ++refused_unknown;
            done(charge_refusal{request::reason::record_owner_unknown,
                                unknown_owner_retry});
            return;
        }
        auto now = loop.now();
        note_demand(*pool, now);
        if (pool->waiting.empty() && spend(*pool, now)) {
            ask_ahead(*pool, now);
            done(charge_granted{});
            return;
        }
        wait_for_token(*pool, now, deadline, std::move(done));
    }

    token_pool* pool_of(const std::string& workspace)
    {
        auto found = pools.find(workspace);
        if (found != pools.end())
            return &found->second;
        if (workspace.size() > max_text_bytes)
            return nullptr;
        if (pools.size() >= settings.max_workspaces && !forget_pools())
            return nullptr;
        auto& it = pools[workspace];
        it.workspace = workspace;
        it.shard = owners.shard_of(workspace);
        // Above any number that an earlier pool of this workspace used, which
        // may have been forgotten.
        it.last_sequence =
            static_cast<std::uint64_t>(loop.now().time_since_epoch().count());
        return &it;
    }

    bool forget_pools()
    {
        auto now = loop.now();
        for (auto it = pools.begin(); it != pools.end();) {
            drop_void(it->second, now);
            auto& pool = it->second;
            bool idle = pool.grants.empty() && pool.waiting.empty() &&
                        !pool.question && !pool.pause_pending &&
                        !pool.return_pending && !pool.report_pending &&
                        now - pool.demand_at > settings.validity;
            it = idle ? pools.erase(it) : std::next(it);
        }
        return pools.size() < settings.max_workspaces;
    }

    static void note_demand(token_pool& pool, time_point now)
    {
        auto passed =
            std::chrono::duration<double>(now - pool.demand_at).count();
        pool.demand *= std::exp(-passed / demand_memory_s);
        pool.demand += 1 / demand_memory_s;
        pool.demand_at = now;
    }

    std::uint64_t target(const token_pool& pool) const
    {
        auto hold = pool.plentiful ? settings.hold_plentiful : settings.hold;
        auto span = std::chrono::duration<double>(hold).count();
        return static_cast<std::uint64_t>(pool.demand * span);
    }

    static void drop_void(token_pool& pool, time_point now)
    {
        while (!pool.grants.empty() && (pool.grants.front().void_at <= now ||
                                        pool.grants.front().count == 0))
            pool.grants.pop_front();
    }

    bool spend(token_pool& pool, time_point now)
    {
        drop_void(pool, now);
        if (pool.grants.empty())
            return false;
        --pool.grants.front().count;
        pool.unreported = true;
        report_later(pool);
        return true;
    }

    // Until the owner knows that a token was spent, it counts as outstanding
    // and keeps the bucket from filling. A node whose demand needs no question
    // ahead reports at once; a busy one mostly with its next question.
    void report_later(token_pool& pool)
    {
        if (pool.report_pending)
            return;
        pool.report_pending = true;
        auto delay = target(pool) == 0 ? duration(0) : settings.report_period;
        if (pool.plentiful)
            delay = settings.hold_plentiful;
        loop.call_after(delay, guarded([this, &pool] {
                            pool.report_pending = false;
                            if (pool.unreported && !pool.question && !stopped)
                                give_back(pool, 0);
                        }));
    }

    void ask_ahead(token_pool& pool, time_point now)
    {
        auto wanted = target(pool);
        if (!pool.question && wanted > 0 && pool.held() * 2 <= wanted &&
            now >= pool.pause_until)
            ask(pool);
    }

    void wait_for_token(token_pool& pool, time_point now, time_point deadline,
                        std::function<void(const charge_result&)> done)
    {
        auto share = std::chrono::duration_cast<duration>((deadline - now) *
                                                          settings.wait_share);
        auto wait = std::clamp(share, duration(0), settings.wait_limit);
        auto pause = pool.pause_until - now;
        if (pool.waiting.size() >= settings.max_waiting ||
            pause > std::min(wait, settings.shortage_wait)) {
            refuse(pool, done);
            return;
        }
        waiting_charge it{std::move(done), now, now + wait, {}};
        it.timer = loop.call_after(
            wait, guarded([this, &pool] { refuse_overdue(pool); }));
        pool.waiting.push_back(std::move(it));
        ask(pool);
    }

    void refuse(token_pool& pool,
                const std::function<void(const charge_result&)>& done)
    {
        if (pool.short_of_tokens) {
            ++refused_over;
            done(charge_refusal{
                request::reason::over_rate,
                std::max(pool.token_at - loop.now(), settings.refusal_pause)});
        } else {
            ++refused_unknown;
            done(charge_refusal{request::reason::record_owner_unknown,
                                unknown_owner_retry});
        }
    }

    void refuse_overdue(token_pool& pool)
    {
        auto now = loop.now();
        std::vector<waiting_charge> overdue;
        std::deque<waiting_charge> left;
        for (auto& it : pool.waiting) {
            if (it.until <= now)
                overdue.push_back(std::move(it));
            else
                left.push_back(std::move(it));
        }
        pool.waiting = std::move(left);
        for (auto& it : overdue)
            loop.cancel(it.timer);
        for (auto& it : overdue)
            refuse(pool, it.done);
    }

    void ask(token_pool& pool)
    {
        auto now = loop.now();
        if (pool.question)
            return;
        if (now < pool.pause_until) {
            ask_after_pause(pool, pool.pause_until - now);
            return;
        }
        drop_void(pool, now);
        open_question it;
        it.sequence = ++pool.last_sequence;
        it.asked = now;
        it.held = pool.held();
        it.need = pool.waiting.size();
        auto wanted = target(pool);
        it.ahead = wanted > it.held ? wanted - it.held : 0;
        pool.question = it;
        pool.unreported = false;
        ++asked;
        send_question(pool);
    }

    void ask_after_pause(token_pool& pool, duration pause)
    {
        if (pool.pause_pending)
            return;
        pool.pause_pending = true;
        pool.pause_timer = loop.call_after(pause, guarded([this, &pool] {
                                               pool.pause_pending = false;
                                               if (!pool.waiting.empty())
                                                   ask(pool);
                                           }));
    }

    Json::Value message(const token_pool& pool, std::uint64_t sequence) const
    {
        Json::Value out;
        out["workspace"] = pool.workspace;
        out["node"] = owners.boot();
        out["sequence"] = Json::UInt64(sequence);
        out["held"] = 0;
        out["returned"] = 0;
        out["need"] = 0;
        out["ahead"] = 0;
        return out;
    }

    void send_question(token_pool& pool)
    {
        auto& it = *pool.question;
        it.to = owners.route(pool.shard);
        ++it.sends;
        auto out = message(pool, it.sequence);
        out["held"] = Json::UInt64(it.held);
        out["need"] = Json::UInt64(it.need);
        out["ahead"] = Json::UInt64(it.ahead);
        loop.cancel(it.timer);
        it.timer = loop.call_after(
            settings.resend_period,
            guarded([this, &pool, sequence = it.sequence] {
                if (pool.question && pool.question->sequence == sequence)
                    resend(pool);
            }));
        transport.send(it.to, "rate.ask", out);
    }

    void resend(token_pool& pool)
    {
        auto& it = *pool.question;
        if (it.sends % sends_before_reroute == 0)
            owners.no_answer(pool.shard, it.to);
        it.redirections = 0;
        // A grant for a question this old would be void soon after.
        if (loop.now() - it.asked > settings.validity / 2) {
            end_question(pool);
            pool.short_of_tokens = false;
            if (!pool.waiting.empty())
                ask(pool);
            return;
        }
        send_question(pool);
    }

    void end_question(token_pool& pool)
    {
        loop.cancel(pool.question->timer);
        pool.question.reset();
    }

    void take_grant(const peer_address& from, const Json::Value& params)
    {
        message_fields in(params);
        auto workspace = in.text("workspace", max_text_bytes);
        auto sequence = in.number("sequence");
        auto status = in.text("status", max_text_bytes);
        if (!in.valid()) {
            ++malformed;
            return;
        }
        auto found = pools.find(workspace);
        // An answer to a question that was given up is void.
        if (found == pools.end() || !found->second.question ||
            found->second.question->sequence != sequence) {
            ++void_grants;
            return;
        }
        auto& pool = found->second;
        bool news = owners.learn(pool.shard, in.optional("owner"), from);
        if (status == "ok")
            take_tokens(pool, in);
        else if (status == "not_owner")
            redirect(pool, from, news);
    }

    void redirect(token_pool& pool, const peer_address& from, bool news)
    {
        auto& it = *pool.question;
        if (!news)
            owners.no_answer(pool.shard, from);
        if (from == it.to && ++it.redirections <= most_redirections)
            send_question(pool);
    }

    void take_tokens(token_pool& pool, message_fields& in)
    {
        auto now = loop.now();
        auto question = *pool.question;
        auto count = in.number("count", question.need + question.ahead);
        const auto& plentiful = in.optional("plentiful");
        pool.plentiful = plentiful.isBool() && plentiful.asBool();
        auto retry = in.number("retry_us", INT32_MAX);
        if (!in.valid()) {
            ++malformed;
            return;
        }
        end_question(pool);
        // Tokens may have been spent since the question was sent.
        if (pool.unreported)
            report_later(pool);
        auto void_at = question.asked + settings.validity;
        if (now >= void_at) {
            ++void_grants;
            if (!pool.waiting.empty())
                ask(pool);
            return;
        }
        if (count > 0) {
            pool.grants.push_back({void_at, count});
            return_unspent_at(pool, void_at - settings.validity / 4);
        }
        pool.short_of_tokens = count < question.need;
        if (pool.short_of_tokens)
            note_shortage(pool, now, duration(retry));
        serve_waiting(pool, now);
        if (pool.short_of_tokens)
            refuse_short(pool, now);
        if (!pool.waiting.empty())
            ask(pool);
    }

    // The bucket may fill sooner than the owner said, by tokens that come back
    // or a new limit, so the pause is bounded.
    void note_shortage(token_pool& pool, time_point now, duration retry)
    {
        pool.token_at = now + retry;
        pool.pause_until =
            now + std::clamp(retry, settings.refusal_pause, longest_pause);
    }

    void serve_waiting(token_pool& pool, time_point now)
    {
        std::vector<waiting_charge> served;
        while (!pool.waiting.empty() && spend(pool, now)) {
            served.push_back(std::move(pool.waiting.front()));
            pool.waiting.pop_front();
        }
        for (auto& it : served) {
            loop.cancel(it.timer);
            it.done(charge_granted{});
        }
    }

    // Refuses the requests that would wait too long for the next token.
    void refuse_short(token_pool& pool, time_point now)
    {
        for (auto& it : pool.waiting) {
            auto until =
                std::min(it.until, it.arrived + settings.shortage_wait);
            it.until = pool.pause_until > until ? now : it.until;
        }
        refuse_overdue(pool);
    }

    // Tokens that were not used in most of their validity are more than the
    // demand, so they go back to the bucket.
    void return_unspent_at(token_pool& pool, time_point when)
    {
        if (pool.return_pending)
            return;
        pool.return_pending = true;
        loop.call_after(when - loop.now(), guarded([this, &pool] {
                            pool.return_pending = false;
                            return_unspent(pool);
                        }));
    }

    void return_unspent(token_pool& pool)
    {
        auto now = loop.now();
        drop_void(pool, now);
        if (pool.grants.empty())
            return;
        auto due = pool.grants.front().void_at - settings.validity / 4;
        if (now < due || pool.question) {
            return_unspent_at(pool,
                              std::max(due, now + settings.resend_period));
            return;
        }
        auto count = pool.grants.front().count;
        pool.grants.pop_front();
        give_back(pool, count);
        if (!pool.grants.empty())
            return_unspent_at(pool, pool.grants.front().void_at -
                                        settings.validity / 4);
    }

    void give_back(token_pool& pool, std::uint64_t count)
    {
        pool.unreported = false;
        auto out = message(pool, ++pool.last_sequence);
        out["held"] = Json::UInt64(pool.held());
        out["returned"] = Json::UInt64(count);
        transport.send(owners.route(pool.shard), "rate.return", out);
    }

    void stop()
    {
        stopped = true;
        for (auto& [workspace, pool] : pools) {
            if (pool.question)
                end_question(pool);
            auto waiting = std::move(pool.waiting);
            pool.waiting.clear();
            for (auto& it : waiting) {
                loop.cancel(it.timer);
                refuse(pool, it.done);
            }
            drop_void(pool, loop.now());
            auto count = pool.held();
            pool.grants.clear();
            if (count > 0)
                give_back(pool, count);
        }
    }
};

rate_ledger::rate_ledger(event_loop& loop, peer_transport& transport,
                         ownership& owners, counters& counts,
                         rate_lookup limits, rate_settings settings)
    : impl_(std::make_shared<impl>(loop, transport, owners, counts,
                                   std::move(limits), settings))
{
    impl_->start();
}

rate_ledger::~rate_ledger() = default;

void rate_ledger::charge(const std::string& workspace, time_point deadline,
                         std::function<void(const charge_result&)> done)
{
    impl_->charge(workspace, deadline, std::move(done));
}

void rate_ledger::stop()
{
    impl_->stop();
}

} // namespace shallotwood::process
