// The HTTP data path of a node: its three listeners, the client, and the
// policies that decide.
#pragma once

#include "process/http/http_environment.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <tuple>

namespace shallotwood::process::http
{

// What a backend server says about itself at `POST /backend/announce`.
struct backend_announcement {
    std::string service;
    // The announcing process's address, seen from the node.
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

// A request that the data path does not serve itself, with its whole body.
struct control_request {
    std::string method;
    // With query.
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

    // Before start().
    void on_announce(std::function<void(const backend_announcement&)> handler);
    void on_leave(std::function<void()> handler);
    // Requests at the peer listener whose path starts with `/control/`:
    // messages between nodes that are too large for UDP. The receiver
    // authenticates them.
    void on_peer_control(control_handler handler);
    // Requests at the local listener other than child calls, announcements and
    // `/metrics`, which has the counters.
    void on_local_control(control_handler handler);

    // Listens; returns an error message, empty on success.
    std::string start();

    std::uint16_t caller_port() const { return caller_.port(); }
    std::uint16_t peer_port() const { return peer_.port(); }
    std::uint16_t local_port() const { return local_.port(); }

    // The client, for other requests of the node on the same pool.
    connection::http_client& client() { return client_; }

    // Accepts no new requests from callers and peers; calls `done` once
    // nothing is in flight. Calls by the local backend server for requests in
    // flight are still served.
    void drain(std::function<void()> done);
    std::size_t in_flight() const { return environment_.in_flight; }

private:
    using exchange_handle = std::shared_ptr<connection::server_exchange>;

    void peer_request(const exchange_handle& exchange);
    void local_request(const exchange_handle& exchange);
    void receive_control(const exchange_handle& exchange,
                         const control_handler& handler);
    void announce(const control_request& it,
                  const std::function<void(control_response)>& done);
    void leave(const control_request& it,
               const std::function<void(control_response)>& done);
    void metrics(const control_request& it,
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
