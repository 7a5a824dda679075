#include "process/http/http_forward.hpp"

#include "process/log.hpp"

#include <algorithm>
#include <utility>

namespace shallotwood::process::http
{

using connection::client_failure;
using connection::internal_headers;
using connection::response_head;
using request::call_feedback;
using request::execution;
using request::reason;
using request::refusal;
namespace header_name = connection::header_name;

namespace
{

std::string find_header(const connection::header_list& headers,
                        std::string_view name)
{
    for (const auto& it : headers) {
        if (it.name.size() == name.size() &&
            g_ascii_strncasecmp(it.name.c_str(), name.data(), name.size()) == 0)
            return it.value;
    }
    return {};
}

bool has_body(const std::string& method, int status)
{
    return method != "HEAD" && status != SOUP_STATUS_NO_CONTENT &&
           status != SOUP_STATUS_NOT_MODIFIED;
}

// Only a strong validator guarantees that the bytes are the same.
std::string strong_validator(const response_head& head)
{
    auto etag = find_header(head.headers, "ETag");
    return etag.size() > 2 && etag.front() == '"' ? etag : std::string();
}

int gateway_status(const request::verdict& what)
{
    switch (what.why) {
    case reason::deadline:
        return SOUP_STATUS_GATEWAY_TIMEOUT;
    case reason::connection_failed:
    case reason::connection_silent:
    case reason::backend_server_failed:
    case reason::fenced:
        return SOUP_STATUS_BAD_GATEWAY;
    default:
        return SOUP_STATUS_SERVICE_UNAVAILABLE;
    }
}

} // namespace

http_forward::http_forward(
    http_environment& in, std::shared_ptr<connection::server_exchange> exchange,
    forward_request request, record_function record, done_function done)
    : in_(in), exchange_(std::move(exchange)), request_(std::move(request)),
      record_(std::move(record)), done_(std::move(done)),
      deadline_(in.loop.now() + request_.call.context.remaining),
      deadline_timer_(in.loop), progress_timer_(in.loop)
{
}

void http_forward::start()
{
    auto self = shared_from_this();
    exchange_->on_lost([self] { self->caller_disconnected(); });
    deadline_timer_.start(remaining() + in_.settings.deadline_grace,
                          [self] { self->deadline_passed(); });
    attempt();
}

bool http_forward::must_record() const
{
    return record_ && !request_.call.context.repeatable;
}

duration http_forward::remaining() const
{
    return deadline_ - in_.loop.now();
}

void http_forward::attempt()
{
    if (remaining() <= duration(0))
        return refuse_call({{execution::not_run, reason::deadline},
                            SOUP_STATUS_GATEWAY_TIMEOUT,
                            {}});
    auto& call = request_.call;
    auto chosen = in_.routing.choose(call, tried_instances_);
    if (auto* refused = std::get_if<refusal>(&chosen))
        return refuse_call(last_refusal_.value_or(*refused));
    target_ = std::get<request::target>(std::move(chosen));
    call.context.remaining = remaining();
    in_.routing.sent(call, target_);
    attempt_open_ = true;
    phase_ = phase::waiting;
    sent_at_ = in_.loop.now();
    status_ = 0;
    feedback_ = {};
    retry_after_.reset();
    client_ = in_.client.start(make_request(), make_handlers());
    start_progress_timer(in_.settings.head_progress_limit);
}

connection::client_request http_forward::make_request() const
{
    const auto& call = request_.call;
    connection::client_request it;
    it.method = request_.method;
    it.host = target_.host;
    it.port = target_.port;
    it.path = call.path;
    it.headers = request_.headers;
    it.headers.push_back(
        {header_name::context, seal(call.context, in_.settings.fleet_secret)});
    it.headers.push_back({header_name::service, call.service});
    if (!call.fingerprint.empty())
        it.headers.push_back({header_name::fingerprint, call.fingerprint});
    if (resuming_) {
        it.headers.push_back(
            {"Range", "bytes=" + std::to_string(relayed_bytes_) + "-"});
        it.headers.push_back({"If-Range", validator_});
    }
    it.body = request_.body;
    return it;
}

connection::client_handlers http_forward::make_handlers()
{
    auto self = shared_from_this();
    connection::client_handlers it;
    it.on_head = [self](response_head head, const internal_headers& internal) {
        self->head_received(std::move(head), internal);
    };
    it.on_data = [self](std::string_view bytes) { self->data_received(bytes); };
    it.on_end = [self] { self->end_received(); };
    it.on_failure = [self](const client_failure& failure) {
        self->attempt_failed(failure.written, reason::connection_failed);
    };
    return it;
}

// The timer runs only while bytes are expected from the other node, not while a
// slow caller is being written to.
void http_forward::start_progress_timer(duration limit)
{
    progress_timer_.start(limit, [self = shared_from_this()] {
        self->attempt_failed(self->client_->written(),
                             reason::connection_silent);
    });
}

void http_forward::head_received(response_head head,
                                 const internal_headers& internal)
{
    auto parsed = connection::parse_feedback(internal.feedback);
    // A response without the id of this attempt is not the response to it.
    if (!parsed || parsed->attempt_id != request_.call.context.attempt_id) {
        client_->cancel();
        return attempt_failed(true, reason::connection_failed);
    }
    feedback_ = parsed->feedback;
    retry_after_ = parsed->retry_after;
    status_ = head.status;
    start_progress_timer(in_.settings.body_progress_limit);
    if (feedback_.what.run != execution::ran) {
        // The body of a refusal is small and not relayed; it is read so that
        // the connection can be reused, until body_progress_limit has passed
        // since its head.
        phase_ = phase::refused;
        return client_->read();
    }
    if (resuming_) {
        if (!is_resumed_response(head)) {
            client_->cancel();
            return relay_interrupted(reason::connection_failed);
        }
        phase_ = phase::relaying;
        return client_->read();
    }
    relay(std::move(head));
}

void http_forward::relay(response_head head)
{
    head_ = std::move(head);
    validator_ = strong_validator(head_);
    if (must_record() && head_.length.value_or(0) > max_recorded_bytes)
        return record_response(false);
    phase_ = must_record() ? phase::collecting : phase::relaying;
    if (!must_record())
        exchange_->start_response(head_);
    client_->read();
}

void http_forward::data_received(std::string_view bytes)
{
    switch (phase_) {
    case phase::relaying:
        return relay_data(bytes);
    case phase::collecting:
        buffered_body_ += bytes;
        if (buffered_body_.size() > max_recorded_bytes)
            return record_response(false);
        break;
    case phase::refused:
        return client_->read();
    default:
        break;
    }
    start_progress_timer(in_.settings.body_progress_limit);
    client_->read();
}

void http_forward::relay_data(std::string_view bytes)
{
    progress_timer_.cancel();
    relayed_bytes_ += bytes.size();
    auto more = [self = shared_from_this()] {
        if (!self->attempt_open_)
            return;
        self->start_progress_timer(self->in_.settings.body_progress_limit);
        self->client_->read();
    };
    if (head_.length && relayed_bytes_ >= *head_.length) {
        // Nothing follows, so the end of the body can be read while the last
        // bytes are being written.
        exchange_->write(bytes, {});
        more();
        return;
    }
    exchange_->write(bytes, std::move(more));
}

void http_forward::end_received()
{
    progress_timer_.cancel();
    switch (phase_) {
    case phase::refused:
        return finish_attempt(feedback_);
    case phase::collecting:
        return record_response(true);
    default:
        break;
    }
    if (head_.length && relayed_bytes_ != *head_.length &&
        has_body(request_.method, head_.status))
        return relay_interrupted(reason::connection_failed);
    exchange_->finish();
    answered(feedback_);
    finish(feedback_);
}

void http_forward::record_response(bool whole)
{
    phase_ = phase::recording;
    progress_timer_.cancel();
    request::recorded_response it;
    it.status = head_.status;
    it.content_type = find_header(head_.headers, "Content-Type");
    it.body_recorded = whole;
    if (whole)
        it.body = buffered_body_;
    record_(request_.call, it,
            [self = shared_from_this(), whole](const auto& refused) {
                self->recorded(refused, whole);
            });
}

void http_forward::recorded(const std::optional<refusal>& refused, bool whole)
{
    if (finished_)
        return;
    if (refused) {
        client_->cancel();
        answered(feedback_);
        combined_execution_ = std::max(combined_execution_, refused->what.run);
        return refuse_call(*refused);
    }
    phase_ = phase::relaying;
    if (disconnected_in_flight_) {
        client_->cancel();
        answered(feedback_);
        finish(feedback_);
        return;
    }
    exchange_->start_response(head_);
    if (!buffered_body_.empty() && !whole)
        return relay_data(std::exchange(buffered_body_, {}));
    if (!whole)
        return client_->read();
    relayed_bytes_ = buffered_body_.size();
    if (!buffered_body_.empty())
        exchange_->write(std::exchange(buffered_body_, {}), {});
    end_received();
}

void http_forward::attempt_failed(bool written, reason why)
{
    if (finished_ || !attempt_open_)
        return;
    progress_timer_.cancel();
    client_->cancel();
    in_.client.discard_idle(target_.host, target_.port);
    // Both nodes time out at the deadline; the closed connection may be noticed
    // before this node's timer fires.
    if (remaining() <= duration(0))
        why = reason::deadline;
    if (phase_ == phase::refused)
        return finish_attempt(feedback_);
    if (phase_ == phase::relaying || (resuming_ && phase_ == phase::waiting))
        return relay_interrupted(why);
    if (!written)
        return finish_attempt(
            {{execution::not_run, reason::connection_failed}});
    if (phase_ == phase::collecting)
        return finish_attempt({{execution::may_have_run, why}});
    in_.routing.fence(
        request_.call, target_, [self = shared_from_this(), why](auto run) {
            if (self->finished_)
                return;
            self->finish_attempt(
                {{run, run == execution::not_run ? reason::fenced : why}});
        });
}

void http_forward::finish_attempt(const call_feedback& feedback)
{
    answered(feedback);
    tried_instances_.push_back(target_.instance);
    combined_execution_ = std::max(combined_execution_, feedback.what.run);
    // The status of an interrupted response may have been a success.
    int status =
        phase_ == phase::refused ? status_ : gateway_status(feedback.what);
    refusal it{feedback.what, status, retry_after_};
    last_refusal_ = it;
    retry_or_refuse(feedback);
}

void http_forward::retry_or_refuse(const call_feedback& feedback)
{
    const auto& context = request_.call.context;
    bool allowed =
        feedback.what.run == execution::not_run || context.repeatable;
    bool possible = exchange_->is_open() && request_.body->replayable() &&
                    remaining() > duration(0);
    if (allowed && possible && in_.routing.retry(request_.call, feedback))
        return attempt();
    refuse_call(*last_refusal_);
}

// Handles a response that broke off after its head was sent to the caller.
void http_forward::relay_interrupted(reason why)
{
    progress_timer_.cancel();
    call_feedback lost{{execution::may_have_run, why}};
    if (attempt_open_)
        answered(lost);
    tried_instances_.push_back(target_.instance);
    if (exchange_->is_open() && can_resume() &&
        in_.routing.retry(request_.call, lost)) {
        resuming_ = true;
        ++in_.counts.at("responses_resumed");
        return attempt();
    }
    ++in_.counts.at("responses_cut_short");
    exchange_->abort();
    finish(lost);
}

bool http_forward::can_resume() const
{
    return request_.method == "GET" && request_.call.context.repeatable &&
           find_header(request_.headers, "Range").empty() &&
           head_.status == SOUP_STATUS_OK && head_.length &&
           !validator_.empty() && remaining() > duration(0);
}

bool http_forward::is_resumed_response(const response_head& head) const
{
    auto wanted = "bytes " + std::to_string(relayed_bytes_) + "-" +
                  std::to_string(*head_.length - 1) + "/" +
                  std::to_string(*head_.length);
    return head.status == SOUP_STATUS_PARTIAL_CONTENT &&
           strong_validator(head) == validator_ &&
           find_header(head.headers, "Content-Range") == wanted;
}

void http_forward::deadline_passed()
{
    if (finished_)
        return;
    bool written = attempt_open_ && client_ && client_->written();
    auto run = written ? execution::may_have_run : execution::not_run;
    if (attempt_open_) {
        client_->cancel();
        answered({{run, reason::deadline}});
    }
    combined_execution_ = std::max(combined_execution_, run);
    refuse_call({{run, reason::deadline}, SOUP_STATUS_GATEWAY_TIMEOUT, {}});
}

// If a request that is not repeatable were cancelled during execution, it could
// be neither completed nor retried, so it continues until its outcome is
// recorded.
bool http_forward::continues_without_caller() const
{
    return must_record() && attempt_open_ && client_->written() &&
           phase_ != phase::relaying;
}

void http_forward::caller_disconnected()
{
    if (finished_)
        return;
    if (continues_without_caller()) {
        disconnected_in_flight_ = in_.hold_in_flight();
        return;
    }
    bool written = attempt_open_ && client_ && client_->written();
    call_feedback left{{written ? execution::may_have_run : execution::not_run,
                        reason::cancelled}};
    if (attempt_open_) {
        client_->cancel();
        answered(left);
    }
    left.what.run = std::max(combined_execution_, left.what.run);
    finish(left);
}

void http_forward::answered(const call_feedback& feedback)
{
    attempt_open_ = false;
    progress_timer_.cancel();
    auto elapsed = in_.loop.now() - sent_at_;
    in_.routing.answered(request_.call, target_, feedback, elapsed);
    const auto& context = request_.call.context;
    SHALLOTWOOD_LOG(info) << "event=route"
                          << field("request", context.request_id)
                          << field("attempt", context.attempt_id)
                          << field("service", request_.call.service)
                          << field("instance", target_.instance)
                          << field("verdict", name_of(feedback.what.run))
                          << field("reason", name_of(feedback.what.why))
                          << field("status", status_)
                          << field("elapsed_us", elapsed.count());
}

void http_forward::refuse_call(refusal refused)
{
    // An earlier attempt may have been executed although the last one was not.
    refused.what.run = std::max(refused.what.run, combined_execution_);
    refuse(in_, *exchange_, refused);
    finish({refused.what, feedback_.unused_retries, feedback_.shed_threshold,
            feedback_.final});
}

void http_forward::finish(const call_feedback& feedback)
{
    if (std::exchange(finished_, true))
        return;
    deadline_timer_.cancel();
    progress_timer_.cancel();
    exchange_->on_lost({});
    if (auto done = std::exchange(done_, nullptr))
        done(request_.call, feedback);
}

} // namespace shallotwood::process::http
