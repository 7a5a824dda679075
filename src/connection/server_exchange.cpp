#include "connection/server_exchange.hpp"

#include "connection/http_listener.hpp"
#include "connection/lingering_close.hpp"

#include <array>
#include <sys/socket.h>
#include <utility>

namespace shallotwood::connection
{

namespace
{

// Dissolving the association sends a reset, so that a peer sees the break even
// where the body has no length, and nothing more can be written: libsoup ends
// a chunked body properly when it gives up a connection.
void reset_connection(int socket)
{
    ::sockaddr none{};
    none.sa_family = AF_UNSPEC;
    // Fails only if the connection is gone already.
    static_cast<void>(::connect(socket, &none, sizeof none));
}

} // namespace

server_exchange::server_exchange(SoupServerMessage* message) : message_(message)
{
}

server_exchange::~server_exchange() = default;

template <typename Handler>
void server_exchange::connect(const char* signal, Handler handler)
{
    // The closure owns the exchange for as long as the message exists.
    auto* owner = new std::shared_ptr<server_exchange>(shared_from_this());
    g_signal_connect_data(message_, signal, G_CALLBACK(handler), owner,
                          &server_exchange::release, GConnectFlags(0));
}

void server_exchange::release(gpointer data, GClosure* /*unused*/)
{
    delete static_cast<std::shared_ptr<server_exchange>*>(data);
}

std::shared_ptr<server_exchange>
server_exchange::create(SoupServerMessage* message)
{
    std::shared_ptr<server_exchange> it(new server_exchange(message));
    soup_message_body_set_accumulate(
        soup_server_message_get_request_body(message), FALSE);
    soup_message_body_set_accumulate(
        soup_server_message_get_response_body(message), FALSE);
    it->connect("got-chunk", &server_exchange::got_chunk);
    it->connect("wrote-chunk", &server_exchange::wrote_chunk);
    it->connect("finished", &server_exchange::finished);
    it->connect("disconnected", &server_exchange::finished);
    soup_server_message_pause(message);
    if (auto* connected = it->socket())
        http_listener::set_busy(connected, true);
    return it;
}

GSocket* server_exchange::socket() const
{
    return http_listener::socket_of(message_);
}

std::string server_exchange::method() const
{
    return soup_server_message_get_method(message_);
}

std::string server_exchange::path() const
{
    auto* uri = soup_server_message_get_uri(message_);
    std::string path = g_uri_get_path(uri);
    if (const auto* query = g_uri_get_query(uri))
        path.append("?").append(query);
    return path;
}

SoupMessageHeaders* server_exchange::request_headers() const
{
    return soup_server_message_get_request_headers(message_);
}

std::optional<std::uint64_t> server_exchange::request_length() const
{
    auto* headers = request_headers();
    switch (soup_message_headers_get_encoding(headers)) {
    case SOUP_ENCODING_CONTENT_LENGTH:
        return soup_message_headers_get_content_length(headers);
    case SOUP_ENCODING_CHUNKED:
        return std::nullopt;
    default:
        return 0;
    }
}

void server_exchange::read_body(std::function<void(std::string_view)> on_chunk,
                                std::function<void()> on_end)
{
    if (body_received_) {
        on_end();
        return;
    }
    on_chunk_ = std::move(on_chunk);
    on_end_ = std::move(on_end);
    read_more();
}

void server_exchange::read_more()
{
    if (message_ && !body_received_)
        soup_server_message_unpause(message_);
}

void server_exchange::on_lost(std::function<void()> lost)
{
    on_lost_ = std::move(lost);
}

void server_exchange::hold(std::shared_ptr<void> it)
{
    held_ = std::move(it);
}

void server_exchange::start_response(const response_head& head)
{
    if (!message_ || response_started_)
        return;
    response_started_ = true;
    constexpr int header_fields_too_large = 431;
    soup_server_message_set_status(message_, head.status,
                                   head.status == header_fields_too_large
                                       ? "Request Header Fields Too Large"
                                       : nullptr);
    auto* headers = soup_server_message_get_response_headers(message_);
    // libsoup has added its own date already.
    for (const auto& it : head.headers) {
        if (g_ascii_strcasecmp(it.name.c_str(), "Date") == 0)
            soup_message_headers_remove(headers, "Date");
    }
    append_headers(headers, head.headers);
    if (head.length)
        soup_message_headers_set_content_length(headers, *head.length);
    else
        soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
    // libsoup writes a response once the body of the request is read.
    soup_server_message_unpause(message_);
}

void server_exchange::write(std::string_view bytes,
                            std::function<void()> drained)
{
    if (!message_)
        return;
    drained_ = std::move(drained);
    soup_message_body_append(soup_server_message_get_response_body(message_),
                             SOUP_MEMORY_COPY, bytes.data(), bytes.size());
    soup_server_message_unpause(message_);
}

void server_exchange::finish()
{
    if (!message_ || response_complete_)
        return;
    response_complete_ = true;
    soup_message_body_complete(soup_server_message_get_response_body(message_));
    soup_server_message_unpause(message_);
}

void server_exchange::respond(int status, header_list headers,
                              std::string_view body)
{
    if (!message_ || response_started_)
        return;
    if (!body_received_ && request_length() != 0)
        return respond_and_close(status, headers, body);
    start_response({status, std::move(headers), body.size()});
    if (!body.empty())
        write(body, {});
    finish();
}

// libsoup writes no response before it has read the whole request.
void server_exchange::respond_and_close(int status, const header_list& headers,
                                        std::string_view body)
{
    object_handle<SoupServerMessage> keep(
        SOUP_SERVER_MESSAGE(g_object_ref(message_)));
    auto text = "HTTP/1.1 " + std::to_string(status) + " " +
                soup_status_get_phrase(status) + "\r\n";
    for (const auto& it : headers) {
        if (g_ascii_strcasecmp(it.name.c_str(), "Connection") != 0)
            text += it.name + ": " + it.value + "\r\n";
    }
    text +=
        "Connection: close\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\n\r\n";
    text += body;
    response_started_ = true;
    response_complete_ = true;
    auto* connected = socket();
    close(false);
    auto* stream = soup_server_message_steal_connection(keep.get());
    if (stream && connected)
        close_after(stream, connected, text);
}

void server_exchange::abort()
{
    break_off(false);
}

void server_exchange::break_off(bool lost)
{
    if (!message_)
        return;
    object_handle<SoupServerMessage> keep(
        SOUP_SERVER_MESSAGE(g_object_ref(message_)));
    if (auto* it = socket())
        reset_connection(g_socket_get_fd(it));
    close(lost);
    object_handle<GIOStream> stream(
        soup_server_message_steal_connection(keep.get()));
    if (stream)
        g_io_stream_close(stream.get(), nullptr, nullptr);
}

// libsoup takes the end of a connection between two chunks as the end of the
// body.
bool server_exchange::is_cut_off() const
{
    auto* it = socket();
    if (!it || soup_message_headers_get_encoding(request_headers()) !=
                   SOUP_ENCODING_CHUNKED)
        return false;
    char byte = 0;
    return ::recv(g_socket_get_fd(it), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void server_exchange::body_received()
{
    if (!message_)
        return;
    if (is_cut_off())
        return break_off(true);
    body_received_ = true;
    if (!response_started_)
        soup_server_message_pause(message_);
    watch_socket();
    on_chunk_ = nullptr;
    if (auto end = std::exchange(on_end_, nullptr))
        end();
}

void server_exchange::got_chunk(SoupServerMessage* message, GBytes* chunk,
                                gpointer data)
{
    auto self = *static_cast<std::shared_ptr<server_exchange>*>(data);
    if (!self->message_)
        return;
    gsize size = 0;
    const auto* bytes =
        static_cast<const char*>(g_bytes_get_data(chunk, &size));
    if (self->response_started_) {
        self->discarded_bytes_ += size;
        if (self->discarded_bytes_ > max_discarded_bytes)
            self->abort();
        return;
    }
    soup_server_message_pause(message);
    // A copy, because the handler may end the exchange.
    if (auto on_chunk = self->on_chunk_)
        on_chunk(std::string_view(bytes, size));
}

void server_exchange::wrote_chunk(SoupServerMessage* /*unused*/, gpointer data)
{
    auto self = *static_cast<std::shared_ptr<server_exchange>*>(data);
    if (auto drained = std::exchange(self->drained_, nullptr))
        drained();
}

void server_exchange::finished(SoupServerMessage* /*unused*/, gpointer data)
{
    auto self = *static_cast<std::shared_ptr<server_exchange>*>(data);
    self->close(!self->response_complete_);
}

// libsoup does not read from a paused connection, so it can't tell that the
// peer has left. A body that is still arriving hides the end of the stream, so
// the watch starts once the request is complete.
void server_exchange::watch_socket()
{
    auto* it = socket();
    if (!it)
        return;
    socket_watch_.reset(g_socket_create_source(
        it, GIOCondition(G_IO_IN | G_IO_HUP | G_IO_ERR), nullptr));
    g_source_set_callback(socket_watch_.get(),
                          G_SOURCE_FUNC(&server_exchange::socket_ready), this,
                          nullptr);
    g_source_attach(socket_watch_.get(), nullptr);
}

gboolean server_exchange::socket_ready(GSocket* socket, GIOCondition /*unused*/,
                                       gpointer data)
{
    auto self = static_cast<server_exchange*>(data)->shared_from_this();
    char byte = 0;
    auto count =
        ::recv(g_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count < 0 && (errno == EAGAIN || errno == EINTR))
        return G_SOURCE_CONTINUE;
    if (count > 0) {
        // A pipelined request: watching on would spin.
        self->socket_watch_.reset();
        return G_SOURCE_REMOVE;
    }
    auto* message = self->message_;
    self->close(true);
    // Lets libsoup find the broken connection and release it.
    soup_server_message_unpause(message);
    return G_SOURCE_REMOVE;
}

void server_exchange::close(bool lost)
{
    if (!message_)
        return;
    if (auto* connected = socket())
        http_listener::set_busy(connected, false);
    message_ = nullptr;
    socket_watch_.reset();
    on_chunk_ = nullptr;
    on_end_ = nullptr;
    drained_ = nullptr;
    auto held = std::exchange(held_, nullptr);
    auto on_lost = std::exchange(on_lost_, nullptr);
    if (lost && on_lost)
        on_lost();
}

} // namespace shallotwood::connection
