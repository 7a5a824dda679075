// Decides when a call is executed on the local backend server.
//
// Many nodes send calls to one backend server. At most `limit` calls execute at
// once; the rest is queued by priority and is refused as soon as its expected
// start is too late. Most refusals therefore take microseconds instead of a
// queueing delay, and all are made before the call has run.
//
// The limit is a part of the slots that the backend server announces: backend
// servers slow down when nearly all of their slots are taken. A backend server
// may also limit the rate at which calls start, and one that is cold gets calls
// at a lower rate; the lower limit holds.
#pragma once

#include "process/event_loop.hpp"
#include "process/load/shed_threshold_controller.hpp"
#include "process/load/start_pacer.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace shallotwood::process::load
{

struct admission_settings {
    // Share of the announced slots that is used. According to the platform's
    // documentation, some backend servers slow down when nearly full.
    double usable_slot_share = 0.94;
    // Queue capacity per slot.
    double queue_per_slot = 2;
};

struct admission_request {
    std::uint64_t id = 0;
    // Child calls of a request in progress go before new requests.
    bool is_child_call = false;
    // Lower keys run first.
    shed_key key = 0;
    // A start after this time is of no use to the caller.
    time_point latest_start;
};

enum class admission_decision { run, refused };

class admission_controller
{
public:
    // Called exactly once for each arrival, possibly before arrive() returns,
    // except after leave().
    using decision = std::function<void(admission_decision)>;

    admission_controller(const clock& time, scheduler& timers,
                         const admission_settings& settings = {});
    ~admission_controller();
    admission_controller(const admission_controller&) = delete;
    admission_controller& operator=(const admission_controller&) = delete;

    void set_slots(int slots);
    // Limits the calls that start in a second; nothing for no limit.
    void set_rate_limit(std::optional<double> per_second);
    // The limit while the backend server is cold; nothing if it is warm.
    void set_cold_limit(const std::optional<start_limit>& it);
    // An admitted call is sent to the backend server once more.
    void resent() { record_start(); }
    // False if a cold backend server has no room for a call that is resent.
    bool may_resend() const { return cold_pacer_.may_start(clock_.now()); }

    void arrive(const admission_request& it, decision done);
    // Removes a queued call; its decision callback isn't called.
    void leave(std::uint64_t id);
    // An admitted call has ended. `elapsed` is its time on the
    // backend server.
    void finished(duration elapsed);
    // Refuses all queued calls.
    void refuse_all();

    int running() const { return running_; }
    // Calls that can execute at once, within the slots and the rate limit.
    int limit() const;
    std::size_t waiting() const { return waiting_.size(); }
    // Time until such a call would start if it arrived now.
    duration expected_wait(const admission_request& it) const;
    // New requests with this key or a higher one should not be started.
    shed_key shed_threshold() const { return controller_.shed_threshold(); }
    // Mean time of a call on the backend server.
    duration service_time() const { return service_time_; }
    // When a call that is refused now may come back.
    duration retry_after() const;

private:
    struct entry {
        time_point latest_start;
        decision done;
    };
    // Child calls first; then by key, then by arrival.
    using queue_position = std::tuple<bool, shed_key, std::uint64_t>;
    static queue_position queue_position_of(const admission_request& it);

    bool has_room() const;
    void record_start();
    // Time until `count` further calls may have started.
    duration paced_wait(std::size_t count) const;
    void observe();
    void run_waiting();
    void expire();
    void set_timer();
    void set_period_timer();

    const clock& clock_;
    scheduler& timers_;
    admission_settings settings_;
    int slots_ = 1;
    int limit_ = 1;
    int running_ = 0;
    start_pacer pacer_;
    start_pacer cold_pacer_;
    std::map<queue_position, entry> waiting_;
    std::unordered_map<std::uint64_t, queue_position> queue_positions_;
    duration service_time_{};
    shed_threshold_controller controller_;
    timer_id timer_{};
    bool timer_set_ = false;
    timer_id period_timer_{};
    bool period_timer_set_ = false;
};

} // namespace shallotwood::process::load
