#include "connection/http_listener.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string_view>
#include <sys/socket.h>
#include <utility>

namespace shallotwood::connection
{

namespace
{

constexpr int listen_backlog = 1024;
constexpr const char* socket_key = "shallotwood-socket";
constexpr const char* busy_key = "shallotwood-busy";
constexpr const char* exchange_key = "shallotwood-exchange";

constexpr std::string_view too_many_connections =
    "HTTP/1.1 503 Service Unavailable\r\n"
    "Shallotwood-Verdict: not-run\r\nShallotwood-Reason: overload\r\n"
    "Retry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

void release_exchange(gpointer data)
{
    delete static_cast<std::weak_ptr<server_exchange>*>(data);
}

// Longer bodies than this are not a plausible request.
constexpr std::uint64_t max_body_bytes = std::uint64_t{1} << 40;

header_list refusal_headers()
{
    return {{header_name::verdict, "not-run"},
            {header_name::reason, "malformed"},
            {"Connection", "close"}};
}

// RFC 9110, 5.6.2; libsoup accepts any word.
bool is_token(std::string_view text)
{
    constexpr std::string_view others = "!#$%&'*+-.^_`|~";
    for (char c : text) {
        if (!g_ascii_isalnum(c) && others.find(c) == std::string_view::npos)
            return false;
    }
    return !text.empty();
}

// libsoup reads doubled and negative lengths without an error.
bool has_valid_length(SoupMessageHeaders* headers)
{
    if (!soup_message_headers_get_list(headers, "Content-Length"))
        return true;
    auto text = single_header(headers, "Content-Length");
    if (!text)
        return false;
    std::uint64_t length = 0;
    auto [end, ec] =
        std::from_chars(text->data(), text->data() + text->size(), length);
    return ec == std::errc() && end == text->data() + text->size() &&
           length <= max_body_bytes;
}

bool has_valid_framing(SoupMessageHeaders* headers)
{
    // Both at once is how a request is smuggled past a second parser.
    if (soup_message_headers_get_list(headers, "Transfer-Encoding") &&
        soup_message_headers_get_list(headers, "Content-Length"))
        return false;
    auto encoding = soup_message_headers_get_encoding(headers);
    bool known = encoding == SOUP_ENCODING_NONE ||
                 encoding == SOUP_ENCODING_CHUNKED ||
                 encoding == SOUP_ENCODING_CONTENT_LENGTH;
    return known && has_valid_length(headers);
}

} // namespace

std::optional<listen_address> parse_address(std::string_view text)
{
    auto n = text.rfind(':');
    if (n == std::string_view::npos)
        return std::nullopt;
    listen_address it{std::string(text.substr(0, n)), 0};
    auto port = text.substr(n + 1);
    auto [end, ec] =
        std::from_chars(port.data(), port.data() + port.size(), it.port);
    if (it.host.size() > 2 && it.host.front() == '[' && it.host.back() == ']')
        it.host = it.host.substr(1, it.host.size() - 2);
    if (ec != std::errc() || end != port.data() + port.size() ||
        !g_hostname_is_ip_address(it.host.c_str()))
        return std::nullopt;
    return it;
}

http_listener::http_listener(listener_limits limits, handler on_request)
    : limits_(limits), on_request_(std::move(on_request)),
      server_(soup_server_new(nullptr, nullptr)),
      service_(g_socket_service_new()),
      connections_(std::make_shared<open_connections>()),
      idle_sweep_(g_timeout_source_new_seconds(limits.idle_seconds / 10 + 1))
{
    soup_server_add_early_handler(server_.get(), nullptr,
                                  &http_listener::head_received, this, nullptr);
    soup_server_add_handler(server_.get(), nullptr,
                            &http_listener::body_received, this, nullptr);
    keep_connections_open();
    g_source_set_callback(idle_sweep_.get(), &http_listener::sweep_idle, this,
                          nullptr);
    g_source_attach(idle_sweep_.get(), nullptr);
    g_socket_listener_set_backlog(G_SOCKET_LISTENER(service_.get()),
                                  listen_backlog);
    g_signal_connect(service_.get(), "incoming",
                     G_CALLBACK(&http_listener::accepted), this);
}

// libsoup closes each connection after one response unless its server has a
// listener. Connections are accepted here, so it gets a socket that never
// becomes readable.
void http_listener::keep_connections_open()
{
    std::array<int, 2> ends{};
    if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0,
                     ends.data()) != 0)
        return;
    silent_.reset(g_socket_new_from_fd(ends[1], nullptr));
    object_handle<GSocket> listener(g_socket_new_from_fd(ends[0], nullptr));
    if (listener)
        soup_server_listen_socket(server_.get(), listener.get(),
                                  SoupServerListenOptions(0), nullptr);
}

http_listener::~http_listener()
{
    stop_accepting();
    g_signal_handlers_disconnect_by_data(service_.get(), this);
    soup_server_disconnect(server_.get());
}

std::string http_listener::listen(const listen_address& address)
{
    object_handle<GSocketAddress> wanted(g_inet_socket_address_new_from_string(
        address.host.c_str(), address.port));
    if (!wanted)
        return "not an IP address: " + address.host;
    GSocketAddress* effective = nullptr;
    GError* error = nullptr;
    if (!g_socket_listener_add_address(G_SOCKET_LISTENER(service_.get()),
                                       wanted.get(), G_SOCKET_TYPE_STREAM,
                                       G_SOCKET_PROTOCOL_TCP, nullptr,
                                       &effective, &error)) {
        error_handle it(error);
        return it->message;
    }
    object_handle<GSocketAddress> bound(effective);
    port_ = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound.get()));
    g_socket_service_start(service_.get());
    return {};
}

