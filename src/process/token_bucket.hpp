// The owner's bucket of one workspace.
//
// Invariant: level + outstanding <= burst at every moment, where outstanding
// counts all tokens that nodes may still spend. Refill stops at that cap, and
// tokens that expire are not refunded: their holder may have spent them at the
// last moment. Hence at most rate x time + burst are spent in any window.
//
// Levels are whole billionths of a token and rounded down, so that rounding
// never adds a token.
//
// Bounds: `max_holders` nodes.
#pragma once

#include "process/event_loop.hpp"

#include <json/json.h>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace shallotwood::process
{

struct rate_limit {
    // Tokens per second.
    double rate = 0;
    // Tokens.
    double burst = 0;

    friend bool operator==(const rate_limit& a, const rate_limit& b)
    {
        return a.rate == b.rate && a.burst == b.burst;
    }
};

// What a node says when it asks for tokens or returns some. Each message of a
// node about a workspace has a higher sequence than the one before, and says
// that the node will not use any grant for an earlier one that it has not
// counted in `held`.
struct token_question {
    std::string node;
    std::uint64_t sequence = 0;
    // Valid tokens that the node keeps.
    std::uint64_t held = 0;
    // Tokens that the node gives back unspent.
    std::uint64_t returned = 0;
    // Tokens for requests that wait, and for demand to come.
    std::uint64_t need = 0;
    std::uint64_t ahead = 0;
};

struct token_answer {
    std::uint64_t count = 0;
    // Time until a token is expected, if fewer than needed were granted.
    duration retry_after{};
    // At least half of the burst is left, so that nodes may hold more and
    // report later.
    bool plentiful = false;
};

class token_bucket
{
public:
    using nanotokens = std::int64_t;

    // Full.
    explicit token_bucket(rate_limit limit);
    // Empty at `base`; before that nothing is refilled.
    token_bucket(rate_limit limit, time_point base);

    // Empty for a stale question. `validity` is counted from now.
    std::optional<token_answer> ask(const token_question& it, time_point now,
                                    duration validity, std::size_t max_holders);

    void set_limit(rate_limit limit, time_point now);

    // True if the bucket is full and nothing is outstanding, so that it may be
    // forgotten.
    bool idle(time_point now);

    nanotokens level() const { return level_; }
    nanotokens outstanding() const { return outstanding_; }
    std::size_t holders() const { return holders_.size(); }

    // For a planned hand-over; times as durations from now.
    Json::Value to_json(time_point now);
    static std::optional<token_bucket>
    from_json(const Json::Value& in, rate_limit limit, time_point now);

private:
    struct holder {
        std::uint64_t sequence = 0;
        std::uint64_t granted = 0;
        std::uint64_t outstanding = 0;
        time_point expires{};
    };

    // Refills up to `now`, expiring grants in order on the way.
    void advance(time_point now);
    void refill(time_point now);
    void settle(holder& it, const token_question& question);
    duration time_until(nanotokens level, time_point now) const;

    rate_limit limit_;
    nanotokens level_ = 0;
    nanotokens outstanding_ = 0;
    time_point refilled_{};
    std::map<std::string, holder> holders_;
    std::set<std::pair<time_point, std::string>> by_expiry_;
};

} // namespace shallotwood::process
