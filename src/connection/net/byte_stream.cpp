#include "connection/net/byte_stream.hpp"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace shallotwood::connection::net
{

namespace
{

using process::peer_address;

// Read at a time from one connection. Larger bodies take several turns, so
// that other connections are served between them.
constexpr std::size_t read_bytes = std::size_t{32} * 1024;

// Output memory kept by a connection whose queue has become empty.
constexpr std::size_t kept_output_bytes = 1024;

// Input that is discarded at the end of a connection. A peer that sends more
// has no use for the whole linger time.
constexpr std::size_t max_discarded_bytes = std::size_t{4} * 1024 * 1024;

// Connections that may wait to be accepted.
constexpr int listen_backlog = 1024;

// Connections accepted in one turn of the loop.
constexpr int accept_batch = 64;

std::array<char, read_bytes>& read_buffer()
{
    static std::array<char, read_bytes> buf;
    return buf;
}

struct socket_address {
    sockaddr_storage storage{};
    // 0 if the text is not an IP address.
    socklen_t size = 0;

    sockaddr* generic() { return reinterpret_cast<sockaddr*>(&storage); }
};

socket_address to_socket_address(const peer_address& from)
{
    socket_address to;
    auto* v4 = reinterpret_cast<sockaddr_in*>(&to.storage);
    auto* v6 = reinterpret_cast<sockaddr_in6*>(&to.storage);
    if (inet_pton(AF_INET, from.host.c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(from.port);
        to.size = sizeof *v4;
    } else if (inet_pton(AF_INET6, from.host.c_str(), &v6->sin6_addr) == 1) {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(from.port);
        to.size = sizeof *v6;
    }
    return to;
}

void set_option(int fd, int level, int name, int value)
{
    setsockopt(fd, level, name, &value, sizeof value);
}

void apply(int fd, const liveness& how)
{
    auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
        how.unacknowledged);
    set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(ms.count()));
    if (how.probe_after_seconds > 0) {
        set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
        set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, how.probe_after_seconds);
        set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, 1);
        set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, 2);
    }
}

bool would_block(int error)
{
    return error == EAGAIN || error == EWOULDBLOCK;
}

} // namespace

byte_stream::byte_stream(process::loop::reactor& loop, int fd)
    : loop_(loop), fd_(fd)
{
    set_option(fd_, IPPROTO_TCP, TCP_NODELAY, 1);
}

byte_stream::byte_stream(process::loop::reactor& loop, const peer_address& to,
                         const liveness& how)
    : loop_(loop), connecting_(true)
{
    auto address = to_socket_address(to);
    if (address.size > 0)
        fd_ = socket(address.storage.ss_family,
                     SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd_ < 0) {
        connect_failed_ = true;
        return;
    }
    set_option(fd_, IPPROTO_TCP, TCP_NODELAY, 1);
    apply(fd_, how);
    if (connect(fd_, address.generic(), address.size) != 0 &&
        errno != EINPROGRESS)
        connect_failed_ = true;
}

byte_stream::~byte_stream()
{
    close();
}

void byte_stream::start()
{
    if (connect_failed_) {
        loop_.defer([self = shared_from_this()] {
            if (self->closed_)
                return;
            self->close();
            self->on_end(stream_end::refused);
        });
        return;
    }
    update_watch();
}

void byte_stream::send(std::string_view bytes)
{
    if (fd_ < 0)
        return;
    if (!connecting_ && !blocked_ && output_.empty()) {
        auto n = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n < 0 && !would_block(errno)) {
            // Reported by the loop, so that send() never calls back. EPIPE
            // says that the peer had ended its output before the reset.
            reset_reported_ |= errno != EPIPE;
            blocked_ = true;
            update_watch();
            return;
        }
        if (n > 0) {
            taken_ += static_cast<std::uint64_t>(n);
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
        if (bytes.empty())
            return;
        blocked_ = true;
    }
    output_.append(bytes);
    update_watch();
}

bool byte_stream::has_input() const
{
    char byte = 0;
    return fd_ >= 0 && !connecting_ &&
           (recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 ||
            !would_block(errno));
}

void byte_stream::pause_reading()
{
    reading_ = false;
    update_watch();
}

void byte_stream::stop_reading()
{
    ignoring_resets_ = true;
    pause_reading();
}

void byte_stream::resume_reading()
{
    reading_ = true;
    ignoring_resets_ = false;
    update_watch();
}

void byte_stream::close()
{
    closed_ = true;
    if (fd_ < 0)
        return;
    loop_.unwatch(fd_);
    ::close(fd_);
    fd_ = -1;
    std::string().swap(output_);
    sent_ = 0;
}

void byte_stream::abort()
{
    if (fd_ < 0)
        return;
    linger how{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &how, sizeof how);
    close();
}

void byte_stream::finish(process::duration linger)
{
    if (fd_ < 0 || finishing_)
        return;
    finishing_ = true;
    reading_ = true;
    linger_ = linger;
    if (unsent() == 0)
        end_output();
    else
        check_stall(unsent() + 1);
    update_watch();
}

