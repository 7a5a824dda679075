#include "request/entry_call.hpp"

#include "process/log.hpp"
#include "process/telemetry/decision_log.hpp"

#include <algorithm>

namespace shallotwood::request
{

namespace
{

using connection::http::message_info;
using connection::http::request_head;
using connection::http::response_head;
using process::duration;
using process::field;
using process::routing::attempt_outcome;
using process::telemetry::decision;

// Refusals by instances after which the request fails.
constexpr int max_refusals = 3;

// New requests may queue for the route's latency objective divided by this. A
// refusal that early costs the caller little; after that time it is better to
// serve the request.
constexpr int objective_divisor = 8;

// Child calls may queue for this share of the remaining time: a refusal would
// waste the work already done for the request.
constexpr double child_queue_time_share = 0.5;

// How often a child call looks for an instance while the service has none: a
// lost instance often returns before the deadline.
constexpr duration instance_retry_interval = std::chrono::milliseconds(50);

// With less time remaining, no further attempt is made.
constexpr duration min_attempt_time = std::chrono::milliseconds(20);

// Retry-After of refusals that have no better estimate.
constexpr duration default_retry_after = std::chrono::milliseconds(300);

// Retry-After of an isolated node. It refuses at once, so that callers have
// time to try another node.
constexpr duration cut_off_retry_after = std::chrono::milliseconds(50);

// An isolated node takes about this long to reach other nodes again.
constexpr duration isolated_retry_after = std::chrono::seconds(1);

// Retry-After while all instances of the service are evacuated.
constexpr duration evacuated_retry_after = std::chrono::seconds(1);

attempt_failure not_run(reason why,
                        std::optional<duration> retry_after = std::nullopt)
{
    return {{execution::not_run, why}, retry_after};
}

attempt_outcome refusal_outcome(reason why)
{
    switch (why) {
    case reason::overload:
        return attempt_outcome::refused_overload;
    case reason::evacuated:
        return attempt_outcome::refused_evacuated;
    default:
        return attempt_outcome::refused_unavailable;
    }
}

} // namespace

// Forwards the events of one attempt to the call, until the call releases the
// attempt.
class entry_call::attempt_listener final : public attempt_receiver
{
public:
    explicit attempt_listener(entry_call& of) : call_(&of) {}

    void release() { call_ = nullptr; }

