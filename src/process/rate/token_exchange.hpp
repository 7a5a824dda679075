// Requests rate-limit tokens from the owner nodes of workspaces over an
// unreliable transport, and grants tokens for the workspaces this node owns.
//
// Requests are sent again until they time out; the owner then counts as
// unreachable.
//
// Bounds: max_pending_requests awaiting a response, max_cached_responses kept
// for requests that are sent again.
#pragma once

#include "process/event_loop.hpp"
#include "process/member.hpp"
#include "process/peer_transport.hpp"
#include "process/rate/token_bucket_table.hpp"
#include "process/rate/token_cache.hpp"

#include <functional>
#include <json/json.h>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace shallotwood::process::rate
{

class token_exchange final : public token_source
{
public:
    static constexpr std::size_t max_pending_requests = 10'000;
    static constexpr std::size_t max_cached_responses = 10'000;

    // The references outlive this object.
    token_exchange(event_loop& loop, peer_transport& transport,
                   const member_view& members, token_bucket_table& buckets,
                   rate_lookup limits);
    ~token_exchange();
    token_exchange(const token_exchange&) = delete;
    token_exchange& operator=(const token_exchange&) = delete;

    void
    request_tokens(const std::string& workspace, int wanted,
                   std::function<void(std::optional<grant>)> reply) override;
    void report_spent(const spent_tokens& it) override;
    double fallback_share() const override;

    // Call when a node has joined, left, died or returned.
    void owners_changed();

private:
    struct pending_request {
        peer_address to;
        Json::Value params;
        std::function<void(std::optional<grant>)> reply;
        timer_id resend{};
        timer_id timeout{};
    };

    // Null if there is no other active node.
    std::optional<member> other_owner(const std::string& workspace) const;
    // Fraction of the rate that nodes use which are suspected to be dead.
    double reserved() const;
    // Grants nothing if by this node's view another node owns the workspace:
    // two owners would grant the rate twice.
    std::optional<grant> take(const std::string& workspace, int wanted);
    void send(std::uint64_t id);
    void on_request(const peer_address& from, const Json::Value& params);
    void on_response(const Json::Value& params);
    void on_spent(const Json::Value& params);
    void end(std::uint64_t id, const std::optional<grant>& given);

    event_loop& loop_;
    peer_transport& transport_;
    const member_view& members_;
    token_bucket_table& buckets_;
    rate_lookup limits_;
    std::unordered_map<std::uint64_t, pending_request> pending_requests_;
    std::uint64_t last_request_id_ = 0;
    // Last response by node and workspace: a request that is sent again must
    // not take tokens twice.
    std::unordered_map<std::string, Json::Value> cached_responses_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace shallotwood::process::rate
