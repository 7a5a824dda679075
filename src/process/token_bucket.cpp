#include "process/token_bucket.hpp"

#include "process/message_fields.hpp"

#include <algorithm>
#include <cmath>

namespace shallotwood::process
{

namespace
{

constexpr double one_token = 1e9;
constexpr token_bucket::nanotokens token = 1'000'000'000;
// A larger rate or burst is taken as this, so that products fit 64 bits.
constexpr double most_tokens = 1e9;
// Tokens ahead of demand are granted up to this part of the level, and while
// nodes hold less than half of the burst, so that a node whose requests wait
// is not refused for tokens that others only store.
constexpr token_bucket::nanotokens ahead_divisor = 4;
// Expected time until another node reports or returns tokens that it holds.
constexpr duration report_time = std::chrono::milliseconds(20);
constexpr duration longest_retry = std::chrono::hours(1);
constexpr std::uint64_t longest_validity_us = 3'600'000'000;
constexpr std::size_t max_node_bytes = 1024;

rate_limit bounded(rate_limit it)
{
    auto bound = [](double value) {
        return std::isfinite(value) ? std::clamp(value, 0.0, most_tokens) : 0.0;
    };
    return {bound(it.rate), bound(it.burst)};
}

token_bucket::nanotokens burst_of(const rate_limit& it)
{
    return static_cast<token_bucket::nanotokens>(it.burst * one_token);
}

} // namespace

token_bucket::token_bucket(rate_limit limit)
    : limit_(bounded(limit)), level_(burst_of(limit_)),
      refilled_(time_point::min())
{
}

token_bucket::token_bucket(rate_limit limit, time_point base)
    : limit_(bounded(limit)), refilled_(base)
{
}

void token_bucket::refill(time_point now)
{
    if (refilled_ == time_point::min())
        refilled_ = now;
    if (now <= refilled_)
        return;
    auto cap = std::max<nanotokens>(burst_of(limit_) - outstanding_, 0);
    auto seconds = std::chrono::duration<double>(now - refilled_).count();
    auto added = std::min(limit_.rate * seconds, most_tokens) * one_token;
    level_ = std::min(level_ + static_cast<nanotokens>(added), cap);
    refilled_ = now;
}

void token_bucket::advance(time_point now)
{
    while (!by_expiry_.empty() && by_expiry_.begin()->first <= now) {
        auto [when, node] = *by_expiry_.begin();
        by_expiry_.erase(by_expiry_.begin());
        refill(when);
        auto found = holders_.find(node);
        outstanding_ -=
            static_cast<nanotokens>(found->second.outstanding) * token;
        holders_.erase(found);
    }
    refill(now);
}

void token_bucket::set_limit(rate_limit limit, time_point now)
{
    auto next = bounded(limit);
    if (next == limit_)
        return;
    advance(now);
    limit_ = next;
    auto cap = std::max<nanotokens>(burst_of(limit_) - outstanding_, 0);
    level_ = std::min(level_, cap);
}

bool token_bucket::idle(time_point now)
{
    advance(now);
    return outstanding_ == 0 && level_ >= burst_of(limit_);
}

void token_bucket::settle(holder& it, const token_question& question)
{
    auto held = std::min(question.held, it.outstanding);
    auto freed = it.outstanding - held;
    auto returned = std::min(question.returned, freed);
    outstanding_ -= static_cast<nanotokens>(freed) * token;
    level_ += static_cast<nanotokens>(returned) * token;
    // A burst lowered since the grant must not be exceeded by returns.
    auto cap = std::max<nanotokens>(burst_of(limit_) - outstanding_, 0);
    level_ = std::min(level_, cap);
    it.outstanding = held;
}

std::optional<token_answer> token_bucket::ask(const token_question& it,
                                              time_point now, duration validity,
                                              std::size_t max_holders)
{
    advance(now);
    auto found = holders_.find(it.node);
    if (found == holders_.end()) {
        if (holders_.size() >= max_holders)
            return token_answer{0, report_time};
        found = holders_.emplace(it.node, holder{}).first;
    } else {
        if (it.sequence < found->second.sequence)
            return std::nullopt;
        if (it.sequence == found->second.sequence)
            return token_answer{found->second.granted, report_time};
        by_expiry_.erase({found->second.expires, it.node});
    }
    auto& asker = found->second;
    settle(asker, it);
    auto available = static_cast<std::uint64_t>(level_ / token);
    auto count = std::min(it.need, available);
    auto spare = static_cast<std::uint64_t>(
        (level_ - static_cast<nanotokens>(count) * token) / token /
        ahead_divisor);
    if (count == it.need && outstanding_ < burst_of(limit_) / 2)
        count += std::min(it.ahead, spare);
    level_ -= static_cast<nanotokens>(count) * token;
    outstanding_ += static_cast<nanotokens>(count) * token;
    asker.sequence = it.sequence;
    asker.granted = count;
    asker.outstanding += count;
    asker.expires = now + validity;
    by_expiry_.emplace(asker.expires, it.node);
    token_answer answer{count, {}, level_ >= burst_of(limit_) / 2};
    if (count < it.need)
        answer.retry_after =
            level_ + outstanding_ -
                        static_cast<nanotokens>(asker.outstanding) * token >=
                    token
                ? report_time
                : time_until(token, now);
    return answer;
}

duration token_bucket::time_until(nanotokens level, time_point now) const
{
    if (limit_.rate <= 0 || limit_.burst < 1)
        return longest_retry;
    auto missing = static_cast<double>(std::max<nanotokens>(level - level_, 0));
    auto seconds = missing / one_token / limit_.rate;
    if (seconds > std::chrono::duration<double>(longest_retry).count())
        return longest_retry;
    // Rounded up, or the token would be asked for just before it is there.
    return duration(static_cast<duration::rep>(seconds * 1e6) + 1) +
           std::max(refilled_ - now, duration(0));
}

Json::Value token_bucket::to_json(time_point now)
{
    advance(now);
    Json::Value out;
    out["level"] = Json::Int64(level_);
    // A base that lies ahead of now stays ahead by as much.
    out["wait_us"] =
        Json::UInt64(std::max<duration::rep>((refilled_ - now).count(), 0));
    out["holders"] = Json::Value(Json::arrayValue);
    for (const auto& [node, it] : holders_) {
        Json::Value item;
        item["node"] = node;
        item["sequence"] = Json::UInt64(it.sequence);
        item["granted"] = Json::UInt64(it.granted);
        item["outstanding"] = Json::UInt64(it.outstanding);
        item["left_us"] = Json::UInt64((it.expires - now).count());
        out["holders"].append(item);
    }
    return out;
}

std::optional<token_bucket> token_bucket::from_json(const Json::Value& value,
                                                    rate_limit limit,
                                                    time_point now)
{
    message_fields in(value);
    auto level = in.number("level", INT64_MAX);
    auto wait = in.number("wait_us", longest_validity_us);
    const auto& holders = in.list("holders", 1'000'000);
    token_bucket bucket(limit, now + duration(wait));
    for (const auto& item : holders) {
        message_fields fields(item);
        auto node = fields.text("node", max_node_bytes);
        holder it;
        it.sequence = fields.number("sequence");
        it.granted = fields.number("granted", 1'000'000'000);
        it.outstanding = fields.number("outstanding", 1'000'000'000);
        it.expires =
            now + duration(fields.number("left_us", longest_validity_us));
        if (!fields.valid() || bucket.holders_.count(node) != 0 ||
            bucket.outstanding_ > static_cast<nanotokens>(most_tokens) * token)
            return std::nullopt;
        bucket.outstanding_ += static_cast<nanotokens>(it.outstanding) * token;
        bucket.by_expiry_.emplace(it.expires, node);
        bucket.holders_.emplace(node, it);
    }
    if (!in.valid())
        return std::nullopt;
    auto cap =
        std::max<nanotokens>(burst_of(bucket.limit_) - bucket.outstanding_, 0);
    bucket.level_ = std::min(static_cast<nanotokens>(level), cap);
    return bucket;
}

} // namespace shallotwood::process
