#include "process/rate/token_bucket_table.hpp"

#include "process/log.hpp"
#include "process/telemetry/decision_log.hpp"

#include <algorithm>
#include <cmath>

namespace shallotwood::process::rate
{

namespace
{

// Initial level of a bucket on a new owner node, in seconds of the rate. Two
// changes of owner within a window of 5 s then exceed the limit by less than a
// tenth.
constexpr double initial_level_seconds = 0.25;

// For this time after the start of the whole fleet, a new bucket is the first
// one of its workspace. A later one may replace the bucket of an owner that has
// stopped.
constexpr duration initial_fill_window = std::chrono::seconds(12);

// The nodes of a new fleet discover each other within this time. A later change
// of owners moves workspaces from owners that have already granted tokens.
constexpr duration fleet_discovery_time = std::chrono::seconds(3);

// Lower bound of the retry-after time of a refused caller.
constexpr duration min_retry_after = std::chrono::milliseconds(50);

} // namespace

token_bucket_table::bucket&
token_bucket_table::refill(const std::string& workspace,
                           const rate_limit& limit, double reserved)
{
    auto now = clock_.now();
    auto [it, inserted] = buckets_.try_emplace(workspace);
    auto& entry = it->second;
    if (inserted) {
        bool is_first = fleet_is_new_ && now - started_ < initial_fill_window &&
                        owners_stable_since_ - started_ < fleet_discovery_time;
        entry.level = is_first
                          ? std::max(1.0, limit.burst)
                          : std::max(1.0, limit.rate * initial_level_seconds);
        entry.at = owners_stable_since_;
    }
    double seconds = std::chrono::duration<double>(now - entry.at).count();
    entry.level = std::min(std::max(limit.burst, 1.0),
                           entry.level + seconds * limit.rate * (1 - reserved));
    entry.at = now;
    if (inserted && telemetry::allow(telemetry::decision::state))
        SHALLOTWOOD_LOG(info)
            << "event=rate_bucket_opened" << field("workspace", workspace)
            << field("level", entry.level) << field("rate", limit.rate)
            << field("reserved", reserved);
    return entry;
}

grant token_bucket_table::take(const std::string& workspace,
                               const rate_limit& limit, double reserved,
                               int wanted)
{
    auto& entry = refill(workspace, limit, reserved);
    grant given;
    given.tokens = std::clamp(static_cast<int>(std::floor(entry.level)), 0,
                              std::max(wanted, 0));
    entry.level -= given.tokens;
    if (given.tokens < wanted) {
        double missing = std::max(0.0, 1 - entry.level);
        auto wait = std::chrono::duration<double>(
            missing / std::max(limit.rate * (1 - reserved), 0.01));
        given.retry_after = std::max(
            min_retry_after, std::chrono::duration_cast<duration>(wait));
    }
    return given;
}

void token_bucket_table::return_tokens(const std::string& workspace,
                                       const rate_limit& limit, int tokens)
{
    auto& entry = refill(workspace, limit, 0);
    entry.level = std::min(std::max(limit.burst, 1.0), entry.level + tokens);
}

} // namespace shallotwood::process::rate