void byte_stream::end_output()
{
    shutdown(fd_, SHUT_WR);
    loop_.call_after(linger_, [self = shared_from_this()] { self->close(); });
}

void byte_stream::check_stall(std::size_t unsent_before)
{
    if (unsent() == 0)
        return;
    if (unsent() >= unsent_before) {
        // What the peer got must not look whole.
        abort();
        return;
    }
    loop_.call_after(max_stall, [self = shared_from_this(), n = unsent()] {
        self->check_stall(n);
    });
}

void byte_stream::update_watch()
{
    if (fd_ < 0)
        return;
    // A paused connection may hold unread bytes before its end.
    std::uint32_t events = 0;
    if (reading_ && !connecting_)
        events |= EPOLLIN | EPOLLRDHUP;
    if (connecting_ || blocked_ || unsent() > 0)
        events |= EPOLLOUT;
    if (events == watched_)
        return;
    watched_ = events;
    // A watched descriptor always reports a reset.
    if (events == 0 && ignoring_resets_)
        loop_.unwatch(fd_);
    else
        loop_.watch(fd_, events, *this);
}

void byte_stream::on_ready(std::uint32_t events)
{
    auto self = shared_from_this();
    if (connecting_) {
        connected();
        return;
    }
    if ((events & (EPOLLERR | EPOLLHUP)) != 0 && (events & EPOLLIN) == 0) {
        end(finishing_ ? stream_end::finished : stream_end::broken);
        return;
    }
    if ((events & EPOLLOUT) != 0)
        flush();
    if (fd_ >= 0 && (events & (EPOLLIN | EPOLLRDHUP)) != 0)
        read_some();
}

void byte_stream::connected()
{
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
        end(stream_end::refused);
        return;
    }
    connecting_ = false;
    on_connected();
    flush();
}

void byte_stream::read_some()
{
    auto& buf = read_buffer();
    auto n = recv(fd_, buf.data(), buf.size(), 0);
    if (n > 0) {
        if (!finishing_) {
            on_bytes({buf.data(), static_cast<std::size_t>(n)});
            return;
        }
        discarded_ += static_cast<std::size_t>(n);
        if (discarded_ > max_discarded_bytes)
            pause_reading();
        return;
    }
    if (n == 0)
        end(reset_reported_ ? stream_end::broken : stream_end::finished);
    else if (!would_block(errno))
        end(stream_end::broken);
}

void byte_stream::flush()
{
    if (fd_ < 0)
        return;
    blocked_ = false;
    bool had_output = unsent() > 0;
    while (unsent() > 0) {
        auto n = ::send(fd_, output_.data() + sent_, unsent(), MSG_NOSIGNAL);
        if (n < 0) {
            if (would_block(errno)) {
                blocked_ = true;
                break;
            }
            end(stream_end::broken);
            return;
        }
        sent_ += static_cast<std::size_t>(n);
        taken_ += static_cast<std::uint64_t>(n);
    }
    if (unsent() == 0) {
        output_.clear();
        sent_ = 0;
        if (output_.capacity() > kept_output_bytes)
            std::string().swap(output_);
        if (finishing_)
            end_output();
    }
    update_watch();
    if (had_output && unsent() == 0 && !finishing_)
        on_drained();
}

void byte_stream::end(stream_end how)
{
    if (fd_ < 0)
        return;
    bool silent = finishing_;
    close();
    if (!silent)
        on_end(how);
}

tcp_listener::tcp_listener(process::loop::reactor& loop, handler on_accepted)
    : loop_(loop), on_accepted_(std::move(on_accepted))
{
}

tcp_listener::~tcp_listener()
{
    stop();
}

std::string tcp_listener::listen(const peer_address& address)
{
    auto local = to_socket_address(address);
    if (local.size == 0)
        return "not an IP address: " + address.host;
    fd_ = socket(local.storage.ss_family,
                 SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd_ < 0)
        return std::strerror(errno);
    set_option(fd_, SOL_SOCKET, SO_REUSEADDR, 1);
    if (bind(fd_, local.generic(), local.size) != 0 ||
        ::listen(fd_, listen_backlog) != 0 ||
        getsockname(fd_, local.generic(), &local.size) != 0) {
        std::string message = std::strerror(errno);
        stop();
        return message;
    }
    // At the same place in both families.
    port_ = ntohs(reinterpret_cast<sockaddr_in*>(&local.storage)->sin_port);
    loop_.watch(fd_, EPOLLIN, *this);
    return {};
}

void tcp_listener::stop()
{
    if (fd_ < 0)
        return;
    loop_.unwatch(fd_);
    close(fd_);
    fd_ = -1;
}

void tcp_listener::on_ready(std::uint32_t)
{
    for (int n = 0; n < accept_batch && fd_ >= 0; ++n) {
        int fd = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0)
            return;
        on_accepted_(fd);
    }
}

} // namespace shallotwood::connection::net
