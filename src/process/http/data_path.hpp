// The HTTP data path of a node: the caller, peer and local listeners, the
// client that sends to other nodes and to the backend server, and the policies
// that admit, route and execute requests.
#pragma once

#include "process/http/http_environment.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <tuple>

namespace shallotwood::process::http
{

// The registration that a backend server sends to `POST /backend/announce`.
struct backend_announcement {
    std::string service;
    // Address of the backend server, as the node reaches it.
    std::string host;
    std::uint16_t port = 0;
    int slots = 0;
    int connections = 0;

    auto fields() const
    {
        return std::tie(service, host, port, slots, connections);
    }
    friend bool operator==(const backend_announcement& a,
                           const backend_announcement& b)
    {
        return a.fields() == b.fields();
    }
};

// A request for a control handler rather than a call, with its whole body.
struct control_request {
    std::string method;
    // Includes the query.
    std::string path;
    std::string body;
};

struct control_response {
    int status = 200;
    std::string content_type = "application/json";
    std::string body;
};

using control_handler = std::function<void(
    const control_request&, std::function<void(control_response)>)>;

class data_path
{
public:
    // Largest body of a control request or announcement.
    static constexpr std::size_t max_control_bytes = std::size_t{1} << 20;

    // Everything given by reference must outlive the object.
    data_path(data_path_settings settings, event_loop& loop,
              random_source& random, counters& counts,
              request::entry_policy& entry, request::routing_policy& routing,
              request::execution_policy& execution);
    ~data_path();
    data_path(const data_path&) = delete;
    data_path& operator=(const data_path&) = delete;

    // Handlers must be set before start().
    void on_announce(std::function<void(const backend_announcement&)> handler);
    void on_leave(std::function<void()> handler);
    // Handles requests at the peer listener whose path starts with
    // `/control/`: messages between nodes that are too large for UDP. The
    // handler must authenticate them.
    void on_peer_control(control_handler handler);
    // Handles requests at the local listener other than child calls,
    // `/backend/announce`, `/backend/leave` and `/metrics`, which returns the
    // counters.
    void on_local_control(control_handler handler);

    // Opens the listeners. Returns an error message, empty on success.
    std::string start();

    std::uint16_t caller_port() const { return caller_.port(); }
    std::uint16_t peer_port() const { return peer_.port(); }
    std::uint16_t local_port() const { return local_.port(); }

    // Lets other parts of the node send requests on the same connection pool.
    connection::http_client& client() { return client_; }

    // Accepts no new requests from callers or calls from peers, and calls
    // `done` once nothing is in flight. Child calls that the local backend
    // server makes for requests in flight are still served.
    void drain(std::function<void()> done);
    std::size_t in_flight() const { return environment_.in_flight; }

private:
    using exchange_handle = std::shared_ptr<connection::server_exchange>;

    void peer_request(const exchange_handle& exchange);
    void local_request(const exchange_handle& exchange);
    void receive_control(const exchange_handle& exchange,
                         const control_handler& handler);
    void announce(const control_request& request,
                  const std::function<void(control_response)>& done);
    void leave(const control_request& request,
               const std::function<void(control_response)>& done);
    void metrics(const control_request& request,
                 const std::function<void(control_response)>& done);

    data_path_settings settings_;
    connection::http_client client_;
    http_environment environment_;
    std::function<void(const backend_announcement&)> on_announce_;
    std::function<void()> on_leave_;
    control_handler on_peer_control_;
    control_handler on_local_control_;
    connection::http_listener caller_;
    connection::http_listener peer_;
    connection::http_listener local_;
};

} // namespace shallotwood::process::http
