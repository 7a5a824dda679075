#include "process/http/data_path.hpp"

#include "process/http/http_entry.hpp"
#include "process/http/http_execution.hpp"
#include "process/json_text.hpp"

#include <json/json.h>
#include <utility>

namespace shallotwood::process::http
{

using connection::http_listener;
using connection::server_exchange;

namespace
{

constexpr std::string_view call_prefix = "/call/";
constexpr std::string_view control_prefix = "/control/";
constexpr int max_slots = 1'000'000;

bool starts_with(const std::string& text, std::string_view prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

control_response error_response(int status, const std::string& message)
{
    Json::Value json;
    json["error"] = message;
    return {status, "application/json", write_json(json) + "\n"};
}

bool is_valid_count(const Json::Value& it)
{
    return it.isInt() && it.asInt() >= 0 && it.asInt() <= max_slots;
}

std::optional<backend_announcement> parse_announcement(const std::string& text)
{
    auto json = parse_json(text);
    if (!json || !json->isObject())
        return std::nullopt;
    const auto& service = (*json)["service"];
    const auto& port = (*json)["port"];
    const auto& slots = (*json)["slots"];
    const auto& connections = (*json)["connections"];
    if (!service.isString() || service.asString().empty() || !port.isInt() ||
        port.asInt() <= 0 || port.asInt() > 65535 || !is_valid_count(slots) ||
        !is_valid_count(connections))
        return std::nullopt;
    return backend_announcement{service.asString(), "127.0.0.1",
                                static_cast<std::uint16_t>(port.asInt()),
                                slots.asInt(), connections.asInt()};
}

} // namespace

data_path::data_path(data_path_settings settings, event_loop& loop,
                     random_source& random, counters& counts,
                     request::entry_policy& entry,
                     request::routing_policy& routing,
                     request::execution_policy& execution)
    : settings_(std::move(settings)), client_(settings_.client_limits),
      environment_{settings_, loop,    random, counts, entry, routing,
                   execution, client_, false,  0,      {}},
      caller_(settings_.listener_limits,
              [this](auto it) {
                  begin_caller_request(environment_, std::move(it));
              }),
      peer_(settings_.listener_limits, [this](auto it) { peer_request(it); }),
      local_(settings_.listener_limits, [this](auto it) { local_request(it); })
{
}

data_path::~data_path() = default;

void data_path::on_announce(
    std::function<void(const backend_announcement&)> handler)
{
    on_announce_ = std::move(handler);
}

void data_path::on_leave(std::function<void()> handler)
{
    on_leave_ = std::move(handler);
}

void data_path::on_peer_control(control_handler handler)
{
    on_peer_control_ = std::move(handler);
}

void data_path::on_local_control(control_handler handler)
{
    on_local_control_ = std::move(handler);
}

std::string data_path::start()
{
    const std::pair<http_listener*, const connection::listen_address*> all[] = {
        {&caller_, &settings_.caller},
        {&peer_, &settings_.peer},
        {&local_, &settings_.local}};
    for (const auto& [listener, address] : all) {
        if (auto error = listener->listen(*address); !error.empty())
            return address->host + ":" + std::to_string(address->port) + ": " +
                   error;
    }
    return {};
}

void data_path::drain(std::function<void()> done)
{
    environment_.draining = true;
    environment_.on_idle = std::move(done);
    // The peer and local listeners stay open, so that peers get an explicit
    // refusal and requests in flight can still make child calls.
    caller_.stop_accepting();
    if (environment_.in_flight == 0)
        environment_.loop.call_after(duration(0), environment_.on_idle);
}

void data_path::peer_request(const exchange_handle& exchange)
{
    if (on_peer_control_ && starts_with(exchange->path(), control_prefix))
        return receive_control(exchange, on_peer_control_);
    http_execution::begin(environment_, exchange);
}

void data_path::local_request(const exchange_handle& exchange)
{
    auto path = exchange->path();
    if (starts_with(path, call_prefix))
        return begin_child_call(environment_, exchange);
    bool post = exchange->method() == "POST";
    if (post && path == "/backend/announce")
        return receive_control(exchange, [this](const auto& it, auto done) {
            announce(it, done);
        });
    if (post && path == "/backend/leave")
        return receive_control(
            exchange, [this](const auto& it, auto done) { leave(it, done); });
    if (path == "/metrics")
        return receive_control(
            exchange, [this](const auto& it, auto done) { metrics(it, done); });
    receive_control(exchange, on_local_control_);
}

// Control requests are small, so their bodies are buffered whole.
void data_path::receive_control(const exchange_handle& exchange,
                                const control_handler& handler)
{
    auto respond = [exchange](const control_response& it) {
        exchange->respond(it.status, {{"Content-Type", it.content_type}},
                          it.body);
    };
    if (!handler)
        return respond(error_response(SOUP_STATUS_NOT_FOUND, "no such path"));
    auto it = std::make_shared<control_request>(
        control_request{exchange->method(), exchange->path(), {}});
    exchange->read_body(
        [it, respond, from = std::weak_ptr<server_exchange>(exchange)](
            std::string_view chunk) {
            it->body += chunk;
            if (it->body.size() > max_control_bytes)
                return respond(error_response(
                    SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE, "body over 1 MB"));
            if (auto open = from.lock())
                open->read_more();
        },
        [it, respond, handler] { handler(*it, respond); });
}

void data_path::announce(const control_request& request,
                         const std::function<void(control_response)>& done)
{
    auto announcement = parse_announcement(request.body);
    if (!announcement)
        return done(
            error_response(SOUP_STATUS_BAD_REQUEST,
                           "expected {service, port, slots, connections}"));
    ++environment_.counts.at("announcements");
    if (on_announce_)
        on_announce_(*announcement);
    done({SOUP_STATUS_OK, "application/json", "{}\n"});
}

void data_path::leave(const control_request& /*unused*/,
                      const std::function<void(control_response)>& done)
{
    if (on_leave_)
        on_leave_();
    done({SOUP_STATUS_OK, "application/json", "{}\n"});
}

void data_path::metrics(const control_request& /*unused*/,
                        const std::function<void(control_response)>& done)
{
    done({SOUP_STATUS_OK, "text/plain; charset=utf-8",
          environment_.counts.text()});
}

} // namespace shallotwood::process::http
