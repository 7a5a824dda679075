// Chooses the nodes to which a node sends messages of the fleet, so that few
// cross failure domains.
//
// For each other domain, the first nodes of the own domain by rendezvous
// hashing (the speakers for that domain) compare views with it. All nodes that
// know the same instances agree on them; while views or reachability differ,
// some more or fewer nodes compare.
#pragma once

#include "process/fleet/fleet_view.hpp"
#include "process/random_source.hpp"
#include "process/sidecar/peer_channel.hpp"

#include <map>
#include <string>
#include <vector>

namespace shallotwood::process::sidecar
{

class domain_contacts
{
public:
    using instances = std::vector<const fleet::instance*>;
    enum class scope { fleet, failure_domain };

    // All referenced objects must outlive this one.
    domain_contacts(const fleet::fleet_view& fleet, random_source& random,
                    const peer_channel& links);

    // Up to `count` other nodes, chosen at random among those not known to be
    // unreachable. Like all results, valid until the next change of the view.
    instances random_nodes(std::size_t count, scope where) const;
    // Null if no node of the domain is reachable. A node that is leaving is
    // chosen only if no other one is reachable.
    const fleet::instance* random_node_of(const std::string& domain);
    // Up to `per_domain` random nodes of each other domain, `limit` in all.
    instances nodes_elsewhere(std::size_t per_domain, std::size_t limit);
    // The nodes of each other domain that fetch a policy for it, `limit` in
    // all.
    instances speakers_elsewhere(std::size_t limit);
    // Nodes with which this one compares its view now. Called once in each
    // period of comparisons. Includes a node of each other domain at times,
    // also if this node is not a speaker for it, so that its round trip is
    // measured.
    instances compared_nodes();
    // True if this node is the first of its domain to fetch a policy.
    bool is_first_speaker();

private:
    struct domain_nodes {
        // Other nodes of the domain.
        instances nodes;
        // Nodes of the domain, this one included, that come first for policies.
        std::vector<std::string> policy_speakers;
        // Nodes of the own domain that come first for comparisons with this
        // one.
        std::vector<std::string> comparers;
    };

    // The node of the domain with which this one compares now and then, always
    // the same one while it is reachable, so that one link stays open.
    const fleet::instance* measured_node(const std::string& domain);

    void update_domains();
    const fleet::instance* pick(const instances& from,
                                const instances& except = {}) const;
    bool present(const std::string& name) const;
    // True if this node is among the first `count` present ones, or if none of
    // them is present.
    bool is_among_first(const std::vector<std::string>& names,
                        std::size_t count) const;
    // Names of the other domains, in random order.
    std::vector<const std::string*> shuffled_domains() const;

    const fleet::fleet_view& fleet_;
    random_source& random_;
    const peer_channel& links_;
    const std::string self_name_;
    std::map<std::string, domain_nodes> domains_;
    // Membership of the view for which domains_ was computed.
    std::uint64_t membership_ = 0;
    // By domain.
    std::map<std::string, std::string> measured_;
    std::uint64_t periods_ = 0;
};

} // namespace shallotwood::process::sidecar
