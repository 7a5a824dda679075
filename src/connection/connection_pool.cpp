#include "connection/connection_pool.hpp"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace shallotwood::connection
{

namespace
{

constexpr guint expiry_period_seconds = 5;

// Probes find a silent connection after 5 + 2 * 2 seconds; unacknowledged data
// fails it after 5 seconds.
constexpr int probe_after_seconds = 5;
constexpr int probe_period_seconds = 2;
constexpr int probe_count = 2;
constexpr int unacknowledged_ms = 5000;

void set_option(int fd, int level, int name, int value)
{
    ::setsockopt(fd, level, name, &value, sizeof value);
}

void set_options(int fd)
{
    set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, probe_after_seconds);
    set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, probe_period_seconds);
    set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, probe_count);
    set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_ms);
}

// An idle connection has nothing to read; anything else ends it.
bool is_usable(int fd)
{
    char byte = 0;
    auto count = ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EINTR);
}

int connect_to(int fd, const host_address& to)
{
    ::sockaddr_in v4{};
    v4.sin_family = AF_INET;
    v4.sin_port = htons(to.port);
    if (::inet_pton(AF_INET, to.host.c_str(), &v4.sin_addr) == 1)
        return ::connect(fd, reinterpret_cast<::sockaddr*>(&v4), sizeof v4);
    ::sockaddr_in6 v6{};
    v6.sin6_family = AF_INET6;
    v6.sin6_port = htons(to.port);
    if (::inet_pton(AF_INET6, to.host.c_str(), &v6.sin6_addr) == 1)
        return ::connect(fd, reinterpret_cast<::sockaddr*>(&v6), sizeof v6);
    errno = EINVAL;
    return -1;
}

} // namespace

socket_handle::~socket_handle()
{
    if (fd_ >= 0)
        ::close(fd_);
}

socket_handle& socket_handle::operator=(socket_handle&& other) noexcept
{
    std::swap(fd_, other.fd_);
    return *this;
}

connection_pool::connection_pool(client_limits limits)
    : limits_(limits),
      expiry_(g_timeout_source_new_seconds(expiry_period_seconds))
{
    g_source_set_callback(expiry_.get(), &connection_pool::expire, this,
                          nullptr);
    g_source_attach(expiry_.get(), nullptr);
}

connection_pool::~connection_pool() = default;

socket_handle connection_pool::take(const host_address& to)
{
    auto& idle = hosts_[to].idle;
    while (!idle.empty()) {
        auto it = std::move(idle.back().socket);
        idle.pop_back();
        if (is_usable(it.fd())) {
            ++hosts_[to].in_use;
            return it;
        }
        --open_;
    }
    return socket_handle();
}

socket_handle connection_pool::open(const host_address& to)
{
    auto& host = hosts_[to];
    if (open_ >= limits_.connections ||
        host.in_use + host.idle.size() >= limits_.connections_per_host) {
        errno = EMFILE;
        return socket_handle();
    }
    bool v6 = to.host.find(':') != std::string::npos;
    socket_handle it(::socket(v6 ? AF_INET6 : AF_INET,
                              SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    if (!it)
        return it;
    set_options(it.fd());
    if (connect_to(it.fd(), to) != 0 && errno != EINPROGRESS) {
        int ec = errno;
        it = socket_handle();
        errno = ec;
        return it;
    }
    ++host.in_use;
    ++open_;
    return it;
}

void connection_pool::keep(const host_address& to, socket_handle connection)
{
    auto& host = hosts_[to];
    --host.in_use;
    host.idle.push_back({std::move(connection), g_get_monotonic_time()});
}

void connection_pool::closed(const host_address& to)
{
    --hosts_[to].in_use;
    --open_;
}

void connection_pool::discard_idle(const host_address& to)
{
    auto it = hosts_.find(to);
    if (it == hosts_.end())
        return;
    open_ -= it->second.idle.size();
    it->second.idle.clear();
}

gboolean connection_pool::expire(gpointer data)
{
    auto* self = static_cast<connection_pool*>(data);
    auto oldest = g_get_monotonic_time() -
                  gint64{self->limits_.idle_seconds} * G_USEC_PER_SEC;
    for (auto it = self->hosts_.begin(); it != self->hosts_.end();) {
        auto& idle = it->second.idle;
        while (!idle.empty() && (idle.front().since < oldest ||
                                 !is_usable(idle.front().socket.fd()))) {
            idle.pop_front();
            --self->open_;
        }
        bool unused = idle.empty() && it->second.in_use == 0;
        it = unused ? self->hosts_.erase(it) : std::next(it);
    }
    return G_SOURCE_CONTINUE;
}

} // namespace shallotwood::connection
