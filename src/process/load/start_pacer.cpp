#include "process/load/start_pacer.hpp"

#include <algorithm>

namespace shallotwood::process::load
{

namespace
{

// Starts may come as early as this before their turn: a burst of a quarter of a
// second.
constexpr duration max_burst_time = std::chrono::milliseconds(250);

// Below this, a backend server would hardly get a request whose response can
// name another limit. In starts per second.
constexpr double min_rate = 0.5;

} // namespace

void start_pacer::set_rate(std::optional<double> per_second)
{
    rate_ = per_second;
    if (!rate_)
        return;
    rate_ = std::max(*rate_, min_rate);
    interval_ = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(1 / *rate_));
    tolerance_ = std::max(duration(0), max_burst_time - interval_);
}

void start_pacer::started(time_point now)
{
    if (rate_)
        next_ = std::max(next_, now) + interval_;
}

duration start_pacer::wait_for(std::size_t count, time_point now) const
{
    if (!rate_)
        return duration(0);
    auto further = interval_ * static_cast<duration::rep>(count - 1);
    return std::max(duration(0), next_ + further - tolerance_ - now);
}

} // namespace shallotwood::process::load
