#include "process/http/http_entry.hpp"

#include "connection/body_receiver.hpp"
#include "process/http/http_forward.hpp"
#include "process/keyed_hash.hpp"
#include "process/log.hpp"

#include <cmath>
#include <utility>

namespace shallotwood::process::http
{

using connection::request_body;
using connection::server_exchange;
using request::caller_request;
using request::execution;
using request::reason;
using request::refusal;
using exchange_handle = std::shared_ptr<server_exchange>;
using body_handle = std::shared_ptr<request_body>;

namespace
{

constexpr std::size_t max_api_key_bytes = 256;
constexpr std::size_t max_idempotency_key_bytes = 256;
constexpr double max_timeout_seconds = 3600;
constexpr std::string_view bearer = "Bearer ";
constexpr std::string_view call_prefix = "/call/";

const refusal malformed{
    {execution::not_run, reason::malformed}, SOUP_STATUS_BAD_REQUEST, {}};

bool contains(SoupMessageHeaders* headers, const char* name)
{
    return soup_message_headers_get_list(headers, name) != nullptr;
}

bool read_key(SoupMessageHeaders* headers, caller_request& request)
{
    if (!contains(headers, "Authorization"))
        return true;
    auto value = connection::single_header(headers, "Authorization");
    if (!value || value->size() > bearer.size() + max_api_key_bytes ||
        g_ascii_strncasecmp(value->c_str(), bearer.data(), bearer.size()) != 0)
        return false;
    request.key = value->substr(bearer.size());
    return !request.key.empty();
}

bool read_idempotency_key(SoupMessageHeaders* headers, caller_request& request)
{
    if (!contains(headers, "Idempotency-Key"))
        return true;
    auto value = connection::single_header(headers, "Idempotency-Key");
    if (!value || value->size() > max_idempotency_key_bytes)
        return false;
    request.idempotency_key = *value;
    return true;
}

bool read_timeout(SoupMessageHeaders* headers, caller_request& request)
{
    if (!contains(headers, "Request-Timeout"))
        return true;
    auto value = connection::single_header(headers, "Request-Timeout");
    if (!value)
        return false;
    char* end = nullptr;
    auto seconds = g_ascii_strtod(value->c_str(), &end);
    if (*end != '\0' || !std::isfinite(seconds) || seconds < 0 ||
        seconds > max_timeout_seconds)
        return false;
    request.timeout = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
    return true;
}

// Hashes the method, the path and the body up to prefix_bytes. The length is
// fixed so that a repeated request has the same fingerprint.
std::string request_fingerprint(const std::string& method,
                                std::string_view path, const request_body& body)
{
    auto text = method + ' ' + std::string(path) + '\n';
    text +=
        std::string_view(body.prefix()).substr(0, request_body::prefix_bytes);
    return std::to_string(stable_hash(text));
}

// Never logs the caller's key.
void log_refusal(const char* event, const std::string& path,
                 const refusal& refused)
{
    SHALLOTWOOD_LOG(info) << "event=" << event << field("path", path)
                          << field("verdict", name_of(refused.what.run))
                          << field("reason", name_of(refused.what.why))
                          << field("status", refused.status);
}

void send_recorded_response(http_environment& in, server_exchange& to,
                            const request::recorded_response& recorded)
{
    if (!recorded.body_recorded)
        return refuse(
            in, to, {{execution::ran, reason::none}, SOUP_STATUS_CONFLICT, {}});
    connection::header_list headers;
    if (!recorded.content_type.empty())
        headers.push_back({"Content-Type", recorded.content_type});
    ++in.counts.at("responses_replayed");
    to.respond(recorded.status, std::move(headers), recorded.body);
}

struct entry_state {
    http_environment& in;
    exchange_handle exchange;
    caller_request what;
    connection::header_list headers;
    body_handle body;
};

void forward_call(const std::shared_ptr<entry_state>& it, request::call call)
{
    auto& in = it->in;
    if (!it->exchange->is_open())
        return in.entry.leave(call, {{execution::not_run, reason::cancelled}});
    auto record = [&in](const auto& of, const auto& response, auto done) {
        in.entry.record(of, response, std::move(done));
    };
    auto done = [&in](const auto& of, const auto& feedback) {
        in.entry.leave(of, feedback);
    };
    std::make_shared<http_forward>(
        in, it->exchange,
        forward_request{std::move(call), it->what.method,
                        std::move(it->headers), it->body},
        record, done)
        ->start();
}

void handle_entry_result(const std::shared_ptr<entry_state>& it,
                         request::entry_result&& result)
{
    if (auto* call = std::get_if<request::call>(&result))
        return forward_call(it, std::move(*call));
    if (auto* recorded = std::get_if<request::recorded_response>(&result))
        return send_recorded_response(it->in, *it->exchange, *recorded);
    const auto& refused = std::get<refusal>(result);
    log_refusal("refuse", it->what.path, refused);
    ++it->in.counts.at("requests_refused",
                       "reason=\"" + std::string(name_of(refused.what.why)) +
                           "\"");
    refuse(it->in, *it->exchange, refused);
}

// The parts of `/call/SERVICE/PATH`. The path keeps its leading slash and its
// query.
struct child_path {
    std::string service;
    std::string path;
};

std::optional<child_path> parse_child_path(const std::string& text)
{
    if (text.compare(0, call_prefix.size(), call_prefix) != 0)
        return std::nullopt;
    auto rest = text.substr(call_prefix.size());
    auto n = rest.find_first_of("/?");
    child_path it{rest.substr(0, n), "/"};
    if (n != std::string::npos)
        it.path = rest[n] == '/' ? rest.substr(n) : "/" + rest.substr(n);
    if (it.service.empty())
        return std::nullopt;
    return it;
}

void forward_child(http_environment& in, const exchange_handle& exchange,
                   const std::string& token, forward_request request)
{
    auto done = [&in, token](const auto& of, const auto& feedback) {
        in.routing.end_child(token, of, feedback);
    };
    std::make_shared<http_forward>(in, exchange, std::move(request), nullptr,
                                   done)
        ->start();
}

} // namespace

void begin_caller_request(http_environment& in, const exchange_handle& exchange)
{
    if (in.draining)
        return refuse(in, *exchange,
                      {{execution::not_run, reason::draining},
                       SOUP_STATUS_SERVICE_UNAVAILABLE,
                       std::chrono::seconds(1)});
    auto* headers = exchange->request_headers();
    auto it = std::make_shared<entry_state>(
        entry_state{in, exchange, {}, {}, nullptr});
    it->what.method = exchange->method();
    it->what.path = exchange->path();
    if (!read_key(headers, it->what) ||
        !read_idempotency_key(headers, it->what) ||
        !read_timeout(headers, it->what))
        return refuse(in, *exchange, malformed);
    it->headers = connection::end_to_end_headers(headers);
    exchange->hold(in.hold_in_flight());
    ++in.counts.at("requests");
    connection::receive_body(exchange, [it](auto body) {
        it->body = std::move(body);
        it->what.fingerprint =
            request_fingerprint(it->what.method, it->what.path, *it->body);
        it->in.entry.enter(it->what, [it](request::entry_result&& result) {
            handle_entry_result(it, std::move(result));
        });
    });
}

void begin_child_call(http_environment& in, const exchange_handle& exchange)
{
    auto token = connection::single_header(exchange->request_headers(),
                                           connection::header_name::token);
    auto path = parse_child_path(exchange->path());
    if (!token || !path)
        return refuse(in, *exchange, malformed);
    auto headers = connection::end_to_end_headers(exchange->request_headers());
    exchange->hold(in.hold_in_flight());
    ++in.counts.at("child_calls");
    connection::receive_body(exchange, [&in, exchange, token = *token,
                                        path = *path, headers](auto body) {
        auto call = in.routing.begin_child(token, path.service, path.path);
        if (auto* refused = std::get_if<refusal>(&call)) {
            log_refusal("refuse_child", path.path, *refused);
            return refuse(in, *exchange, *refused);
        }
        forward_request it{std::get<request::call>(std::move(call)),
                           exchange->method(), headers, body};
        if (it.call.fingerprint.empty())
            it.call.fingerprint =
                request_fingerprint(it.method, path.path, *body);
        forward_child(in, exchange, token, std::move(it));
    });
}

} // namespace shallotwood::process::http
