// Reads the position of the configuration that a node has in effect.
#pragma once

#include "process/http/http_client.hpp"
#include "process/peer_transport.hpp"
#include "version/position.hpp"

#include <functional>
#include <optional>

namespace shallotwood::process::http
{

class node_status_reader
{
public:
    // Empty if the node did not respond, or its response has no revision.
    using on_position = std::function<void(std::optional<version::position>)>;

    virtual ~node_status_reader() = default;

    // `local` is the node's local address.
    virtual void read(const peer_address& local, on_position done) = 0;
};

// Reads `era` and `revision` from the JSON object that `GET /status` returns.
class http_node_status_reader final : public node_status_reader
{
public:
    explicit http_node_status_reader(event_loop& loop);

    void read(const peer_address& local, on_position done) override;

private:
    http_client client_;
};

} // namespace shallotwood::process::http
