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

// A substitute that nobody has contradicted for this time counts as the owner.
constexpr duration substitute_trial_time = std::chrono::seconds(10);

// How often the process is checked for a pause, and the shortest pause after
// which other nodes may have granted tokens in its place.
constexpr duration check_period = std::chrono::milliseconds(500);
constexpr duration min_pause = std::chrono::milliseconds(1500);

// Lower bound of the retry-after time of a refused caller.
constexpr duration min_retry_after = std::chrono::milliseconds(50);

} // namespace

token_bucket_table::token_bucket_table(event_loop& loop, bool fleet_is_new)
    : loop_(loop), fleet_is_new_(fleet_is_new), started_(loop.now()),
      owners_stable_since_(loop.now()), checked_at_(loop.now())
{
    check_periodically();
}

token_bucket_table::~token_bucket_table()
{
    loop_.cancel(check_timer_);
}

std::vector<spent_tokens> token_bucket_table::owners_changed(
    const std::function<bool(const std::string&)>& owned)
{
    auto now = loop_.now();
    owners_stable_since_ = now;
    std::vector<spent_tokens> closed;
    for (const auto& [workspace, entry] : buckets_)
        if (!owned(workspace))
            closed.push_back(
                {workspace, static_cast<int>(entry.granted.value(now))});
    for (const auto& it : closed) {
        if (telemetry::allow(telemetry::decision::state))
            SHALLOTWOOD_LOG(info)
                << "event=rate_bucket_closed"
                << field("workspace", it.workspace)
                << field("level", buckets_.at(it.workspace).level)
                << field("granted", it.tokens);
        buckets_.erase(it.workspace);
    }
    return closed;
}

void token_bucket_table::check_periodically()
{
    skip_pause();
    check_timer_ =
        loop_.call_after(check_period, [this] { check_periodically(); });
}

void token_bucket_table::skip_pause()
{
    auto now = loop_.now();
    if (auto pause = now - checked_at_; pause > min_pause)
        for (auto& [workspace, entry] : buckets_)
            entry.at = std::min(entry.at + pause, now);
    checked_at_ = now;
}

void token_bucket_table::open(bucket& entry, const std::string& workspace,
                              const rate_limit& limit, double reserved) const
{
    auto now = loop_.now();
    bool is_first = fleet_is_new_ && now - started_ < initial_fill_window &&
                    owners_stable_since_ - started_ < fleet_discovery_time;
    double initial =
        is_first ? limit.burst : limit.rate * initial_level_seconds;
    entry.level = std::max(1.0, initial * (1 - reserved));
    entry.at = owners_stable_since_;
    entry.opened_at = now;
    if (telemetry::allow(telemetry::decision::state))
        SHALLOTWOOD_LOG(info)
            << "event=rate_bucket_opened" << field("workspace", workspace)
            << field("level", entry.level) << field("rate", limit.rate)
            << field("reserved", reserved)
            << field("since_us", (now - entry.at).count());
}

token_bucket_table::bucket&
token_bucket_table::refill(const std::string& workspace,
                           const rate_limit& limit, const grant_terms& terms)
{
    skip_pause();
    auto now = loop_.now();
    auto [it, inserted] = buckets_.try_emplace(workspace);
    auto& entry = it->second;
    if (inserted)
        open(entry, workspace, limit, terms.reserved);
    double part = 1 - terms.reserved;
    double seconds = std::chrono::duration<double>(now - entry.at).count();
    double refilled = entry.level + seconds * limit.rate * part;
    double full = std::max(1.0, limit.burst * part);
    if (terms.substitute && now - entry.opened_at < substitute_trial_time)
        entry.level = std::min(
            refilled, std::max(1.0, limit.rate * initial_level_seconds * part));
    else if (entry.level < full)
        entry.level = std::min(full, refilled);
    else
        entry.level = std::min(entry.level, std::max(1.0, limit.burst));
    entry.at = now;
    return entry;
}

grant token_bucket_table::take(const std::string& workspace,
                               const rate_limit& limit,
                               const grant_terms& terms, int wanted)
{
    auto& entry = refill(workspace, limit, terms);
    grant given;
    if (wanted <= 0)
        return given;
    given.tokens =
        std::clamp(static_cast<int>(std::floor(entry.level)), 0, wanted);
    entry.level -= given.tokens;
    entry.granted.add(given.tokens, loop_.now());
    if (given.tokens < wanted) {
        double missing = std::max(0.0, 1 - entry.level);
        auto wait = std::chrono::duration<double>(
            missing / std::max(limit.rate * (1 - terms.reserved), 0.01));
        given.retry_after = std::max(
            min_retry_after, std::chrono::duration_cast<duration>(wait));
    }
    return given;
}

void token_bucket_table::charge(const spent_tokens& it, const rate_limit& limit,
                                const grant_terms& terms)
{
    auto& entry = refill(it.workspace, limit, terms);
    // A new owner granted nothing while these tokens were spent.
    bool is_new = loop_.now() - entry.opened_at < unreported_time;
    double least = is_new ? std::min(entry.level, 0.0)
                          : std::min(entry.level, -limit.burst);
    entry.level = std::max(least, entry.level - it.tokens);
}

} // namespace shallotwood::process::rate
