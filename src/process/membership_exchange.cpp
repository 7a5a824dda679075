// Anti-entropy exchanges with one peer: first a digest of all entries, then a
// digest per bucket, then the entries of the buckets that differ.
#include "process/membership.hpp"

#include "process/keyed_hash.hpp"
#include "process/log.hpp"
#include "process/member_codec.hpp"

#include <algorithm>
#include <cstring>

namespace shallotwood::process
{

namespace
{

// An exchange that changed more than small_difference_entries, and more than
// one in partition_fraction of the live entries, indicates that a network
// partition has healed; the next exchange follows soon.
constexpr std::size_t partition_fraction = 50;
constexpr std::size_t small_difference_entries = 3;
// Exchanges at the short interval after joining: when many nodes start
// together, the first pages list only those that started earlier.
constexpr int exchanges_after_join = 5;

std::string bytes_of(const std::uint64_t* values, std::size_t count)
{
    std::string bytes;
    for (std::size_t n = 0; n < count; ++n) {
        for (int shift = 0; shift < 64; shift += 8)
            bytes.push_back(static_cast<char>(values[n] >> shift & 0xff));
    }
    return bytes;
}

} // namespace

void membership::tick_exchange()
{
    bool quick = quick_exchanges_left_ > 0;
    quick_exchanges_left_ -= quick ? 1 : 0;
    schedule_exchange(quick ? settings_.repair_exchange_period
                            : settings_.exchange_period);
    auto chosen = random_members(1);
    if (!chosen.empty())
        exchange_with(chosen[0].peer);
}

void membership::schedule_exchange(duration delay)
{
    if (next_exchange_)
        loop_.cancel(*next_exchange_);
    next_exchange_ = start_timer(delay, [this](bool) { tick_exchange(); });
}

void membership::exchange_with(const peer_address& to)
{
    if (to == self_.peer)
        return;
    Json::Value params;
    std::uint64_t sum = 0;
    for (auto it : digests_)
        sum += it;
    params["f"] = to_json(self_);
    params["kind"] = "digest";
    params["d"] = Json::UInt64(sum);
    transport_.send(to, "membership.exchange", params);
}

void membership::on_exchange(const peer_address& from,
                             const Json::Value& params)
{
    if (!params["kind"].isString())
        return;
    auto kind = params["kind"].asString();
    if (kind == "digest")
        answer_digest(from, params);
    else if (kind == "buckets")
        answer_buckets(from, params);
    else if (kind == "page")
        answer_page(from, params);
    else if (kind == "same")
        on_exchange_completed();
}

void membership::answer_digest(const peer_address& from,
                               const Json::Value& params)
{
    if (!params["d"].isUInt64())
        return;
    std::uint64_t sum = 0;
    for (auto it : digests_)
        sum += it;
    Json::Value answer;
    answer["f"] = to_json(self_);
    if (sum == params["d"].asUInt64()) {
        answer["kind"] = "same";
    } else {
        answer["kind"] = "buckets";
        answer["b"] = to_base64(bytes_of(digests_.data(), buckets));
    }
    transport_.send(from, "membership.exchange", answer);
}

void membership::answer_buckets(const peer_address& from,
                                const Json::Value& params)
{
    if (!params["b"].isString())
        return;
    auto theirs = from_base64(params["b"].asString());
    if (!theirs || theirs->size() != 8 * buckets)
        return;
    auto ours = bytes_of(digests_.data(), buckets);
    std::vector<std::size_t> differing;
    Json::Value answer;
    for (std::size_t n = 0; n < buckets; ++n) {
        if (ours.compare(8 * n, 8, *theirs, 8 * n, 8) == 0)
            continue;
        differing.push_back(n);
        answer["want"].append(Json::UInt(n));
    }
    if (differing.empty()) {
        on_exchange_completed();
        return;
    }
    bool complete = true;
    answer["f"] = to_json(self_);
    answer["kind"] = "page";
    answer["join"] = !joined_;
    if (joined_ && !view_is_stale_)
        answer["e"] = make_page(differing, max_page_bytes, complete);
    transport_.send(from, "membership.exchange", answer);
}

void membership::answer_page(const peer_address& from,
                             const Json::Value& params)
{
    auto changed = apply(params["e"], update_source::exchange);
    if (!params["want"].isArray()) {
        bool complete = params["whole"].isBool() && params["whole"].asBool();
        if (complete)
            on_exchange_completed();
        else if (!joined_)
            after(settings_.join_page_interval,
                  [this, from](bool) { exchange_with(from); });
        if (joined_ && (!complete || indicates_partition(changed)))
            schedule_exchange(settings_.repair_exchange_period);
        return;
    }
    if (indicates_partition(changed))
        schedule_exchange(settings_.repair_exchange_period);
    std::vector<std::size_t> wanted_buckets;
    for (const auto& it : params["want"]) {
        if (it.isUInt() && it.asUInt() < buckets &&
            wanted_buckets.size() < buckets)
            wanted_buckets.push_back(it.asUInt());
    }
    bool joins = params["join"].isBool() && params["join"].asBool();
    bool complete = true;
    Json::Value answer;
    answer["f"] = to_json(self_);
    answer["kind"] = "page";
    // After a pause, this node's entries are outdated.
    if (view_is_stale_ || (!joined_ && !joins))
        return;
    answer["e"] = make_page(
        wanted_buckets, joins ? max_join_page_bytes : max_page_bytes, complete);
    answer["whole"] = complete;
    transport_.send(from, "membership.exchange", answer);
}

// The entries of as many of the buckets as fit, in random order, so that
// truncated pages do not always omit the same buckets. Sent in any case: the
// first bucket that has entries.
Json::Value membership::make_page(std::vector<std::size_t> wanted_buckets,
                                  std::size_t limit, bool& complete)
{
    std::shuffle(wanted_buckets.begin(), wanted_buckets.end(),
                 random_.engine());
    std::vector<std::vector<const member*>> filled(buckets);
    for (const auto& it : members_)
        filled[bucket_of(it.instance, buckets)].push_back(&it);
    auto unsettled = loop_.now() - settings_.death_settle_time;
    for (auto it = dead_.lower_bound({unsettled, ""}); it != dead_.end(); ++it)
        filled[bucket_of(it->second, buckets)].push_back(entry_of(it->second));
    Json::Value entries(Json::arrayValue);
    std::size_t bytes = 0;
    for (auto bucket : wanted_buckets) {
        for (const auto* it : filled[bucket])
            bytes += estimated_json_bytes(*it);
        if (bytes > limit && !entries.empty()) {
            complete = false;
            return entries;
        }
        for (const auto* it : filled[bucket])
            entries.append(to_full_json(*it));
    }
    complete = true;
    return entries;
}

bool membership::indicates_partition(std::size_t changed) const
{
    return changed > small_difference_entries &&
           changed * partition_fraction > members_.size();
}

void membership::on_exchange_completed()
{
    view_is_stale_ = false;
    if (joined_)
        return;
    joined_ = true;
    quick_exchanges_left_ = exchanges_after_join;
    schedule_exchange(settings_.repair_exchange_period);
}

} // namespace shallotwood::process
