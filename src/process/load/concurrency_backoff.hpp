// Learns from its rejections how many calls a backend server takes at once.
//
// Handles a backend server that sheds by itself below its announced slots. The
// limit of running calls falls with each rejection, but in one step not below
// the calls that the server kept running. It rises in steps while there are no
// rejections; after a step that led to a rejection, the next one waits longer.
//
// Some rejections do not depend on the load: a server may reject a part of all
// requests, whatever it runs. They are recognized by their share, which is the
// same with few running calls as with many. The limit then returns to its
// maximum, and the caller counts the rejections as failures instead.
#pragma once

#include "process/event_loop.hpp"

#include <cstddef>
#include <deque>
#include <functional>
#include <string_view>

namespace shallotwood::process::load
{

class concurrency_backoff
{
public:
    enum class state {
        // The limit is at its maximum.
        unlimited,
        // The limit is reduced, or rises again.
        reduced,
        // The rejections do not depend on the load.
        load_independent,
    };

    // A call that was sent to the backend server.
    struct sent_call {
        time_point at;
        // Calls that ran at that time, without this one.
        int others = 0;
    };

    concurrency_backoff(const clock& time, scheduler& timers);
    ~concurrency_backoff();
    concurrency_backoff(const concurrency_backoff&) = delete;
    concurrency_backoff& operator=(const concurrency_backoff&) = delete;

    // Called after each change of the limit or the state.
    void on_change(std::function<void()> changed)
    {
        changed_ = std::move(changed);
    }

    // Sets the maximum, which is the limit without rejections.
    void set_maximum(int maximum);
    // The backend server is a new one.
    void reset();
    // A call was answered; `rejected` if the server did not run it. `running`
    // is the number of further calls that it still runs.
    void record(const sent_call& call, bool rejected, int running);

    int limit() const { return limit_; }
    state current() const { return state_; }
    // Rejected share of the calls that were answered recently.
    double rejected_share() const;
    // The share in the state load_independent, when that was entered.
    double independent_share() const { return independent_share_; }

    // Calls kept for the decision; enough for a share within 5%.
    static constexpr std::size_t max_samples = 512;

private:
    struct sample {
        sent_call call;
        time_point ended;
        bool rejected = false;
    };
    struct tally {
        int calls = 0;
        int rejected = 0;
        double share() const { return calls == 0 ? 0 : 1.0 * rejected / calls; }
    };

    tally count_since(time_point from) const;
    bool is_load_independent() const;
    void begin_reduction();
    void reduce(int running);
    void enter(state next, int limit);
    void watch_load_independent();
    void step();
    void set_timer(duration delay);

    const clock& clock_;
    scheduler& timers_;
    std::function<void()> changed_;
    int maximum_ = 1;
    int limit_ = 1;
    state state_ = state::unlimited;
    std::deque<sample> samples_;
    // Samples of calls sent before this time say nothing about the server's
    // present behavior.
    time_point samples_from_{};
    time_point last_reduction_{};
    time_point last_rejection_{};
    // A step up that no rejection has answered yet.
    bool step_pending_ = false;
    duration step_interval_{};
    // Share that was found not to depend on the load.
    double independent_share_ = 0;
    timer_id timer_{};
    bool timer_set_ = false;
};

std::string_view name_of(concurrency_backoff::state it);

} // namespace shallotwood::process::load