void http_listener::stop_accepting()
{
    if (stopping_)
        return;
    stopping_ = true;
    g_socket_service_stop(service_.get());
    g_socket_listener_close(G_SOCKET_LISTENER(service_.get()));
}

GSocket* http_listener::socket_of(SoupServerMessage* message)
{
    auto* address = soup_server_message_get_remote_address(message);
    if (!address)
        return nullptr;
    auto* socket =
        static_cast<GSocket*>(g_object_get_data(G_OBJECT(address), socket_key));
    return socket && !g_socket_is_closed(socket) ? socket : nullptr;
}

gboolean http_listener::accepted(GSocketService* /*unused*/,
                                 GSocketConnection* connection,
                                 GObject* /*unused*/, gpointer data)
{
    auto* self = static_cast<http_listener*>(data);
    auto* socket = g_socket_connection_get_socket(connection);
    if (self->connections_->all.size() >= self->limits_.connections) {
        g_socket_send(socket, too_many_connections.data(),
                      too_many_connections.size(), nullptr, nullptr);
        g_io_stream_close(G_IO_STREAM(connection), nullptr, nullptr);
        return TRUE;
    }
    g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
    object_handle<GSocketAddress> local(
        g_socket_connection_get_local_address(connection, nullptr));
    object_handle<GSocketAddress> remote(
        g_socket_connection_get_remote_address(connection, nullptr));
    if (!local || !remote)
        return TRUE;
    // The only link from a message back to its socket that libsoup keeps.
    g_object_set_data_full(G_OBJECT(remote.get()), socket_key,
                           g_object_ref(socket), g_object_unref);
    self->connections_->all.insert(connection);
    g_object_weak_ref(
        G_OBJECT(connection), &http_listener::closed,
        new std::shared_ptr<open_connections>(self->connections_));
    soup_server_accept_iostream(self->server_.get(), G_IO_STREAM(connection),
                                local.get(), remote.get(), nullptr);
    return TRUE;
}

void http_listener::closed(gpointer data, GObject* connection)
{
    std::unique_ptr<std::shared_ptr<open_connections>> it(
        static_cast<std::shared_ptr<open_connections>*>(data));
    // Only the address: the object is being destroyed.
    (*it)->all.erase(reinterpret_cast<GSocketConnection*>(connection));
}

void http_listener::set_busy(GSocket* socket, bool busy)
{
    g_object_set_data(G_OBJECT(socket), busy_key, GINT_TO_POINTER(busy));
}

// Not the timeout of GSocket: each operation on a socket that has one wakes
// the main loop once more (strace).
gboolean http_listener::sweep_idle(gpointer data)
{
    auto* self = static_cast<http_listener*>(data);
    auto limit_ms = self->limits_.idle_seconds * 1000;
    for (auto* it : self->connections_->all) {
        auto* socket = g_socket_connection_get_socket(it);
        ::tcp_info info{};
        ::socklen_t size = sizeof info;
        if (g_object_get_data(G_OBJECT(socket), busy_key) ||
            ::getsockopt(g_socket_get_fd(socket), IPPROTO_TCP, TCP_INFO, &info,
                         &size) != 0)
            continue;
        if (std::min(info.tcpi_last_data_recv, info.tcpi_last_data_sent) >
            limit_ms)
            g_socket_shutdown(socket, TRUE, TRUE, nullptr);
    }
    return G_SOURCE_CONTINUE;
}

int http_listener::status_of_head(SoupServerMessage* message) const
{
    auto* uri = soup_server_message_get_uri(message);
    std::size_t path = std::string_view(g_uri_get_path(uri)).size();
    if (const auto* query = g_uri_get_query(uri))
        path += std::string_view(query).size();
    if (path > limits_.path_bytes)
        return SOUP_STATUS_REQUEST_URI_TOO_LONG;
    auto* headers = soup_server_message_get_request_headers(message);
    auto size = size_of(headers);
    if (size.count > limits_.header_count || size.bytes > limits_.header_bytes)
        return 431;
    std::string_view method = soup_server_message_get_method(message);
    if (method == "CONNECT")
        return SOUP_STATUS_METHOD_NOT_ALLOWED;
    if (!is_token(method) || !has_valid_framing(headers))
        return SOUP_STATUS_BAD_REQUEST;
    return 0;
}

void http_listener::head_received(SoupServer* /*unused*/,
                                  SoupServerMessage* message,
                                  const char* /*unused*/,
                                  GHashTable* /*unused*/, gpointer data)
{
    auto* self = static_cast<http_listener*>(data);
    auto it = server_exchange::create(message);
    g_object_set_data_full(G_OBJECT(message), exchange_key,
                           new std::weak_ptr<server_exchange>(it),
                           release_exchange);
    if (self->stopping_)
        soup_message_headers_replace(
            soup_server_message_get_response_headers(message), "Connection",
            "close");
    if (auto status = self->status_of_head(message)) {
        it->respond(status, refusal_headers(), "");
        return;
    }
    self->on_request_(std::move(it));
}

void http_listener::body_received(SoupServer* /*unused*/,
                                  SoupServerMessage* message,
                                  const char* /*unused*/,
                                  GHashTable* /*unused*/, gpointer /*unused*/)
{
    auto* it = static_cast<std::weak_ptr<server_exchange>*>(
        g_object_get_data(G_OBJECT(message), exchange_key));
    if (auto exchange = it ? it->lock() : nullptr)
        exchange->body_received();
}

} // namespace shallotwood::connection
