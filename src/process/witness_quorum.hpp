// Majorities over the witnesses of a shard.
//
// While an owner replaces a witness, the old and the new set are in force
// together: the platform may hold either, so a lease or a copy needs a majority
// in both until the write is confirmed.
#pragma once

#include "process/shard_messages.hpp"

#include <map>
#include <set>

namespace shallotwood::process
{

class witness_quorum
{
public:
    explicit witness_quorum(std::vector<node_ref> witnesses)
        : current_(std::move(witnesses))
    {
    }

    const std::vector<node_ref>& current() const { return current_; }
    const std::optional<std::vector<node_ref>>& next() const { return next_; }

    // Adds a second set; confirm() makes it the only one, abandon() drops it.
    void propose(std::vector<node_ref> witnesses)
    {
        next_ = std::move(witnesses);
    }
    void confirm();
    void abandon() { next_.reset(); }

    // The witnesses of both sets.
    std::vector<node_ref> all() const;

    // True if these boots are a majority of each set.
    bool reached(const std::set<std::string>& boots) const;
    // True if they are a majority of the proposed set alone.
    bool next_reached(const std::set<std::string>& boots) const;

    // The witness promised to extend the lease that was asked for then.
    void acknowledge(const std::string& boot, time_point asked);
    std::optional<time_point> last_acknowledged(const std::string& boot) const;

    // End of the lease: the time of asking that a majority has acknowledged,
    // plus the term. Never ends without witnesses. The second set counts only
    // from when the write that names it may take effect.
    time_point lease_end(duration term, bool with_next) const;
    time_point next_lease_end(duration term) const;

private:
    time_point lease_end(const std::vector<node_ref>& set, duration term) const;

    std::vector<node_ref> current_;
    std::optional<std::vector<node_ref>> next_;
    std::map<std::string, time_point> acknowledged_;
};

} // namespace shallotwood::process
