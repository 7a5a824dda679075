// Decides how fast requests may start on a local backend server that is cold.
//
// A backend server is cold for some time after it starts, and may become cold
// again at any moment. A cold server is slow and crashes at a rate well above
// the one that the configuration names for it. This class keeps the time until
// which the server is cold, from its announcements and from signs that it has
// restarted, and gives the limit of starts: the configured rate while the
// server is cold, then a ramp, then none.
//
// Inactive while the configuration names no rate.
#pragma once

#include "process/event_loop.hpp"
#include "process/load/start_pacer.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <tuple>

namespace shallotwood::process::load
{

// What a cold backend server may get in any second: its rate times `excess`
// plus `slack` requests.
struct cold_bound {
    double excess = 1;
    double slack = 0;

    auto fields() const { return std::tie(excess, slack); }
    friend bool operator==(const cold_bound& a, const cold_bound& b)
    {
        return a.fields() == b.fields();
    }
};

// What the configuration says of a service's cold backend servers.
struct cold_policy {
    // Requests per second that a cold server tolerates; 0 for no limit.
    double rate = 0;
    // How long a server stays cold after a start.
    duration warmup{};

    auto fields() const { return std::tie(rate, warmup); }
    friend bool operator==(const cold_policy& a, const cold_policy& b)
    {
        return a.fields() == b.fields();
    }
};

enum class cold_cause {
    // The server's announcement says so.
    announced,
    // The server has started, and its announcement does not say whether it is
    // cold.
    started,
    // The connections to the server broke, so it may have restarted.
    restart_suspected,
    // The server may have become cold while it got no requests.
    evacuation_ended,
};

std::string_view name_of(cold_cause cause);

enum class cold_phase { warm, cold, ramp };

class cold_start
{
public:
    // Called after each change of the phase, of the limit or of the time until
    // which the server is cold.
    using listener = std::function<void()>;

    // `capacity` returns what the warm server can serve, in requests per
    // second; the ramp ends there.
    cold_start(const clock& time, scheduler& timers,
               std::function<double()> capacity, listener changed);
    ~cold_start();
    cold_start(const cold_start&) = delete;
    cold_start& operator=(const cold_start&) = delete;

    // Without a bound there is no limit until the policy is known.
    void set_bound(const cold_bound& it);
    void set_policy(const cold_policy& it);

    // An announcement that is neither late nor out of order. `start` identifies
    // the start of the server. `started_in_traffic` says for the first
    // announcement that this process sees whether the server started after the
    // process.
    void handle_announcement(std::uint64_t start, bool started_in_traffic,
                             std::optional<duration> warmup_left);
    // The connections to the server broke: cold until the next announcement.
    void suspect_restart();
    // Treats the server as cold for the time that it stays so after a start.
    void assume_cold(cold_cause cause);

    // True if the server's starts are limited while it is cold.
    bool limits() const;
    cold_phase phase() const { return phase_; }
    // The cause of the current or the last cold time.
    cold_cause cause() const { return cause_; }
    // Time until the server is warm; 0 if it is not cold.
    duration left() const;
    std::optional<start_limit> limit() const;
    // For other nodes: requests per second until the ramp has ended, then 0.
    double published_rate() const;

private:
    double rate() const;
    double max_burst() const;
    time_point cold_until() const;
    void update();
    void begin_ramp();
    void end_ramp_step();
    void set_timer(duration delay, void (cold_start::*task)());
    void cancel_timer();

    const clock& clock_;
    scheduler& timers_;
    std::function<double()> capacity_;
    listener changed_;
    std::optional<cold_bound> bound_;
    std::optional<cold_policy> policy_;
    cold_phase phase_ = cold_phase::warm;
    cold_cause cause_ = cold_cause::announced;
    // Of the latest announcement; empty before the first.
    std::optional<std::uint64_t> start_;
    time_point announced_until_{};
    // The server counts as cold for the policy's warmup from here.
    std::optional<time_point> assumed_from_;
    std::optional<time_point> suspected_at_;
    // The announcement that is handled refutes a suspicion.
    bool refuted_ = false;
    int ramp_step_ = 0;
    timer_id timer_{};
    bool timer_set_ = false;
};

} // namespace shallotwood::process::load
