#include "connection/http_client.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <sys/socket.h>
#include <utility>

namespace shallotwood::connection
{

namespace
{

// Large enough to make the cost of a call to the kernel small, and bounds what
// a body in transit holds in memory.
constexpr std::size_t buffer_bytes = 64 * 1024;
// Enough for most responses, so that many calls in flight take little memory.
constexpr std::size_t first_buffer_bytes = 4 * 1024;

std::string host_header(const host_address& to)
{
    bool v6 = to.host.find(':') != std::string::npos;
    return (v6 ? "[" + to.host + "]" : to.host) + ":" + std::to_string(to.port);
}

// Text that would end a line of the head early.
bool is_single_line(std::string_view text)
{
    return text.find_first_of(std::string_view("\r\n\0", 3)) ==
           std::string_view::npos;
}

void append_header(std::string& to, const header& it)
{
    if (!is_single_line(it.name) || !is_single_line(it.value))
        return;
    to.append(it.name).append(": ").append(it.value).append("\r\n");
}

std::string framing_of(const client_request& it)
{
    if (it.body && !it.body->length())
        return "Transfer-Encoding: chunked\r\n";
    auto length = it.body ? *it.body->length() : 0;
    if (length == 0 && (it.method == "GET" || it.method == "HEAD"))
        return {};
    return "Content-Length: " + std::to_string(length) + "\r\n";
}

std::string head_of(const client_request& it, const host_address& to)
{
    std::string text;
    text.reserve(1024);
    text.append(it.method).append(" ").append(it.path);
    text.append(" HTTP/1.1\r\nHost: ").append(host_header(to)).append("\r\n");
    for (const auto& header : it.headers)
        append_header(text, header);
    return text.append(framing_of(it)).append("\r\n");
}

void append_chunk(std::string& to, std::string_view bytes)
{
    std::array<char, 20> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    to.append(size.data()).append(bytes).append("\r\n");
}

} // namespace

client_call::client_call(std::shared_ptr<connection_pool> pool,
                         client_request request, client_handlers handlers)
    : pool_(std::move(pool)), request_(std::move(request)),
      handlers_(std::make_shared<client_handlers>(std::move(handlers))),
      to_{request_.host, request_.port},
      chunked_(request_.body && !request_.body->length()),
      parser_(request_.method == "HEAD")
{
}

client_call::~client_call()
{
    release(false);
}

void client_call::watch(source_handle& slot, GIOCondition condition,
                        GUnixFDSourceFunc callback)
{
    if (slot)
        return;
    slot.reset(g_unix_fd_source_new(socket_.fd(), condition));
    g_source_set_callback(slot.get(), G_SOURCE_FUNC(callback), this, nullptr);
    g_source_attach(slot.get(), nullptr);
}

void client_call::start()
{
    if (!is_single_line(request_.path) || !is_single_line(request_.method) ||
        request_.path.empty() || request_.path.front() != '/') {
        start_.reset(g_idle_source_new());
        g_source_set_priority(start_.get(), G_PRIORITY_DEFAULT);
        g_source_set_callback(start_.get(), &client_call::started, this,
                              nullptr);
        g_source_attach(start_.get(), nullptr);
        return;
    }
    output_ = head_of(request_, to_);
    if (request_.body) {
        std::weak_ptr<client_call> self = weak_from_this();
        request_.body->on_available([self] {
            auto it = self.lock();
            if (it && !it->ended_ && !it->connecting_)
                it->write();
        });
    }
    connect();
}

// Reports a request that can't be sent from the loop, as every result.
gboolean client_call::started(gpointer data)
{
    auto self = static_cast<client_call*>(data)->shared_from_this();
    self->start_.reset();
    if (!self->ended_)
        self->fail("the request can't be sent");
    return G_SOURCE_REMOVE;
}

void client_call::connect()
{
    socket_ = pool_->take(to_);
    pooled_ = bool(socket_);
    if (!socket_)
        socket_ = pool_->open(to_);
    if (!socket_) {
        start_.reset(g_idle_source_new());
        g_source_set_priority(start_.get(), G_PRIORITY_DEFAULT);
        g_source_set_callback(start_.get(), &client_call::started, this,
                              nullptr);
        g_source_attach(start_.get(), nullptr);
        return;
    }
    connecting_ = !pooled_;
    if (pooled_)
        return write();
    watch(writable_, GIOCondition(G_IO_OUT | G_IO_ERR | G_IO_HUP),
          &client_call::writable);
}

gboolean client_call::writable(gint fd, GIOCondition /*unused*/, gpointer data)
{
    auto self = static_cast<client_call*>(data)->shared_from_this();
    self->writable_.reset();
    if (self->connecting_) {
        int ec = 0;
        ::socklen_t size = sizeof ec;
        ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &ec, &size);
        if (ec != 0) {
            self->fail(std::strerror(ec));
            return G_SOURCE_REMOVE;
        }
        self->connecting_ = false;
    }
    self->write();
    return G_SOURCE_REMOVE;
}

bool client_call::body_sent() const
{
    return body_ended_ && output_sent_ == output_.size();
}

