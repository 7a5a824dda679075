#include "process/admission.hpp"

#include "process/shed_key.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace shallotwood::process
{

namespace
{

// A period without enough completions ends after this time.
constexpr duration longest_period = std::chrono::milliseconds(500);
// Completions that make a period comparable with its arrivals.
constexpr std::size_t least_completions = 10;
// The cut is forgotten after this time without traffic, as in the cut_table.
constexpr duration cut_lifetime = std::chrono::seconds(1);
// Share of the standing queue that a period is to drain.
constexpr double drained = 0.5;
// Slots in use from which the cut does not rise: the rest is the noise of a
// period.
constexpr double full_use = 0.97;
// Part of the unused octaves by which the cut rises in a period. Upstream
// nodes see a change only after a response time, several periods later.
constexpr double rise_gain = 0.25;
// Periods with unused slots after which the rise doubles in each period, so
// that ranks without any request are crossed quickly.
constexpr int slow_rises = 4;
constexpr double most_rise = 6;

std::size_t lane_of(const request::call_context& it)
{
    bool under_way = it.depth > 0;
    return static_cast<std::size_t>(it.level) * 2 + (under_way ? 0 : 1);
}

} // namespace

admission::admission(const clock& time, scheduler& timers, int slots,
                     const admission_settings& settings)
    : clock_(time), timers_(timers), settings_(settings),
      slots_(std::max(slots, 1)), limit_(time, slots),
      period_start_(time.now()), busy_until_(time.now())
{
}

admission::~admission()
{
    if (timer_)
        timers_.cancel(*timer_);
}

void admission::arrive(const request::call_context& it, time_point deadline,
                       decision done)
{
    using request::reason;
    end_period();
    auto now = clock_.now();
    entry next{it,
               deadline,
               std::min(now + settings_.max_wait, deadline),
               std::move(done),
               ++last_number_,
               lane_of(it)};
    if (draining_)
        return refuse(std::move(next), reason::draining);
    if (deadline <= now)
        return refuse(std::move(next), reason::deadline);
    sample(it.key);
    bool slot_free = running() < limit_.current();
    if (slot_free && queued_.empty())
        return run(std::move(next));
    bool cut = !queued_.empty() && it.key >= cut_;
    if (cut || !make_room(it.key))
        return refuse(std::move(next), reason::overload);
    enqueue(std::move(next));
    run_queued();
}

void admission::finished(const std::string& attempt_id, bool success,
                         duration downstream)
{
    auto it = running_.find(attempt_id);
    if (it == running_.end())
        return;
    note_busy();
    auto own = clock_.now() - it->second - downstream;
    limit_.finished(success, std::max(own, duration(0)), running());
    running_.erase(it);
    ++completed_;
    end_period();
    run_queued();
    if (idle_ && running_.empty())
        std::exchange(idle_, nullptr)();
}

bool admission::cancel(const std::string& attempt_id)
{
    auto it = queued_.find(attempt_id);
    if (it == queued_.end())
        return false;
    take_out(it->second);
    return true;
}

void admission::drain(std::function<void()> idle)
{
    draining_ = true;
    while (!by_key_.empty())
        refuse(take_out(by_key_.begin()->second), request::reason::draining);
    if (running_.empty())
        return idle();
    idle_ = std::move(idle);
}

void admission::set_slots(int slots)
{
    note_busy();
    slots_ = std::max(slots, 1);
    limit_.set_slots(slots_);
    run_queued();
}

void admission::restart()
{
    note_busy();
    limit_.restart();
}

request::shed_key admission::cut() const
{
    if (clock_.now() - period_start_ >= cut_lifetime)
        return request::no_cut;
    return shift_key(cut_, settings_.slack);
}

std::size_t admission::most_queued() const
{
    auto most = std::ceil(slots_ * settings_.queue_per_slot);
    return static_cast<std::size_t>(std::max(most, 1.0));
}

// False if the queue is full of requests that are at least as valuable.
bool admission::make_room(request::shed_key key)
{
    if (queued_.size() < most_queued())
        return true;
    auto worst = std::prev(by_key_.end());
    if (worst->first.first <= key)
        return false;
    refuse(take_out(worst->second), request::reason::overload);
    return true;
}

void admission::enqueue(entry it)
{
    auto& in = lanes_[it.lane];
    auto& waiting = in.waiting[it.context.workspace];
    if (waiting.empty())
        in.turns.push_back(it.context.workspace);
    waiting.push_back(std::move(it));
    auto last = std::prev(waiting.end());
    queued_.emplace(last->context.attempt_id, last);
    by_key_.emplace(std::pair(last->context.key, last->number), last);
    by_expiry_.emplace(std::pair(last->expiry, last->number), last);
    set_timer();
}

admission::entry admission::take_out(entry_ptr it)
{
    queued_.erase(it->context.attempt_id);
    by_key_.erase({it->context.key, it->number});
    by_expiry_.erase({it->expiry, it->number});
    auto& in = lanes_[it->lane];
    auto waiting = in.waiting.find(it->context.workspace);
    entry taken = std::move(*it);
    waiting->second.erase(it);
    if (waiting->second.empty()) {
        auto& turns = in.turns;
        turns.erase(std::find(turns.begin(), turns.end(), waiting->first));
        in.waiting.erase(waiting);
    }
    fewest_queued_ = std::min(fewest_queued_, queued_.size());
    return taken;
}

admission::entry admission::take_next()
{
    auto in = std::find_if(lanes_.begin(), lanes_.end(),
                           [](const lane& it) { return !it.turns.empty(); });
    auto workspace = std::move(in->turns.front());
    in->turns.pop_front();
    in->turns.push_back(workspace);
    return take_out(in->waiting.at(workspace).begin());
}

void admission::run(entry it)
{
    note_busy();
    running_.emplace(it.context.attempt_id, clock_.now());
    it.done(std::nullopt);
}

void admission::run_queued()
{
    while (!queued_.empty() && running() < limit_.current()) {
        auto next = take_next();
        if (next.deadline <= clock_.now())
            refuse(std::move(next), request::reason::deadline);
        else
            run(std::move(next));
    }
}

void admission::refuse(entry it, request::reason why)
{
    it.done(request::verdict{request::execution::not_run, why});
}

void admission::set_timer()
{
    if (by_expiry_.empty())
        return;
    auto due = by_expiry_.begin()->first.first;
    if (timer_ && timer_due_ <= due)
        return;
    if (timer_)
        timers_.cancel(*timer_);
    timer_due_ = due;
    timer_ = timers_.call_after(due - clock_.now(), [this] { expire(); });
}

void admission::expire()
{
    using request::reason;
    timer_.reset();
    auto now = clock_.now();
    while (!by_expiry_.empty() && by_expiry_.begin()->first.first <= now) {
        auto it = take_out(by_expiry_.begin()->second);
        auto why = it.deadline <= now ? reason::deadline : reason::overload;
        refuse(std::move(it), why);
    }
    set_timer();
}

// Keeps the most recent keys of the period.
void admission::sample(request::shed_key key)
{
    if (keys_.size() < max_sample)
        keys_.push_back(key);
    else
        keys_[arrived_ % max_sample] = key;
    ++arrived_;
}

void admission::note_busy()
{
    auto now = clock_.now();
    busy_ += static_cast<double>((now - busy_until_).count()) * running();
    busy_until_ = now;
}

void admission::end_period()
{
    auto elapsed = clock_.now() - period_start_;
    bool enough = completed_ >= least_completions || elapsed >= longest_period;
    if (elapsed < settings_.period || !enough)
        return;
    note_busy();
    if (fewest_queued_ > 0)
        lower_cut();
    else
        raise_cut(busy_ / static_cast<double>(elapsed.count()) /
                  limit_.current());
    period_start_ = clock_.now();
    keys_.clear();
    arrived_ = 0;
    completed_ = 0;
    fewest_queued_ = queued_.size();
    busy_ = 0;
}

// Sets the cut to the quantile of the arrived keys that passes what completed,
// less a part of the queue. Upstream nodes that still apply an older cut change
// the arrivals and not the result, so late feedback does not accumulate.
void admission::lower_cut()
{
    rising_ = 0;
    double pass = static_cast<double>(completed_) -
                  drained * static_cast<double>(fewest_queued_);
    double share =
        pass / static_cast<double>(std::max<std::size_t>(arrived_, 1));
    if (share >= 1 || keys_.empty())
        return;
    // At least one request passes, or nothing would be learned any more.
    auto last = static_cast<double>(keys_.size() - 1);
    auto n = static_cast<std::ptrdiff_t>(std::clamp(
        share * static_cast<double>(keys_.size()), 1.0, std::max(last, 1.0)));
    if (n > static_cast<std::ptrdiff_t>(last))
        return;
    std::nth_element(keys_.begin(), keys_.begin() + n, keys_.end());
    cut_ = keys_[static_cast<std::size_t>(n)];
}

void admission::raise_cut(double used)
{
    if (cut_ == request::no_cut)
        return;
    if (used >= full_use) {
        rising_ = 0;
        return;
    }
    ++rising_;
    double rise = rise_gain * -std::log2(std::max(used, 0.01));
    if (rising_ > slow_rises)
        rise *= std::exp2(rising_ - slow_rises);
    cut_ = shift_key(cut_, std::min(rise, most_rise));
}

} // namespace shallotwood::process
