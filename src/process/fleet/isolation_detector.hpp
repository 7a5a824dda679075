// Detects that this node has lost contact with every source that could report a
// revoked API key.
//
// An outage of the store alone does not isolate a node, because any other
// reachable node passes changes on. A node without contact to either can't know
// whether the keys it accepts are still valid, so after a time limit it refuses
// requests that need a key.
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

    // Called when the store or another node has answered or sent a message.
    void record_contact() { last_contact_ = clock_.now(); }

    duration time_since_contact() const { return clock_.now() - last_contact_; }
    bool isolated() const { return time_since_contact() > limit_; }

private:
    const clock& clock_;
    duration limit_;
    time_point last_contact_;
};

} // namespace shallotwood::process::fleet
