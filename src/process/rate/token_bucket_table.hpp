// The rates of those workspaces whose home is this node.
//
// Every workspace has one home among the instances, found by rendezvous
// hashing, so nothing has to be agreed or stored. Nodes take tokens from the
// home ahead of need. A node that becomes the home of a workspace does not know
// what the one before it has granted: its bucket starts nearly empty, and as if
// refilled since the last change of homes.
//
// Bounded: one bucket for each workspace of the configuration.
#pragma once

#include "process/event_loop.hpp"

#include <string>
#include <unordered_map>

namespace shallotwood::process::rate
{

// Of one workspace, over all instances.
struct rate_limit {
    // Requests a second.
    double rate = 0;
    double burst = 0;
};

struct grant {
    int tokens = 0;
    // Until the next token, if fewer were granted than asked for.
    duration retry_after{};
};

class token_bucket_table
{
public:
    // `fleet_is_new` says that no node can have granted anything before this
    // one started: then the first buckets are full.
    token_bucket_table(const clock& time, bool fleet_is_new)
        : clock_(time), fleet_is_new_(fleet_is_new), started_(time.now()),
          owners_stable_since_(time.now())
    {
    }

    // Nodes have come, gone, or changed sides of a partition: workspaces that
    // are new here may have had another home until now.
    void owners_changed() { owners_stable_since_ = clock_.now(); }

    // `reserved` is the part of the rate kept for nodes that can't reach the
    // home and use their own part of it.
    grant take(const std::string& workspace, const rate_limit& limit,
               double reserved, int wanted);
    // Tokens that were not used.
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
