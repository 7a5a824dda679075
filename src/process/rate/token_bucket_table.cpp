#include "process/rate/token_bucket_table.hpp"

#include <algorithm>
#include <cmath>

namespace shallotwood::process::rate
{

namespace
{

// What a new home grants at once, in seconds of the rate. Two changes of a home
// within a window of 5 s then exceed the limit by less than a tenth.
constexpr double initial_level_seconds = 0.25;

// How long after the start of the whole fleet a bucket is the first one of its
// workspace. Later ones may follow a home that has ended.
constexpr duration initial_fill_window = std::chrono::seconds(12);

// The nodes of a new fleet have found each other by then; a later change of
// homes takes workspaces from homes that have granted.
constexpr duration fleet_discovery_time = std::chrono::seconds(3);

// Shortest time after which a refused caller may come back.
constexpr duration min_retry_after = std::chrono::milliseconds(50);

} // namespace

token_bucket_table::bucket&
token_bucket_table::refill(const std::string& workspace,
                           const rate_limit& limit, double reserved)
{
    auto now = clock_.now();
    auto [it, inserted] = buckets_.try_emplace(workspace);
    auto& of = it->second;
    if (inserted) {
        bool is_first = fleet_is_new_ && now - started_ < initial_fill_window &&
                        owners_stable_since_ - started_ < fleet_discovery_time;
        of.level = is_first ? std::max(1.0, limit.burst)
                            : std::max(1.0, limit.rate * initial_level_seconds);
        of.at = owners_stable_since_;
    }
    double seconds = std::chrono::duration<double>(now - of.at).count();
    of.level = std::min(std::max(limit.burst, 1.0),
                        of.level + seconds * limit.rate * (1 - reserved));
    of.at = now;
    return of;
}

grant token_bucket_table::take(const std::string& workspace,
                               const rate_limit& limit, double reserved,
                               int wanted)
{
    auto& of = refill(workspace, limit, reserved);
    grant given;
    given.tokens = std::clamp(static_cast<int>(std::floor(of.level)), 0,
                              std::max(wanted, 0));
    of.level -= given.tokens;
    if (given.tokens < wanted) {
        double missing = std::max(0.0, 1 - of.level);
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
    auto& of = refill(workspace, limit, 0);
    of.level = std::min(std::max(limit.burst, 1.0), of.level + tokens);
}

} // namespace shallotwood::process::rate
