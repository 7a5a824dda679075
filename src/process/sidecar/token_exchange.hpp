// Tokens of the workspaces' rates between nodes.
//
// Finds the home of each workspace among the instances, asks it for this
// node's wallet, and answers for the workspaces whose home this node is.
#pragma once

#include "process/fleet/fleet_view.hpp"
#include "process/rate/token_bucket_table.hpp"
#include "process/rate/token_cache.hpp"
#include "process/sidecar/peer_links.hpp"
#include "process/sidecar/policy_feed.hpp"

#include <json/json.h>
#include <string>
#include <unordered_map>

namespace shallotwood::process::sidecar
{

class token_exchange final : public rate::token_source
{
public:
    // The references outlive it.
    token_exchange(const fleet::fleet_view& fleet, peer_links& links,
                   const policy_feed& feed, rate::token_bucket_table& home);

    void request_tokens(
        const std::string& workspace, int wanted,
        std::function<void(std::optional<rate::grant>)> reply) override;
    double fallback_share() const override;

    // The reply to another node's question; empty if it can't be answered.
    Json::Value handle_message(const Json::Value& message);

private:
    const std::string& home_of(const std::string& workspace);

    const fleet::fleet_view& fleet_;
    peer_links& links_;
    const policy_feed& feed_;
    rate::token_bucket_table& home_;
    // By workspace; void when the fleet or the contact to a node has changed.
    std::unordered_map<std::string, std::string> homes_;
    std::uint64_t fleet_revision_ = 0;
    std::uint64_t links_revision_ = 0;
};

} // namespace shallotwood::process::sidecar
