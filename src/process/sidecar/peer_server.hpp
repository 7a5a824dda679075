// Serves other nodes: executes their calls on the local backend server and
// replies to their messages.
#pragma once

#include "connection/peer/session.hpp"
#include "process/sidecar/connection_state.hpp"
#include "process/sidecar/cross_domain_traffic.hpp"
#include "process/sidecar/local_executor.hpp"
#include "process/sidecar/peer_codec.hpp"

#include <functional>
#include <set>

namespace shallotwood::process::sidecar
{

class peer_server
{
public:
    // Gets the path and body of a message, returns the body of the reply.
    using message_handler = std::function<std::string(std::string_view path,
                                                      const std::string& body)>;
    // What this node states about itself in each reply.
    struct identity {
        std::uint64_t incarnation = 0;
        std::uint64_t policy_revision = 0;
    };
    using identity_source = std::function<identity()>;
    // Gets the policy revision that another node states in its request.
    using revision_handler = std::function<void(std::uint64_t revision)>;

    peer_server(loop::reactor& loop, local_executor& executor,
                identity_source self, message_handler on_message,
                revision_handler on_revision);
    ~peer_server();
    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;

    // Speeds of instances that requests name are recorded there, and replies
    // name those known there.
    void set_load_balancer(routing::load_balancer& load_balancer)
    {
        load_balancer_ = &load_balancer;
    }

    // Counts the bytes of new connections there.
    void set_traffic(const cross_domain_traffic& traffic)
    {
        traffic_ = &traffic;
    }

    std::string listen(const peer_address& address);
    // Closes all connections and cancels those of their attempts that may
    // be cancelled.
    void close();
    std::uint16_t port() const { return listener_.port(); }
    std::size_t sessions() const { return sessions_.size(); }
    // Every reply to another node has been sent.
    bool is_idle() const;

private:
    class incoming_attempt;
    class incoming_message;
    using session_ptr = std::shared_ptr<connection::peer::session>;
    using state_ptr = std::shared_ptr<connection_state>;

    void accept(int fd);
    std::shared_ptr<connection::peer::stream_events>
    request(const session_ptr& from, const state_ptr& state,
            connection::peer::stream_number stream,
            connection::http::header_list&& headers);

    loop::reactor& loop_;
    local_executor& executor_;
    identity_source self_;
    message_handler on_message_;
    revision_handler on_revision_;
    connection::net::tcp_listener listener_;
    std::set<session_ptr> sessions_;
    const cross_domain_traffic* traffic_ = nullptr;
    routing::load_balancer* load_balancer_ = nullptr;
};

} // namespace shallotwood::process::sidecar
