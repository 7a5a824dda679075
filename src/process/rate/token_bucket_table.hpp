// Token buckets of the workspaces that this node owns.
//
// Rendezvous hashing assigns each workspace to one owner instance, so ownership
// needs no agreement and no storage. Nodes prefetch tokens from the owner. A
// new owner does not know what the previous one has granted, so its bucket
// starts nearly empty and counts as refilled since the last change of owners.
//
// Bounded: one bucket for each workspace of the configuration.
#pragma once

#include "process/event_loop.hpp"

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

namespace shallotwood::process::rate
{

// Rate limit of one workspace across all instances.
struct rate_limit {
    // Requests per second.
    double rate = 0;
    double burst = 0;
};

// Returns the limit of the workspace in the current configuration, or nullopt
// if the workspace does not exist.
using rate_lookup =
    std::function<std::optional<rate_limit>(const std::string& workspace)>;

struct grant {
    int tokens = 0;
    // Time until the next token, if fewer were granted than requested.
    duration retry_after{};
};

class token_bucket_table
{
public:
    // `fleet_is_new` means that no node can have granted tokens before this one
    // started; the first buckets are then full.
    token_bucket_table(const clock& time, bool fleet_is_new)
        : clock_(time), fleet_is_new_(fleet_is_new), started_(time.now()),
          owners_stable_since_(time.now())
    {
    }

    // Called when nodes join, leave or become (un)reachable in a partition:
    // workspaces without a bucket here may have had another owner until now.
    void owners_changed() { owners_stable_since_ = clock_.now(); }

    // `reserved` is the fraction of the rate kept back for nodes that can't
    // reach the owner and use their fallback share.
    grant take(const std::string& workspace, const rate_limit& limit,
               double reserved, int wanted);
    // Returns unused tokens.
    void return_tokens(const std::string& workspace, const rate_limit& limit,
                       int tokens);
    std::size_t size() const { return buckets_.size(); }

private:
    struct bucket {
        double level = 0;
        time_point at{};
    };
    bucket& refill(const std::string& workspace, const rate_limit& limit,
                   double reserved);

    const clock& clock_;
    bool fleet_is_new_;
    time_point started_;
    time_point owners_stable_since_;
    std::unordered_map<std::string, bucket> buckets_;
};

} // namespace shallotwood::process::rate
