#include "connection/http/server_connection.hpp"

#include <algorithm>
#include <unistd.h>
#include <utility>

namespace shallotwood::connection::http
{

namespace
{

// How often the times of connections are checked.
constexpr process::duration sweep_period = std::chrono::milliseconds(500);

int status_of(read_error why)
{
    switch (why) {
    case read_error::header_too_large:
        return 431;
    case read_error::body_too_large:
        return 413;
    default:
        return 400;
    }
}

} // namespace

server_connection::server_connection(server& owner,
                                     process::loop::reactor& loop, int fd)
    : byte_stream(loop, fd), owner_(owner), since_(loop.now())
{
}

void server_connection::on_bytes(std::string_view bytes)
{
    if (closing_)
        return;
    if (state_ == state::waiting || !waiting_.empty()) {
        waiting_.append(bytes);
        if (state_ == state::waiting) {
            if (waiting_.size() > max_waiting_bytes)
                pause_reading();
            return;
        }
        auto all = std::move(waiting_);
        waiting_.clear();
        consume(all);
        return;
    }
    consume(bytes);
}

void server_connection::consume(std::string_view bytes)
{
    consuming_ = true;
    while (!bytes.empty() && is_open() && !closing_ &&
           state_ != state::waiting) {
        if (state_ == state::idle) {
            state_ = state::head;
            since_ = loop().now();
            reader_events& events = *this;
            reader_ = std::make_unique<request_reader>(owner_.limits_.message,
                                                       events);
        }
        read_error ec = read_error::none;
        auto n = reader_->put(bytes, ec);
        bytes.remove_prefix(n);
        if (ec != read_error::none) {
            reject(ec);
            break;
        }
        if (n == 0)
            break;
    }
    consuming_ = false;
    if (is_open() && !closing_ && !bytes.empty())
        waiting_.assign(bytes);
}

void server_connection::on_head(const message_info& info)
{
    state_ = state::body;
    body_ended_ = false;
    responding_ = false;
    response_ended_ = false;
    keep_alive_ = info.keep_alive;
    to_head_ = reader_->head().method == "HEAD";
    rest_ = info.length;
    if (!rest_ && !info.is_chunked)
        rest_ = 0;
    auto self = std::static_pointer_cast<server_connection>(shared_from_this());
    const auto* expect = reader_->head().headers.find("Expect");
    continue_due_ = expect && same_name(*expect, "100-continue");
    exchange_ = owner_.on_request_(self, std::move(reader_->head()), info);
    if (response_ended_)
        exchange_.reset();
    else if (std::exchange(continue_due_, false))
        send("HTTP/1.1 100 Continue\r\n\r\n");
}

void server_connection::on_body(std::string_view bytes)
{
    if (rest_)
        *rest_ -= std::min<std::uint64_t>(*rest_, bytes.size());
    if (!response_ended_)
        since_ = loop().now();
    if (auto it = exchange_)
        it->on_body(bytes);
}

void server_connection::on_message_end()
{
    body_ended_ = true;
    state_ = state::waiting;
    if (auto it = exchange_)
        it->on_body_end();
    // A body that ends when it is paused must not leave the connection unread:
    // the caller's leaving would not be noticed.
    if (response_ended_)
        request_done();
    else if (is_open())
        resume_reading();
}

void server_connection::reject(read_error why)
{
    closing_ = true;
    auto it = std::move(exchange_);
    if (it)
        it->on_left();
    if (responding_ && !response_ended_) {
        abort();
        owner_.connections_.erase(
            std::static_pointer_cast<server_connection>(shared_from_this()));
        return;
    }
    if (!responding_) {
        response_head head;
        head.status = status_of(why);
        head.headers.add("Connection", "close");
        send(serialize(head, {framing::kind::length, 0}));
    }
    close_when_idle();
}

void server_connection::respond(response_head head, std::string_view body)
{
    if (!is_open() || responding_)
        return;
    responding_ = true;
    keep_alive_ = keep_alive_ && can_skip_rest();
    if (must_close())
        head.headers.set("Connection", "close");
    framing how{framing::kind::length, body.size()};
    if (is_bodiless(head.status))
        how = {};
    auto text = serialize(head, how);
    if (!to_head_ && how.how == framing::kind::length)
        text += body;
    send(text);
    respond_end();
}

void server_connection::respond_head(response_head head,
                                     std::optional<std::uint64_t> length)
{
    if (!is_open() || responding_)
        return;
    responding_ = true;
    keep_alive_ = keep_alive_ && can_skip_rest();
    chunked_ = !length && !is_bodiless(head.status);
    if (must_close())
        head.headers.set("Connection", "close");
    framing how;
    if (chunked_)
        how.how = framing::kind::chunked;
    else if (length && !is_bodiless(head.status))
        how = {framing::kind::length, *length};
    send(serialize(head, how));
}

void server_connection::respond_body(std::string_view bytes)
{
    if (!is_open() || to_head_ || bytes.empty())
        return;
    if (chunked_)
        send(chunk(bytes));
    else
        send(bytes);
    if (unsent() > max_unsent_bytes)
        drain_wanted_ = true;
}

void server_connection::respond_end()
{
    if (!is_open() || response_ended_)
        return;
    if (chunked_ && !to_head_)
        send(last_chunk);
    chunked_ = false;
    response_ended_ = true;
    exchange_.reset();
    if (must_close())
        close_when_idle();
    else if (body_ended_)
        request_done();
    else {
        since_ = loop().now();
        resume_reading();
    }
}

void server_connection::respond_abort()
{
    exchange_.reset();
    if (!is_open())
        return;
    abort();
    owner_.connections_.erase(
        std::static_pointer_cast<server_connection>(shared_from_this()));
}

void server_connection::request_done()
{
    state_ = state::idle;
    since_ = loop().now();
    if (closing_)
        return;
    resume_reading();
    if (waiting_.empty() || consuming_)
        return;
    // Not from here: the response of the next request may end at once, too.
    auto self = std::static_pointer_cast<server_connection>(shared_from_this());
    loop().defer([self] {
        if (!self->is_open() || self->state_ != state::idle)
            return;
        auto all = std::move(self->waiting_);
        self->waiting_.clear();
        self->consume(all);
    });
}

void server_connection::on_drained()
{
    if (!drain_wanted_)
        return;
    drain_wanted_ = false;
    if (auto it = exchange_)
        it->on_drained();
}

void server_connection::on_end(net::stream_end)
{
    auto self = std::static_pointer_cast<server_connection>(shared_from_this());
    state_ = state::closed;
    if (auto it = std::move(exchange_))
        it->on_left();
    owner_.connections_.erase(self);
}

void server_connection::drop()
{
    close();
    state_ = state::closed;
    // Connection and exchange hold each other.
    if (auto it = std::move(exchange_))
        it->on_left();
}

bool server_connection::must_close() const
{
    return !keep_alive_ || closing_ || owner_.draining_;
}

bool server_connection::can_skip_rest() const
{
    return body_ended_ || (rest_ && *rest_ <= max_rest_bytes &&
                           (*rest_ == 0 || !continue_due_));
}

void server_connection::close_when_idle()
{
    closing_ = true;
    auto self = std::static_pointer_cast<server_connection>(shared_from_this());
    finish(linger);
    owner_.connections_.erase(self);
    if (unsent() > 0)
        owner_.finishing_.insert(self);
}

void server_connection::check_time(process::time_point now)
{
    auto waited = now - since_;
    switch (state_) {
    case state::idle:
        if (waited > owner_.limits_.idle_time || owner_.draining_)
            close_when_idle();
        return;
    case state::head:
        if (waited > owner_.limits_.head_time) {
            response_head head;
            head.status = 408;
            keep_alive_ = false;
            respond(std::move(head), {});
        }
        return;
    case state::body:
        // The response may be under way already.
        if (waited > (response_ended_ ? rest_time : owner_.limits_.idle_time)) {
            auto it = std::move(exchange_);
            if (it)
                it->on_left();
            close_when_idle();
        }
        return;
    default:
        return;
    }
}

server::server(process::loop::reactor& loop, handler on_request)
    : loop_(loop), on_request_(std::move(on_request)),
      listener_(loop, [this](int fd) { accepted(fd); })
{
}

server::~server()
{
    loop_.cancel(sweep_timer_);
    close();
}

void server::close()
{
    listener_.stop();
    auto all = std::move(connections_);
    connections_.clear();
    for (const auto& it : all)
        it->drop();
    finishing_.clear();
}

bool server::has_unsent()
{
    for (auto it = finishing_.begin(); it != finishing_.end();)
        it = (*it)->unsent() == 0 ? finishing_.erase(it) : std::next(it);
    return !finishing_.empty() ||
           std::any_of(connections_.begin(), connections_.end(),
                       [](const auto& it) { return it->unsent() > 0; });
}

std::string server::listen(const process::peer_address& address)
{
    auto message = listener_.listen(address);
    if (message.empty())
        sweep();
    return message;
}

void server::accepted(int fd)
{
    if (connections_.size() >= limits_.connections) {
        ::close(fd);
        return;
    }
    auto it = std::make_shared<server_connection>(*this, loop_, fd);
    connections_.insert(it);
    it->start();
}

void server::sweep()
{
    auto now = loop_.now();
    // A check may close its connection, which takes it out of the set.
    auto all = connections_;
    for (const auto& it : all)
        it->check_time(now);
    has_unsent();
    sweep_timer_ = loop_.call_after(sweep_period, [this] { sweep(); });
}

void server::drain()
{
    draining_ = true;
    auto now = loop_.now();
    auto all = connections_;
    for (const auto& it : all)
        it->check_time(now);
}

} // namespace shallotwood::connection::http
