#include "connection/http_client.hpp"

#include "connection/http/message.hpp"

#include <algorithm>
#include <utility>

namespace shallotwood::connection
{

namespace
{

// Large enough to make the cost of a read small, and bounds what a body in
// transit holds in memory.
constexpr std::size_t read_bytes = std::size_t{64} * 1024;

// A server sends one or two, if any.
constexpr int max_interim_responses = 16;

std::string uri_of(const client_request& it)
{
    bool v6 = it.host.find(':') != std::string::npos;
    auto host = v6 ? "[" + it.host + "]" : it.host;
    return "http://" + host + ":" + std::to_string(it.port) + it.path;
}

void set_body(SoupMessage* message, const client_request& request)
{
    auto* headers = soup_message_get_request_headers(message);
    if (!request.body || request.body->length() == 0) {
        if (request.method != "GET" && request.method != "HEAD")
            soup_message_headers_set_content_length(headers, 0);
        return;
    }
    if (bytes_handle bytes{request.body->as_bytes()}) {
        soup_message_set_request_body_from_bytes(message, nullptr, bytes.get());
        return;
    }
    object_handle<GInputStream> stream(request.body->open());
    auto length = request.body->length();
    soup_message_set_request_body(message, nullptr, stream.get(),
                                  length ? static_cast<gssize>(*length) : -1);
}

response_head head_of(SoupMessage* message)
{
    auto* headers = soup_message_get_response_headers(message);
    response_head head;
    head.status = soup_message_get_status(message);
    if (soup_message_headers_get_encoding(headers) ==
        SOUP_ENCODING_CONTENT_LENGTH)
        head.length = soup_message_headers_get_content_length(headers);
    return head;
}

// A body that ends with its connection can't be told from a truncated one.
bool has_known_end(SoupMessage* message)
{
    auto status = soup_message_get_status(message);
    if (status == SOUP_STATUS_NO_CONTENT ||
        status == SOUP_STATUS_NOT_MODIFIED ||
        std::string_view(soup_message_get_method(message)) == "HEAD")
        return true;
    auto encoding = soup_message_headers_get_encoding(
        soup_message_get_response_headers(message));
    return encoding == SOUP_ENCODING_CONTENT_LENGTH ||
           encoding == SOUP_ENCODING_CHUNKED;
}

} // namespace

http_client::http_client(client_limits limits)
    : limits_(limits),
      expiry_(g_timeout_source_new_seconds(limits.idle_seconds))
{
    g_source_set_callback(expiry_.get(), &http_client::expire, this, nullptr);
    g_source_attach(expiry_.get(), nullptr);
}

http_client::~http_client() = default;

http_client::host_session& http_client::session_for(const std::string& host,
                                                    std::uint16_t port)
{
    auto& it = sessions_[{host, port}];
    it.used = g_get_monotonic_time();
    if (it.session)
        return it;
    it.session.reset(soup_session_new_with_options(
        "max-conns", limits_.connections_per_host, "max-conns-per-host",
        limits_.connections_per_host, "idle-timeout", limits_.idle_seconds,
        "timeout", 0U, "proxy-resolver", nullptr, nullptr));
    // Responses pass as they are: not decoded, and without authentication.
    for (auto type : {SOUP_TYPE_CONTENT_DECODER, SOUP_TYPE_AUTH_MANAGER,
                      SOUP_TYPE_WEBSOCKET_EXTENSION_MANAGER})
        soup_session_remove_feature_by_type(it.session.get(), type);
    return it;
}

void http_client::discard_idle(const std::string& host, std::uint16_t port)
{
    sessions_.erase({host, port});
}

gboolean http_client::expire(gpointer data)
{
    auto* self = static_cast<http_client*>(data);
    auto oldest = g_get_monotonic_time() -
                  gint64{self->limits_.idle_seconds} * G_USEC_PER_SEC;
    for (auto it = self->sessions_.begin(); it != self->sessions_.end();)
        it = it->second.used < oldest ? self->sessions_.erase(it)
                                      : std::next(it);
    return G_SOURCE_CONTINUE;
}

std::shared_ptr<client_call> http_client::start(const client_request& request,
                                                client_handlers handlers)
{
    std::shared_ptr<client_call> it(new client_call());
    const auto& to = session_for(request.host, request.port);
    it->start(to.session.get(), to.newest_connection, request,
              std::move(handlers));
    return it;
}

void client_call::start(SoupSession* session,
                        std::shared_ptr<guint64> newest_connection,
                        const client_request& request, client_handlers handlers)
{
    newest_connection_ = std::move(newest_connection);
    handlers_ = std::make_shared<client_handlers>(std::move(handlers));
    session_.reset(SOUP_SESSION(g_object_ref(session)));
    cancellable_.reset(g_cancellable_new());
    message_.reset(
        soup_message_new(request.method.c_str(), uri_of(request).c_str()));
    if (!message_) {
        // Callbacks come from the loop only.
        auto* self = new std::shared_ptr<client_call>(shared_from_this());
        g_idle_add(
            [](gpointer data) -> gboolean {
                std::unique_ptr<std::shared_ptr<client_call>> it(
                    static_cast<std::shared_ptr<client_call>*>(data));
                (*it)->fail("the target is not a valid URI");
                return G_SOURCE_REMOVE;
            },
            self);
        return;
    }
    soup_message_set_flags(message_.get(), SOUP_MESSAGE_NO_REDIRECT);
    set_body(message_.get(), request);
    append_headers(soup_message_get_request_headers(message_.get()),
                   request.headers);
    g_signal_connect(message_.get(), "starting",
                     G_CALLBACK(&client_call::starting), this);
    g_signal_connect(message_.get(), "got-informational",
                     G_CALLBACK(&client_call::got_informational), this);
    g_signal_connect(message_.get(), "restarted",
                     G_CALLBACK(&client_call::restarted), this);
    soup_session_send_async(
        session, message_.get(), G_PRIORITY_DEFAULT, cancellable_.get(),
        &client_call::sent,
        new std::shared_ptr<client_call>(shared_from_this()));
}

void client_call::starting(SoupMessage* /*unused*/, gpointer data)
{
    static_cast<client_call*>(data)->written_ = true;
}

// libsoup reads interim responses as long as there are any, without returning
// to the loop.
void client_call::got_informational(SoupMessage* /*unused*/, gpointer data)
{
    auto* self = static_cast<client_call*>(data);
    auto status = soup_message_get_status(self->message_.get());
    // No request asks for another protocol.
    if (status == SOUP_STATUS_SWITCHING_PROTOCOLS)
        self->bad_status_ = status;
    if (++self->interim_responses_ > max_interim_responses ||
        self->bad_status_ != 0)
        g_cancellable_cancel(self->cancellable_.get());
}

// libsoup sends an idempotent request again when a reused connection closes.
void client_call::restarted(SoupMessage* /*unused*/, gpointer data)
{
    g_cancellable_cancel(static_cast<client_call*>(data)->cancellable_.get());
}

void client_call::sent(GObject* session, GAsyncResult* result, gpointer data)
{
    std::unique_ptr<std::shared_ptr<client_call>> owner(
        static_cast<std::shared_ptr<client_call>*>(data));
    auto self = *owner;
    GError* error = nullptr;
    self->stream_.reset(
        soup_session_send_finish(SOUP_SESSION(session), result, &error));
    g_signal_handlers_disconnect_by_data(self->message_.get(), self.get());
    error_handle failure(error);
    auto status = soup_message_get_status(self->message_.get());
    if (self->stream_ && !http::is_final(static_cast<int>(status)))
        self->bad_status_ = status;
    if (self->ended_)
        self->release_stream();
    else if (self->bad_status_ != 0)
        self->fail("status outside 200 to 599");
    else if (!self->stream_)
        self->fail(failure ? failure->message : "no response");
    else if (!has_known_end(self->message_.get()))
        self->fail("response body without a known end");
    else
        self->head_received();
}

void client_call::head_received()
{
    auto head = head_of(message_.get());
    auto size = head.length
                    ? std::min<std::uint64_t>(read_bytes, *head.length + 1)
                    : read_bytes;
    buffer_.resize(size);
    auto* headers = soup_message_get_response_headers(message_.get());
    head.headers = end_to_end_headers(headers);
    internal_headers internal;
    internal.feedback =
        single_header(headers, header_name::feedback).value_or("");
    internal.verdict =
        single_header(headers, header_name::verdict).value_or("");
    internal.reason = single_header(headers, header_name::reason).value_or("");
    internal.token = single_header(headers, header_name::token).value_or("");
    auto connection = soup_message_get_connection_id(message_.get());
    internal.on_kept_connection = connection <= *newest_connection_;
    *newest_connection_ = std::max(*newest_connection_, connection);
    auto handlers = handlers_;
    handlers->on_head(std::move(head), internal);
}

// A loop rather than recursion: on_data may ask for the next piece at once.
void client_call::read()
{
    read_wanted_ = true;
    if (in_read_ || readable_)
        return;
    auto self = shared_from_this();
    in_read_ = true;
    while (read_wanted_ && !ended_ && stream_ && !readable_)
        read_once();
    in_read_ = false;
}

void client_call::read_once()
{
    GError* error = nullptr;
    auto count = g_pollable_input_stream_read_nonblocking(
        G_POLLABLE_INPUT_STREAM(stream_.get()), buffer_.data(), buffer_.size(),
        cancellable_.get(), &error);
    error_handle failure(error);
    if (count < 0 && g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
        return wait_readable();
    read_wanted_ = false;
    if (count < 0)
        return fail(failure->message);
    auto handlers = handlers_;
    if (count > 0)
        return handlers->on_data(
            std::string_view(buffer_.data(), static_cast<std::size_t>(count)));
    ended_ = true;
    handlers_.reset();
    release_stream();
    handlers->on_end();
}

void client_call::wait_readable()
{
    readable_.reset(g_pollable_input_stream_create_source(
        G_POLLABLE_INPUT_STREAM(stream_.get()), cancellable_.get()));
    g_source_set_callback(readable_.get(),
                          G_SOURCE_FUNC(&client_call::readable), this, nullptr);
    g_source_attach(readable_.get(), nullptr);
}

gboolean client_call::readable(GObject* /*unused*/, gpointer data)
{
    auto self = static_cast<client_call*>(data)->shared_from_this();
    self->readable_.reset();
    self->read();
    return G_SOURCE_REMOVE;
}

void client_call::fail(const std::string& message)
{
    if (ended_)
        return;
    auto handlers = handlers_;
    cancel();
    handlers->on_failure({written_, message, bad_status_});
}

void client_call::cancel()
{
    if (ended_)
        return;
    ended_ = true;
    handlers_.reset();
    readable_.reset();
    g_cancellable_cancel(cancellable_.get());
    release_stream();
}

// Closes without waiting: dropping the last reference would close the stream
// synchronously, which reads the rest of a body.
void client_call::release_stream()
{
    auto* stream = stream_.release();
    if (!stream)
        return;
    // The session must outlive the close.
    g_input_stream_close_async(
        stream, G_PRIORITY_DEFAULT, cancellable_.get(),
        [](GObject* it, GAsyncResult* result, gpointer session) {
            g_input_stream_close_finish(G_INPUT_STREAM(it), result, nullptr);
            g_object_unref(it);
            g_object_unref(session);
        },
        g_object_ref(session_.get()));
}

} // namespace shallotwood::connection
