// Cache of each workspace's rate-limit tokens on this node.
//
// A request takes a cached token or waits for the workspace's owner node to
// grant one; it is never refused before the owner was asked. Tokens for some
// 100 ms of demand are prefetched, so few requests of a busy workspace wait. A
// node that can't reach the owner uses its fallback share of the rate. The
// owner keeps the shares of unresponsive nodes back; what was spent before it
// noticed is reported to it once it answers again.
#pragma once

#include "process/counters.hpp"
#include "process/rate/token_bucket_table.hpp"

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

namespace shallotwood::process::rate
{

// Requests tokens from the owner of a workspace. `reply` gets nullopt if the
// owner does not respond in time.
class token_source
{
public:
    virtual void
    request_tokens(const std::string& workspace, int wanted,
                   std::function<void(std::optional<grant>)> reply) = 0;
    // Tells the owner that tokens were spent without its knowledge.
    virtual void report_spent(const spent_tokens& it) = 0;
    // Fraction of the rate that this node may use without the owner.
    virtual double fallback_share() const = 0;

protected:
    ~token_source() = default;
};

class token_cache
{
public:
    // Gets nullopt if the request may proceed, or else the time after which the
    // caller may retry.
    using decision = std::function<void(std::optional<duration>)>;

    token_cache(const clock& time, token_source& source, counters& counts);

    void acquire_token(const std::string& workspace, const rate_limit& limit,
                       decision done);
    // Returns the token of a request that was not executed.
    void return_token(const std::string& workspace);

private:
    struct cached_tokens {
        int tokens = 0;
        time_point tokens_valid_until{};
        std::deque<decision> waiting;
        bool request_pending = false;
        time_point refused_until{};
        decaying_sum demand;
        time_point requested_at{};
        time_point silent_since{};
        // Consecutive requests without a response.
        int timed_out_requests = 0;
        // Bucket used while the owner is unreachable. It refills only then,
        // because the owner grants the whole rate to the other nodes until it
        // notices.
        double fallback_level = 1;
        time_point fallback_at{};
        // Tokens that the fallback share has spent and the owner doesn't know.
        decaying_sum unreported{unreported_time};

        cached_tokens();
    };

    bool take_cached(cached_tokens& cached);
    void request_tokens(const std::string& workspace, const rate_limit& limit);
    void on_grant(const std::string& workspace, const rate_limit& limit,
                  const std::optional<grant>& given);
    static void complete_first(cached_tokens& cached,
                               std::optional<duration> refused);
    void serve_from_fallback(const std::string& workspace,
                             cached_tokens& cached, const rate_limit& limit);
    void report_spent(const std::string& workspace, cached_tokens& cached);

    const clock& clock_;
    token_source& source_;
    std::uint64_t& admitted_by_owner_;
    std::uint64_t& admitted_by_fallback_;
    std::uint64_t& returned_;
    std::unordered_map<std::string, cached_tokens> cached_tokens_;
};

} // namespace shallotwood::process::rate
