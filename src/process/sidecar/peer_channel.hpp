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
    // Gets the body of the reply, or nothing if none arrived in time.
    using reply_handler = std::function<void(std::optional<std::string>)>;

    // Sends a message and waits for its reply.
    virtual void call(const peer_address& to, std::string_view path,
                      const std::string& body, duration limit,
                      reply_handler done) = 0;

    // False while the node does not answer.
    virtual bool reachable(const std::string& name) const = 0;
    virtual std::size_t unreachable() const = 0;
    // Increases whenever reachable() changes for any node.
    virtual std::uint64_t revision() const = 0;

protected:
    ~peer_channel() = default;
};

} // namespace shallotwood::process::sidecar
