// The failure domains that the operator has evacuated, and the rule by which a
// newer set replaces an older one.
//
// Sets are ordered by where they were read in the store's history, so that all
// nodes end with the same one in whatever order they learn them.
#pragma once

#include <cstdint>
#include <functional>
#include <json/json.h>
#include <optional>
#include <set>
#include <string>
#include <tuple>

namespace shallotwood::process::fleet
{

// Largest set, and longest name in bytes, that is taken from the store or from
// another node. The set is part of each message of the fleet exchange.
constexpr std::size_t max_evacuated_domains = 1000;
constexpr std::size_t max_domain_bytes = 256;

// Point in the store's history. A store that is restored from a copy enters a
// higher era, in which revisions are given out again.
struct evacuation_position {
    std::uint64_t era = 0;
    std::uint64_t revision = 0;

    auto fields() const { return std::tie(era, revision); }
    friend bool operator==(const evacuation_position& a,
                           const evacuation_position& b)
    {
        return a.fields() == b.fields();
    }
    friend bool operator<(const evacuation_position& a,
                          const evacuation_position& b)
    {
        return a.fields() < b.fields();
    }
};

class evacuation_set
{
public:
    evacuation_set(evacuation_position position, std::set<std::string> domains)
        : position_(position), domains_(std::move(domains))
    {
    }

    const evacuation_position& position() const { return position_; }
    const std::set<std::string>& domains() const { return domains_; }

    friend bool operator==(const evacuation_set& a, const evacuation_set& b)
    {
        return a.position_ == b.position_ && a.domains_ == b.domains_;
    }
    friend bool operator!=(const evacuation_set& a, const evacuation_set& b)
    {
        return !(a == b);
    }

private:
    evacuation_position position_;
    std::set<std::string> domains_;
};

Json::Value to_json(const evacuation_set& it);
// Returns nullopt if a field is missing, has the wrong type, or is too large.
// Never throws.
std::optional<evacuation_set> evacuation_set_from_json(const Json::Value& from);

// What a newer set changes.
struct evacuation_change {
    std::set<std::string> evacuated;
    std::set<std::string> restored;

    bool empty() const { return evacuated.empty() && restored.empty(); }
};

class evacuations
{
public:
    // Called with the first set, and then with each set that differs in its
    // domains.
    using listener = std::function<void(const evacuation_change&)>;

    explicit evacuations(listener changed) : changed_(std::move(changed)) {}

    // Keeps the set if its position is newer; returns whether it was.
    bool learn(const evacuation_set& it);

    // Empty until a set is known.
    const std::optional<evacuation_set>& current() const { return current_; }
    bool contains(const std::string& domain) const
    {
        return current_ && current_->domains().count(domain) != 0;
    }

private:
    listener changed_;
    std::optional<evacuation_set> current_;
};

} // namespace shallotwood::process::fleet
