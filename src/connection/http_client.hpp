// HTTP/1.1 requests to other processes over pooled connections.
//
// A response is read strictly (http/reader): one whose head or framing is not
// valid fails, as its body could be another one than its sender meant. Each
// request is written at most once, because only the policies decide on another
// attempt.
#pragma once

#include "connection/http/client_pool.hpp"
#include "connection/request_body.hpp"
#include "connection/server_exchange.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace shallotwood::connection
{

struct client_limits {
    // Further requests to a host wait for a connection.
    std::size_t connections_per_host = 1024;
    // Below the idle limit of the listeners, so that the client closes first
    // and no request meets a closing connection.
    std::chrono::seconds idle_limit{10};
};

struct client_request {
    std::string method;
    // An IP address.
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
    // The response's status, if no response may have it.
    std::optional<int> bad_status;
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

// The connections to one host, and the calls that wait for one.
class client_host;

class client_call final : public std::enable_shared_from_this<client_call>,
                          private http::call_events
{
public:
    client_call(std::shared_ptr<client_host> to, const client_request& request,
                client_handlers handlers);
    ~client_call();

    // Asks for the next piece of the response's body.
    void read();
    // Ends the call and breaks its connection.
    void cancel();
    // True if the request may have reached the other side.
    bool written() const;

private:
    friend class client_host;
    friend class http_client;

    void start(std::shared_ptr<http::client_connection> over);
    void fail(const std::string& message, std::optional<int> bad_status = {});
    void on_response(http::response_head&& head,
                     const http::message_info& info) override;
    void on_response_body(std::string_view bytes) override;
    void on_response_end() override;
    void on_failure(const http::call_failure& why) override;
    void on_request_drained() override { send_body(); }

    http::request_head head() const;
    // Sends what has arrived of the request's body, one queue of the
    // connection at a time.
    void send_body();
    // Hands over what was read and how it ended, as far as the receiver asks.
    void deliver();
    // The call has ended; returns what to tell.
    std::shared_ptr<client_handlers> end();

    std::shared_ptr<client_host> host_;
    client_request request_;
    // Shared, so that a handler may end the call that runs it.
    std::shared_ptr<client_handlers> handlers_;
    std::shared_ptr<http::client_connection> connection_;
    // Of the request's body, handed to the connection.
    std::size_t body_sent_ = 0;
    bool sending_body_ = false;
    // Read and not asked for yet; at most what one read of the socket brings.
    std::string unread_;
    bool read_wanted_ = false;
    bool delivering_ = false;
    bool has_head_ = false;
    bool response_ended_ = false;
    // The response broke off; told after what was read of it.
    std::optional<std::string> broken_;
    bool written_ = false;
    bool ended_ = false;
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
    std::shared_ptr<client_host> host(const std::string& name,
                                      std::uint16_t port);
    void forget_unused();

    client_limits limits_;
    // Calls may outlive the client.
    std::shared_ptr<process::loop::reactor> loop_;
    // Those used within the idle limit.
    std::map<process::peer_address, std::shared_ptr<client_host>> hosts_;
    process::timer_id expiry_{};
};

} // namespace shallotwood::connection
