// Read access to the list of members, for routing, rendezvous hashing and
// dissemination.
#pragma once

#include "process/peer_transport.hpp"

#include <functional>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace shallotwood::process
{

enum class member_state { active, leaving, suspect, dead };

// One node and the backend server that it runs beside.
struct member {
    std::string instance;
    // Raised only by the instance itself; a higher incarnation is newer.
    std::uint64_t incarnation = 0;
    // Empty while no backend server has announced itself.
    std::string service;
    // Where the node receives control messages.
    peer_address peer;
    // Where the node accepts calls from other nodes, at the same IP address.
    std::uint16_t http_port = 0;
    int slots = 0;
    std::string failure_domain;
    std::string region;
    member_state state = member_state::active;

    auto fields() const
    {
        return std::tie(instance, incarnation, service, peer, http_port, slots,
                        failure_domain, region, state);
    }
    friend bool operator==(const member& a, const member& b)
    {
        return a.fields() == b.fields();
    }
    friend bool operator!=(const member& a, const member& b)
    {
        return !(a == b);
    }
};

class member_view
{
public:
    virtual ~member_view() = default;

    // This node's own entry.
    virtual const member& self() const = 0;

    virtual std::optional<member> find(const std::string& instance) const = 0;

    // All members that are not dead, self included, ordered by instance.
    // Valid until the next change.
    virtual const std::vector<member>& members() const = 0;

    // Members of the service in state active or suspect, ordered by instance.
    virtual std::vector<member> serving(const std::string& service) const = 0;

    // Calls `on_change` with the new value of an entry after each change.
    // Listeners are never removed.
    virtual void
    listen(std::function<void(const member& changed)> on_change) = 0;
};

// The `count` instances with the highest rendezvous weight for the key among
// those for which `eligible` is true, highest first.
std::vector<member>
rendezvous_order(const std::vector<member>& members, const std::string& key,
                 std::size_t count,
                 const std::function<bool(const member&)>& eligible);

} // namespace shallotwood::process
