// The witness side of ownership: promises to owners and copies of their state.
//
// For each shard a witness keeps the highest epoch it has seen, the end of the
// last lease it promised, and the copies. It refuses every lower epoch. A
// request that names another boot was meant for an earlier start of this
// process, whose promises are lost; it is answered with "restarted" and
// changes nothing.
//
// Bounds: max_copies and max_copy_bytes over all shards; a copy beyond them is
// not acknowledged.
#pragma once

#include "process/shard_messages.hpp"

#include <map>

namespace shallotwood::process
{

class witness_table
{
public:
    witness_table(const clock& now, const ownership_settings& settings,
                  std::string boot)
        : clock_(now), settings_(settings), boot_(std::move(boot))
    {
    }

    // Each gives the answer, or null for a malformed request.
    Json::Value extend(const Json::Value& params);
    Json::Value fence(const Json::Value& params);
    Json::Value copy(const Json::Value& params);

    // A request to be a witness from a version of the object above `version`.
    Json::Value enlist(const Json::Value& params);

    // Drops the copies of a witness that the object does not name any more as
    // of `version`; ignored if it was enlisted again at that version or later.
    void dismiss(const Json::Value& params);

    // Drops copies whose lifetime has ended.
    void expire(shard_id id);

    std::size_t copies() const { return count_; }
    std::size_t bytes() const { return bytes_; }

private:
    struct held_copy {
        shard_entry entry;
        time_point expires;
    };
    struct shard {
        std::uint64_t epoch = 0;
        // No owner of an epoch below `epoch` holds a lease after this.
        time_point lease_end{};
        // Version of the object at the latest request to be a witness.
        std::uint64_t enlisted_at = 0;
        std::map<std::string, held_copy> copies;
    };
    struct request {
        shard_id id = 0;
        std::uint64_t epoch = 0;
        // False if another boot was asked or the epoch is too low.
        bool accepted = false;
        Json::Value answer;
    };

    // Reads the common fields and raises the epoch.
    std::optional<request> admit(const Json::Value& params);
    bool store(shard& in, const shard_entry& it);
    void add_page(const shard& in, const std::string& cursor,
                  Json::Value& answer) const;
    void erase(shard& in, std::map<std::string, held_copy>::iterator it);

    const clock& clock_;
    const ownership_settings& settings_;
    std::string boot_;
    std::map<shard_id, shard> shards_;
    std::size_t count_ = 0;
    std::size_t bytes_ = 0;
};

} // namespace shallotwood::process
