#include "process/load/admission_controller.hpp"

#include <algorithm>
#include <cmath>

namespace shallotwood::process::load
{

namespace
{

// Weight of the newest call in the mean service time.
constexpr double mean_weight = 0.05;

// Service time assumed before the first call has ended.
constexpr duration first_service_time = std::chrono::milliseconds(50);

// How often calls past their latest start are removed from the queue.
constexpr duration expiry_period = std::chrono::milliseconds(10);

} // namespace

admission_controller::admission_controller(const clock& time, scheduler& timers,
                                           const admission_settings& settings)
    : clock_(time), timers_(timers), settings_(settings),
      service_time_(first_service_time)
{
}

admission_controller::~admission_controller()
{
    if (timer_set_)
        timers_.cancel(timer_);
    if (period_timer_set_)
        timers_.cancel(period_timer_);
}

admission_controller::queue_position
admission_controller::queue_position_of(const admission_request& it)
{
    return {!it.is_child_call, it.key, it.id};
}

void admission_controller::observe()
{
    controller_.observe(clock_.now(), running_, limit(), waiting_.size());
}

bool admission_controller::has_room() const
{
    return running_ < limit_ && paced_wait(1).count() <= 0;
}

void admission_controller::record_start()
{
    pacer_.started(clock_.now());
    cold_pacer_.started(clock_.now());
}

duration admission_controller::paced_wait(std::size_t count) const
{
    auto now = clock_.now();
    return std::max(pacer_.wait_for(count, now),
                    cold_pacer_.wait_for(count, now));
}

int admission_controller::limit() const
{
    auto rate = pacer_.rate();
    if (cold_pacer_.rate())
        rate =
            std::min(rate.value_or(*cold_pacer_.rate()), *cold_pacer_.rate());
    if (!rate)
        return limit_;
    double paced = *rate * std::chrono::duration<double>(service_time_).count();
    return std::clamp(static_cast<int>(std::ceil(paced)), 1, limit_);
}

duration admission_controller::retry_after() const
{
    return std::max(service_time_, paced_wait(waiting_.size() + 1));
}

void admission_controller::set_rate_limit(std::optional<double> per_second)
{
    pacer_.set_rate(per_second);
    run_waiting();
}

void admission_controller::set_cold_limit(const std::optional<start_limit>& it)
{
    auto before = cold_pacer_.rate();
    cold_pacer_.set_limit(it);
    auto after = cold_pacer_.rate();
    if (after && (!before || *after < *before))
        cold_pacer_.drop_burst(clock_.now());
    else if (before && (!after || *after > *before))
        run_waiting();
}

void admission_controller::set_slots(int slots)
{
    slots_ = std::max(slots, 1);
    limit_ = std::max(
        1, static_cast<int>(std::floor(slots_ * settings_.usable_slot_share)));
    run_waiting();
}

void admission_controller::arrive(const admission_request& it, decision done)
{
    controller_.arrived(it.key);
    set_period_timer();
    if (has_room() && waiting_.empty()) {
        ++running_;
        record_start();
        observe();
        done(admission_decision::run);
        return;
    }
    auto start = clock_.now() + expected_wait(it);
    auto most = static_cast<std::size_t>(slots_ * settings_.queue_per_slot);
    bool shed = !it.is_child_call && it.key >= controller_.shed_threshold();
    if (shed || start > it.latest_start || waiting_.size() >= most) {
        controller_.refused();
        done(admission_decision::refused);
        return;
    }
    waiting_.emplace(queue_position_of(it),
                     entry{it.latest_start, std::move(done)});
    queue_positions_.emplace(it.id, queue_position_of(it));
    observe();
    set_timer();
}

void admission_controller::leave(std::uint64_t id)
{
    auto it = queue_positions_.find(id);
    if (it == queue_positions_.end())
        return;
    waiting_.erase(it->second);
    queue_positions_.erase(it);
    observe();
}

void admission_controller::finished(duration elapsed)
{
    --running_;
    controller_.ended();
    auto mean = static_cast<double>(service_time_.count());
    mean += mean_weight * (static_cast<double>(elapsed.count()) - mean);
    service_time_ = duration(static_cast<duration::rep>(mean));
    run_waiting();
}

void admission_controller::refuse_all()
{
    auto all = std::move(waiting_);
    waiting_.clear();
    queue_positions_.clear();
    for (auto& [at, it] : all)
        it.done(admission_decision::refused);
}

duration admission_controller::expected_wait(const admission_request& it) const
{
    if (has_room() && waiting_.empty())
        return duration(0);
    auto ahead = std::distance(waiting_.begin(),
                               waiting_.lower_bound(queue_position_of(it)));
    auto place = static_cast<std::size_t>(ahead) + 1;
    return std::max(service_time_ * (ahead + 1) / limit_, paced_wait(place));
}

void admission_controller::run_waiting()
{
    while (has_room() && !waiting_.empty()) {
        auto first = waiting_.begin();
        auto it = std::move(first->second);
        queue_positions_.erase(std::get<2>(first->first));
        waiting_.erase(first);
        if (it.latest_start < clock_.now()) {
            it.done(admission_decision::refused);
            continue;
        }
        ++running_;
        record_start();
        it.done(admission_decision::run);
    }
    observe();
}

void admission_controller::set_timer()
{
    if (timer_set_ || waiting_.empty())
        return;
    timer_set_ = true;
    timer_ = timers_.call_after(expiry_period, [this] {
        timer_set_ = false;
        expire();
        run_waiting();
        set_timer();
    });
}

void admission_controller::set_period_timer()
{
    if (period_timer_set_)
        return;
    period_timer_set_ = true;
    period_timer_ =
        timers_.call_after(shed_threshold_controller::period, [this] {
            period_timer_set_ = false;
            controller_.end_period(clock_.now());
            if (!controller_.idle() || running_ > 0)
                set_period_timer();
        });
}

void admission_controller::expire()
{
    auto now = clock_.now();
    std::vector<decision> late;
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        if (it->second.latest_start >= now) {
            ++it;
            continue;
        }
        late.push_back(std::move(it->second.done));
        queue_positions_.erase(std::get<2>(it->first));
        it = waiting_.erase(it);
    }
    if (!late.empty())
        controller_.refused();
    observe();
    for (auto& it : late)
        it(admission_decision::refused);
}

} // namespace shallotwood::process::load
