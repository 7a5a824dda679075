// State of the backend server beside this node, as far as the node knows it.
//
// Does no I/O: takes announcements and observations, and returns whether they
// changed the state.
#pragma once

#include "process/sidecar/protocol_adapter.hpp"

#include <deque>
#include <optional>
#include <set>
#include <string>

namespace shallotwood::process::sidecar
{

class local_backend
{
public:
    enum class effect {
        // The state was already known.
        none,
        changed,
        // From an earlier incarnation or out of order; ignored.
        stale,
    };

    local_backend(std::string service, peer_address address)
        : service_(std::move(service)), address_(std::move(address))
    {
    }

    effect handle_announcement(const announcement& it);
    effect handle_departure(const departure& it);
    // What other nodes know from an earlier process of this node: a backend
    // server that had left, or drained, stays so.
    effect adopt_former(const fleet::instance& it);
    // Call when a response says that the backend server leaves.
    effect handle_leaving();
    // Call when nothing listens at the address.
    effect unreachable();
    // Without a valid announcement, the backend server takes no calls.
    effect set_confirmed(bool confirmed);
    // True if the announcement comes from a later incarnation although the
    // current one neither drained nor left.
    bool indicates_crash(const announcement& it) const;

    const std::string& id() const { return id_; }
    // Start time of this incarnation, by the platform's clock; an upper bound
    // if it left without naming it before it was known.
    std::uint64_t started_at_ms() const { return started_at_ms_; }
    // 0 until the backend server has announced itself.
    std::uint64_t key() const
    {
        return id_.empty() ? 0 : fleet::backend_key(id_, started_at_ms_);
    }
    const std::string& service() const { return service_; }
    const peer_address& address() const { return address_; }
    int slots() const { return slots_; }
    fleet::backend_state state() const { return state_; }
    bool has_left() const
    {
        return state_ == fleet::backend_state::draining ||
               state_ == fleet::backend_state::gone;
    }
    bool takes_calls() const
    {
        return state_ == fleet::backend_state::ready && !unreachable_ &&
               confirmed_;
    }
    // Announcements that were accepted of this incarnation.
    std::uint64_t announcements() const { return announcements_; }

private:
    bool departed_early(const announcement& it) const;

    std::string service_;
    peer_address address_;
    std::string id_;
    std::uint64_t started_at_ms_ = 0;
    std::uint64_t sequence_ = 0;
    int slots_ = 0;
    fleet::backend_state state_ = fleet::backend_state::unknown;
    bool unreachable_ = false;
    bool confirmed_ = true;
    std::uint64_t announcements_ = 0;
    // Of other ids than the current one, latest last. Their announcements may
    // still be on their way.
    std::deque<departure> early_departures_;
};

} // namespace shallotwood::process::sidecar
