// Finds out that this node has been cut off from everything that could tell it
// of a withdrawn key.
//
// A store that is down does not isolate a node: any other node that answers
// brings news of a change, as far as there is one. A node that hears neither
// can't know whether the keys that it accepts still hold, so after a limit it
// refuses requests that need one.
#pragma once

#include "process/event_loop.hpp"

namespace shallotwood::process::fleet
{

class isolation
{
public:
    isolation(const clock& time, duration limit)
        : clock_(time), limit_(limit), heard_(time.now())
    {
    }

    void set_limit(duration limit) { limit_ = limit; }

    // The store or another node has answered or sent something.
    void heard() { heard_ = clock_.now(); }

    // How long nothing was heard.
    duration silence() const { return clock_.now() - heard_; }
    bool isolated() const { return silence() > limit_; }

private:
    const clock& clock_;
    duration limit_;
    time_point heard_;
};

} // namespace shallotwood::process::fleet
