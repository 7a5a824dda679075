#include "process/concurrency_limit.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace shallotwood::process
{

namespace
{

// Fewer successes make the mean of a window too uncertain to compare: with 100
// the mean of exponential times is within 10% in two windows of three.
constexpr int min_successes = 100;
// Successes after which a ramp is judged: few, because the limit doubles in as
// many as it started with.
constexpr int ramp_successes = 25;
// Wider than the tolerance for the same reason.
constexpr double ramp_tolerance = 2.5;
// Weight with which a higher latency within the tolerance moves the baseline.
constexpr double baseline_drift = 0.01;
// Latency relative to the baseline below which a lowered limit grows, and its
// growth factor per window. A limit that grew up to the tolerance would raise
// the baseline along with it, and end up where it was before the trial.
constexpr double growth_latency_ratio = 1.25;
constexpr double growth_factor = 1.05;

} // namespace

concurrency_limit::concurrency_limit(const clock& time, int slots)
    : clock_(time), slots_(std::max(slots, 1)), limit_(1)
{
    restart();
}

void concurrency_limit::restart()
{
    cold_ = true;
    limit_ = std::max(1, static_cast<int>(slots_ * initial_limit_share));
    baseline_latency_ = 0;
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
    ++successes_;
    latency_sum_ += static_cast<double>(own.count());
    if (cold_)
        return ramp();
    saturated_ = saturated_ || running >= limit_;
    auto elapsed = clock_.now() - window_start_;
    if (elapsed < window || successes_ < min_successes)
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

void concurrency_limit::ramp()
{
    limit_ = std::min(limit_ + 1, slots_);
    cold_ = limit_ < slots_;
    if (!cold_) {
        baseline_latency_ = 0;
        return start_window();
    }
    if (successes_ < ramp_successes)
        return;
    double latency = latency_sum_ / successes_;
    start_window();
    // Compared with the first mean: the lowest of several of so few successes
    // would be far too low, and an average would follow the growth.
    if (baseline_latency_ == 0)
        baseline_latency_ = latency;
    cold_ = latency <= ramp_tolerance * baseline_latency_;
}

void concurrency_limit::end_window(const measured& it)
{
    if (baseline_latency_ == 0 || it.latency < baseline_latency_) {
        baseline_latency_ = it.latency;
        return;
    }
    bool slow = it.latency > tolerance * baseline_latency_;
    bool confirmed = std::exchange(slow_, slow);
    if (!slow) {
        baseline_latency_ += baseline_drift * (it.latency - baseline_latency_);
        if (it.latency > growth_latency_ratio * baseline_latency_)
            return;
        auto grown = static_cast<int>(std::ceil(limit_ * growth_factor));
        limit_ = std::min(grown, slots_);
        return;
    }
    // The first slow window may contain requests from before the latency rose,
    // so its throughput can't serve as the reference of a trial.
    if (!confirmed || !saturated_ || limit_ == 1)
        return;
    in_trial_ = true;
    limit_before_ = limit_;
    before_ = it;
    change(std::max(1, static_cast<int>(limit_ * trial_factor)));
}

void concurrency_limit::end_trial(const measured& it)
{
    in_trial_ = false;
    // Without full use of the lower limit nothing was learned from the trial.
    if (saturated_ &&
        it.throughput >= min_trial_throughput_share * before_.throughput)
        return;
    if (saturated_)
        baseline_latency_ = before_.latency;
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
