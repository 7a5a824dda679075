// HTTP/1.1 requests to other processes over pooled connections.
//
// Not libsoup's session: that checks every idle connection of its pool several
// times for each request, so its cost grows with the number of connections
// (measured in the commit that added this), and it sends idempotent requests
// again by itself. Heads are read by libsoup's parser.
//
// Each request is written at most once: only the policies decide on another
// attempt. A pooled connection that turns out to be closed before any byte is
// written is replaced.
#pragma once

#include "connection/connection_pool.hpp"
#include "connection/glib_handle.hpp"
#include "connection/request_body.hpp"
#include "connection/response_parser.hpp"
#include "connection/server_exchange.hpp"

#include <functional>
#include <glib-unix.h>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace shallotwood::connection
{

struct client_request {
    std::string method;
    // A literal IP address.
    std::string host;
    std::uint16_t port = 0;
    // With query.
    std::string path;
    header_list headers;
    // May be empty.
    std::shared_ptr<request_body> body;
};

struct client_failure {
    // False if no byte of the request was written.
    bool written = false;
    std::string message;
};

// The internal headers that a node or backend server may set on a response;
// empty if absent or doubled.
struct internal_headers {
    std::string feedback;
    std::string verdict;
    std::string reason;
};

// Called on the loop; no more calls after on_end, on_failure or cancel().
struct client_handlers {
    std::function<void(response_head, const internal_headers&)> on_head;
    // The bytes are valid during the call; more by client_call::read().
    std::function<void(std::string_view)> on_data;
    std::function<void()> on_end;
    std::function<void(const client_failure&)> on_failure;
};

class client_call : public std::enable_shared_from_this<client_call>
{
public:
    ~client_call();
    client_call(const client_call&) = delete;
    client_call& operator=(const client_call&) = delete;

    // Asks for the next piece of the response's body.
    void read();
    // Ends the call and breaks its connection.
    void cancel();
    // True if the request may have reached the other side.
    bool written() const { return written_; }

private:
    friend class http_client;
    client_call(std::shared_ptr<connection_pool> pool, client_request request,
                client_handlers handlers);
    void start();
    void connect();
    void write();
    void fill_output();
    bool body_sent() const;
    void receive();
    bool receive_some();
    void parse();
    void head_received();
    void finish();
    void fail(const std::string& message);
    void release(bool reusable);
    void watch(source_handle& slot, GIOCondition condition,
               GUnixFDSourceFunc callback);

    static gboolean started(gpointer data);
    static gboolean writable(gint fd, GIOCondition condition, gpointer data);
    static gboolean readable(gint fd, GIOCondition condition, gpointer data);

    std::shared_ptr<connection_pool> pool_;
    client_request request_;
    // Shared, so that a handler may end the call that runs it.
    std::shared_ptr<client_handlers> handlers_;
    host_address to_;
    socket_handle socket_;
    source_handle start_;
    source_handle writable_;
    source_handle readable_;

    std::string output_;
    std::size_t output_sent_ = 0;
    std::uint64_t body_position_ = 0;
    bool body_ended_ = false;
    bool chunked_ = false;

    response_parser parser_;
    std::vector<char> buffer_;
    std::string_view input_;
    bool buffer_filled_ = false;
    bool connecting_ = false;
    bool pooled_ = false;
    bool written_ = false;
    bool has_head_ = false;
    bool ended_ = false;
    // A read was asked for and has not been answered yet.
    bool read_wanted_ = false;
    bool in_parse_ = false;
};

class http_client
{
public:
    explicit http_client(client_limits limits = {});

    // Nothing is called before this returns.
    std::shared_ptr<client_call> start(client_request request,
                                       client_handlers handlers);

    // After a connection to the host went silent: the idle ones may be, too.
    void discard_idle(const std::string& host, std::uint16_t port);

private:
    std::shared_ptr<connection_pool> pool_;
};

} // namespace shallotwood::connection
