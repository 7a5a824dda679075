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
    set_limit(per_second ? std::optional<start_limit>({*per_second, {}})
                         : std::nullopt);
}

void start_pacer::set_limit(const std::optional<start_limit>& it)
{
    rate_.reset();
    if (!it)
        return;
    rate_ = std::max(it->per_second, min_rate);
    interval_ = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(1 / *rate_));
    tolerance_ = std::max(duration(0), max_burst_time - interval_);
    if (it->max_burst)
        tolerance_ = std::min(
            tolerance_, std::chrono::duration_cast<duration>(
                            interval_ * std::max(0.0, *it->max_burst - 1)));
}

void start_pacer::drop_burst(time_point now)
{
    next_ = std::max(next_, std::max(now, last_ + interval_) + tolerance_);
}

void start_pacer::started(time_point now)
{
    last_ = now;
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
