#include "process/load/cold_start.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace shallotwood::process::load
{

namespace
{

// The rate doubles after each step of the ramp.
constexpr duration ramp_step_time = std::chrono::milliseconds(250);

// The ramp ends after this many steps whatever the capacity is: 2^12 times the
// cold rate is more than any backend server serves.
constexpr int max_ramp_steps = 12;

// A suspicion ends after this time if no announcement arrives; announcements
// come about every 1.5 s.
constexpr duration suspicion_limit = std::chrono::seconds(5);

// An announcement that arrives this soon after the connections broke may have
// been sent before.
constexpr duration min_suspicion_time = std::chrono::milliseconds(300);

// Longest time that one announcement counts for. Later ones renew it, so that a
// forged one does not limit the server for long.
constexpr duration max_announced_time = std::chrono::seconds(60);

// Share of the bound's slack that a burst may use. The rest covers requests
// that the network delays and then delivers together.
constexpr double burst_share = 0.5;

// Rate until the policy is known, and the least one with an excess below 1, as
// a share of the bound's slack in a second. The bound allows the slack at any
// rate that the policy names.
constexpr double slack_rate_share = 0.5;

// The least rate with an excess below 1, in requests per second; a server that
// gets nothing at all does not become warm.
constexpr double min_rate = 0.5;

constexpr std::array<std::string_view, 4> cause_names = {
    "announced", "started", "restart_suspected", "evacuation_ended"};

} // namespace

std::string_view name_of(cold_cause cause)
{
    return cause_names.at(static_cast<std::size_t>(cause));
}

cold_start::cold_start(const clock& time, scheduler& timers,
                       std::function<double()> capacity, listener changed)
    : clock_(time), timers_(timers), capacity_(std::move(capacity)),
      changed_(std::move(changed))
{
}

cold_start::~cold_start()
{
    cancel_timer();
}

void cold_start::set_bound(const cold_bound& it)
{
    if (bound_ == it)
        return;
    bound_ = it;
    update();
}

void cold_start::set_policy(const cold_policy& it)
{
    if (policy_ == it)
        return;
    policy_ = it;
    update();
}

void cold_start::handle_announcement(std::uint64_t start,
                                     bool started_in_traffic,
                                     std::optional<duration> warmup_left)
{
    auto now = clock_.now();
    bool restarted = start_ ? start != *start_ : started_in_traffic;
    if (start_ && restarted) {
        // What was known of the earlier start does not hold for this one.
        announced_until_ = time_point{};
        assumed_from_.reset();
    }
    start_ = start;
    refuted_ = suspected_at_ &&
               (restarted || now - *suspected_at_ >= min_suspicion_time);
    if (refuted_)
        suspected_at_.reset();
    if (warmup_left) {
        auto until = now + std::min(*warmup_left, max_announced_time);
        if (until > announced_until_ && warmup_left->count() > 0) {
            announced_until_ = until;
            cause_ = cold_cause::announced;
        }
    } else if (restarted) {
        assume_cold(cold_cause::started);
    }
    update();
    refuted_ = false;
}

void cold_start::suspect_restart()
{
    suspected_at_ = clock_.now();
    cause_ = cold_cause::restart_suspected;
    update();
}

void cold_start::assume_cold(cold_cause cause)
{
    assumed_from_ = clock_.now();
    cause_ = cause;
    update();
}

bool cold_start::limits() const
{
    return policy_ ? policy_->rate > 0 : bound_ && bound_->slack > 0;
}

double cold_start::rate() const
{
    if (!limits())
        return 0;
    double from_slack = slack_rate_share * bound_.value_or(cold_bound{}).slack;
    if (!policy_)
        return from_slack;
    double most = policy_->rate * bound_.value_or(cold_bound{}).excess;
    return std::min(policy_->rate, std::max({most, from_slack, min_rate}));
}

double cold_start::max_burst() const
{
    return std::max(1.0, burst_share * bound_.value_or(cold_bound{}).slack);
}

time_point cold_start::cold_until() const
{
    auto until = announced_until_;
    if (assumed_from_ && policy_)
        until = std::max(until, *assumed_from_ + policy_->warmup);
    if (suspected_at_)
        until = std::max(until, *suspected_at_ + suspicion_limit);
    return until;
}

duration cold_start::left() const
{
    return phase_ == cold_phase::cold
               ? std::max(duration(0), cold_until() - clock_.now())
               : duration(0);
}

std::optional<start_limit> cold_start::limit() const
{
    if (phase_ == cold_phase::warm)
        return std::nullopt;
    if (phase_ == cold_phase::cold)
        return start_limit{rate(), max_burst()};
    return start_limit{std::ldexp(rate(), ramp_step_), std::nullopt};
}

double cold_start::published_rate() const
{
    return phase_ == cold_phase::warm ? 0 : rate();
}

void cold_start::update()
{
    auto left = cold_until() - clock_.now();
    bool was_cold = phase_ == cold_phase::cold;
    bool only_suspected =
        refuted_ && was_cold && cause_ == cold_cause::restart_suspected;
    if (limits() && left.count() > 0) {
        phase_ = cold_phase::cold;
        set_timer(left, &cold_start::update);
    } else if (!limits() || only_suspected) {
        phase_ = cold_phase::warm;
        cancel_timer();
    } else if (was_cold) {
        begin_ramp();
        return;
    }
    changed_();
}

void cold_start::begin_ramp()
{
    suspected_at_.reset();
    phase_ = cold_phase::ramp;
    ramp_step_ = 0;
    end_ramp_step();
}

void cold_start::end_ramp_step()
{
    ++ramp_step_;
    if (ramp_step_ > max_ramp_steps ||
        std::ldexp(rate(), ramp_step_) > capacity_()) {
        cancel_timer();
        phase_ = cold_phase::warm;
    } else {
        set_timer(ramp_step_time, &cold_start::end_ramp_step);
    }
    changed_();
}

void cold_start::set_timer(duration delay, void (cold_start::*task)())
{
    cancel_timer();
    timer_set_ = true;
    timer_ = timers_.call_after(delay, [this, task] {
        timer_set_ = false;
        (this->*task)();
    });
}

void cold_start::cancel_timer()
{
    if (timer_set_)
        timers_.cancel(timer_);
    timer_set_ = false;
}

} // namespace shallotwood::process::load
