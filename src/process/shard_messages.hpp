// The values that nodes and the platform exchange about shards, and their JSON
// forms.
#pragma once

#include "process/message_fields.hpp"
#include "process/ownership.hpp"

#include <optional>

namespace shallotwood::process
{

// Entries in one message; a page is also limited in bytes.
constexpr std::size_t max_page_entries = 512;
constexpr std::size_t max_page_bytes = 200'000;
// An entry holds a recorded outcome, so it is larger than a body of 64 KB in
// base64.
constexpr std::size_t max_entry_bytes = 150'000;
constexpr std::size_t max_name_bytes = 1024;

// One start of a node.
struct node_ref {
    std::string instance;
    std::string boot;
    peer_address address;

    friend bool operator==(const node_ref& a, const node_ref& b)
    {
        return a.boot == b.boot && a.instance == b.instance &&
               a.address == b.address;
    }
};

Json::Value to_json(const node_ref& it);
std::optional<node_ref> node_from_json(const Json::Value& it);

// The value of the platform's object `shard/N`.
struct shard_object {
    std::uint64_t epoch = 0;
    // An empty instance if the last owner left without a successor.
    node_ref owner;
    std::vector<node_ref> witnesses;
    // True once the owner has excluded all earlier ones. Until then one of
    // them may still be acting, so the end of this owner proves nothing.
    bool settled = false;

    friend bool operator==(const shard_object& a, const shard_object& b)
    {
        return a.epoch == b.epoch && a.owner == b.owner &&
               a.witnesses == b.witnesses && a.settled == b.settled;
    }
};

std::string to_text(const shard_object& it);
std::optional<shard_object> parse_shard_object(const std::string& text);
std::optional<std::vector<node_ref>> nodes_from_json(const Json::Value& it);
Json::Value to_json(const std::vector<node_ref>& nodes);

Json::Value to_json(const shard_entry& it);
// Empty if any entry is malformed.
std::optional<std::vector<shard_entry>>
entries_from_json(const Json::Value& it);

std::size_t size_of(const shard_entry& it);

// Splits the entries into pages that fit a message.
std::vector<std::vector<shard_entry>> pages_of(std::vector<shard_entry> all);

// True if `a` is a newer state of the same key than `b`.
bool is_newer(const shard_entry& a, const shard_entry& b);

// The majority of a set of witnesses; 0 of none.
std::size_t majority(std::size_t witnesses);

} // namespace shallotwood::process
