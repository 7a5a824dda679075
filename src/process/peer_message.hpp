// Encoding of messages between nodes: a JSON-RPC 2.0 notification, compressed
// if that makes it shorter, preceded by a keyed hash (MAC) under the fleet
// secret.
//
//     32 bytes  keyed hash of the receiver's listening address and all bytes
//               that follow
//      1 byte   0: uncompressed text, 1: raw DEFLATE
//      n bytes  the notification; its parameters are `from`, the listening
//               address of the sender, and `body`
//
// The receiver's address is not sent but included in the hash, so a message
// that is redirected to another node fails authentication there. A message
// replayed to the same node is equivalent to a duplicate or a late message,
// which every protocol over peer_transport has to tolerate anyway.
//
// Bounds: max_message_bytes, both encoded and decompressed. Nothing is
// decompressed or parsed before its keyed hash has been verified.
#pragma once

#include "process/peer_transport.hpp"

#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace shallotwood::process
{

constexpr std::size_t max_message_bytes = 1'000'000;

struct peer_message {
    peer_address from;
    peer_address to;
    std::string method;
    Json::Value body;
};

enum class message_error {
    too_large,
    unauthenticated,
    malformed,
    unknown_method,
};

std::string_view name_of(message_error it);

std::variant<std::string, message_error>
encode_message(const peer_message& it, std::string_view fleet_secret);

// Returns the text of the notification, if it is authentic and meant for this
// receiver. Never throws on untrusted input.
std::variant<std::string, message_error>
decode_message(std::string_view encoded, const peer_address& receiver,
               std::string_view fleet_secret);

// Validates notifications and calls the handler of their method.
class notification_dispatcher final : jsonrpc::IProcedureInvokationHandler
{
public:
    notification_dispatcher();
    ~notification_dispatcher() override;
    notification_dispatcher(const notification_dispatcher&) = delete;
    notification_dispatcher& operator=(const notification_dispatcher&) = delete;

    void subscribe(const std::string& method, peer_transport::handler it);

    // Returns an error unless a handler was called. Never throws on untrusted
    // input.
    std::optional<message_error> dispatch(const std::string& text);

private:
    void HandleMethodCall(jsonrpc::Procedure& it, const Json::Value& input,
                          Json::Value& output) override;
    void HandleNotificationCall(jsonrpc::Procedure& it,
                                const Json::Value& input) override;

    std::unique_ptr<jsonrpc::IProtocolHandler> protocol_;
    std::map<std::string, peer_transport::handler> handlers_;
    // Result for the message being dispatched; empty once a handler is called.
    std::optional<message_error> outcome_;
};

} // namespace shallotwood::process
