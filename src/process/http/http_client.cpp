#include "process/http/http_client.hpp"

#include "connection/http/message.hpp"

namespace shallotwood::process::http
{

namespace
{

constexpr unsigned idle_seconds = 30;

} // namespace

// One request and its response. Owned by the client until it ends, and kept
// alive by the reference in libsoup's callback until that callback has run.
class http_client::exchange : public std::enable_shared_from_this<exchange>
{
public:
    exchange(http_client& owner, std::uint64_t id, const http_request& request,
             response_callback done)
        : owner_(&owner), id_(id), done_(std::move(done)),
          max_response_bytes_(request.max_response_bytes),
          response_header_names_(request.response_header_names),
          cancellable_(g_cancellable_new()),
          message_(soup_message_new(request.method, request.uri.c_str()))
    {
        soup_message_add_flags(message_, SOUP_MESSAGE_NO_REDIRECT);
        if (request.header)
            soup_message_headers_replace(
                soup_message_get_request_headers(message_),
                request.header->first, request.header->second.c_str());
        if (!request.body.empty())
            set_body(request.body);
        g_signal_connect(message_, "starting",
                         G_CALLBACK(&exchange::on_starting), this);
        g_signal_connect(message_, "got-headers",
                         G_CALLBACK(&exchange::on_headers), this);
    }

    ~exchange()
    {
        g_signal_handlers_disconnect_by_data(message_, this);
        g_object_unref(message_);
        g_object_unref(cancellable_);
    }

    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;

    void start(SoupSession* through, duration time_limit)
    {
        timer_ = owner_->loop_.call_after(time_limit, [this] { on_timeout(); });
        soup_session_send_and_read_async(
            through, message_, G_PRIORITY_DEFAULT, cancellable_,
            &exchange::on_done,
            new std::shared_ptr<exchange>(shared_from_this()));
    }

    void cancel_exchange()
    {
        owner_->loop_.cancel(timer_);
        owner_ = nullptr;
        g_cancellable_cancel(cancellable_);
    }

    response_callback take_callback() { return std::move(done_); }

private:
    void set_body(const std::string& text)
    {
        auto* bytes = g_bytes_new(text.data(), text.size());
        soup_message_set_request_body_from_bytes(
            message_, "application/octet-stream", bytes);
        g_bytes_unref(bytes);
    }

    void on_timeout()
    {
        timer_ = {};
        g_cancellable_cancel(cancellable_);
    }

    static void on_starting(SoupMessage* /*message*/, exchange* self)
    {
        ++self->response_.sends;
    }

    // Cancels the exchange unless the response is known to be within the limit
    // and has a status that a response may end with.
    static void on_headers(SoupMessage* message, exchange* self)
    {
        if (!connection::http::is_final(
                static_cast<int>(soup_message_get_status(message))))
            g_cancellable_cancel(self->cancellable_);
        if (soup_message_get_status(message) == SOUP_STATUS_NO_CONTENT)
            return;
        auto* headers = soup_message_get_response_headers(message);
        bool sized = soup_message_headers_get_encoding(headers) ==
                     SOUP_ENCODING_CONTENT_LENGTH;
        auto length = soup_message_headers_get_content_length(headers);
        if (!sized || length > static_cast<goffset>(self->max_response_bytes_))
            g_cancellable_cancel(self->cancellable_);
    }

    static void on_done(GObject* source, GAsyncResult* result, gpointer data)
    {
        std::unique_ptr<std::shared_ptr<exchange>> self(
            static_cast<std::shared_ptr<exchange>*>(data));
        GError* error = nullptr;
        auto* bytes = soup_session_send_and_read_finish(SOUP_SESSION(source),
                                                        result, &error);
        g_clear_error(&error);
        if (bytes) {
            (*self)->read(bytes);
            g_bytes_unref(bytes);
        }
        (*self)->end();
    }

    void read(GBytes* bytes)
    {
        gsize size = 0;
        const auto* data =
            static_cast<const char*>(g_bytes_get_data(bytes, &size));
        response_.status = soup_message_get_status(message_);
        if (size > 0)
            response_.body.assign(data, size);
        auto* headers = soup_message_get_response_headers(message_);
        for (const auto* name : response_header_names_) {
            if (const auto* value = soup_message_headers_get_one(headers, name))
                response_.headers.emplace(name, value);
        }
    }

    void end()
    {
        if (!owner_)
            return;
        owner_->loop_.cancel(timer_);
        owner_->finish(id_, response_);
    }

    // Null once cancelled.
    http_client* owner_;
    std::uint64_t id_;
    response_callback done_;
    std::size_t max_response_bytes_;
    std::vector<const char*> response_header_names_;
    GCancellable* cancellable_;
    SoupMessage* message_;
    timer_id timer_{};
    http_response response_;
};

http_client::http_client(event_loop& loop, int max_connections)
    : loop_(loop), session_(soup_session_new_with_options(
                       "max-conns", max_connections, "max-conns-per-host",
                       max_connections, "idle-timeout", idle_seconds, nullptr))
{
    // Always connect directly, even if the environment configures a proxy.
    soup_session_set_proxy_resolver(session_.get(), nullptr);
    // A compressed response could exceed the size limit once decoded.
    soup_session_remove_feature_by_type(session_.get(),
                                        SOUP_TYPE_CONTENT_DECODER);
}

http_client::~http_client()
{
    for (auto& [id, it] : exchanges_)
        it->cancel_exchange();
}

std::uint64_t http_client::send(const http_request& request,
                                response_callback done)
{
    auto id = ++last_id_;
    auto created =
        std::make_shared<exchange>(*this, id, request, std::move(done));
    exchanges_.emplace(id, created);
    created->start(session_.get(), request.time_limit);
    return id;
}

void http_client::cancel_exchange(std::uint64_t id)
{
    auto it = exchanges_.find(id);
    if (it == exchanges_.end())
        return;
    it->second->cancel_exchange();
    exchanges_.erase(it);
}

void http_client::finish(std::uint64_t id, const http_response& response)
{
    auto found = exchanges_.find(id);
    auto done = found->second->take_callback();
    // The response is a member of the exchange, which the reference in
    // libsoup's callback keeps alive.
    exchanges_.erase(found);
    done(response);
}

} // namespace shallotwood::process::http
