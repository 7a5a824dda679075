// Admits the requests of the local backend server.
//
// A request runs at once while a slot is free and nothing is queued; nothing is
// shed then. Otherwise it is queued by importance, then work under way before
// new work, then round-robin between workspaces. The queue is bounded in count,
// and each entry in time and by its deadline; the least valuable is refused
// when it is full. A queue that stayed above a small buffer for a whole period
// is standing: the cut is then set to the shed key below which as many requests
// arrived as completed, and beyond the buffer requests with a key at or above
// the cut are refused. Without a standing queue the cut rises in proportion to
// the unused slots.
//
// All refusals that this module makes are true "not run".
#pragma once

#include "process/concurrency_limit.hpp"
#include "process/event_loop.hpp"
#include "request/call_context.hpp"
#include "request/verdict.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace shallotwood::process
{

struct admission_settings {
    // Queued requests over the limit of running ones.
    double queue_per_slot = 1;
    // Longest time in the queue of a normal or low request. More important
    // ones wait until their deadline. A request whose time ends before a cold
    // backend server with a free slot runs.
    duration max_wait = std::chrono::milliseconds(200);
    // Shortest time between changes of the cut.
    duration period = std::chrono::milliseconds(50);
    // Octaves by which the cut that upstream nodes see is above the one in
    // force here. A few more requests arrive than complete, so that slots do
    // not run empty and the right cut is seen in the keys that arrive. Calls of
    // depth 0 have done no work yet that a refusal here wastes.
    double entry_slack = 3;
    double deep_slack = 0.5;
};

class admission_controller
{
public:
    // Called exactly once, possibly before arrive() returns, except after
    // cancel(): with nothing when the request is to run, otherwise with the
    // refusal.
    using decision = std::function<void(std::optional<request::verdict>)>;

    admission_controller(const clock& time, scheduler& timers, int slots,
                         const admission_settings& settings = {});
    ~admission_controller();
    admission_controller(const admission_controller&) = delete;
    admission_controller& operator=(const admission_controller&) = delete;

    // The attempt id of the context must be new.
    void arrive(const request::call_context& it, time_point deadline,
                decision done);

    // A request that was told to run has ended. `downstream` is the time it
    // spent in calls to further services. Unknown ids are ignored.
    void finished(const std::string& attempt_id, bool success,
                  duration downstream = duration(0));

    // Removes a queued request, without a decision. False if it is not queued.
    bool cancel(const std::string& attempt_id);

    // Refuses what is queued and what arrives from now on; `idle` is called
    // when nothing runs any more.
    void drain(std::function<void()> idle);

    // Nothing else calls this: the backend server announces its slots anew.
    void set_slots(int slots);
    // The backend server restarted; its limit ramps up again.
    void restart();

    // For Shallotwood-Feedback of a call of that depth; no_shed_threshold if
    // nothing is shed.
    request::shed_key shed_threshold(int depth) const;

    int running() const { return static_cast<int>(running_.size()); }
    std::size_t queued() const { return queued_.size(); }
    int limit() const { return limit_.current(); }

private:
    struct entry {
        request::call_context context;
        time_point deadline;
        time_point expiry;
        decision done;
        std::uint64_t number = 0;
        std::size_t priority_class = 0;
    };
    using entry_ptr = std::list<entry>::iterator;

    // The queued requests of one importance and kind of work, a list for each
    // workspace, in the order in which workspaces are served next.
    struct priority_class {
        std::map<std::string, std::list<entry>> waiting;
        std::deque<std::string> round_robin_order;
    };

    static constexpr std::size_t priority_class_count = 8;
    // Keys kept of a period. More would not make the quantile finer than the
    // noise of one period.
    static constexpr std::size_t max_sample = 1024;

    void enqueue(entry it);
    entry dequeue_next();
    entry dequeue(entry_ptr it);
    void run(const entry& it);
    void run_queued();
    bool try_reserve_queue_place(request::shed_key key);
    void refuse(const entry& it, request::reason why);
    void set_timer();
    void expire();
    void sample_key(request::shed_key key);
    void integrate_running();
    void end_period();
    void lower_threshold();
    void raise_threshold(duration elapsed);
    std::size_t max_queue_length() const;
    std::size_t buffer_length() const;

    const clock& clock_;
    scheduler& timers_;
    admission_settings settings_;
    int slots_;
    concurrency_limit limit_;

    std::unordered_map<std::string, time_point> running_;

    std::array<priority_class, priority_class_count> priority_classes_;
    std::unordered_map<std::string, entry_ptr> queued_;
    // Least valuable last.
    std::map<std::pair<request::shed_key, std::uint64_t>, entry_ptr> by_key_;
    std::map<std::pair<time_point, std::uint64_t>, entry_ptr> by_expiry_;
    std::uint64_t last_number_ = 0;
    std::optional<timer_id> timer_;
    time_point timer_due_{};

    request::shed_key shed_threshold_ = request::no_shed_threshold;
    time_point period_start_;
    std::vector<request::shed_key> keys_;
    std::size_t arrived_ = 0;
    std::size_t completed_ = 0;
    // Fewest queued at any time of the period.
    std::size_t min_queue_length_ = 0;
    // Integral of running requests over the period, in microseconds.
    double running_integral_ = 0;
    time_point integrated_until_;
    // Rise times for which slots have been unused.
    double unused_rise_times_ = 0;

    bool draining_ = false;
    std::function<void()> on_idle_;
};

} // namespace shallotwood::process
