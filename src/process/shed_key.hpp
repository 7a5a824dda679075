// The order in which requests are shed.
//
// A key has the importance in the top 8 bits and a rank in the low 24 bits,
// log2(u x demand) in fixed point: u is uniform in (0, 1] from the request id,
// demand is the workspace's request rate over its configured rate. Of the
// requests of a workspace of demand d, a share of min(1, T / d) has a rank
// below a threshold T, so every workspace with a demand above T is admitted at
// T times its configured rate: a single threshold is max-min fair, weighted by
// the configured rates.
// Raising a threshold by one octave admits at most twice as many requests.
#pragma once

#include "process/event_loop.hpp"
#include "request/call_context.hpp"

#include <string>
#include <string_view>
#include <unordered_map>

namespace shallotwood::process
{

constexpr int rank_bits = 24;
constexpr request::shed_key most_rank = (1U << rank_bits) - 1;
// Ranks for a factor of two. 2^24 ranks cover 16 octaves, from u x demand of
// 2^-10 to 2^6; lower and higher values share the first and the last rank. A
// wider range would leave ranks without requests between the levels of
// importance, and a threshold that rises through them would admit no further
// requests during that time.
constexpr request::shed_key ranks_per_octave = 1U << 20;
// Above the keys of all levels of importance.
constexpr request::shed_key above_all_keys = 4U << rank_bits;

request::shed_key make_shed_key(request::importance level,
                                std::string_view request_id, double demand);

// The key moved by a number of octaves, within the range of all keys. Above
// the last key it gives no_shed_threshold.
request::shed_key shift_key(request::shed_key key, double octaves);

// Estimates the request rate of each workspace, as seen by this node.
//
// Bounded: at most max_workspaces. Further workspaces share one estimate:
// their requests may be shed earlier, but never later, than with an estimate of
// their own.
class demand_estimator
{
public:
    static constexpr std::size_t max_workspaces = 4096;
    // Time constant of the average. With shorter ones the rank of a workspace
    // with sparse traffic fluctuates; longer ones delay recovery past 2 s.
    static constexpr duration memory = std::chrono::milliseconds(500);

    explicit demand_estimator(const clock& time) : clock_(time) {}

    // Counts a request and returns the demand: requests a second over
    // `weight`, which is the workspace's configured rate, or 1 without one.
    double count(const std::string& workspace, double weight = 1);

    std::size_t size() const { return rates_.size(); }

private:
    struct rate {
        double value = 0;
        time_point at;
    };

    void expire();

    const clock& clock_;
    std::unordered_map<std::string, rate> rates_;
    time_point next_expiry_{};
};

} // namespace shallotwood::process
