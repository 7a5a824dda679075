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

class isolation_detector
{
public:
    isolation_detector(const clock& time, duration limit)
        : clock_(time), limit_(limit), last_contact_(time.now())
    {
    }

    void set_limit(duration limit) { limit_ = limit; }

    // The store or another node has answered or sent something.
    void heard() { last_contact_ = clock_.now(); }

    // How long nothing was heard.
    duration time_since_contact() const { return clock_.now() - last_contact_; }
    bool isolated() const { return time_since_contact() > limit_; }

private:
    const clock& clock_;
    duration limit_;
    time_point last_contact_;
};

} // namespace shallotwood::process::fleet
