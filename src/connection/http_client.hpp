// HTTP/1.1 requests to other processes over pooled connections, by libsoup.
//
// One session for each host: a session checks all of its idle connections
// several times for each request. libsoup gives no access to a pooled
// connection, so when one goes silent or breaks, the whole session of its host
// is replaced; calls in flight on it go on.
//
// Each request is written at most once: a request that libsoup would send
// again over a new connection fails instead, because only the policies decide
// on another attempt.
#pragma once

#include "connection/glib_handle.hpp"
#include "connection/request_body.hpp"
#include "connection/server_exchange.hpp"

#include <functional>
#include <libsoup/soup.h>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace shallotwood::connection
{

struct client_limits {
    int connections_per_host = 1024;
    // Below the idle limit of the listeners, so that the client closes first
    // and no request meets a closing connection.
    unsigned idle_seconds = 10;
};

struct client_request {
    std::string method;
    std::string host;
    std::uint16_t port = 0;
    // With query.
    std::string path;
    header_list headers;
    // May be empty.
    std::shared_ptr<request_body> body;
};

struct client_failure {
    // False if no byte of the request can have been written.
    bool written = false;
    std::string message;
    // The response's status, if no response may have it; 0 otherwise.
    unsigned bad_status = 0;
};

// The internal headers that a node or backend server may set on a response;
// empty if absent or doubled.
struct internal_headers {
    std::string feedback;
    std::string verdict;
    std::string reason;
    // Token of the execution that the response belongs to.
    std::string token;
    // Not the first response on its connection: an earlier one may have been
    // written once more.
    bool on_kept_connection = false;
};

// Called on the loop; no more calls after on_end, on_failure or cancel().
struct client_handlers {
    std::function<void(response_head, const internal_headers&)> on_head;
    // The bytes are valid during the call; more by client_call::read().
    std::function<void(std::string_view)> on_data;
    std::function<void()> on_end;
    std::function<void(const client_failure&)> on_failure;
};

class http_client;

class client_call : public std::enable_shared_from_this<client_call>
{
public:
    // Asks for the next piece of the response's body.
    void read();
    // Ends the call and breaks its connection.
    void cancel();
    // True if the request may have reached the other side.
    bool written() const { return written_; }

private:
    friend class http_client;
    client_call() = default;
    void start(SoupSession* session, std::shared_ptr<guint64> newest_connection,
               const client_request& request, client_handlers handlers);
    static void sent(GObject* session, GAsyncResult* result, gpointer data);
    static gboolean readable(GObject* stream, gpointer data);
    static void starting(SoupMessage* message, gpointer data);
    static void got_informational(SoupMessage* message, gpointer data);
    static void restarted(SoupMessage* message, gpointer data);
    void head_received();
    void fail(const std::string& message);
    void read_once();
    void wait_readable();
    void release_stream();

    // Declared first, so that the session outlives what it made.
    object_handle<SoupSession> session_;
    // The newest connection of the session that has carried a response.
    std::shared_ptr<guint64> newest_connection_;
    object_handle<SoupMessage> message_;
    object_handle<GInputStream> stream_;
    object_handle<GCancellable> cancellable_;
    source_handle readable_;
    // Shared, so that a handler may end the call that runs it.
    std::shared_ptr<client_handlers> handlers_;
    std::vector<char> buffer_;
    int interim_responses_ = 0;
    unsigned bad_status_ = 0;
    bool written_ = false;
    bool ended_ = false;
    // A read was asked for and has not been answered yet.
    bool read_wanted_ = false;
    bool in_read_ = false;
};

class http_client
{
public:
    explicit http_client(client_limits limits = {});
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    // Nothing is called before this returns.
    std::shared_ptr<client_call> start(const client_request& request,
                                       client_handlers handlers);

    // After a connection to the host went silent or broke: the idle ones may
    // have, too, so further requests take new ones.
    void discard_idle(const std::string& host, std::uint16_t port);

private:
    struct host_session {
        object_handle<SoupSession> session;
        std::shared_ptr<guint64> newest_connection =
            std::make_shared<guint64>(0);
        gint64 used = 0;
    };
    host_session& session_for(const std::string& host, std::uint16_t port);
    static gboolean expire(gpointer data);

    client_limits limits_;
    // Those used within the idle limit.
    std::map<std::pair<std::string, std::uint16_t>, host_session> sessions_;
    source_handle expiry_;
};

} // namespace shallotwood::connection
