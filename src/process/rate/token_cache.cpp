#include "process/rate/token_cache.hpp"

#include "process/log.hpp"
#include "process/telemetry/decision_log.hpp"

#include <algorithm>
#include <cmath>

namespace shallotwood::process::rate
{

namespace
{

// Unused tokens expire after this time.
constexpr duration token_validity = std::chrono::seconds(2);

// Tokens are prefetched for this many seconds of demand.
constexpr double prefetch_seconds = 0.15;

// Time constant of the moving average of the demand.
constexpr duration demand_time_constant = std::chrono::seconds(1);

// Consecutive timeouts after which a node uses its fallback share; a single
// response may just be late.
constexpr int max_timed_out_requests = 2;

// Retry-after time of a caller whose workspace is over its rate.
constexpr duration over_rate_retry_after = std::chrono::milliseconds(500);

} // namespace

token_cache::token_cache(const clock& time, token_source& source,
                         counters& counts)
    : clock_(time), source_(source),
      admitted_by_owner_(counts.at("rate_admitted", "source=\"owner\"")),
      admitted_by_fallback_(counts.at("rate_admitted", "source=\"fallback\"")),
      returned_(counts.at("rate_tokens_returned"))
{
}

token_cache::cached_tokens::cached_tokens() : demand(demand_time_constant) {}

bool token_cache::take_cached(cached_tokens& cached)
{
    if (cached.tokens <= 0 || clock_.now() > cached.tokens_valid_until)
        return false;
    --cached.tokens;
    ++admitted_by_owner_;
    return true;
}

void token_cache::acquire_token(const std::string& workspace,
                                const rate_limit& limit, decision done)
{
    if (limit.rate <= 0) {
        done(std::nullopt);
        return;
    }
    auto& cached = cached_tokens_[workspace];
    cached.demand.add(1, clock_.now());
    if (cached.waiting.empty() && take_cached(cached)) {
        done(std::nullopt);
        auto& after = cached_tokens_[workspace];
        auto prefetched =
            std::floor(after.demand.rate(clock_.now()) * prefetch_seconds);
        if (after.tokens < prefetched / 2)
            request_tokens(workspace, limit);
        return;
    }
    if (clock_.now() < cached.refused_until) {
        done(over_rate_retry_after);
        return;
    }
    cached.waiting.push_back(std::move(done));
    request_tokens(workspace, limit);
}

void token_cache::return_token(const std::string& workspace)
{
    if (auto it = cached_tokens_.find(workspace); it != cached_tokens_.end()) {
        ++returned_;
        ++it->second.tokens;
        it->second.tokens_valid_until = clock_.now() + token_validity;
    }
}

void token_cache::request_tokens(const std::string& workspace,
                                 const rate_limit& limit)
{
    auto& cached = cached_tokens_[workspace];
    if (cached.request_pending || clock_.now() < cached.refused_until)
        return;
    cached.request_pending = true;
    cached.requested_at = clock_.now();
    int wanted = static_cast<int>(cached.waiting.size()) +
                 static_cast<int>(cached.demand.rate(cached.requested_at) *
                                  prefetch_seconds);
    source_.request_tokens(
        workspace, wanted,
        [this, workspace, limit](std::optional<grant> given) {
            on_grant(workspace, limit, given);
        });
}

void token_cache::on_grant(const std::string& workspace,
                           const rate_limit& limit,
                           const std::optional<grant>& given)
{
    auto& cached = cached_tokens_[workspace];
    cached.request_pending = false;
    if (!given) {
        if (++cached.timed_out_requests == 1) {
            cached.fallback_at = clock_.now();
            cached.silent_since = cached.requested_at;
        }
        if (cached.timed_out_requests < max_timed_out_requests)
            request_tokens(workspace, limit);
        if (!cached.request_pending)
            serve_from_fallback(workspace, cached, limit);
        return;
    }
    if (cached.timed_out_requests >= max_timed_out_requests &&
        telemetry::allow(telemetry::decision::state))
        SHALLOTWOOD_LOG(info)
            << "event=rate_owner_regained" << field("workspace", workspace);
    cached.timed_out_requests = 0;
    report_spent(workspace, cached);
    auto now = clock_.now();
    if (now > cached.tokens_valid_until)
        cached.tokens = 0;
    cached.tokens += given->tokens;
    cached.tokens_valid_until = now + token_validity;
    if (given->retry_after > duration(0))
        cached.refused_until = now + given->retry_after;
    while (!cached.waiting.empty() && take_cached(cached))
        complete_first(cached, std::nullopt);
    if (given->retry_after > duration(0)) {
        while (!cached.waiting.empty())
            complete_first(cached, over_rate_retry_after);
    } else if (!cached.waiting.empty()) {
        // They arrived after the request was sent, and the owner has more.
        request_tokens(workspace, limit);
    }
}

void token_cache::complete_first(cached_tokens& cached,
                                 std::optional<duration> refused)
{
    auto done = std::move(cached.waiting.front());
    cached.waiting.pop_front();
    done(refused);
}

void token_cache::serve_from_fallback(const std::string& workspace,
                                      cached_tokens& cached,
                                      const rate_limit& limit)
{
    auto now = clock_.now();
    double part = source_.fallback_share();
    if (cached.timed_out_requests == max_timed_out_requests &&
        telemetry::allow(telemetry::decision::state))
        SHALLOTWOOD_LOG(warning)
            << "event=rate_owner_lost" << field("workspace", workspace)
            << field("share", part)
            << field("silence_us", (now - cached.silent_since).count());
    double most = std::max(1.0, limit.burst * part);
    double seconds =
        std::chrono::duration<double>(now - cached.fallback_at).count();
    cached.fallback_level =
        std::min(most, cached.fallback_level + seconds * limit.rate * part);
    cached.fallback_at = now;
    while (!cached.waiting.empty()) {
        bool allowed = cached.fallback_level >= 1;
        if (allowed) {
            cached.fallback_level -= 1;
            cached.unreported.add(1, now);
            ++admitted_by_fallback_;
        }
        complete_first(
            cached, allowed ? std::nullopt
                            : std::optional<duration>(over_rate_retry_after));
    }
}

void token_cache::report_spent(const std::string& workspace,
                               cached_tokens& cached)
{
    auto tokens = static_cast<int>(cached.unreported.value(clock_.now()));
    if (tokens < 1)
        return;
    cached.unreported.clear();
    source_.report_spent({workspace, tokens});
}

} // namespace shallotwood::process::rate
