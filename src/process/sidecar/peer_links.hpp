// Connections from this node to other nodes.
//
// Keeps one HTTP/2 connection to each node that this one calls. A connection is
// pinged only while a response is expected on it; a node that doesn't answer
// the ping is marked unreachable, and the calls on its connection are notified.
#pragma once

#include "connection/peer/session.hpp"
#include "process/counters.hpp"
#include "process/fleet/fleet_view.hpp"
#include "process/routing/load_balancer.hpp"
#include "process/sidecar/connection_state.hpp"
#include "process/sidecar/cross_domain_traffic.hpp"
#include "process/sidecar/peer_channel.hpp"
#include "process/sidecar/peer_codec.hpp"
#include "request/attempt.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace shallotwood::process::sidecar
{

class peer_links final : public peer_channel
{
public:
    // Gets the policy revision that another node states in its reply.
    using revision_handler =
        std::function<void(const std::string& name, std::uint64_t revision)>;

    peer_links(loop::reactor& loop, counters& counts,
               const fleet::fleet_view& fleet,
               routing::load_balancer& load_balancer);
    ~peer_links();
    peer_links(const peer_links&) = delete;
    peer_links& operator=(const peer_links&) = delete;

    void on_revision(revision_handler handler)
    {
        on_revision_ = std::move(handler);
    }

    // Called when presumed_dead() has changed for a node.
    void on_liveness(std::function<void()> changed)
    {
        on_liveness_ = std::move(changed);
    }

    // Counts the bytes of new connections there.
    void set_traffic(const cross_domain_traffic& traffic)
    {
        traffic_ = &traffic;
    }

    // Closes all connections and fails the calls on them; nothing is sent
    // afterwards.
    void close();

    // Starts an attempt at another instance.
    std::shared_ptr<request::attempt>
    start(const fleet::instance& at, const request::attempt_request& what,
          const std::shared_ptr<request::attempt_receiver>& receiver);

    void call(const peer_address& to, std::string_view path,
              const std::string& body, duration limit,
              reply_handler done) override;

    // Reconnects without waiting for the backoff if the node was unreachable or
    // its connection is not established yet. Call when an update about
    // the node has arrived.
    void reconnect_now(const std::string& name) override;

    bool reachable(const std::string& name) const override;
    bool answers(const std::string& name) const override;
    bool presumed_dead(const std::string& name) const override;
    std::uint64_t liveness_revision() const override
    {
        return liveness_revision_;
    }
    std::size_t unreachable() const override;
    // True if no linked node that should be taking calls is reachable, and
    // there are enough of them to blame this node's own network.
    bool is_partitioned() const;

private:
    class remote_attempt;
    class message;
    struct link {
        peer_address to;
        std::shared_ptr<connection::peer::session> session;
        // Of the session.
        std::shared_ptr<connection_state> state;
        time_point opened_at{};
        time_point ping_at{};
        time_point used_at{};
        bool reachable = true;
        // Since when it has not been reachable.
        time_point unreachable_since{};
        bool presumed_dead = false;
        // When its connection was lost.
        time_point lost_at{};
        duration backoff{};
    };

    link& find_or_add_link(const peer_address& to);
    std::shared_ptr<connection::peer::session> session_for(link& of);
    void handle_session_closed(
        const std::string& name,
        const std::shared_ptr<connection::peer::session>& which);
    // Adds the own failure domain and the form of heads that this node reads,
    // unless a request that says so has left on the connection.
    void introduce(connection::http::header_list& headers,
                   const connection::peer::session& over) const;
    void find_domain(const std::string& name, const link& of) const;
    void set_reachable(const std::string& name, link& of, bool reachable);
    void set_presumed_dead(const std::string& name, link& of, bool dead);
    void tick();
    void check_link(const std::string& name, link& of, time_point now);

    loop::reactor& loop_;
    counters& counts_;
    const fleet::fleet_view& fleet_;
    routing::load_balancer& load_balancer_;
    const cross_domain_traffic* traffic_ = nullptr;
    revision_handler on_revision_;
    std::function<void()> on_liveness_;
    std::map<std::string, link> links_;
    std::uint64_t liveness_revision_ = 1;
    bool closed_ = false;
    // Set when a link has gone silent: this node itself may be partitioned, so
    // idle links are pinged too, until each has been due for a ping.
    bool ping_idle_links_ = false;
    time_point ping_idle_links_since_{};
    time_point last_tick_;
    timer_id timer_{};
};

} // namespace shallotwood::process::sidecar