void client_call::fill_output()
{
    if (output_sent_ == output_.size()) {
        output_.clear();
        output_sent_ = 0;
    }
    auto& body = request_.body;
    if (!body)
        body_ended_ = true;
    while (!body_ended_ && output_.size() < buffer_bytes) {
        auto bytes = body->at(body_position_).substr(0, buffer_bytes);
        if (bytes.empty()) {
            body_ended_ = body->complete();
            if (body_ended_ && chunked_)
                output_ += "0\r\n\r\n";
            break;
        }
        if (chunked_)
            append_chunk(output_, bytes);
        else
            output_ += bytes;
        body_position_ += bytes.size();
        body->consumed(body_position_);
    }
}

void client_call::write()
{
    auto self = shared_from_this();
    while (!ended_ && !writable_) {
        fill_output();
        if (output_sent_ == output_.size())
            break;
        auto count =
            ::send(socket_.fd(), output_.data() + output_sent_,
                   output_.size() - output_sent_, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count > 0) {
            written_ = true;
            output_sent_ += static_cast<std::size_t>(count);
            continue;
        }
        if (errno == EINTR)
            continue;
        if (errno == EAGAIN) {
            watch(writable_, G_IO_OUT, &client_call::writable);
            break;
        }
        // The response may be there although the other side stopped reading;
        // receive() finds out.
        if (written_)
            break;
        if (!pooled_)
            return fail(std::strerror(errno));
        readable_.reset();
        pool_->closed(to_);
        socket_ = socket_handle();
        return connect();
    }
    if (ended_)
        return;
    if (!has_head_ || read_wanted_)
        watch(readable_, G_IO_IN, &client_call::readable);
    if (!body_ended_ && !writable_)
        request_.body->want();
}

gboolean client_call::readable(gint /*unused*/, GIOCondition /*unused*/,
                               gpointer data)
{
    auto self = static_cast<client_call*>(data)->shared_from_this();
    self->readable_.reset();
    self->receive();
    return G_SOURCE_REMOVE;
}

void client_call::read()
{
    if (ended_)
        return;
    read_wanted_ = true;
    if (!in_parse_)
        parse();
}

void client_call::receive()
{
    if (ended_ || !receive_some())
        return;
    parse();
}

// False if there is nothing to parse yet, or the call has failed.
bool client_call::receive_some()
{
    if (buffer_.empty())
        buffer_.resize(first_buffer_bytes);
    else if (buffer_filled_)
        buffer_.resize(buffer_bytes);
    for (;;) {
        auto count =
            ::recv(socket_.fd(), buffer_.data(), buffer_.size(), MSG_DONTWAIT);
        if (count > 0) {
            input_ = {buffer_.data(), static_cast<std::size_t>(count)};
            buffer_filled_ = input_.size() == buffer_.size();
            return true;
        }
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0 && errno == EAGAIN) {
            watch(readable_, G_IO_IN, &client_call::readable);
            return false;
        }
        fail(count == 0 ? "connection closed" : std::strerror(errno));
        return false;
    }
}

// A loop rather than recursion: on_data may ask for the next piece at once.
void client_call::parse()
{
    auto self = shared_from_this();
    in_parse_ = true;
    while (!ended_ && !readable_ && (!has_head_ || read_wanted_)) {
        std::string_view piece;
        auto handlers = handlers_;
        switch (parser_.next(input_, piece)) {
        case response_parser::event::need_more:
            receive_some();
            break;
        case response_parser::event::head:
            head_received();
            break;
        case response_parser::event::data:
            read_wanted_ = false;
            handlers->on_data(piece);
            break;
        case response_parser::event::end:
            finish();
            break;
        case response_parser::event::error:
            fail("malformed response");
            break;
        }
    }
    in_parse_ = false;
}

void client_call::head_received()
{
    has_head_ = true;
    auto* headers = parser_.headers();
    response_head head{parser_.status(), end_to_end_headers(headers),
                       parser_.length()};
    internal_headers internal;
    internal.feedback =
        single_header(headers, header_name::feedback).value_or("");
    internal.verdict =
        single_header(headers, header_name::verdict).value_or("");
    internal.reason = single_header(headers, header_name::reason).value_or("");
    auto handlers = handlers_;
    handlers->on_head(std::move(head), internal);
}

void client_call::finish()
{
    ended_ = true;
    auto handlers = std::exchange(handlers_, nullptr);
    // Bytes after the response belong to no request.
    release(body_sent() && input_.empty() && parser_.keeps_connection());
    handlers->on_end();
}

void client_call::fail(const std::string& message)
{
    if (ended_)
        return;
    auto handlers = handlers_;
    cancel();
    handlers->on_failure({written_, message});
}

void client_call::cancel()
{
    if (std::exchange(ended_, true))
        return;
    handlers_.reset();
    release(false);
}

void client_call::release(bool reusable)
{
    start_.reset();
    writable_.reset();
    readable_.reset();
    if (!socket_)
        return;
    auto it = std::exchange(socket_, socket_handle());
    if (reusable)
        pool_->keep(to_, std::move(it));
    else
        pool_->closed(to_);
}

http_client::http_client(client_limits limits)
    : pool_(std::make_shared<connection_pool>(limits))
{
}

std::shared_ptr<client_call> http_client::start(client_request request,
                                                client_handlers handlers)
{
    std::shared_ptr<client_call> it(
        new client_call(pool_, std::move(request), std::move(handlers)));
    it->start();
    return it;
}

void http_client::discard_idle(const std::string& host, std::uint16_t port)
{
    pool_->discard_idle({host, port});
}

} // namespace shallotwood::connection
