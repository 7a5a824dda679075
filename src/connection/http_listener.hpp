// One listening address that serves HTTP/1.1 by libsoup.
//
// Bounds: connections at a time, length of the request line, number and bytes
// of headers. What exceeds a bound gets an error response and the listener
// goes on.
#pragma once

#include "connection/glib_handle.hpp"
#include "connection/server_exchange.hpp"

#include <cstdint>
#include <functional>
#include <libsoup/soup.h>
#include <memory>
#include <set>
#include <string>

namespace shallotwood::connection
{

struct listener_limits {
    std::size_t connections = 4096;
    std::size_t path_bytes = std::size_t{8} * 1024;
    std::size_t header_count = 100;
    std::size_t header_bytes = std::size_t{32} * 1024;
    // A connection without a request and without any traffic is closed after
    // this time, within a tenth of it.
    unsigned idle_seconds = 120;
};

struct listen_address {
    std::string host;
    // 0 lets the kernel choose.
    std::uint16_t port = 0;
};

// Nothing if the text is not `ADDRESS:PORT` with a literal IP address.
std::optional<listen_address> parse_address(std::string_view text);

class http_listener
{
public:
    using handler = std::function<void(std::shared_ptr<server_exchange>)>;

    // `on_request` gets each request whose head is acceptable.
    http_listener(listener_limits limits, handler on_request);
    ~http_listener();
    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;

    // Returns an error message, empty on success.
    std::string listen(const listen_address& address);
    // The port in use after listen().
    std::uint16_t port() const { return port_; }

    // Accepts no more connections, and closes those that remain open after
    // their current response.
    void stop_accepting();

    std::size_t connections() const { return connections_->all.size(); }

    // The socket behind a message of any listener; nullptr if it is closed.
    static GSocket* socket_of(SoupServerMessage* message);
    // A connection with a request in progress is never idle.
    static void set_busy(GSocket* socket, bool busy);

private:
    // The connections that are open; shared with their destruction.
    struct open_connections {
        std::set<GSocketConnection*> all;
    };

    static gboolean accepted(GSocketService* service,
                             GSocketConnection* connection, GObject* source,
                             gpointer data);
    static void closed(gpointer data, GObject* connection);
    static void head_received(SoupServer* server, SoupServerMessage* message,
                              const char* path, GHashTable* query,
                              gpointer data);
    static void body_received(SoupServer* server, SoupServerMessage* message,
                              const char* path, GHashTable* query,
                              gpointer data);
    static gboolean sweep_idle(gpointer data);
    void keep_connections_open();
    int status_of_head(SoupServerMessage* message) const;

    listener_limits limits_;
    handler on_request_;
    // The other end of the socket that libsoup takes for its listener.
    object_handle<GSocket> silent_;
    object_handle<SoupServer> server_;
    object_handle<GSocketService> service_;
    std::shared_ptr<open_connections> connections_;
    source_handle idle_sweep_;
    std::uint16_t port_ = 0;
    bool stopping_ = false;
};

} // namespace shallotwood::connection
