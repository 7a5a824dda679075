// Fleet state that nodes exchange: one entry per instance, which is a node with
// its local backend server.
#pragma once

#include "process/event_loop.hpp"
#include "process/peer_transport.hpp"

#include <cstdint>
#include <json/json.h>
#include <optional>
#include <string>
#include <tuple>

namespace shallotwood::process::fleet
{

enum class backend_state {
    // Not announced yet.
    unknown,
    ready,
    draining,
    gone,
};

// Identifies one start of a backend server.
std::uint64_t backend_key(const std::string& backend_id,
                          std::uint64_t started_at_ms);

struct instance {
    // Address at which other nodes reach this one; identifies the instance.
    peer_address peer;
    std::string failure_domain;
    // Entries with a higher pair of incarnation and sequence replace lower
    // ones. Each start of a node has a higher incarnation than the one before;
    // each change that it makes to its entry has a higher sequence.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    // The node is shutting down and accepts no new calls.
    bool leaving = false;

    std::string service;
    // Id of the backend server; each start has a new id, or a later start time
    // under the same id.
    std::string backend_id;
    std::uint64_t backend_started_at_ms = 0;
    backend_state state = backend_state::unknown;
    int slots = 0;
    // Requests per second that the backend server takes while it is cold; 0 if
    // it is warm.
    double cold_rate = 0;

    std::uint64_t backend_key() const
    {
        return fleet::backend_key(backend_id, backend_started_at_ms);
    }
    std::string name() const
    {
        return peer.host + ':' + std::to_string(peer.port);
    }
    bool is_newer_than(const instance& other) const
    {
        return std::tie(incarnation, sequence) >
               std::tie(other.incarnation, other.sequence);
    }
    bool is_cold() const { return cold_rate > 0; }
    // Its backend server gets no further request.
    bool has_left() const
    {
        return state == backend_state::draining || state == backend_state::gone;
    }
    bool takes_calls() const
    {
        return !leaving && state == backend_state::ready;
    }

    auto fields() const
    {
        return std::tie(peer, failure_domain, incarnation, sequence, leaving,
                        service, backend_id, backend_started_at_ms, state,
                        slots, cold_rate);
    }
    friend bool operator==(const instance& a, const instance& b)
    {
        return a.fields() == b.fields();
    }
};

Json::Value to_json(const instance& it);
// Returns nullopt if a field is missing or has the wrong type. Never throws.
std::optional<instance> instance_from_json(const Json::Value& from);

std::string_view name_of(backend_state state);

} // namespace shallotwood::process::fleet
