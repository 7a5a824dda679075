#include "connection/http_client.hpp"

#include <algorithm>
#include <deque>

namespace shallotwood::connection
{

namespace
{

// Of a head, and of each piece of a chunked body's framing.
constexpr std::uint32_t max_head_bytes = std::uint32_t{64} * 1024;

// Bodies are passed on, not kept.
constexpr std::uint64_t max_body_bytes = std::uint64_t{1} << 40;

http::client_options connection_options()
{
    http::client_options it;
    // A peer may leave a body unread for long; the callers' timers find those
    // that are silent.
    it.alive = {std::chrono::seconds(0), 0};
    it.message.header_bytes = max_head_bytes;
    it.message.body_bytes = max_body_bytes;
    return it;
}

std::string host_field(const client_request& it)
{
    bool v6 = it.host.find(':') != std::string::npos;
    auto host = v6 ? "[" + it.host + "]" : it.host;
    return host + ":" + std::to_string(it.port);
}

// True for a path that can't end the request line.
bool is_valid_target(const std::string& path)
{
    return !path.empty() && path.front() == '/' &&
           std::all_of(path.begin(), path.end(),
                       [](unsigned char c) { return c > ' ' && c != 0x7f; });
}

http::framing framing_of(const client_request& it)
{
    if (!it.body || it.body->length() == 0) {
        bool bodiless = it.method == "GET" || it.method == "HEAD";
        return {bodiless ? http::framing::kind::none
                         : http::framing::kind::length,
                0};
    }
    if (auto length = it.body->known_length())
        return {http::framing::kind::length, *length};
    return {http::framing::kind::chunked, 0};
}

// A body that ends with its connection can't be told from one that its sender
// cut off.
bool has_known_end(const client_request& request, int status,
                   const http::message_info& info)
{
    return info.length || info.is_chunked || request.method == "HEAD" ||
           http::is_bodiless(status);
}

std::string value_of(const http::header_list& headers, const char* name)
{
    return single_header(headers, name).value_or("");
}

} // namespace

class client_host
{
public:
    client_host(std::shared_ptr<process::loop::reactor> loop,
                const process::peer_address& address,
                const client_limits& limits)
        : loop_(std::move(loop)), limits_(limits),
          pool_(*loop_, connection_options(), {limits.idle_limit}),
          used_at_(loop_->now())
    {
        pool_.set_address(address);
    }

    process::time_point used_at() const { return used_at_; }

    void start(const std::shared_ptr<client_call>& call)
    {
        used_at_ = loop_->now();
        if (busy_ >= limits_.connections_per_host) {
            waiting_.push_back(call);
            return;
        }
        ++busy_;
        call->start(pool_.take(limits_.idle_limit));
    }

