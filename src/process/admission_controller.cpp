#include "process/admission_controller.hpp"

#include "process/shed_key.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace shallotwood::process
{

namespace
{

// A period without enough completions ends after this time.
constexpr duration max_period = std::chrono::milliseconds(500);
// Completions that make a period comparable with its arrivals.
constexpr std::size_t min_completions = 10;
// The threshold expires after this time without traffic, as in the
// shed_threshold_table.
constexpr duration threshold_lifetime = std::chrono::seconds(1);
// Share of the standing queue that a period is to drain.
constexpr double drain_share = 0.5;
// Queue length, relative to the limit, that serves as a buffer: it doesn't
// count as a standing queue, and nothing is shed up to it. Without a buffer,
// slots run empty between two arrivals; a longer one delays requests and admits
// less valuable ones.
constexpr double buffer_share = 0.3;
// The buffer is at least this times the root of the limit: the spread of random
// arrivals over a service time is one root, and with few slots the share above
// covers less than that.
constexpr double buffer_root_factor = 2;
// Minimum share of the completion rate that is admitted while the queue drains.
// Otherwise a queue that holds several periods' worth of completions would set
// the threshold below all requests, and the slots would run empty before it has
// risen again.
constexpr double min_admitted_share = 0.9;
// Slot utilisation from which the threshold doesn't rise; the rest is noise of
// a single period.
constexpr double full_utilisation = 0.97;
// The threshold rises by the unused octaves in this time, or in half the
// execution time of a request if that is longer: slots fill only over an
// execution time, and upstream nodes learn of the threshold from a response.
constexpr duration min_rise_time = std::chrono::milliseconds(50);
constexpr double execution_time_share = 0.5;
// Rise times with unused slots after which the rise doubles in each further
// one, so that the threshold quickly crosses ranks without requests.
constexpr double linear_rise_times = 0.5;
constexpr double max_rise_octaves = 4;

std::size_t priority_class_of(const request::call_context& it)
{
    bool under_way = it.depth > 0;
    return static_cast<std::size_t>(it.level) * 2 + (under_way ? 0 : 1);
}

} // namespace

admission_controller::admission_controller(const clock& time, scheduler& timers,
                                           int slots,
                                           const admission_settings& settings)
    : clock_(time), timers_(timers), settings_(settings),
      slots_(std::max(slots, 1)), limit_(time, slots),
      period_start_(time.now()), integrated_until_(time.now())
{
}

admission_controller::~admission_controller()
{
    if (timer_)
        timers_.cancel(*timer_);
}

void admission_controller::arrive(const request::call_context& it,
                                  time_point deadline, decision done)
{
    using request::reason;
    end_period();
    auto now = clock_.now();
    // With a limited queue time, an important request would be refused while
    // less important ones that arrived later are executed.
    bool important = it.level < request::importance::normal;
    entry next{it,
               deadline,
               important ? deadline
                         : std::min(now + settings_.max_wait, deadline),
               std::move(done),
               ++last_number_,
               priority_class_of(it)};
    if (draining_)
        return refuse(next, reason::draining);
    if (deadline <= now)
        return refuse(next, reason::deadline);
    sample_key(it.key);
    bool slot_free = running() < limit_.current();
    if (slot_free && queued_.empty())
        return run(next);
    if (!try_reserve_queue_place(it.key))
        return refuse(next, reason::overload);
    enqueue(std::move(next));
    run_queued();
}

void admission_controller::finished(const std::string& attempt_id, bool success,
                                    duration downstream)
{
    auto it = running_.find(attempt_id);
    if (it == running_.end())
        return;
    integrate_running();
    auto own = clock_.now() - it->second - downstream;
    limit_.finished(success, std::max(own, duration(0)), running());
    running_.erase(it);
    ++completed_;
    end_period();
    run_queued();
    if (on_idle_ && running_.empty())
        std::exchange(on_idle_, nullptr)();
}

bool admission_controller::cancel(const std::string& attempt_id)
{
    auto it = queued_.find(attempt_id);
    if (it == queued_.end())
        return false;
    dequeue(it->second);
    return true;
}

void admission_controller::drain(std::function<void()> idle)
{
    draining_ = true;
    while (!by_key_.empty())
        refuse(dequeue(by_key_.begin()->second), request::reason::draining);
    if (running_.empty())
        return idle();
    on_idle_ = std::move(idle);
}

void admission_controller::set_slots(int slots)
{
    integrate_running();
    slots_ = std::max(slots, 1);
    limit_.set_slots(slots_);
    run_queued();
}

void admission_controller::restart()
{
    integrate_running();
    limit_.restart();
}

request::shed_key admission_controller::shed_threshold(int depth) const
{
    if (clock_.now() - period_start_ >= threshold_lifetime)
        return request::no_shed_threshold;
    return shift_key(shed_threshold_,
                     depth > 0 ? settings_.deep_slack : settings_.entry_slack);
}

std::size_t admission_controller::buffer_length() const
{
    double limit = limit_.current();
    double most =
        std::max(buffer_share * limit, buffer_root_factor * std::sqrt(limit));
    return std::min(static_cast<std::size_t>(most) + 1, max_queue_length());
}

std::size_t admission_controller::max_queue_length() const
{
    // A backend server that is ramping up will soon accept more.
    int limit = limit_.ramping() ? slots_ : limit_.current();
    auto most = std::ceil(limit * settings_.queue_per_slot);
    return static_cast<std::size_t>(std::max(most, 1.0));
}

// False if the queue has no place for the key. May refuse the least valuable
// queued request to make room for a more valuable one.
bool admission_controller::try_reserve_queue_place(request::shed_key key)
{
    if (queued_.size() < buffer_length())
        return true;
    auto worst = std::prev(by_key_.end());
    bool last = worst->first.first <= key;
    auto worst_key = last ? key : worst->first.first;
    bool shed = shed_threshold_ != request::no_shed_threshold &&
                worst_key >= shed_threshold_;
    if (!shed && queued_.size() < max_queue_length())
        return true;
    if (!last)
        refuse(dequeue(worst->second), request::reason::overload);
    return !last;
}

void admission_controller::enqueue(entry it)
{
    auto& in = priority_classes_[it.priority_class];
    auto& waiting = in.waiting[it.context.workspace];
    if (waiting.empty())
        in.round_robin_order.push_back(it.context.workspace);
    waiting.push_back(std::move(it));
    auto last = std::prev(waiting.end());
    queued_.emplace(last->context.attempt_id, last);
    by_key_.emplace(std::pair(last->context.key, last->number), last);
    by_expiry_.emplace(std::pair(last->expiry, last->number), last);
    set_timer();
}

admission_controller::entry admission_controller::dequeue(entry_ptr it)
{
    queued_.erase(it->context.attempt_id);
    by_key_.erase({it->context.key, it->number});
    by_expiry_.erase({it->expiry, it->number});
    auto& in = priority_classes_[it->priority_class];
    auto waiting = in.waiting.find(it->context.workspace);
    entry taken = std::move(*it);
    waiting->second.erase(it);
    if (waiting->second.empty()) {
        auto& round_robin_order = in.round_robin_order;
        round_robin_order.erase(std::find(round_robin_order.begin(),
                                          round_robin_order.end(),
                                          waiting->first));
        in.waiting.erase(waiting);
    }
    min_queue_length_ = std::min(min_queue_length_, queued_.size());
    return taken;
}

admission_controller::entry admission_controller::dequeue_next()
{
    auto in = std::find_if(
        priority_classes_.begin(), priority_classes_.end(),
        [](const priority_class& it) { return !it.round_robin_order.empty(); });
    auto workspace = std::move(in->round_robin_order.front());
    in->round_robin_order.pop_front();
    in->round_robin_order.push_back(workspace);
    return dequeue(in->waiting.at(workspace).begin());
}

void admission_controller::run(const entry& it)
{
    integrate_running();
    running_.emplace(it.context.attempt_id, clock_.now());
    it.done(std::nullopt);
}

void admission_controller::run_queued()
{
    while (!queued_.empty() && running() < limit_.current()) {
        auto next = dequeue_next();
        if (next.deadline <= clock_.now())
            refuse(next, request::reason::deadline);
        else
            run(next);
    }
}

void admission_controller::refuse(const entry& it, request::reason why)
{
    it.done(request::verdict{request::execution::not_run, why});
}

void admission_controller::set_timer()
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

void admission_controller::expire()
{
    using request::reason;
    timer_.reset();
    auto now = clock_.now();
    while (!by_expiry_.empty() && by_expiry_.begin()->first.first <= now) {
        auto it = dequeue(by_expiry_.begin()->second);
        // A limit that is still ramping up is no reason to refuse.
        bool free = limit_.ramping() && running() < slots_;
        if (free && it.deadline > now) {
            run(it);
            continue;
        }
        auto why = it.deadline <= now ? reason::deadline : reason::overload;
        refuse(it, why);
    }
    set_timer();
}

// Keeps the most recent keys of the period.
void admission_controller::sample_key(request::shed_key key)
{
    if (keys_.size() < max_sample)
        keys_.push_back(key);
    else
        keys_[arrived_ % max_sample] = key;
    ++arrived_;
}

void admission_controller::integrate_running()
{
    auto now = clock_.now();
    running_integral_ +=
        static_cast<double>((now - integrated_until_).count()) * running();
    integrated_until_ = now;
}

void admission_controller::end_period()
{
    auto elapsed = clock_.now() - period_start_;
    bool enough = completed_ >= min_completions || elapsed >= max_period;
    if (elapsed < settings_.period || !enough)
        return;
    integrate_running();
    // A queue while the backend server ramps up is not an overload.
    if (min_queue_length_ > buffer_length() && !limit_.ramping())
        lower_threshold();
    else
        raise_threshold(elapsed);
    period_start_ = clock_.now();
    keys_.clear();
    arrived_ = 0;
    completed_ = 0;
    min_queue_length_ = queued_.size();
    running_integral_ = 0;
}

// Sets the threshold to the quantile of the arrived keys that admits as many
// requests as completed, less a part of the queue. Upstream nodes that still
// apply an older threshold change the arrivals but not the result, so late
// feedback does not accumulate.
void admission_controller::lower_threshold()
{
    unused_rise_times_ = 0;
    auto completed = static_cast<double>(completed_);
    double excess = static_cast<double>(min_queue_length_) -
                    static_cast<double>(buffer_length());
    double pass = std::max(completed - drain_share * excess,
                           min_admitted_share * completed);
    double share =
        pass / static_cast<double>(std::max<std::size_t>(arrived_, 1));
    if (share >= 1 || keys_.empty() || by_key_.empty())
        return;
    // At least one request is admitted; otherwise there would be no completions
    // to measure.
    auto last = static_cast<double>(keys_.size() - 1);
    auto n = static_cast<std::ptrdiff_t>(std::clamp(
        share * static_cast<double>(keys_.size()), 1.0, std::max(last, 1.0)));
    if (n > static_cast<std::ptrdiff_t>(last))
        return;
    std::nth_element(keys_.begin(), keys_.begin() + n, keys_.end());
    shed_threshold_ = keys_[static_cast<std::size_t>(n)];
    // While less important requests are queued, no important one is shed.
    constexpr auto first_lesser =
        static_cast<request::shed_key>(request::importance::normal)
        << rank_bits;
    if (std::prev(by_key_.end())->first.first >= first_lesser)
        shed_threshold_ = std::max(shed_threshold_, first_lesser);
}

// Raises the threshold in proportion to the unused slots, and faster the longer
// they stay unused.
void admission_controller::raise_threshold(duration elapsed)
{
    if (shed_threshold_ == request::no_shed_threshold)
        return;
    auto span = static_cast<double>(elapsed.count());
    double limit = limit_.current();
    double used =
        std::max(running_integral_ / span, static_cast<double>(running())) /
        limit;
    if (used >= full_utilisation) {
        unused_rise_times_ = 0;
        return;
    }
    double stay = running_integral_ /
                  static_cast<double>(std::max<std::size_t>(completed_, 1));
    double part = span / std::max(static_cast<double>(min_rise_time.count()),
                                  execution_time_share * stay);
    unused_rise_times_ += part;
    double rise = part * -std::log2(std::max(used, 0.01));
    rise *= std::exp2(std::max(unused_rise_times_ - linear_rise_times, 0.0));
    shed_threshold_ =
        shift_key(shed_threshold_, std::min(rise, max_rise_octaves));
}

} // namespace shallotwood::process
