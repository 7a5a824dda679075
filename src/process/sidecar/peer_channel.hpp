// Sends messages to other nodes and tells which nodes answer.
//
// The interface lets the protocols between nodes run without a network in
// tests.
#pragma once

#include "process/event_loop.hpp"
#include "process/peer_transport.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace shallotwood::process::sidecar
{

class peer_channel
{
public:
    // Both ends of a cut have noticed it after this time.
    static constexpr duration presumed_dead_time =
        std::chrono::milliseconds(1500);

    // Gets the body of the reply, or nothing if none arrived in time.
    using reply_handler = std::function<void(std::optional<std::string>)>;

    // Sends a message and waits for its reply.
    virtual void call(const peer_address& to, std::string_view path,
                      const std::string& body, duration limit,
                      reply_handler done) = 0;

    // False if the node was found unreachable.
    virtual bool reachable(const std::string& name) const = 0;
    // True if the node has answered lately.
    virtual bool answers(const std::string& name) const = 0;
    // True if the node has not answered for presumed_dead_time. A shorter loss
    // of its link says nothing about the node: others may still reach it.
    virtual bool presumed_dead(const std::string& name) const = 0;
    // Increases whenever presumed_dead() changes for any node.
    virtual std::uint64_t liveness_revision() const = 0;
    // Number of nodes that do not answer now.
    virtual std::size_t unreachable() const = 0;

    // An update about the node has arrived: retries a link to it that is lost
    // or not established yet, without waiting for the backoff.
    virtual void reconnect_now(const std::string& /*name*/) {}

protected:
    ~peer_channel() = default;
};

} // namespace shallotwood::process::sidecar
