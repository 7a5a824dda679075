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
constexpr int least_successes = 100;
// Successes after which a ramp is judged: few, because the limit doubles in as
// many as it started with.
constexpr int ramp_successes = 25;
// Wider than the tolerance for the same reason.
constexpr double ramp_tolerance = 2.5;
// Part by which a higher latency within the tolerance moves the normal one.
constexpr double drift = 0.01;
// Latency over the normal one below which a lowered limit grows, and its growth
// in a window. A limit that grew up to the tolerance would move the normal
// latency along with it, back to where it was.
constexpr double grows_below = 1.25;
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
    ++successes_;
    latency_sum_ += static_cast<double>(own.count());
    if (cold_)
        return ramp();
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

void concurrency_limit::ramp()
{
    limit_ = std::min(limit_ + 1, slots_);
    cold_ = limit_ < slots_;
    if (!cold_) {
        normal_ = 0;
        return start_window();
    }
    if (successes_ < ramp_successes)
        return;
    double latency = latency_sum_ / successes_;
    start_window();
    // Compared with the first mean: the lowest of several of so few successes
    // would be far too low, and an average would follow the growth.
    if (normal_ == 0)
        normal_ = latency;
    cold_ = latency <= ramp_tolerance * normal_;
}

void concurrency_limit::end_window(const measured& it)
{
    if (normal_ == 0 || it.latency < normal_) {
        normal_ = it.latency;
        return;
    }
    bool slow = it.latency > tolerance * normal_;
    bool confirmed = std::exchange(slow_, slow);
    if (!slow) {
        normal_ += drift * (it.latency - normal_);
        if (it.latency > grows_below * normal_)
            return;
        auto grown = static_cast<int>(std::ceil(limit_ * growth));
        limit_ = std::min(grown, slots_);
        return;
    }
    // The first slow window may hold requests from before the change, and its
    // throughput is then no measure for a trial.
    if (!confirmed || !saturated_ || limit_ == 1)
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
