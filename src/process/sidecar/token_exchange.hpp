// Distributes the tokens of workspace rate limits between nodes.
//
// The token bucket of each workspace is kept on one instance, its owner, chosen
// by rendezvous hashing. Asks the owner for tokens on behalf of this node's
// token cache, and grants tokens of the workspaces that this node owns.
#pragma once

#include "process/fleet/fleet_view.hpp"
#include "process/rate/token_bucket_table.hpp"
#include "process/rate/token_cache.hpp"
#include "process/sidecar/indirect_probes.hpp"
#include "process/sidecar/peer_channel.hpp"

#include <json/json.h>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace shallotwood::process::sidecar
{

class token_exchange final : public rate::token_source
{
public:
    // The referenced objects must outlive the exchange.
    token_exchange(const fleet::fleet_view& fleet, peer_channel& peers,
                   indirect_probes& probes, rate::rate_lookup limits,
                   rate::token_bucket_table& token_buckets);

    void request_tokens(
        const std::string& workspace, int wanted,
        std::function<void(std::optional<rate::grant>)> reply) override;
    void report_spent(const rate::spent_tokens& it) override;
    double fallback_share() const override;

    // Call when a node has joined, left, died or returned.
    void owners_changed();

    // Returns the reply to another node's request; empty if the request is
    // malformed, the workspace is unknown, or by this node's view another node
    // owns it: two owners would grant the rate twice.
    Json::Value handle_message(const Json::Value& message);

private:
    struct ownership {
        // Empty if there is no instance.
        std::string owner;
        // Nodes that come before it but are presumed dead.
        std::vector<std::string> dead;
    };

    const ownership& owner_of(const std::string& workspace);
    // True if this node grants the workspace's tokens.
    bool owns(const std::string& workspace);
    // Another node doubts that the owner is alive. Contacts it, so that its
    // link shows whether it is.
    void check_owner(const std::string& workspace);
    rate::grant_terms terms_for(const std::string& workspace);

    const fleet::fleet_view& fleet_;
    peer_channel& peers_;
    indirect_probes& probes_;
    rate::rate_lookup limits_;
    rate::token_bucket_table& token_buckets_;
    // Owner of each workspace; cleared when the fleet has changed, or a node
    // has died or returned.
    std::unordered_map<std::string, ownership> owners_;
    // Owners that are being checked.
    std::set<std::string> checked_;
    std::uint64_t fleet_revision_ = 0;
    std::uint64_t liveness_revision_ = 0;
};

} // namespace shallotwood::process::sidecar
