#include "process/load/shed_threshold_controller.hpp"

#include <algorithm>

namespace shallotwood::process::load
{

namespace
{

// Minimum share of the arrivals that stays admitted after one period.
constexpr double min_kept_share = 0.4;

// Slightly more calls are admitted than completed, so that slots do not run
// empty; a full queue reduces the admitted share, so that it drains.
constexpr double kept_share_slack = 0.15;
constexpr double drain_share = 0.2;

// First step of a rise, as a part of one class of importance, and its growth
// in each further period.
constexpr double initial_step = 0.04;
constexpr double step_growth = 1.5;

// The threshold rises while slot utilisation is below this.
constexpr double utilisation_target = 0.97;

} // namespace

void shed_threshold_controller::arrived(shed_key key)
{
    ++arrived_;
    if (sample_.size() < max_sample)
        sample_.push_back(key);
}

void shed_threshold_controller::observe(time_point now, int running, int limit,
                                        std::size_t waiting)
{
    running_integral_ +=
        static_cast<double>((now - integrated_until_).count()) * running_;
    integrated_until_ = now;
    running_ = running;
    limit_ = std::max(limit, 1);
    waiting_ = waiting;
    min_queue_length_ = std::min(min_queue_length_, waiting);
}

void shed_threshold_controller::end_period(time_point now)
{
    observe(now, running_, limit_, waiting_);
    auto elapsed = static_cast<double>((now - period_start_).count());
    double used = elapsed > 0 ? running_integral_ / elapsed / limit_ : 0;
    bool standing = min_queue_length_ > 0 || refused_;
    if (standing && arrived_ > 0) {
        double kept =
            static_cast<double>(ended_) / static_cast<double>(arrived_);
        double queue = std::min(1.0, static_cast<double>(waiting_) /
                                         static_cast<double>(limit_));
        lower(std::clamp(kept, min_kept_share, 1.0) *
              (1 + kept_share_slack - drain_share * queue));
    } else if (shed_threshold_ != no_shed_threshold) {
        raise(used);
    }
    sample_.clear();
    arrived_ = 0;
    ended_ = 0;
    refused_ = false;
    min_queue_length_ = waiting_;
    running_integral_ = 0;
    period_start_ = now;
}

void shed_threshold_controller::lower(double kept)
{
    raise_step_ = 0;
    if (kept >= 1)
        return;
    // Key 0 marks calls of unknown requests, which have no shed order.
    sample_.erase(std::remove(sample_.begin(), sample_.end(), shed_key{0}),
                  sample_.end());
    if (sample_.empty()) {
        shed_threshold_ = static_cast<shed_key>(shed_threshold_ * kept);
        return;
    }
    auto at = std::min(
        static_cast<std::size_t>(kept * static_cast<double>(sample_.size())),
        sample_.size() - 1);
    std::nth_element(sample_.begin(),
                     sample_.begin() + static_cast<std::ptrdiff_t>(at),
                     sample_.end());
    shed_threshold_ = std::min(shed_threshold_, sample_[at]);
}

void shed_threshold_controller::raise(double used)
{
    if (used >= utilisation_target)
        return;
    raise_step_ = raise_step_ <= 0 ? initial_step : raise_step_ * step_growth;
    double next = shed_threshold_ + raise_step_ * keys_per_class * (1 - used);
    shed_threshold_ = next >= static_cast<double>(no_shed_threshold)
                          ? no_shed_threshold
                          : static_cast<shed_key>(next);
}

} // namespace shallotwood::process::load
