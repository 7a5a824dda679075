// Token buckets of the workspaces that this node owns.
//
// Rendezvous hashing assigns each workspace to one owner instance, so ownership
// needs no agreement and no storage. Nodes prefetch tokens from the owner. A
// new owner does not know what the previous one has granted, so its bucket
// starts nearly empty and counts as refilled since the last change of owners.
// A bucket is closed when its workspace gets another owner: it would fill up
// while that one grants.
//
// Bounded: one bucket for each workspace of the configuration.
#pragma once

#include "process/event_loop.hpp"
#include "process/rate/decaying_sum.hpp"

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace shallotwood::process::rate
{

// How long tokens that were spent without the owner's knowledge matter to it:
// about as long as the bucket of a busy workspace takes to fill up again.
constexpr duration unreported_time = std::chrono::seconds(2);

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

// What limits an owner's grants beside the workspace's limit.
struct grant_terms {
    // Implicit: in most places only the fraction matters.
    grant_terms(double reserved_part, bool is_substitute = false)
        : reserved(reserved_part), substitute(is_substitute)
    {
    }

    // Fraction of the rate and the burst kept back for nodes that can't reach
    // this one and use their fallback share.
    double reserved;
    // Nodes that come before this one are presumed dead. They or their
    // fallback shares may still be in use elsewhere, so no tokens are saved up.
    bool substitute;
};

struct grant {
    int tokens = 0;
    // Time until the next token, if fewer were granted than requested.
    duration retry_after{};
};

// Tokens of a workspace that its owner does not know to be spent.
struct spent_tokens {
    std::string workspace;
    int tokens = 0;
};

class token_bucket_table
{
public:
    // `fleet_is_new` means that no node can have granted tokens before this one
    // started; the first buckets are then full.
    token_bucket_table(event_loop& loop, bool fleet_is_new);
    ~token_bucket_table();
    token_bucket_table(const token_bucket_table&) = delete;
    token_bucket_table& operator=(const token_bucket_table&) = delete;

    // Call when the owner of a workspace may have changed. Closes the buckets
    // of workspaces that this node no longer owns and returns what was granted
    // from them lately.
    std::vector<spent_tokens>
    owners_changed(const std::function<bool(const std::string&)>& owned);
    grant take(const std::string& workspace, const rate_limit& limit,
               const grant_terms& terms, int wanted);
    // Removes tokens that were spent without the knowledge of this node.
    void charge(const spent_tokens& it, const rate_limit& limit,
                const grant_terms& terms);
    std::size_t size() const { return buckets_.size(); }

private:
    struct bucket {
        // Below 0 after a charge.
        double level = 0;
        time_point at{};
        time_point opened_at{};
        decaying_sum granted{unreported_time};
    };
    bucket& refill(const std::string& workspace, const rate_limit& limit,
                   const grant_terms& terms);
    void open(bucket& entry, const std::string& workspace,
              const rate_limit& limit, double reserved) const;

    // After a pause of this process, does not refill the buckets for that time:
    // other nodes may have granted tokens meanwhile.
    void skip_pause();
    void check_periodically();

    event_loop& loop_;
    bool fleet_is_new_;
    time_point started_;
    time_point owners_stable_since_;
    // When this process was last known not to be paused.
    time_point checked_at_;
    timer_id check_timer_{};
    std::unordered_map<std::string, bucket> buckets_;
};

} // namespace shallotwood::process::rate
