// Reads which configuration revision a node has in force.
#pragma once

#include "process/http/http_client.hpp"
#include "process/peer_transport.hpp"

#include <cstdint>
#include <functional>
#include <optional>

namespace shallotwood::process::http
{

class node_status_reader
{
public:
    // Empty if the node did not answer, or not with a revision.
    using on_revision = std::function<void(std::optional<std::uint64_t>)>;

    virtual ~node_status_reader() = default;

    // `local` is the node's local address.
    virtual void read(const peer_address& local, on_revision done) = 0;
};

// GET /status, which answers with a JSON object that has `revision`.
class http_node_status_reader final : public node_status_reader
{
public:
    explicit http_node_status_reader(event_loop& loop);

    void read(const peer_address& local, on_revision done) override;

private:
    http_client client_;
};

} // namespace shallotwood::process::http
