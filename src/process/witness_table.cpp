#include "process/witness_table.hpp"

#include <algorithm>

namespace shallotwood::process
{

std::optional<witness_table::request>
witness_table::admit(const Json::Value& params)
{
    message_fields in(params);
    request it;
    it.id = static_cast<shard_id>(in.number("shard", settings_.shards - 1));
    it.epoch = in.number("epoch");
    auto id = in.number("id");
    auto asked_boot = in.text("boot", max_name_bytes);
    if (!in.valid())
        return std::nullopt;
    it.answer["shard"] = it.id;
    it.answer["epoch"] = Json::UInt64(it.epoch);
    it.answer["id"] = Json::UInt64(id);
    // The boot that was asked tells the sender which of its witnesses answers.
    it.answer["boot"] = asked_boot;
    if (asked_boot != boot_) {
        it.answer["result"] = "restarted";
        return it;
    }
    auto& state = shards_[it.id];
    if (it.epoch < state.epoch) {
        it.answer["result"] = "refused";
        it.answer["seen"] = Json::UInt64(state.epoch);
        return it;
    }
    state.epoch = it.epoch;
    it.accepted = true;
    it.answer["result"] = "ok";
    return it;
}

Json::Value witness_table::extend(const Json::Value& params)
{
    auto it = admit(params);
    if (!it)
        return {};
    if (it->accepted) {
        auto end = clock_.now() + settings_.lease_term + settings_.clock_margin;
        auto& state = shards_[it->id];
        state.lease_end = std::max(state.lease_end, end);
    }
    return it->answer;
}

Json::Value witness_table::fence(const Json::Value& params)
{
    message_fields in(params);
    auto cursor = in.text("cursor", max_entry_bytes);
    if (!in.valid())
        return {};
    auto it = admit(params);
    if (!it)
        return {};
    if (!it->accepted)
        return it->answer;
    const auto& state = shards_[it->id];
    auto left = std::max(state.lease_end - clock_.now(), duration(0));
    it->answer["remaining_us"] = Json::UInt64(left.count());
    add_page(state, cursor, it->answer);
    return it->answer;
}

void witness_table::add_page(const shard& in, const std::string& cursor,
                             Json::Value& answer) const
{
    auto now = clock_.now();
    answer["cursor"] = cursor;
    answer["entries"] = Json::Value(Json::arrayValue);
    std::size_t bytes = 0;
    // Keys are never empty, so an empty cursor begins with the first.
    auto next = in.copies.upper_bound(cursor);
    for (; next != in.copies.end(); ++next) {
        auto entry = next->second.entry;
        entry.lifetime = next->second.expires - now;
        bytes += size_of(entry);
        if (answer["entries"].size() >= max_page_entries ||
            (bytes > max_page_bytes && !answer["entries"].empty()))
            break;
        answer["entries"].append(to_json(entry));
        answer["next"] = next->first;
    }
    if (next == in.copies.end())
        answer.removeMember("next");
}

Json::Value witness_table::copy(const Json::Value& params)
{
    message_fields in(params);
    auto entries = entries_from_json(in.optional("entries"));
    if (!entries)
        return {};
    auto it = admit(params);
    if (!it)
        return {};
    if (!it->accepted)
        return it->answer;
    for (const auto& entry : *entries) {
        if (!store(shards_[it->id], entry))
            it->answer["result"] = "full";
    }
    return it->answer;
}

bool witness_table::store(shard& in, const shard_entry& it)
{
    auto found = in.copies.find(it.key);
    bool known = found != in.copies.end();
    if (known && !is_newer(it, found->second.entry))
        return true;
    // The older copy stays when there is no room for the newer.
    auto freed = known ? size_of(found->second.entry) : 0;
    if (!it.removed &&
        (it.key.empty() || count_ >= settings_.max_copies + (known ? 1 : 0) ||
         bytes_ - freed + size_of(it) > settings_.max_copy_bytes))
        return false;
    if (known)
        erase(in, found);
    if (it.removed)
        return true;
    ++count_;
    bytes_ += size_of(it);
    in.copies[it.key] = {it, clock_.now() + it.lifetime};
    return true;
}

void witness_table::erase(shard& in,
                          std::map<std::string, held_copy>::iterator it)
{
    --count_;
    bytes_ -= size_of(it->second.entry);
    in.copies.erase(it);
}

Json::Value witness_table::enlist(const Json::Value& params)
{
    message_fields in(params);
    auto id = static_cast<shard_id>(in.number("shard", settings_.shards - 1));
    auto version = in.number("version");
    auto instance = in.text("instance", max_name_bytes);
    if (!in.valid())
        return {};
    auto& state = shards_[id];
    state.enlisted_at = std::max(state.enlisted_at, version);
    Json::Value answer;
    answer["shard"] = id;
    answer["instance"] = instance;
    answer["boot"] = boot_;
    return answer;
}

void witness_table::dismiss(const Json::Value& params)
{
    message_fields in(params);
    auto id = static_cast<shard_id>(in.number("shard", settings_.shards - 1));
    auto version = in.number("version");
    auto asked_boot = in.text("boot", max_name_bytes);
    if (!in.valid() || asked_boot != boot_)
        return;
    auto& state = shards_[id];
    if (version <= state.enlisted_at)
        return;
    while (!state.copies.empty())
        erase(state, state.copies.begin());
}

void witness_table::expire(shard_id id)
{
    auto found = shards_.find(id);
    if (found == shards_.end())
        return;
    auto now = clock_.now();
    auto& state = found->second;
    for (auto it = state.copies.begin(); it != state.copies.end();) {
        auto next = std::next(it);
        if (it->second.expires <= now)
            erase(state, it);
        it = next;
    }
}

} // namespace shallotwood::process