    void on_load(const process::routing::load_report& it) override
    {
        if (call_ != nullptr)
            call_->on_attempt_load(it);
    }
    void on_response(response_head&& head,
                     std::optional<std::uint64_t> length) override
    {
        if (call_ != nullptr)
            call_->on_attempt_response(std::move(head), length);
    }
    void on_response_body(std::string_view bytes) override
    {
        if (call_ != nullptr)
            call_->on_attempt_body(bytes);
    }
    void on_response_end() override
    {
        if (call_ != nullptr)
            call_->on_attempt_end();
    }
    void on_failure(const attempt_failure& why) override
    {
        if (call_ != nullptr)
            call_->on_attempt_failure(why);
    }
    void on_silent() override
    {
        if (call_ != nullptr)
            call_->on_attempt_silent();
    }

private:
    entry_call* call_;
};

entry_call::entry_call(
    entry_services& node,
    std::shared_ptr<connection::http::server_connection> caller)
    : node_(node), caller_(std::move(caller)), arrived_(node.loop().now()),
      deadline_(arrived_)
{
}

entry_call::~entry_call()
{
    if (listener_)
        listener_->release();
}

void entry_call::begin(request_head&& head, const message_info& info)
{
    request_body_ = std::make_shared<upload>(info.length);
    if (!admit(head))
        return;
    head_ = std::move(head);
    head_.headers.remove_hop_by_hop();
    timer_ = node_.loop().call_after(remaining(), [weak = weak_from_this()] {
        if (auto it = weak.lock())
            it->on_deadline();
    });
    request_body_->on_space([weak = weak_from_this()] {
        if (auto it = weak.lock(); it && !it->ended_)
            it->caller_->resume_body();
    });
}

bool entry_call::admit(const request_head& head)
{
    auto self = shared_from_this();
    auto fields = node_.adapter().read_caller(head);
    request_id_ = fields.request_id;
    policy_ = node_.policy();
    if (!policy_) {
        fail(not_run(reason::no_configuration, default_retry_after));
        return false;
    }
    if (fields.request_id.empty() || fields.host.empty()) {
        fail(not_run(reason::malformed));
        return false;
    }
    route_ = policy_->find_route(fields.host, head.target);
    if (route_ == nullptr) {
        fail(not_run(reason::no_route));
        return false;
    }
    if (!route_->open && policy_->needs_keys()) {
        if (node_.isolation_detector().isolated()) {
            fail(not_run(reason::isolated, isolated_retry_after));
            return false;
        }
        workspace_ = policy_->workspace_of_key(fields.key);
        if (workspace_ == nullptr) {
            fail(not_run(reason::unknown_key));
            return false;
        }
    }
    auto timeout = route_->timeout;
    if (fields.timeout)
        timeout = std::min(timeout, *fields.timeout);
    if (!node_.accepts_call(workspace_ == nullptr, timeout)) {
        fail(not_run(reason::draining, default_retry_after));
        return false;
    }
    if (workspace_ != nullptr) {
        key_ = process::load::make_shed_key(workspace_->priority,
                                            route_->priority, request_id_);
    } else if (auto parent = node_.parent_of(request_id_, route_->name)) {
        key_ = parent->key;
        parent_is_retry_ = parent->is_retry;
    }
    deadline_ = arrived_ + timeout;
    return !refuse_if_isolated() && !refuse_if_shed();
}

// The route makes child calls, which an isolated node can't serve, so the work
// of the local backend server would be wasted.
bool entry_call::refuse_if_isolated()
{
    if (workspace_ == nullptr ||
        !node_.shed_thresholds().makes_calls(route_->name) ||
        !node_.is_partitioned())
        return false;
    fail(not_run(reason::isolated, cut_off_retry_after));
    return true;
}

bool entry_call::refuse_if_shed()
{
    if (workspace_ == nullptr ||
        key_ < node_.shed_thresholds().threshold_of(route_->name))
        return false;
    ++node_.counts().at("calls_shed");
    fail(not_run(reason::overload, default_retry_after));
    return true;
}

void entry_call::on_attempt_load(const process::routing::load_report& it)
{
    node_.load_balancer().report(instance_, it);
    node_.load_balancer().record_speed(instance_, service_, route_->name, it);
    if (!node_.load_balancer().is_cold_among_warm(instance_))
        node_.shed_thresholds().record_threshold(route_->name,
                                                 it.shed_threshold);
}

void entry_call::on_body(std::string_view bytes)
{
    request_body_->append(bytes);
    if (!request_body_->full())
        return;
    caller_->pause_body();
    if (!started_)
        acquire_token();
}

void entry_call::on_body_end()
{
    request_body_->finish();
    if (!started_)
        acquire_token();
}

void entry_call::acquire_token()
{
    if (ended_)
        return;
    started_ = true;
    if (workspace_ == nullptr) {
        charged(std::nullopt);
        return;
    }
    node_.rates().acquire_token(
        workspace_->name, {workspace_->rate, workspace_->burst},
        [self = shared_from_this()](auto refused) { self->charged(refused); });
}

void entry_call::charged(std::optional<duration> refused)
{
    if (ended_) {
        if (!refused && workspace_ != nullptr)
            node_.rates().return_token(workspace_->name);
        return;
    }
    if (refused) {
        fail(not_run(reason::over_rate, refused));
        return;
    }
    rate_charged_ = workspace_ != nullptr;
    service_ = node_.choose_service(*route_);
    node_.retries().record_call(service_);
    start_next_attempt();
}

duration entry_call::remaining() const
{
    return deadline_ - node_.loop().now();
}

duration entry_call::max_queue_time() const
{
    if (workspace_ == nullptr)
        return std::chrono::duration_cast<duration>(remaining() *
                                                    child_queue_time_share);
    auto spent = node_.loop().now() - arrived_;
    return std::max(duration(0), route_->objective / objective_divisor - spent);
}

void entry_call::start_next_attempt()
{
    auto self = shared_from_this();
    if (ended_)
        return;
    // The request's body, its token or an earlier attempt may have taken until
    // late in a shutdown. What may have run already is worth another attempt.
    if (!may_have_run_ && !node_.may_start_attempt(remaining())) {
        fail(not_run(reason::draining, default_retry_after));
        return;
    }
    auto in_objective = route_->objective - (node_.loop().now() - arrived_);
    const auto* at = node_.load_balancer().choose(
        service_, route_->name, tried_, remaining(), in_objective);
    // Waiting does not help: nothing is sent there until the operator says so.
    if (at == nullptr && node_.load_balancer().is_evacuated(service_)) {
        fail(not_run(reason::evacuated, evacuated_retry_after));
        return;
    }
    if (at == nullptr && workspace_ == nullptr && tried_.empty() &&
        node_.loop().now() - arrived_ + instance_retry_interval <
            max_queue_time()) {
        node_.loop().call_after(instance_retry_interval,
                                [weak = weak_from_this()] {
                                    if (auto it = weak.lock())
                                        it->start_next_attempt();
                                });
        return;
    }
    if (at == nullptr) {
        fail(not_run(tried_.empty() ? reason::no_backend_server
                                    : reason::overload,
                     default_retry_after));
        return;
    }
    instance_ = at->name();
    sent_at_ = node_.loop().now();
    node_.load_balancer().sent(instance_);
    listener_ = std::make_shared<attempt_listener>(*this);
    auto current = listener_;
    auto started = node_.start_attempt(*at, make_attempt_request(*at), current);
    // The attempt may have ended, and another one started, within the call.
    if (listener_ == current)
        attempt_ = std::move(started);
}

attempt_request
entry_call::make_attempt_request(const process::fleet::instance& at)
{
    attempt_request what;
    what.request_id = request_id_;
    what.attempt_id = node_.new_attempt_id();
    what.route = route_->name;
    what.service = service_;
    if (workspace_ != nullptr)
        what.workspace = workspace_->name;
    what.caller_service = node_.own_service();
    what.repeatable = route_->kind != version::work_kind::once;
    what.is_child_call = workspace_ == nullptr;
    what.key = key_;
    what.attempt_number = delivered_attempts_ + 1;
    what.is_retry = parent_is_retry_ || delivered_attempts_ > 0;
    what.remaining = remaining();
    what.max_queue_time = max_queue_time();
    what.notice = node_.load_balancer().notice_of(at.name());
    what.speeds = node_.load_balancer().speeds().select(service_, route_->name,
                                                        at.name());
    what.policy_revision = policy_->revision();
    what.head = head_;
    what.body = request_body_;
    return what;
}

void entry_call::on_attempt_response(response_head&& head,
                                     std::optional<std::uint64_t> length)
{
    response_ = std::move(head);
    length_ = length;
    buffered_body_.clear();
}

void entry_call::on_attempt_body(std::string_view bytes)
{
    if (ended_)
        return;
    if (!streaming_) {
        buffered_body_.append(bytes);
        if (buffered_body_.size() > max_held_bytes)
            start_streaming();
        return;
    }
    caller_->respond_body(bytes);
    if (attempt_ && caller_->unsent() >
                        connection::http::server_connection::max_unsent_bytes)
        attempt_->pause();
}

void entry_call::start_streaming()
{
    streaming_ = true;
    auto head = *response_;
    caller_->respond_head(std::move(head), length_);
    caller_->respond_body(buffered_body_);
    std::string().swap(buffered_body_);
}

void entry_call::on_drained()
{
    if (attempt_)
        attempt_->resume();
}

void entry_call::on_attempt_end()
{
    auto self = shared_from_this();
    release_attempt(attempt_outcome::served);
    if (ended_)
        return;
    int status = response_->status;
    if (streaming_)
        caller_->respond_end();
    else
        caller_->respond(std::move(*response_), buffered_body_);
    finish(status, "answered");
}

void entry_call::on_attempt_failure(const attempt_failure& why)
{
    auto self = shared_from_this();
    may_have_run_ |= why.what.run != execution::not_run;
    bool arrived = why.what.run != execution::not_run ||
                   why.what.why == reason::backend_server_failed;
    if (arrived)
        ++delivered_attempts_;
    else
        ++refusals_;
    auto how = attempt_outcome::failed;
    if (why.what.run == execution::not_run && !arrived)
        how = refusal_outcome(why.what.why);
    else if (why.what.why == reason::deadline)
        how = attempt_outcome::timed_out;
    release_attempt(how, why.retry_after);
    if (ended_)
        return;
    if (streaming_) {
        caller_->respond_abort();
        finish(0, "cut", &why);
        return;
    }
    response_.reset();
    buffered_body_.clear();
    tried_.push_back(instance_);
    if (may_retry(why))
        start_next_attempt();
    else
        fail(why);
}

// Another instance may still have time for it. Without a retry left in the
// budget, the answer is waited for.
void entry_call::on_attempt_silent()
{
    if (ended_ || streaming_ || !attempt_)
        return;
    auto self = shared_from_this();
    ++delivered_attempts_;
    if (!may_retry(
            {{execution::may_have_run, reason::connection_silent}, {}})) {
        --delivered_attempts_;
        return;
    }
    may_have_run_ = true;
    attempt_->cancel();
    release_attempt(attempt_outcome::failed);
    response_.reset();
    buffered_body_.clear();
    tried_.push_back(instance_);
    start_next_attempt();
}

bool entry_call::may_retry(const attempt_failure& why)
{
    if (remaining() < min_attempt_time || !request_body_->replayable())
        return false;
    if (why.what.why == reason::suspected_crash)
        return false;
    if (why.what.run == execution::not_run &&
        why.what.why != reason::backend_server_failed)
        return refusals_ < max_refusals;
    if (parent_is_retry_)
        return false;
    bool repeatable = route_->kind != version::work_kind::once;
    if (why.what.run != execution::not_run && !repeatable)
        return false;
    return delivered_attempts_ < route_->max_attempts &&
           node_.retries().spend(service_);
}

void entry_call::release_attempt(attempt_outcome how,
                                 std::optional<duration> retry_after)
{
    if (!listener_)
        return;
    listener_->release();
    listener_.reset();
    attempt_.reset();
    node_.load_balancer().ended(instance_, route_->name, how,
                                node_.loop().now() - sent_at_, retry_after);
}

void entry_call::on_deadline()
{
    if (ended_)
        return;
    auto self = shared_from_this();
    if (auto it = attempt_) {
        may_have_run_ |= it->may_have_run();
        it->cancel();
    }
    release_attempt(attempt_outcome::timed_out);
    if (streaming_) {
        caller_->respond_abort();
        finish(0, "cut");
        return;
    }
    fail(not_run(reason::deadline, default_retry_after));
}

void entry_call::on_left()
{
    if (ended_)
        return;
    auto self = shared_from_this();
    if (auto it = attempt_)
        it->cancel();
    release_attempt(attempt_outcome::cancelled);
    finish(0, "caller_left");
}

void entry_call::fail(const attempt_failure& last)
{
    auto why = last;
    if (may_have_run_ && why.what.run == execution::not_run)
        why = {{execution::may_have_run, last.what.why}, std::nullopt};
    auto head = node_.adapter().failure_response(why);
    int status = head.status;
    if (rate_charged_ && why.what.run == execution::not_run)
        node_.rates().return_token(workspace_->name);
    ended_ = true;
    caller_->respond(std::move(head), {});
    finish(status, why.what.run == execution::not_run ? "refused" : "failed",
           &why);
}

void entry_call::finish(int status, std::string_view outcome,
                        const attempt_failure* why)
{
    ended_ = true;
    node_.loop().cancel(timer_);
    request_body_->on_space({});
    auto took = node_.loop().now() - arrived_;
    node_.latency().add(took);
    ++node_.counts().at("calls", "outcome=\"" + std::string(outcome) + '"');
    if (why != nullptr)
        ++node_.counts().at("calls_unserved",
                            "reason=\"" + std::string(name_of(why->what.why)) +
                                '"');
    auto kind = why == nullptr                        ? decision::served
                : why->what.run == execution::not_run ? decision::refused
                                                      : decision::failed;
    if (process::telemetry::allow(kind)) {
        auto& record = instance_;
        SHALLOTWOOD_LOG(info)
            << "event=call" << field("request", request_id_)
            << field("route", route_ == nullptr ? "" : route_->name)
            << field("service", service_) << field("key", key_)
            << field("workspace", workspace_ == nullptr ? "" : workspace_->name)
            << field("policy", policy_ ? policy_->revision() : 0)
            << field("instance", record) << field("moves", refusals_)
            << field("arrivals", delivered_attempts_)
            << field("outcome", outcome) << field("status", status)
            << field("verdict", why == nullptr ? "" : name_of(why->what.run))
            << field("reason", why == nullptr ? "" : name_of(why->what.why))
            << field("after_us", took.count());
    }
    node_.call_ended();
}

} // namespace shallotwood::request
