// Spaces out starts so that they stay within a rate and a small burst.
#pragma once

#include "process/event_loop.hpp"

#include <optional>

namespace shallotwood::process::load
{

// A limit of the starts on a backend server.
struct start_limit {
    double per_second = 0;
    // Starts that may be made at once; empty for the pacer's own bound.
    std::optional<double> max_burst;
};

class start_pacer
{
public:
    // Starts per second; nothing for no limit. The history of starts is kept,
    // so that setting the same rate again grants no second burst.
    void set_rate(std::optional<double> per_second);
    void set_limit(const std::optional<start_limit>& it);
    // The next start comes at least one interval after the last one, and those
    // that follow keep the interval until some time passes without a start.
    void drop_burst(time_point now);
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
    // The last start, whether it was limited or not.
    time_point last_{};
};

} // namespace shallotwood::process::load
