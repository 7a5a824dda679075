// Messages between nodes.
//
// A message is a JSON-RPC notification: it may be lost, reordered or
// duplicated, and has no reply of its own. A protocol that needs an answer
// sends it as a message in the other direction, matched by an id in the
// parameters.
#pragma once

#include <cstdint>
#include <functional>
#include <json/json.h>
#include <string>
#include <tuple>

namespace shallotwood::process
{

// An IP address and port; never a host name.
struct peer_address {
    std::string host;
    std::uint16_t port = 0;

    friend bool operator==(const peer_address& a, const peer_address& b)
    {
        return a.port == b.port && a.host == b.host;
    }
    friend bool operator!=(const peer_address& a, const peer_address& b)
    {
        return !(a == b);
    }
    friend bool operator<(const peer_address& a, const peer_address& b)
    {
        return std::tie(a.host, a.port) < std::tie(b.host, b.port);
    }
};

class peer_transport
{
public:
    // `from` is the address that the sender listens on. Handlers treat
    // `params` as untrusted: a wrong type or missing field is ignored.
    using handler = std::function<void(const peer_address& from,
                                       const Json::Value& params)>;

    virtual ~peer_transport() = default;

    // Returns at once; never reports failure.
    virtual void send(const peer_address& to, const std::string& method,
                      const Json::Value& params) = 0;

    // Sets the handler of a method; a second call replaces the first.
    virtual void subscribe(const std::string& method, handler on_message) = 0;
};

} // namespace shallotwood::process