    void give_back(std::shared_ptr<http::client_connection> it)
    {
        pool_.give_back(std::move(it));
        --busy_;
        while (!waiting_.empty()) {
            auto next = waiting_.front().lock();
            waiting_.pop_front();
            if (next && !next->ended_) {
                start(next);
                return;
            }
        }
    }

private:
    // Declared first, so that it outlives the connections.
    std::shared_ptr<process::loop::reactor> loop_;
    client_limits limits_;
    http::client_pool pool_;
    process::time_point used_at_;
    // Connections with a call.
    std::size_t busy_ = 0;
    std::deque<std::weak_ptr<client_call>> waiting_;
};

http_client::http_client(client_limits limits)
    : limits_(limits), loop_(std::make_shared<process::loop::reactor>())
{
    forget_unused();
}

http_client::~http_client()
{
    loop_->cancel(expiry_);
}

std::shared_ptr<client_host> http_client::host(const std::string& name,
                                               std::uint16_t port)
{
    process::peer_address address{name, port};
    auto& it = hosts_[address];
    if (!it)
        it = std::make_shared<client_host>(loop_, address, limits_);
    return it;
}

void http_client::discard_idle(const std::string& host, std::uint16_t port)
{
    hosts_.erase({host, port});
}

void http_client::forget_unused()
{
    auto oldest = loop_->now() - limits_.idle_limit;
    for (auto it = hosts_.begin(); it != hosts_.end();)
        it = it->second->used_at() < oldest ? hosts_.erase(it) : std::next(it);
    expiry_ =
        loop_->call_after(limits_.idle_limit, [this] { forget_unused(); });
}

std::shared_ptr<client_call> http_client::start(const client_request& request,
                                                client_handlers handlers)
{
    auto to = host(request.host, request.port);
    auto it = std::make_shared<client_call>(to, request, std::move(handlers));
    if (is_valid_target(request.path))
        to->start(it);
    else
        loop_->defer([it] { it->fail("the target is not a valid path"); });
    return it;
}

client_call::client_call(std::shared_ptr<client_host> to,
                         const client_request& request,
                         client_handlers handlers)
    : host_(std::move(to)), request_(request),
      handlers_(std::make_shared<client_handlers>(std::move(handlers)))
{
}

client_call::~client_call()
{
    cancel();
}

bool client_call::written() const
{
    return written_ || (connection_ && connection_->request_begun());
}

http::request_head client_call::head() const
{
    http::request_head it;
    it.method = request_.method;
    it.target = request_.path;
    it.headers.add("Host", host_field(request_));
    for (const auto& one : request_.headers)
        it.headers.add(one.name, one.value);
    return it;
}

void client_call::start(std::shared_ptr<http::client_connection> over)
{
    connection_ = std::move(over);
    auto framing = framing_of(request_);
    sending_body_ =
        framing.how == http::framing::kind::chunked || framing.length > 0;
    auto first = sending_body_ ? request_.body->at(0) : std::string_view();
    connection_->start_call(head(), framing, first, {}, *this);
    body_sent_ = first.size();
    if (!sending_body_)
        return;
    // The response is passed on once the request is whole: the listener writes
    // none before, and discards what the caller uploads after it.
    connection_->pause_reading();
    request_.body->on_more([weak = weak_from_this()] {
        if (auto it = weak.lock())
            it->send_body();
    });
    send_body();
}

void client_call::send_body()
{
    if (ended_ || !sending_body_)
        return;
    auto& body = *request_.body;
    body.consumed(body_sent_);
    while (sending_body_ && connection_->unsent() == 0) {
        auto bytes = body.at(body_sent_);
        if (bytes.empty() && !body.complete()) {
            body.want_more();
            return;
        }
        sending_body_ = !bytes.empty();
        body_sent_ += bytes.size();
        connection_->send_body(bytes, !sending_body_);
        body.consumed(body_sent_);
    }
    if (!sending_body_)
        connection_->resume_reading();
}

void client_call::on_response(http::response_head&& head,
                              const http::message_info& info)
{
    auto self = shared_from_this();
    if (!has_known_end(request_, head.status, info))
        return fail("response body without a known end");
    internal_headers internal;
    internal.feedback = value_of(head.headers, header_name::feedback);
    internal.verdict = value_of(head.headers, header_name::verdict);
    internal.reason = value_of(head.headers, header_name::reason);
    internal.token = value_of(head.headers, header_name::token);
    internal.on_kept_connection = connection_->used();
    response_head it{head.status, end_to_end_headers(head.headers),
                     info.length};
    has_head_ = true;
    auto handlers = handlers_;
    handlers->on_head(std::move(it), internal);
    deliver();
}

void client_call::on_response_body(std::string_view bytes)
{
    auto self = shared_from_this();
    unread_.append(bytes);
    deliver();
}

void client_call::on_response_end()
{
    auto self = shared_from_this();
    response_ended_ = true;
    written_ = true;
    host_->give_back(std::move(connection_));
    deliver();
}

void client_call::on_failure(const http::call_failure& why)
{
    auto self = shared_from_this();
    auto message =
        why.malformed ? "response is not valid" : "connection failed";
    if (!has_head_)
        return fail(message, why.bad_status);
    broken_ = message;
    deliver();
}

void client_call::read()
{
    read_wanted_ = true;
    deliver();
}

// A loop rather than recursion: on_data may ask for the next piece at once.
void client_call::deliver()
{
    if (delivering_ || ended_)
        return;
    auto self = shared_from_this();
    delivering_ = true;
    while (read_wanted_ && !ended_ && !unread_.empty()) {
        read_wanted_ = false;
        auto bytes = std::exchange(unread_, {});
        auto handlers = handlers_;
        handlers->on_data(bytes);
    }
    delivering_ = false;
    if (ended_)
        return;
    if (!read_wanted_) {
        if (connection_)
            connection_->stop_reading();
    } else if (response_ended_) {
        end()->on_end();
    } else if (broken_) {
        fail(*broken_);
    } else if (connection_) {
        connection_->resume_reading();
    }
}

void client_call::fail(const std::string& message,
                       std::optional<int> bad_status)
{
    if (ended_)
        return;
    auto self = shared_from_this();
    auto handlers = end();
    handlers->on_failure({written_, message, bad_status});
}

void client_call::cancel()
{
    if (!ended_)
        end();
}

std::shared_ptr<client_handlers> client_call::end()
{
    ended_ = true;
    written_ = written();
    if (connection_) {
        connection_->close();
        host_->give_back(std::move(connection_));
    }
    return std::exchange(handlers_, nullptr);
}

} // namespace shallotwood::connection
