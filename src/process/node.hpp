// A running node: the node core with its sockets.
//
// Owns the platform client, the control socket, the node core and the HTTP
// listeners, in order of dependency.
#pragma once

#include "process/glib_event_loop.hpp"
#include "process/http/data_path.hpp"
#include "process/node_core.hpp"
#include "process/peer_socket.hpp"
#include "process/platform_client.hpp"
#include "process/settings.hpp"

#include <memory>
#include <string>
#include <variant>

namespace shallotwood::process
{

struct node_ports {
    std::uint16_t caller = 0;
    std::uint16_t peer = 0;
    std::uint16_t local = 0;
    std::uint16_t control = 0;
};

class node
{
public:
    // Opens the listeners on the addresses in the settings; returns an error
    // message if that fails. With `ephemeral_ports` unused ports are chosen,
    // for tests.
    static std::variant<std::unique_ptr<node>, std::string>
    open(glib_event_loop& loop, const settings& configured,
         const std::string& fleet_secret, bool ephemeral_ports);

    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    node_ports ports() const;

    // Starts a graceful shutdown. Calls `done` once no request is in flight and
    // the node core has finished its own drain.
    void drain(std::function<void()> done);

    std::size_t in_flight() const { return data_path_->in_flight(); }

private:
    node(glib_event_loop& loop, const settings& configured);

    std::string open_control(const std::string& fleet_secret,
                             bool ephemeral_ports);
    void create_core();
    std::string open_data_path(const std::string& fleet_secret,
                               bool ephemeral_ports);
    void handle_local_request(
        const http::control_request& it,
        const std::function<void(http::control_response)>& done) const;

    glib_event_loop& loop_;
    const settings settings_;
    const std::string boot_id_;
    random_source random_;
    counters counts_;
    peer_address control_;
    std::unique_ptr<platform_client> platform_;
    std::unique_ptr<peer_socket> transport_;
    std::unique_ptr<node_core> core_;
    std::unique_ptr<http::data_path> data_path_;
};

} // namespace shallotwood::process
