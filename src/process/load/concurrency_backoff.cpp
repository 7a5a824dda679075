#include "process/load/concurrency_backoff.hpp"

#include <algorithm>

namespace shallotwood::process::load
{

namespace
{

// Calls that ended earlier say nothing about the present.
constexpr duration sample_validity = std::chrono::seconds(2);

// A server may reject this share of its calls for reasons of its own; such a
// share is cheaper than unused slots. A reduction starts above it.
constexpr double tolerated_share = 0.05;
constexpr duration share_window = std::chrono::milliseconds(500);
// A single rejection in a quiet window is above any share.
constexpr int min_rejections = 3;

// The limit falls to this part in one step, unless the server keeps more calls
// running. It must fall within a few round trips, since a server that rejects
// at once gets more calls than any other.
constexpr double reduction_factor = 0.8;

// Time between two steps up. After a step that led to a rejection it doubles,
// up to the maximum: a step costs about one rejection.
constexpr duration min_step_interval = std::chrono::milliseconds(100);
constexpr duration max_step_interval = std::chrono::milliseconds(800);
// Part of the maximum by which the limit rises once a step has held. At 36
// slots, half of them are back within 1 s.
constexpr int step_divisor = 16;

// A server that bounds its running calls takes calls up to the bound and
// rejects above it. Rejections below this part of the highest count at which it
// took a call therefore have another reason. The margin allows for calls that
// the server has ended and this node has not seen end, and the other way round.
constexpr double low_load_part = 0.75;
// The share at low load must be at least this part of the share above, or the
// rejections do depend on the load.
constexpr double same_share_ratio = 0.7;
constexpr int min_low_calls = 10;
constexpr int min_low_rejections = 4;

// A share that was found not to depend on the load is examined again once it
// grows by this much, or when nothing was rejected for this time. Entry nodes
// avoid such a server, so it gets few calls; after 1 s without a rejection,
// most servers were examined again while they still rejected.
constexpr double share_growth = 0.25;
constexpr int min_share_calls = 20;
constexpr duration rejection_memory = std::chrono::seconds(4);

} // namespace

std::string_view name_of(concurrency_backoff::state it)
{
    switch (it) {
    case concurrency_backoff::state::unlimited:
        return "unlimited";
    case concurrency_backoff::state::reduced:
        return "reduced";
    case concurrency_backoff::state::load_independent:
        return "load_independent";
    }
    return "";
}

concurrency_backoff::concurrency_backoff(const clock& time, scheduler& timers)
    : clock_(time), timers_(timers), step_interval_(min_step_interval)
{
}

concurrency_backoff::~concurrency_backoff()
{
    if (timer_set_)
        timers_.cancel(timer_);
}

void concurrency_backoff::set_maximum(int maximum)
{
    maximum_ = std::max(maximum, 1);
    if (state_ == state::reduced)
        limit_ = std::min(limit_, maximum_);
    else
        limit_ = maximum_;
}

void concurrency_backoff::reset()
{
    samples_.clear();
    samples_from_ = clock_.now();
    step_pending_ = false;
    step_interval_ = min_step_interval;
    if (state_ != state::unlimited)
        enter(state::unlimited, maximum_);
}

concurrency_backoff::tally
concurrency_backoff::count_since(time_point from) const
{
    tally it;
    for (auto at = samples_.rbegin(); at != samples_.rend(); ++at) {
        if (at->ended < from)
            break;
        ++it.calls;
        it.rejected += at->rejected ? 1 : 0;
    }
    return it;
}

double concurrency_backoff::rejected_share() const
{
    return count_since(clock_.now() - share_window).share();
}

void concurrency_backoff::record(const sent_call& call, bool rejected,
                                 int running)
{
    auto now = clock_.now();
    // Also a call of a server that has been replaced.
    if (call.at < samples_from_)
        return;
    while (!samples_.empty() &&
           (samples_.size() >= max_samples ||
            now - samples_.front().ended > sample_validity))
        samples_.pop_front();
    samples_.push_back({call, now, rejected});
    if (state_ == state::load_independent) {
        watch_load_independent();
        return;
    }
    if (!rejected)
        return;
    last_rejection_ = now;
    if (state_ == state::unlimited) {
        auto recent = count_since(now - share_window);
        if (recent.rejected < min_rejections ||
            recent.share() <= tolerated_share)
            return;
        begin_reduction();
    }
    if (is_load_independent()) {
        independent_share_ = rejected_share();
        samples_.clear();
        enter(state::load_independent, maximum_);
        return;
    }
    // Calls sent before the last reduction are no answer to it.
    if (call.at >= last_reduction_)
        reduce(running);
}

void concurrency_backoff::begin_reduction()
{
    // Calls that the server took before it began to reject are no evidence of
    // what it takes now.
    auto first = std::find_if(samples_.begin(), samples_.end(),
                              [](const sample& it) { return it.rejected; });
    samples_from_ = first->call.at;
    samples_.erase(std::remove_if(samples_.begin(), samples_.end(),
                                  [this](const sample& it) {
                                      return it.call.at < samples_from_;
                                  }),
                   samples_.end());
    last_reduction_ = samples_from_;
    step_interval_ = min_step_interval;
    step_pending_ = false;
}

bool concurrency_backoff::is_load_independent() const
{
    int most_taken = 0;
    for (const auto& it : samples_)
        if (!it.rejected)
            most_taken = std::max(most_taken, it.call.others);
    auto low_load = static_cast<int>(most_taken * low_load_part);
    tally low;
    tally high;
    for (const auto& it : samples_) {
        auto& at = it.call.others <= low_load ? low : high;
        ++at.calls;
        at.rejected += it.rejected ? 1 : 0;
    }
    return low.calls >= min_low_calls && low.rejected >= min_low_rejections &&
           low.share() > tolerated_share &&
           (high.calls < min_low_calls ||
            low.share() >= same_share_ratio * high.share());
}

void concurrency_backoff::reduce(int running)
{
    if (step_pending_)
        step_interval_ = std::min(2 * step_interval_, max_step_interval);
    step_pending_ = false;
    last_reduction_ = clock_.now();
    auto next = std::max(static_cast<int>(limit_ * reduction_factor), running);
    enter(state::reduced, std::max(1, std::min(limit_ - 1, next)));
}

void concurrency_backoff::enter(state next, int limit)
{
    state_ = next;
    limit_ = limit;
    if (timer_set_)
        timers_.cancel(timer_);
    timer_set_ = false;
    if (state_ == state::reduced)
        set_timer(step_interval_);
    else if (state_ == state::load_independent)
        set_timer(rejection_memory);
    if (changed_)
        changed_();
}

void concurrency_backoff::watch_load_independent()
{
    if (samples_.back().rejected)
        last_rejection_ = clock_.now();
    auto recent = count_since(clock_.now() - share_window);
    if (recent.calls < min_share_calls ||
        recent.share() <= independent_share_ + share_growth)
        return;
    samples_.clear();
    samples_from_ = clock_.now();
    enter(state::unlimited, maximum_);
}

void concurrency_backoff::step()
{
    if (state_ == state::load_independent) {
        auto rest = last_rejection_ + rejection_memory - clock_.now();
        if (rest.count() > 0)
            set_timer(rest);
        else
            enter(state::unlimited, maximum_);
        return;
    }
    // The first step after a reduction is a probe; further ones are larger.
    int size = step_pending_ ? (maximum_ + step_divisor - 1) / step_divisor : 1;
    if (step_pending_)
        step_interval_ = min_step_interval;
    step_pending_ = true;
    int next = std::min(limit_ + size, maximum_);
    enter(next == maximum_ ? state::unlimited : state::reduced, next);
}

void concurrency_backoff::set_timer(duration delay)
{
    timer_set_ = true;
    timer_ = timers_.call_after(delay, [this] {
        timer_set_ = false;
        step();
    });
}

} // namespace shallotwood::process::load
