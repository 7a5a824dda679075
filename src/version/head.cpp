#include "version/head.hpp"

#include "process/json_text.hpp"
#include "process/keyed_hash.hpp"
#include "version/plan.hpp"

#include <algorithm>
#include <cstdio>

namespace shallotwood::version
{

namespace
{

constexpr int head_format = 1;
constexpr int chunk_format = 1;
constexpr std::size_t hash_digits = 16;

// More than this version writes, so that a later one may raise its bound while
// older nodes still run.
constexpr std::size_t max_decoded_changes = 1024;

// Around the lists of a chunk, generously.
constexpr std::size_t chunk_frame_bytes = 256;

std::string hash_text(std::uint64_t hash)
{
    char buf[hash_digits + 1];
    std::snprintf(buf, sizeof buf, "%016llx",
                  static_cast<unsigned long long>(hash));
    return buf;
}

Json::Value to_json(const committed_change& it)
{
    Json::Value json(Json::objectValue);
    json["revision"] = Json::UInt64(it.revision);
    json["operation"] = it.operation;
    json["change"] = version::to_json(it.value);
    return json;
}

std::variant<committed_change, codec_error>
change_entry_from_json(const Json::Value& json)
{
    object_reader reader(json, "changes");
    committed_change it;
    it.revision = reader.integer("revision");
    it.operation = reader.text("operation", max_operation_bytes);
    if (!is_operation(it.operation))
        reader.fail("operation must be letters, digits, '-' and '_'");
    auto value = change_from_json(reader.object("change"));
    if (auto error = reader.finish())
        return std::move(*error);
    if (auto* error = std::get_if<codec_error>(&value))
        return std::move(*error);
    it.value = std::get<change>(std::move(value));
    return it;
}

snapshot_reference read_reference(object_reader& reader)
{
    snapshot_reference it;
    it.revision = reader.integer("revision");
    it.slot = reader.integer("slot");
    it.chunks = reader.integer("chunks");
    it.hash = reader.text("hash", hash_digits);
    if (it.slot >= snapshot_slots)
        reader.fail("slot is out of range");
    if (it.chunks > max_chunks || (it.chunks == 0) != (it.revision == 0))
        reader.fail("chunks is out of range");
    return it;
}

bool is_consistent(const head& it)
{
    // The order of the tests keeps the subtraction from wrapping.
    if (it.changes.size() > it.revision || it.snapshot.revision > it.revision ||
        it.revision - it.snapshot.revision > it.changes.size())
        return false;
    auto expected = it.revision - it.changes.size();
    return std::all_of(it.changes.begin(), it.changes.end(),
                       [&expected](const auto& entry) {
                           return entry.revision == ++expected;
                       });
}

Json::Value empty_chunk(std::uint64_t revision)
{
    Json::Value json(Json::objectValue);
    json["format"] = chunk_format;
    json["revision"] = Json::UInt64(revision);
    for (const auto* list : {"routes", "workspaces", "keys", "leaving"})
        json[list] = Json::Value(Json::arrayValue);
    return json;
}

std::vector<std::string> split(const configuration& of)
{
    std::vector<std::string> chunks;
    auto chunk = empty_chunk(of.revision);
    auto size = chunk_frame_bytes;
    entry_list(of).for_each([&](const char* list, const Json::Value& entry) {
        auto entry_size = process::write_json(entry).size() + 1;
        if (size + entry_size > max_chunk_bytes) {
            chunks.push_back(process::write_json(chunk));
            chunk = empty_chunk(of.revision);
            size = chunk_frame_bytes;
        }
        chunk[list].append(entry);
        size += entry_size;
    });
    chunks.push_back(process::write_json(chunk));
    return chunks;
}

} // namespace

std::string encode(const head& it)
{
    Json::Value json(Json::objectValue);
    json["format"] = head_format;
    write_position(json, "era", "revision", {it.era, it.revision});
    auto& snapshot = json["snapshot"];
    snapshot["revision"] = Json::UInt64(it.snapshot.revision);
    snapshot["slot"] = Json::UInt64(it.snapshot.slot);
    snapshot["chunks"] = Json::UInt64(it.snapshot.chunks);
    snapshot["hash"] = it.snapshot.hash;
    json["changes"] = Json::Value(Json::arrayValue);
    for (const auto& entry : it.changes)
        json["changes"].append(to_json(entry));
    return process::write_json(json);
}

std::variant<head, codec_error> decode_head(std::string_view text)
{
    auto json = text.size() > process::max_object_bytes
                    ? std::nullopt
                    : process::parse_json(text);
    if (!json)
        return codec_error{"head: not JSON, or too large"};
    object_reader reader(*json, "head");
    head it;
    if (reader.integer("format") != head_format)
        reader.fail("format is not known");
    it.era = reader.optional_integer("era");
    it.revision = reader.integer("revision");
    object_reader reference(reader.object("snapshot"), "snapshot");
    it.snapshot = read_reference(reference);
    for (const auto& entry : reader.list("changes", max_decoded_changes)) {
        auto result = change_entry_from_json(entry);
        if (auto* error = std::get_if<codec_error>(&result))
            return std::move(*error);
        it.changes.push_back(std::get<committed_change>(std::move(result)));
    }
    if (auto error = reference.finish())
        return std::move(*error);
    if (auto error = reader.finish())
        return std::move(*error);
    if (!is_consistent(it))
        return codec_error{"head: revisions are not consistent"};
    return it;
}

bool covers(const head& it, std::uint64_t revision)
{
    return revision <= it.revision &&
           it.revision - revision <= it.changes.size();
}

const committed_change* find_operation(const head& it,
                                       std::string_view operation)
{
    for (const auto& entry : it.changes) {
        if (entry.operation == operation)
            return &entry;
    }
    return nullptr;
}

head append(const head& base, const std::string& operation, const change& value)
{
    head next = base;
    ++next.revision;
    next.changes.push_back({next.revision, operation, value});
    if (next.changes.size() > max_head_changes) {
        auto surplus = next.changes.size() - max_head_changes;
        next.changes.erase(next.changes.begin(),
                           next.changes.begin() +
                               static_cast<std::ptrdiff_t>(surplus));
    }
    return next;
}

bool needs_snapshot(const head& base)
{
    return base.revision - base.snapshot.revision >= max_head_changes;
}

snapshot make_snapshot(const configuration& of,
                       const snapshot_reference& previous)
{
    snapshot it;
    it.chunks = split(of);
    std::uint64_t hash = 0;
    for (const auto& chunk : it.chunks)
        hash = process::stable_hash(chunk, hash);
    it.reference = {of.revision, (previous.slot + 1) % snapshot_slots,
                    it.chunks.size(), hash_text(hash)};
    return it;
}

std::string chunk_name(std::uint64_t slot, std::uint64_t index)
{
    return "configuration/snapshot/" + std::to_string(slot) + '/' +
           std::to_string(index);
}

std::uint64_t chunk_revision(std::string_view text)
{
    auto json = process::parse_json(text);
    if (!json || !json->isObject() || !(*json)["revision"].isUInt64())
        return 0;
    return (*json)["revision"].asUInt64();
}

snapshot_reader::snapshot_reader(snapshot_reference reference)
    : reference_(std::move(reference))
{
}

std::optional<codec_error> snapshot_reader::add(std::string_view chunk)
{
    auto json = process::parse_json(chunk);
    if (!json)
        return codec_error{"snapshot: not JSON"};
    object_reader reader(*json, "snapshot");
    if (reader.integer("format") != chunk_format)
        reader.fail("format is not known");
    if (reader.integer("revision") != reference_.revision)
        reader.fail("another revision");
    if (reader.failed())
        return reader.finish();
    hash_ = process::stable_hash(chunk, hash_);
    ++added_;
    return entries_.add(reader);
}

std::variant<configuration, codec_error> snapshot_reader::finish()
{
    if (reference_.chunks == 0)
        return configuration{};
    if (added_ != reference_.chunks || hash_text(hash_) != reference_.hash)
        return codec_error{"snapshot: not the one that the head refers to"};
    return entries_.finish(reference_.revision);
}

std::variant<configuration, codec_error> catch_up(configuration base,
                                                  const head& to)
{
    if (!covers(to, base.revision))
        return codec_error{"head: does not list the changes after revision " +
                           std::to_string(base.revision)};
    for (const auto& entry : to.changes) {
        if (entry.revision <= base.revision)
            continue;
        auto next = apply(std::move(base), entry.value);
        if (auto* error = std::get_if<apply_error>(&next))
            return codec_error{"revision " + std::to_string(entry.revision) +
                               ": " + error->message};
        base = std::get<configuration>(std::move(next));
    }
    base.era = to.era;
    return base;
}

} // namespace shallotwood::version
