// The tokens that this node holds of each workspace's rate.
//
// A request takes a token that is there, or waits for the workspace's home to
// grant one: a request is never refused before the home was asked. Tokens are
// fetched ahead for the demand of some 100 ms, so on a busy workspace few
// requests wait. A node that can't reach the home uses its part of the rate;
// the home keeps the parts of silent nodes back.
#pragma once

#include "process/rate/token_bucket_table.hpp"

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

namespace shallotwood::process::rate
{

// Asks the home of a workspace for tokens. `reply` gets nothing if the home
// can't be reached in time.
class token_source
{
public:
    virtual void
    request_tokens(const std::string& workspace, int wanted,
                   std::function<void(std::optional<grant>)> reply) = 0;
    // Part of the rate that this node may use on its own.
    virtual double fallback_share() const = 0;

protected:
    ~token_source() = default;
};

class token_cache
{
public:
    // Gets nothing if the request may go on, or the time after which the
    // caller may come back.
    using decision = std::function<void(std::optional<duration>)>;

    token_cache(const clock& time, token_source& source);

    void acquire_token(const std::string& workspace, const rate_limit& limit,
                       decision done);
    // A charged request was not run.
    void return_token(const std::string& workspace);

private:
    struct cached_tokens {
        int tokens = 0;
        time_point tokens_valid_until{};
        std::deque<decision> waiting;
        bool request_pending = false;
        time_point refused_until{};
        // Requests a second, averaged.
        double demand = 0;
        time_point demand_at{};
        time_point requested_at{};
        // Questions in a row that got no answer.
        int timed_out_requests = 0;
        // Used while the home can't be reached, and gathered only then: the
        // home goes on granting the whole rate to the others until it knows.
        double fallback_level = 1;
        time_point fallback_at{};
    };

    void record_demand(cached_tokens& of);
    bool take_cached(cached_tokens& of);
    void request_tokens(const std::string& workspace, const rate_limit& limit);
    void on_grant(const std::string& workspace, const rate_limit& limit,
                  const std::optional<grant>& given);
    static void complete_first(cached_tokens& of,
                               std::optional<duration> refused);
    void serve_from_fallback(cached_tokens& of, const rate_limit& limit);

    const clock& clock_;
    token_source& source_;
    std::unordered_map<std::string, cached_tokens> cached_tokens_;
};

} // namespace shallotwood::process::rate
