// Spaces out starts so that they stay within a rate and a small burst.
#pragma once

#include "process/event_loop.hpp"

#include <optional>

namespace shallotwood::process::load
{

class start_pacer
{
public:
    // Starts per second; nothing for no limit. The history of starts is kept,
    // so that setting the same rate again grants no second burst.
    void set_rate(std::optional<double> per_second);
    std::optional<double> rate() const { return rate_; }

    bool may_start(time_point now) const
    {
        return wait_for(1, now).count() <= 0;
    }
    void started(time_point now);
    // Time until `count` further starts have been made.
    duration wait_for(std::size_t count, time_point now) const;

private:
    std::optional<double> rate_;
    // Time between two starts.
    duration interval_{};
    // A start may come so much before its turn.
    duration tolerance_{};
    // Turn of the next start.
    time_point next_{};
};

} // namespace shallotwood::process::load
