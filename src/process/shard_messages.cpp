#include "process/shard_messages.hpp"

#include "process/json_text.hpp"
#include <tuple>

namespace shallotwood::process
{

namespace
{

// Nodes in one list: more than any setting of `witnesses` that makes sense.
constexpr std::size_t max_nodes = 16;
// A year; keeps sums of durations far from overflow.
constexpr std::uint64_t max_lifetime_ms = 31'536'000'000;

std::uint64_t milliseconds_of(duration it)
{
    // Rounded up: a copy may outlive the original, never the reverse.
    auto count = (it.count() + 999) / 1000;
    return count < 0 ? 0 : static_cast<std::uint64_t>(count);
}

} // namespace

Json::Value to_json(const node_ref& it)
{
    Json::Value out;
    out["instance"] = it.instance;
    out["boot"] = it.boot;
    out["host"] = it.address.host;
    out["port"] = it.address.port;
    return out;
}

std::optional<node_ref> node_from_json(const Json::Value& it)
{
    message_fields in(it);
    node_ref node;
    node.instance = in.text("instance", max_name_bytes);
    node.boot = in.text("boot", max_name_bytes);
    node.address.host = in.text("host", max_name_bytes);
    node.address.port =
        static_cast<std::uint16_t>(in.number("port", UINT16_MAX));
    if (!in.valid())
        return std::nullopt;
    return node;
}

Json::Value to_json(const std::vector<node_ref>& nodes)
{
    Json::Value out(Json::arrayValue);
    for (const auto& it : nodes)
        out.append(to_json(it));
    return out;
}

std::optional<std::vector<node_ref>> nodes_from_json(const Json::Value& it)
{
    if (!it.isArray() || it.size() > max_nodes)
        return std::nullopt;
    std::vector<node_ref> nodes;
    for (const auto& item : it) {
        auto node = node_from_json(item);
        if (!node)
            return std::nullopt;
        nodes.push_back(std::move(*node));
    }
    return nodes;
}

std::string to_text(const shard_object& it)
{
    Json::Value out;
    out["epoch"] = Json::UInt64(it.epoch);
    out["owner"] = to_json(it.owner);
    out["witnesses"] = to_json(it.witnesses);
    out["earlier"] = to_json(it.earlier);
    return write_json(out);
}

std::optional<shard_object> parse_shard_object(const std::string& text)
{
    auto parsed = parse_json(text);
    if (!parsed)
        return std::nullopt;
    message_fields in(*parsed);
    shard_object it;
    it.epoch = in.number("epoch");

    auto owner = node_from_json(in.optional("owner"));
    auto witnesses = nodes_from_json(in.optional("witnesses"));
    auto earlier = nodes_from_json(in.optional("earlier"));
    if (!in.valid() || !owner || !witnesses || !earlier)
        return std::nullopt;
    it.earlier = std::move(*earlier);
    it.owner = std::move(*owner);
    it.witnesses = std::move(*witnesses);
    return it;
}

Json::Value to_json(const shard_entry& it)
{
    Json::Value out;
    out["k"] = it.key;
    out["e"] = Json::UInt64(it.epoch);
    out["s"] = Json::UInt64(it.sequence);
    out["l"] = Json::UInt64(milliseconds_of(it.lifetime));
    if (it.removed)
        out["r"] = true;
    else
        out["v"] = it.value;
    return out;
}

std::optional<std::vector<shard_entry>>
entries_from_json(const Json::Value& list)
{
    if (!list.isArray() || list.size() > max_page_entries)
        return std::nullopt;
    std::vector<shard_entry> entries;
    for (const auto& item : list) {
        message_fields in(item);
        shard_entry it;
        it.key = in.text("k", max_entry_bytes);
        it.epoch = in.number("e");
        it.sequence = in.number("s");
        it.lifetime =
            std::chrono::milliseconds(in.number("l", max_lifetime_ms));
        it.removed = !in.optional("r").isNull();
        if (!it.removed)
            it.value = in.text("v", max_entry_bytes);
        if (!in.valid())
            return std::nullopt;
        entries.push_back(std::move(it));
    }
    return entries;
}

std::size_t size_of(const shard_entry& it)
{
    // Field names and numbers of the JSON form take about 64 bytes.
    return it.key.size() + it.value.size() + 64;
}

std::vector<std::vector<shard_entry>> pages_of(std::vector<shard_entry> all)
{
    std::vector<std::vector<shard_entry>> pages;
    std::size_t bytes = 0;
    for (auto& it : all) {
        if (pages.empty() || pages.back().size() >= max_page_entries ||
            bytes + size_of(it) > max_page_bytes) {
            pages.emplace_back();
            bytes = 0;
        }
        bytes += size_of(it);
        pages.back().push_back(std::move(it));
    }
    return pages;
}

bool is_newer(const shard_entry& a, const shard_entry& b)
{
    return std::tie(a.epoch, a.sequence) > std::tie(b.epoch, b.sequence);
}

std::size_t majority(std::size_t witnesses)
{
    return witnesses == 0 ? 0 : witnesses / 2 + 1;
}

} // namespace shallotwood::process
