#include "process/concurrency_limit.hpp"

#include <algorithm>
#include <cmath>

namespace shallotwood::process
{

namespace
{

// Fewer successes make the mean of a window too uncertain to compare: with 25
// the mean of exponential times is within 20% in two windows of three.
constexpr int least_successes = 25;
// Part by which a higher latency within the tolerance moves the normal one.
constexpr double drift = 0.1;
// Growth of a lowered limit in a window.
constexpr double growth = 1.05;

} // namespace

concurrency_limit::concurrency_limit(const clock& time, int slots)
    : clock_(time), slots_(std::max(slots, 1)), limit_(1)
{
    restart();
}

void concurrency_limit::restart()
{
    cold_ = true;
    limit_ = std::max(1, static_cast<int>(slots_ * cold_share));
    normal_ = 0;
    in_trial_ = false;
    settling_ = false;
    start_window();
}

void concurrency_limit::set_slots(int slots)
{
    slots = std::max(slots, 1);
    if (slots == slots_)
        return;
    bool full = limit_ == slots_ && !cold_;
    slots_ = slots;
    limit_ = full ? slots : std::min(limit_, slots);
    limit_before_ = std::min(limit_before_, slots);
}

void concurrency_limit::finished(bool success, duration own, int running)
{
    if (!success)
        return;
    if (cold_) {
        limit_ = std::min(limit_ + 1, slots_);
        cold_ = limit_ < slots_;
        start_window();
        return;
    }
    ++successes_;
    latency_sum_ += static_cast<double>(own.count());
    saturated_ = saturated_ || running >= limit_;
    auto elapsed = clock_.now() - window_start_;
    if (elapsed < window || successes_ < least_successes)
        return;
    measured it{latency_sum_ / successes_,
                successes_ / std::chrono::duration<double>(elapsed).count()};
    if (settling_)
        settling_ = false;
    else if (in_trial_)
        end_trial(it);
    else
        end_window(it);
    start_window();
}

void concurrency_limit::end_window(const measured& it)
{
    if (normal_ == 0 || it.latency < normal_) {
        normal_ = it.latency;
        return;
    }
    bool slow = it.latency > tolerance * normal_;
    if (!slow) {
        normal_ += drift * (it.latency - normal_);
        auto grown = static_cast<int>(std::ceil(limit_ * growth));
        limit_ = std::min(grown, slots_);
        return;
    }
    if (!saturated_ || limit_ == 1)
        return;
    in_trial_ = true;
    limit_before_ = limit_;
    before_ = it;
    change(std::max(1, static_cast<int>(limit_ * trial)));
}

void concurrency_limit::end_trial(const measured& it)
{
    in_trial_ = false;
    // Without full use of the lower limit nothing was learned from the trial.
    if (saturated_ && it.throughput >= kept_throughput * before_.throughput)
        return;
    if (saturated_)
        normal_ = before_.latency;
    change(limit_before_);
}

void concurrency_limit::change(int limit)
{
    limit_ = limit;
    settling_ = true;
}

void concurrency_limit::start_window()
{
    window_start_ = clock_.now();
    successes_ = 0;
    latency_sum_ = 0;
    saturated_ = false;
}

} // namespace shallotwood::process
