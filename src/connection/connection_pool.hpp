// Idle connections to other processes, kept for further requests.
//
// A connection that the other side has closed, or that the kernel's keep-alive
// probes have found silent, is dropped when it is taken or after the idle
// limit. Taking and returning one does not depend on the number of others.
#pragma once

#include "connection/glib_handle.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <tuple>
#include <utility>

namespace shallotwood::connection
{

// Owns a file descriptor; -1 for none.
class socket_handle
{
public:
    explicit socket_handle(int fd = -1) : fd_(fd) {}
    ~socket_handle();
    socket_handle(socket_handle&& other) noexcept
        : fd_(std::exchange(other.fd_, -1))
    {
    }
    socket_handle& operator=(socket_handle&& other) noexcept;

    int fd() const { return fd_; }
    explicit operator bool() const { return fd_ >= 0; }

private:
    int fd_;
};

struct client_limits {
    std::size_t connections = 16384;
    std::size_t connections_per_host = 1024;
    // Below the idle limit of the listeners, so that the client closes first
    // and no request meets a closing connection.
    unsigned idle_seconds = 60;
};

struct host_address {
    // A literal IP address.
    std::string host;
    std::uint16_t port = 0;

    friend bool operator<(const host_address& a, const host_address& b)
    {
        return std::tie(a.port, a.host) < std::tie(b.port, b.host);
    }
};

class connection_pool
{
public:
    explicit connection_pool(client_limits limits);
    ~connection_pool();
    connection_pool(const connection_pool&) = delete;
    connection_pool& operator=(const connection_pool&) = delete;

    // An open idle connection, or none.
    socket_handle take(const host_address& to);
    // Starts a connection; none with errno set if that fails, or if a bound is
    // reached.
    socket_handle open(const host_address& to);
    // Gives a connection from take() or open() back for further requests.
    void keep(const host_address& to, socket_handle connection);
    // A connection from take() or open() was closed.
    void closed(const host_address& to);
    // Closes the idle connections to a host where one went silent.
    void discard_idle(const host_address& to);

private:
    struct idle_connection {
        socket_handle socket;
        gint64 since;
    };
    struct host_state {
        // Newest last.
        std::deque<idle_connection> idle;
        std::size_t in_use = 0;
    };

    static gboolean expire(gpointer data);

    client_limits limits_;
    std::map<host_address, host_state> hosts_;
    std::size_t open_ = 0;
    source_handle expiry_;
};

} // namespace shallotwood::connection
