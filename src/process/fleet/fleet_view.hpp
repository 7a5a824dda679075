// This node's view of all instances, and the rule by which newer entries
// replace older ones.
//
// Bounded: max_instances entries; at the bound, the entry of a departed
// instance is evicted for a new one.
#pragma once

#include "process/fleet/instance.hpp"

#include <array>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace shallotwood::process::fleet
{

// 29,000 instances in 1,600 services, with room for replacements.
constexpr std::size_t max_instances = 40'000;

class fleet_view
{
public:
    // Entries are hashed by name into buckets with a digest each, so that two
    // views exchange only the buckets that differ. With 29,000 entries a bucket
    // has 230, about 50 KB.
    static constexpr std::size_t bucket_count = 128;
    using digests = std::array<std::uint64_t, bucket_count>;

    // An entry and its name, cached because building the name is costly.
    struct named_instance {
        const std::string* name = nullptr;
        const instance* it = nullptr;
    };

    explicit fleet_view(instance self);
    fleet_view(const fleet_view&) = delete;
    fleet_view& operator=(const fleet_view&) = delete;

    const instance& self() const { return self_; }
    // Changes the own entry under a new sequence; true if it changed.
    bool update_self(const std::function<void(instance&)>& change);

    // Merges an entry; true if it was newer. A newer entry of the own instance,
    // left by an earlier or unknown incarnation, raises the own incarnation
    // above it.
    bool learn(const instance& it);

    const instance* find(const std::string& name) const;
    // Including the own entry. Valid until the next change.
    const std::vector<named_instance>&
    instances_of(const std::string& service) const;
    std::vector<const instance*> all() const;
    std::size_t size() const { return others_.size() + 1; }
    // Incremented by each change, so that caches of the view can detect one.
    std::uint64_t revision() const { return revision_; }
    // Incremented when an instance joins, starts to leave, or returns.
    std::uint64_t membership() const { return membership_; }

    // Digest of all entries; equal views have equal digests.
    std::uint64_t digest() const { return digest_; }
    const digests& bucket_digests() const { return bucket_digests_; }
    std::vector<const instance*>
    entries_in(const std::set<std::size_t>& buckets) const;

    // `number` is below size() - 1, in no particular order; for random choice.
    const instance& other(std::size_t number) const
    {
        return *others_by_index_[number].it;
    }

private:
    // Called before and after each change of an entry.
    void remove_from_index(const std::string& name, const instance& it);
    void add_to_index(const std::string& name, const instance& it);
    bool evict_one_if_full();

    instance self_;
    const std::string self_name_;
    std::map<std::string, instance> others_;
    // Entries of others_.
    std::vector<named_instance> others_by_index_;
    // Entries of self_ and others_.
    std::unordered_map<std::string, std::vector<named_instance>> by_service_;
    std::uint64_t digest_ = 0;
    digests bucket_digests_{};
    std::uint64_t revision_ = 1;
    std::uint64_t membership_ = 1;
};

// Rendezvous (highest random weight) hashing: all nodes that know the same
// instances order them for a key in the same way, highest weight first.
std::uint64_t rendezvous_weight(const std::string& key,
                                const std::string& name);

} // namespace shallotwood::process::fleet
