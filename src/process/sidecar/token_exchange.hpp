// Distributes the tokens of workspace rate limits between nodes.
//
// The token bucket of each workspace is kept on one instance, its owner, chosen
// by rendezvous hashing. Asks the owner for tokens on behalf of this node's
// token cache, and grants tokens of the workspaces that this node owns.
#pragma once

#include "process/fleet/fleet_view.hpp"
#include "process/rate/token_bucket_table.hpp"
#include "process/rate/token_cache.hpp"
#include "process/sidecar/peer_channel.hpp"

#include <json/json.h>
#include <string>
#include <unordered_map>

namespace shallotwood::process::sidecar
{

class token_exchange final : public rate::token_source
{
public:
    // The referenced objects must outlive the exchange.
    token_exchange(const fleet::fleet_view& fleet, peer_channel& peers,
                   rate::rate_lookup limits,
                   rate::token_bucket_table& token_buckets);

    void request_tokens(
        const std::string& workspace, int wanted,
        std::function<void(std::optional<rate::grant>)> reply) override;
    double fallback_share() const override;

    // Returns the reply to another node's request; empty if the request is
    // malformed or the workspace is unknown.
    Json::Value handle_message(const Json::Value& message);

private:
    const std::string& owner_of(const std::string& workspace);

    const fleet::fleet_view& fleet_;
    peer_channel& peers_;
    rate::rate_lookup limits_;
    rate::token_bucket_table& token_buckets_;
    // Owner of each workspace; cleared when the fleet or the reachability of a
    // node has changed.
    std::unordered_map<std::string, std::string> owners_;
    std::uint64_t fleet_revision_ = 0;
    std::uint64_t peers_revision_ = 0;
};

} // namespace shallotwood::process::sidecar
