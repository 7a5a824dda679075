// Sum of events whose weight decays exponentially with their age.
#pragma once

#include "process/event_loop.hpp"

#include <cmath>

namespace shallotwood::process::rate
{

class decaying_sum
{
public:
    explicit decaying_sum(duration time_constant)
        : time_constant_(time_constant)
    {
    }

    void add(double amount, time_point now)
    {
        value_ = value(now) + amount;
        at_ = now;
    }

    void clear() { value_ = 0; }

    double value(time_point now) const
    {
        using seconds = std::chrono::duration<double>;
        return value_ * std::exp(-seconds(now - at_) / seconds(time_constant_));
    }

    // Events per second, for events added with weight 1.
    double rate(time_point now) const
    {
        return value(now) /
               std::chrono::duration<double>(time_constant_).count();
    }

private:
    duration time_constant_;
    double value_ = 0;
    time_point at_{};
};

} // namespace shallotwood::process::rate
