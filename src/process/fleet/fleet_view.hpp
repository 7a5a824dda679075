// The instances that this node knows, and the rule by which news replaces what
// is known.
//
// Bounded: max_instances entries; one of an instance that has left makes room
// for a new one.
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

// Of 29,000 instances in 1,600 services, with room for replacements.
constexpr std::size_t max_instances = 40'000;

class fleet_view
{
public:
    // Parts of the entries, by the hash of their names, with a digest each, so
    // that two views that differ exchange only the parts that do. A part of
    // 29,000 entries has 230, about 50 KB.
    static constexpr std::size_t bucket_count = 128;
    using digests = std::array<std::uint64_t, bucket_count>;

    // An entry and its name, which is costly to make.
    struct named_instance {
        const std::string* name = nullptr;
        const instance* it = nullptr;
    };

    explicit fleet_view(instance self);
    fleet_view(const fleet_view&) = delete;
    fleet_view& operator=(const fleet_view&) = delete;

    const instance& self() const { return self_; }
    // Changes the own entry under a new sequence; true if it did change.
    bool update_self(const std::function<void(instance&)>& change);

    // True if the entry is news. News about the own instance from an earlier
    // or doubtful incarnation raises the own incarnation above it.
    bool learn(const instance& it);

    const instance* find(const std::string& name) const;
    // Including the own entry. Valid until the next change.
    const std::vector<named_instance>&
    service_threshold(const std::string& service) const;
    std::vector<const instance*> all() const;
    std::size_t size() const { return others_.size() + 1; }
    // Counts changes; caches of what the view holds compare it.
    std::uint64_t revision() const { return revision_; }
    // Counts the times that an instance has come, is leaving, or is back.
    std::uint64_t membership() const { return membership_; }

    // One number for all entries; equal views have equal digests.
    std::uint64_t digest() const { return digest_; }
    const digests& bucket_digests() const { return bucket_digests_; }
    std::vector<const instance*>
    entries_in(const std::set<std::size_t>& parts) const;

    // By number, below size() - 1, in no order: for picking some at random.
    const instance& other(std::size_t number) const
    {
        return *others_by_index_[number].it;
    }

private:
    // Bracket each change of an entry.
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

// Order of the instances for a duty, the same at every node that knows the
// same instances: the highest of the hashes of key and name goes first.
std::uint64_t rendezvous_weight(const std::string& key,
                                const std::string& name);

} // namespace shallotwood::process::fleet
