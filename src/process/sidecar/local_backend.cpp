#include "process/sidecar/local_backend.hpp"

#include <algorithm>

namespace shallotwood::process::sidecar
{

namespace
{

// Departures of backend servers that had not announced themselves. Few start
// at one address while a heartbeat may still be on its way.
constexpr std::size_t max_early_departures = 16;

// Latest start that the departure can mean.
std::uint64_t latest_start_of(const departure& it)
{
    return it.started_at_ms != 0 ? it.started_at_ms : it.arrived_at_ms;
}

} // namespace

using fleet::backend_state;

local_backend::effect local_backend::handle_announcement(const announcement& it)
{
    bool same = it.backend_id == id_ && it.started_at_ms == started_at_ms_;
    // Without a start time it can't be ordered; only a vacant place is taken.
    bool follows = it.started_at_ms == 0 && it.backend_id != id_ &&
                   state_ == backend_state::gone;
    bool earlier = it.started_at_ms < started_at_ms_ && !follows;
    if (earlier || (same && it.sequence <= sequence_) || departed_early(it))
        return effect::stale;
    // A backend server that has left stays gone until its next incarnation.
    if (same && state_ == backend_state::gone)
        return effect::stale;
    auto state = it.draining ? backend_state::draining : backend_state::ready;
    // A draining incarnation never becomes ready again.
    if (same && state_ == backend_state::draining)
        state = backend_state::draining;
    bool changed = !same || state != state_ || it.slots != slots_ ||
                   unreachable_ || it.address != address_ ||
                   it.service != service_;
    announcements_ = same ? announcements_ + 1 : 1;
    id_ = it.backend_id;
    started_at_ms_ = it.started_at_ms;
    sequence_ = it.sequence;
    slots_ = it.slots;
    service_ = it.service;
    address_ = it.address;
    state_ = state;
    unreachable_ = false;
    return changed ? effect::changed : effect::none;
}

bool local_backend::indicates_crash(const announcement& it) const
{
    return takes_calls() && it.started_at_ms > started_at_ms_;
}

bool local_backend::departed_early(const announcement& it) const
{
    return std::any_of(early_departures_.begin(), early_departures_.end(),
                       [&](const departure& early) {
                           return early.backend_id == it.backend_id &&
                                  it.started_at_ms <= latest_start_of(early);
                       });
}

local_backend::effect local_backend::handle_departure(const departure& it)
{
    bool known = it.backend_id == id_;
    if (!known && !id_.empty() && it.started_at_ms <= started_at_ms_) {
        // Either of an earlier start, or it has overtaken the announcements.
        if (early_departures_.size() == max_early_departures)
            early_departures_.pop_front();
        early_departures_.push_back(it);
        return effect::stale;
    }
    // Of an earlier start under the same id.
    if (it.started_at_ms != 0 && it.started_at_ms < started_at_ms_)
        return effect::stale;
    bool later = !known || it.started_at_ms > started_at_ms_;
    if (state_ == backend_state::gone && !later)
        return effect::none;
    id_ = it.backend_id;
    if (later)
        started_at_ms_ = latest_start_of(it);
    state_ = backend_state::gone;
    return effect::changed;
}

local_backend::effect local_backend::adopt_former(const fleet::instance& it)
{
    bool same =
        it.backend_id == id_ && it.backend_started_at_ms == started_at_ms_;
    bool later = it.backend_started_at_ms > started_at_ms_;
    if (!it.has_left() || it.backend_id.empty() ||
        (!same && !later && !id_.empty()) ||
        (same && (state_ == it.state || state_ == backend_state::gone)))
        return effect::none;
    id_ = it.backend_id;
    started_at_ms_ = it.backend_started_at_ms;
    state_ = it.state;
    return effect::changed;
}

local_backend::effect local_backend::handle_leaving()
{
    if (state_ != backend_state::ready)
        return effect::none;
    state_ = backend_state::draining;
    return effect::changed;
}

local_backend::effect local_backend::set_confirmed(bool confirmed)
{
    bool took_calls = takes_calls();
    confirmed_ = confirmed;
    return takes_calls() != took_calls ? effect::changed : effect::none;
}

local_backend::effect local_backend::unreachable()
{
    if (unreachable_ || state_ != backend_state::ready)
        return effect::none;
    unreachable_ = true;
    return effect::changed;
}

} // namespace shallotwood::process::sidecar
