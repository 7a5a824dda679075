// The stored form of the configuration: the object `configuration/head` and the
// snapshot objects that it refers to.
//
// The configuration of the head's revision is its snapshot plus the changes
// after the snapshot. A snapshot is split into chunks. The platform deletes
// nothing, so that snapshots take turns in a fixed number of slots:
//
// - A snapshot is written to the slot after the head's, before a head refers to
//   it, so the slot in use is never written.
// - A snapshot holds a committed revision, so that all who write that revision
//   write the same bytes; a chunk is replaced only by one of a higher revision.
//   A writer that paused can therefore not damage a newer snapshot.
// - A reader that is overtaken sees it by the chunk's revision or the hash, and
//   reads the head again.
#pragma once

#include "process/object_store.hpp"
#include "version/codec.hpp"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace shallotwood::version
{

inline const std::string head_name = "configuration/head";

// Each watcher of the head reads all of it after every change. At 177 bytes for
// a key, the most frequent long change, 16 of them make 3 KB, which at the mean
// of 1.04 changes a second leaves most of a node's budget of 8 KB/s to gossip.
constexpr std::size_t max_head_changes = 16;

// A slot is written again after this many snapshots, at least
// 4 x max_head_changes commits later, which is the time that a slow reader has.
constexpr std::uint64_t snapshot_slots = 4;

// Chunks are read one at a time, so this bounds the memory for reading a
// snapshot. Half of max_object_bytes leaves room for the longest entry.
constexpr std::size_t max_chunk_bytes = process::max_object_bytes / 2;

// All counts of change.hpp at their bounds, with the longest names, make 39
// chunks.
constexpr std::uint64_t max_chunks = 64;

struct committed_change {
    std::uint64_t revision = 0;
    // Of the plan; see plan::operation.
    std::string operation;
    change value;

    friend bool operator==(const committed_change& a, const committed_change& b)
    {
        return a.revision == b.revision && a.operation == b.operation &&
               a.value == b.value;
    }
};

// Revision 0 is the empty configuration, without chunks.
struct snapshot_reference {
    std::uint64_t revision = 0;
    std::uint64_t slot = 0;
    std::uint64_t chunks = 0;
    // Over the texts of all chunks.
    std::string hash;

    friend bool operator==(const snapshot_reference& a,
                           const snapshot_reference& b)
    {
        return std::tie(a.revision, a.slot, a.chunks, a.hash) ==
               std::tie(b.revision, b.slot, b.chunks, b.hash);
    }
};

struct head {
    // Of the platform, when the last change was committed; 0 if unknown.
    std::uint64_t era = 0;
    std::uint64_t revision = 0;
    snapshot_reference snapshot;
    // The most recent ones, at most max_head_changes, in order and without
    // gaps up to `revision`; at least those after the snapshot.
    std::vector<committed_change> changes;

    friend bool operator==(const head& a, const head& b)
    {
        return std::tie(a.era, a.revision, a.snapshot, a.changes) ==
               std::tie(b.era, b.revision, b.snapshot, b.changes);
    }
};

std::string encode(const head& it);
std::variant<head, codec_error> decode_head(std::string_view text);

// True if the head lists every change after `revision`, so that whoever has
// that revision of the same era needs no snapshot.
bool covers(const head& it, std::uint64_t revision);

// The change with this operation id, or null.
const committed_change* find_operation(const head& it,
                                       std::string_view operation);

// The head that follows in the same era, without a new snapshot.
head append(const head& base, const std::string& operation,
            const change& value);

// True if a commit after this head must write a snapshot first.
bool needs_snapshot(const head& base);

struct snapshot {
    snapshot_reference reference;
    // The values of the chunk objects.
    std::vector<std::string> chunks;
};

// Split into chunks for the slot after `previous`.
snapshot make_snapshot(const configuration& of,
                       const snapshot_reference& previous);

std::string chunk_name(std::uint64_t slot, std::uint64_t index);

// The revision of the snapshot that the chunk belongs to; 0 if malformed.
std::uint64_t chunk_revision(std::string_view text);

// Puts a snapshot together from its chunks, in order.
class snapshot_reader
{
public:
    explicit snapshot_reader(snapshot_reference reference);

    std::optional<codec_error> add(std::string_view chunk);
    // After all chunks.
    std::variant<configuration, codec_error> finish();

private:
    snapshot_reference reference_;
    std::uint64_t added_ = 0;
    std::uint64_t hash_ = 0;
    entry_reader entries_;
};

// Applies the changes after the configuration's revision, and sets the era.
// Fails if one does not apply, or if the head does not cover the revision.
std::variant<configuration, codec_error> catch_up(configuration base,
                                                  const head& to);

} // namespace shallotwood::version
