#include "process/http/http_execution.hpp"

#include "connection/body_receiver.hpp"
#include "process/log.hpp"

#include <utility>

namespace shallotwood::process::http
{

using connection::client_failure;
using connection::internal_headers;
using connection::response_head;
using connection::server_exchange;
using request::execution;
using request::execution_end;
using request::execution_permit;
using request::reason;
using request::refusal;
namespace header_name = connection::header_name;

namespace
{

constexpr int max_service_bytes = 128;

// The body of the backend server's refusal is read up to these bounds, so that
// the connection can be kept. The sender waits meanwhile.
constexpr std::size_t max_refusal_bytes = std::size_t{64} * 1024;
constexpr duration max_refusal_time = std::chrono::seconds(1);

std::variant<request::call, refusal> parse_call(const server_exchange& exchange,
                                                const std::string& fleet_secret)
{
    const refusal malformed{
        {execution::not_run, reason::malformed}, SOUP_STATUS_FORBIDDEN, {}};
    auto* headers = exchange.request_headers();
    auto sealed = connection::single_header(headers, header_name::context);
    auto service = connection::single_header(headers, header_name::service);
    if (!sealed || !service || service->size() > max_service_bytes)
        return malformed;
    auto context = request::unseal(*sealed, fleet_secret);
    if (!std::holds_alternative<request::call_context>(context))
        return malformed;
    request::call it;
    it.context = std::get<request::call_context>(std::move(context));
    it.service = *service;
    it.path = exchange.path();
    it.fingerprint =
        connection::single_header(headers, header_name::fingerprint)
            .value_or("");
    return it;
}

} // namespace

void http_execution::begin(http_environment& in,
                           const std::shared_ptr<server_exchange>& exchange)
{
    auto call = parse_call(*exchange, in.settings.fleet_secret);
    if (auto* refused = std::get_if<refusal>(&call)) {
        ++in.counts.at("peer_calls_rejected");
        SHALLOTWOOD_LOG(warning) << "event=reject-context";
        return refuse(in, *exchange, *refused);
    }
    auto it = std::make_shared<http_execution>(
        in, exchange, std::get<request::call>(std::move(call)));
    connection::receive_body(exchange,
                             [it](auto body) { it->arrive(std::move(body)); });
}

http_execution::http_execution(http_environment& in,
                               std::shared_ptr<server_exchange> exchange,
                               request::call call)
    : in_(in), exchange_(std::move(exchange)), call_(std::move(call)),
      method_(exchange_->method()),
      headers_(connection::end_to_end_headers(exchange_->request_headers())),
      deadline_timer_(in.loop), progress_timer_(in.loop)
{
}

void http_execution::arrive(std::shared_ptr<connection::request_body> body)
{
    body_ = std::move(body);
    if (in_.draining)
        return refuse_with_feedback({{execution::not_run, reason::draining},
                                     SOUP_STATUS_SERVICE_UNAVAILABLE,
                                     {}});
    exchange_->hold(in_.hold_in_flight());
    auto self = shared_from_this();
    exchange_->on_lost([self] { self->sender_disconnected(); });
    in_.execution.arrive(call_, [self](auto result) {
        if (auto* refused = std::get_if<refusal>(&result))
            self->refuse_with_feedback(*refused);
        else
            self->start_execution(std::get<execution_permit>(result));
    });
}

connection::client_request
http_execution::make_request(const execution_permit& permit) const
{
    connection::client_request it;
    it.method = method_;
    it.host = permit.host;
    it.port = permit.port;
    it.path = call_.path;
    it.headers = headers_;
    auto deadline =
        std::chrono::duration_cast<std::chrono::milliseconds>(permit.remaining);
    it.headers.push_back({header_name::token, permit.token});
    it.headers.push_back({header_name::request_id, call_.context.request_id});
    it.headers.push_back({header_name::workspace, call_.context.workspace});
    it.headers.push_back(
        {header_name::deadline, std::to_string(deadline.count())});
    it.body = body_;
    return it;
}

void http_execution::start_execution(const execution_permit& permit)
{
    running_ = true;
    if (!exchange_->is_open())
        return ended(execution_end::cancelled);
    auto self = shared_from_this();
    connection::client_handlers it;
    it.on_head = [self](response_head head, const internal_headers& internal) {
        self->head_received(std::move(head), internal);
    };
    it.on_data = [self](std::string_view bytes) { self->data_received(bytes); };
    it.on_end = [self] { self->end_received(); };
    it.on_failure = [self](const client_failure& failure) {
        if (failure.bad_status)
            self->record_bad_status(*failure.bad_status);
        self->failed(failure.written);
    };
    token_ = permit.token;
    backend_address_ = connection::listen_address{permit.host, permit.port};
    client_ = in_.client.start(make_request(permit), std::move(it));
    deadline_timer_.start(permit.remaining, [self] {
        auto run = self->client_->written() ? execution::may_have_run
                                            : execution::not_run;
        self->stop(execution_end::deadline,
                   {{run, reason::deadline}, SOUP_STATUS_GATEWAY_TIMEOUT, {}});
    });
}

void http_execution::head_received(response_head head,
                                   const internal_headers& internal)
{
    status_ = head.status;
    bool is_refusal = head.status == SOUP_STATUS_SERVICE_UNAVAILABLE &&
                      internal.verdict == name_of(execution::not_run);
    bool is_foreign = internal.token.empty() ? internal.on_kept_connection
                                             : internal.token != token_;
    if (is_refusal && is_foreign) {
        failed(true);
        return;
    }
    if (is_refusal) {
        backend_refusal_ = refusal{{execution::not_run, reason::overload},
                                   SOUP_STATUS_SERVICE_UNAVAILABLE,
                                   {}};
        request::parse_reason(internal.reason, backend_refusal_->what.why);
    } else {
        length_ = head.length;
        head.headers.push_back(
            {header_name::feedback,
             feedback_text({execution::ran, reason::none}, std::nullopt)});
        exchange_->start_response(head);
    }
    if (backend_refusal_)
        progress_timer_.start(max_refusal_time, [self = shared_from_this()] {
            self->finish_refusal();
        });
    else
        start_progress_timer();
    client_->read();
}

void http_execution::finish_refusal()
{
    if (finished_)
        return;
    client_->cancel();
    refuse_with_feedback(*backend_refusal_);
    ended(execution_end::refused);
}

void http_execution::record_bad_status(int status)
{
    ++in_.counts.at("backend_bad_status");
    SHALLOTWOOD_LOG(warning) << "event=backend_bad_status"
                             << field("request", call_.context.request_id)
                             << field("status", status);
}

void http_execution::start_progress_timer()
{
    progress_timer_.start(in_.settings.body_progress_limit,
                          [self = shared_from_this()] { self->failed(true); });
}

void http_execution::data_received(std::string_view bytes)
{
    if (backend_refusal_) {
        relayed_bytes_ += bytes.size();
        if (relayed_bytes_ > max_refusal_bytes)
            finish_refusal();
        else
            client_->read();
        return;
    }
    progress_timer_.cancel();
    auto more = [self = shared_from_this()] {
        if (self->finished_)
            return;
        self->start_progress_timer();
        self->client_->read();
    };
    relayed_bytes_ += bytes.size();
    if (length_ && relayed_bytes_ >= *length_) {
        // Reads the end of the body while the last bytes are being written.
        exchange_->write(bytes, {});
        return more();
    }
    exchange_->write(bytes, std::move(more));
}

void http_execution::end_received()
{
    if (backend_refusal_) {
        refuse_with_feedback(*backend_refusal_);
        return ended(execution_end::refused);
    }
    exchange_->finish();
    ended(execution_end::response);
}

void http_execution::failed(bool written)
{
    // Other idle connections to the backend server may be broken, too.
    if (backend_address_)
        in_.client.discard_idle(backend_address_->host, backend_address_->port);
    auto run = written ? execution::may_have_run : execution::not_run;
    auto why =
        written ? reason::backend_server_failed : reason::connection_failed;
    stop(execution_end::failed, {{run, why}, SOUP_STATUS_BAD_GATEWAY, {}});
}

void http_execution::stop(execution_end how, const refusal& refused)
{
    if (finished_)
        return;
    client_->cancel();
    refuse_with_feedback(refused);
    ended(how);
}

void http_execution::sender_disconnected()
{
    in_.execution.cancel(call_.context.attempt_id);
    if (!running_ || finished_)
        return;
    if (client_)
        client_->cancel();
    ended(execution_end::cancelled);
}

std::string http_execution::feedback_text(const request::verdict& what,
                                          std::optional<duration> retry_after)
{
    const auto& id = call_.context.attempt_id;
    return connection::to_text(
        {id, in_.execution.feedback(id, what), retry_after});
}

void http_execution::refuse_with_feedback(const refusal& refused)
{
    exchange_->on_lost({});
    if (exchange_->response_started())
        return exchange_->abort();
    exchange_->respond(refused.status,
                       {{header_name::feedback,
                         feedback_text(refused.what, refused.retry_after)}},
                       "");
}

void http_execution::ended(execution_end how)
{
    if (std::exchange(finished_, true))
        return;
    deadline_timer_.cancel();
    progress_timer_.cancel();
    exchange_->on_lost({});
    in_.execution.ended(call_.context.attempt_id, how, status_);
}

} // namespace shallotwood::process::http
