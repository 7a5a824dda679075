#include "process/attempt_register.hpp"

#include <algorithm>

namespace shallotwood::process
{

using request::execution;

namespace
{

constexpr duration tick_period = std::chrono::seconds(1);

} // namespace

attempt_register::attempt_register(
    event_loop& loop, peer_transport& transport, counters& counts,
    const attempt_register_settings& settings,
    std::function<std::uint64_t()> first_incarnation)
    : loop_(loop), transport_(transport), counts_(counts), settings_(settings),
      first_incarnation_(std::move(first_incarnation)), last_tick_(loop.now())
{
    using handle =
        void (attempt_register::*)(const peer_address&, const Json::Value&);
    auto subscribe = [this](const char* method, handle it) {
        transport_.subscribe(
            method, [this, it, alive = std::weak_ptr<bool>(alive_)](
                        const peer_address& from, const Json::Value& params) {
                if (!alive.expired() && params.isObject())
                    (this->*it)(from, params);
            });
    };
    subscribe("attempt.fence", &attempt_register::on_fence_request);
    subscribe("attempt.fenced", &attempt_register::on_fence_response);
    after(tick_period, [this] { tick(); });
}

attempt_register::~attempt_register() = default;

attempt_register::admission
attempt_register::start(const std::string& attempt_id)
{
    auto found = attempts_.find(attempt_id);
    if (found != attempts_.end())
        return found->second.now == state::fenced ? admission::fenced
                                                  : admission::duplicate;
    if (attempts_.size() >= settings_.max_attempts) {
        ++counts_.at("attempts_refused_full");
        return admission::full;
    }
    attempts_.emplace(attempt_id, attempt{});
    return admission::started;
}

void attempt_register::finish(const std::string& attempt_id, execution outcome)
{
    auto found = attempts_.find(attempt_id);
    if (found == attempts_.end() || found->second.now != state::running)
        return;
    found->second = {state::finished, outcome};
    finished_.push_back(
        {running_time_ + settings_.finished_retention, attempt_id});
}

execution attempt_register::fence(const std::string& attempt_id,
                                  std::uint64_t incarnation, duration sent_ago)
{
    auto found = attempts_.find(attempt_id);
    if (found != attempts_.end())
        return found->second.now == state::fenced ? execution::not_run
                                                  : found->second.outcome;
    auto first = first_incarnation_();
    bool this_process = first != 0 && incarnation >= first;
    bool recent =
        sent_ago >= duration(0) && sent_ago <= settings_.max_fence_age;
    if (!this_process || !recent || attempts_.size() >= settings_.max_attempts)
        return execution::may_have_run;
    attempts_.emplace(attempt_id, attempt{state::fenced, execution::not_run});
    fenced_.push_back({running_time_ + settings_.fenced_retention, attempt_id});
    ++counts_.at("attempts_fenced");
    return execution::not_run;
}

void attempt_register::request_fence(const peer_address& to,
                                     const std::string& attempt_id,
                                     std::uint64_t incarnation,
                                     duration sent_ago,
                                     std::function<void(execution)> done)
{
    if (pending_fences_.size() >= settings_.max_pending_fences) {
        ++counts_.at("attempt_asks_refused");
        after(duration(0),
              [done = std::move(done)] { done(execution::may_have_run); });
        return;
    }
    auto id = ++last_fence_id_;
    auto now = loop_.now();
    pending_fences_[id] = {to,
                           attempt_id,
                           incarnation,
                           now - sent_ago,
                           now + settings_.fence_timeout,
                           std::move(done)};
    send_fence(id);
}

// Sending a fence request again is idempotent: the fence and its result
// persist.
void attempt_register::send_fence(std::uint64_t id)
{
    auto found = pending_fences_.find(id);
    if (found == pending_fences_.end())
        return;
    const auto& it = found->second;
    if (loop_.now() >= it.gives_up_at) {
        ++counts_.at("attempt_asks_unanswered");
        complete_fence(id, execution::may_have_run);
        return;
    }
    Json::Value params;
    params["id"] = Json::UInt64(id);
    params["attempt"] = it.attempt_id;
    params["incarnation"] = Json::UInt64(it.incarnation);
    params["sent_ago_us"] = Json::Int64((loop_.now() - it.sent).count());
    transport_.send(it.to, "attempt.fence", params);
    after(settings_.fence_resend_interval, [this, id] { send_fence(id); });
}

void attempt_register::complete_fence(std::uint64_t id, execution outcome)
{
    auto node = pending_fences_.extract(id);
    if (!node.empty())
        node.mapped().done(outcome);
}

void attempt_register::on_fence_request(const peer_address& from,
                                        const Json::Value& params)
{
    if (!params["id"].isUInt64() || !params["attempt"].isString() ||
        !params["incarnation"].isUInt64() || !params["sent_ago_us"].isInt64())
        return;
    auto attempt_id = params["attempt"].asString();
    if (attempt_id.empty() || attempt_id.size() > max_id_bytes)
        return;
    auto outcome = fence(attempt_id, params["incarnation"].asUInt64(),
                         duration(params["sent_ago_us"].asInt64()));
    Json::Value complete_fence;
    complete_fence["id"] = params["id"];
    complete_fence["attempt"] = attempt_id;
    complete_fence["run"] = std::string(request::name_of(outcome));
    transport_.send(from, "attempt.fenced", complete_fence);
}

// A response is matched by attempt id as well: a late response to an earlier
// process of this node may carry the id of a pending request of this process.
void attempt_register::on_fence_response(const peer_address&,
                                         const Json::Value& params)
{
    if (!params["id"].isUInt64() || !params["attempt"].isString() ||
        !params["run"].isString())
        return;
    auto id = params["id"].asUInt64();
    auto found = pending_fences_.find(id);
    execution outcome = execution::may_have_run;
    if (found != pending_fences_.end() &&
        found->second.attempt_id == params["attempt"].asString() &&
        request::parse_execution(params["run"].asString(), outcome))
        complete_fence(id, outcome);
}

void attempt_register::tick()
{
    after(tick_period, [this] { tick(); });
    running_time_ +=
        std::min<duration>(loop_.now() - last_tick_, 2 * tick_period);
    last_tick_ = loop_.now();
    drop_expired(finished_);
    drop_expired(fenced_);
}

void attempt_register::drop_expired(std::deque<expiry>& queue)
{
    while (!queue.empty() && queue.front().at <= running_time_) {
        attempts_.erase(queue.front().attempt_id);
        queue.pop_front();
    }
}

void attempt_register::after(duration delay, std::function<void()> task)
{
    loop_.call_after(
        delay, [task = std::move(task), alive = std::weak_ptr<bool>(alive_)] {
            if (!alive.expired())
                task();
        });
}

} // namespace shallotwood::process
