// Admission control for the local backend server.
//
// A request is executed at once while a slot is free and the queue is empty;
// nothing is shed then. Otherwise it is queued: by importance, then child calls
// before new requests, then round-robin between workspaces. The length of the
// queue is bounded, and so is the time of each entry in it; a full queue
// refuses the least valuable request. A queue that stayed longer than a small
// buffer for a whole period is a standing queue. The shed threshold is then set
// to the key below which as many requests arrived as completed, and beyond the
// buffer, requests with a key at or above the threshold are refused. Without a
// standing queue the threshold rises in proportion to the unused slots.
//
// A request that this module refuses has not run.
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
    // ones wait until their deadline. If the backend server is still ramping up
    // and has a free slot, a request that reaches this limit is executed.
    duration max_wait = std::chrono::milliseconds(200);
    // Shortest time between changes of the shed threshold.
    duration period = std::chrono::milliseconds(50);
    // Octaves by which the threshold reported to upstream nodes exceeds the
    // local one. Slightly more requests arrive than complete, so that slots do
    // not run empty and the arriving keys cover the right threshold. Calls of
    // depth 0 get more slack, because refusing them here wastes no work.
    double entry_slack = 3;
    double deep_slack = 0.5;
};

class admission_controller
{
public:
    // Called exactly once, possibly before arrive() returns, except after
    // cancel(): with nothing if the request is admitted, otherwise with the
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

    // An admitted request has ended. `downstream` is the time it
    // spent in calls to further services. Unknown ids are ignored.
    void finished(const std::string& attempt_id, bool success,
                  duration downstream = duration(0));

    // Removes a queued request, without a decision. False if it is not queued.
    bool cancel(const std::string& attempt_id);

    // Refuses what is queued and what arrives from now on; `idle` is called
    // when no request is executing any more.
    void drain(std::function<void()> idle);

    // The backend server announced a new number of slots; nothing else changes
    // them.
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
    // Keys sampled in a period. With more, the quantile would still be no more
    // exact than the noise of one period allows.
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
    // Minimum queue length in the period.
    std::size_t min_queue_length_ = 0;
    // Integral of running requests over the period, in microseconds.
    double running_integral_ = 0;
    time_point integrated_until_;
    // Time for which slots have been unused, in rise times.
    double unused_rise_times_ = 0;

    bool draining_ = false;
    std::function<void()> on_idle_;
};

} // namespace shallotwood::process
