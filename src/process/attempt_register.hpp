// What became of each attempt that was sent to this node, told truthfully to
// senders that got no response.
//
// A sender may make another attempt of a request that must not run twice only
// if it hears "not run" here. That answer is given for an attempt that has not
// started, and from then on it never starts. It is also given only to senders
// that knew this very process when they sent the attempt, and only while
// finished attempts of that age are still known here; everything else "may
// have run".
//
// Retention counts the time in which this process runs: while it is paused,
// late attempts wait in its sockets and its entries must wait with them.
//
// Bounds: max_attempts entries. At the bound new attempts are refused and new
// fences answer "may have run"; nothing is forgotten early. Asking:
// max_pending_fences.
#pragma once

#include "process/counters.hpp"
#include "process/event_loop.hpp"
#include "process/peer_transport.hpp"
#include "request/verdict.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace shallotwood::process
{

struct attempt_register_settings {
    std::size_t max_attempts = 100'000;
    // How long a finished attempt is known.
    duration finished_retention = std::chrono::seconds(60);
    // An attempt sent longer ago than this is not answered with "not run" if
    // it is unknown. Half of finished_retention leaves room for the trip of the
    // question.
    duration max_fence_age = std::chrono::seconds(30);
    // How long a fenced attempt is known. TCP gives up retransmission after
    // about 15 minutes by Linux's default, so nothing older still arrives.
    duration fenced_retention = std::chrono::minutes(30);

    // A sender asks again after each step and gives up after the limit.
    duration fence_resend_interval = std::chrono::milliseconds(150);
    duration fence_timeout = std::chrono::milliseconds(600);
    std::size_t max_pending_fences = 10'000;
};

class attempt_register
{
public:
    // `first_incarnation` gives the lowest incarnation of this node that
    // belongs to this process, or 0 while that is not known, such as
    // membership::first_incarnation(). While it gives 0, every fence answers
    // "may have run".
    attempt_register(event_loop& loop, peer_transport& transport,
                     counters& counts,
                     const attempt_register_settings& settings,
                     std::function<std::uint64_t()> first_incarnation);
    ~attempt_register();
    attempt_register(const attempt_register&) = delete;
    attempt_register& operator=(const attempt_register&) = delete;

    enum class admission {
        // It may run now, and is known to have started.
        started,
        // It was fenced: "not run" has been told, so it must not run.
        fenced,
        // An attempt with this id has started before.
        duplicate,
        // At the bound; it must not run.
        full,
    };

    // Immediately before the attempt goes to the backend server.
    admission start(const std::string& attempt_id);

    // The attempt has ended. `how` is not_run only if the backend server
    // refused it unrun.
    void finish(const std::string& attempt_id, request::execution outcome);

    // Keeps the attempt from starting if it has not started. `sent_ago` is how
    // long ago the sender sent it, and `incarnation` the one of this node that
    // the sender knew then.
    request::execution fence(const std::string& attempt_id,
                             std::uint64_t incarnation, duration sent_ago);

    // Asks the node at `to` to fence an attempt sent to it. `done` is called
    // once, later; with may_have_run if no answer comes.
    void request_fence(const peer_address& to, const std::string& attempt_id,
                       std::uint64_t incarnation, duration sent_ago,
                       std::function<void(request::execution)> done);

    std::size_t size() const { return attempts_.size(); }

    static constexpr std::size_t max_id_bytes = 128;

private:
    enum class state { running, finished, fenced };
    struct attempt {
        state now = state::running;
        request::execution outcome = request::execution::may_have_run;
    };
    // Forget `attempt_id` when running time reaches `at`.
    struct expiry {
        duration at;
        std::string attempt_id;
    };
    struct pending_fence {
        peer_address to;
        std::string attempt_id;
        std::uint64_t incarnation = 0;
        time_point sent;
        time_point gives_up_at;
        std::function<void(request::execution)> done;
    };

    void tick();
    void drop_expired(std::deque<expiry>& queue);
    void send_fence(std::uint64_t id);
    void complete_fence(std::uint64_t id, request::execution outcome);
    void on_fence_request(const peer_address& from, const Json::Value& params);
    void on_fence_response(const peer_address& from, const Json::Value& params);
    void after(duration delay, std::function<void()> task);

    event_loop& loop_;
    peer_transport& transport_;
    counters& counts_;
    const attempt_register_settings settings_;
    const std::function<std::uint64_t()> first_incarnation_;

    std::unordered_map<std::string, attempt> attempts_;
    // In the order of their times, because each has one retention.
    std::deque<expiry> finished_;
    std::deque<expiry> fenced_;
    // Time for which this process has run since the register was made.
    duration running_time_{0};
    time_point last_tick_;

    std::uint64_t last_fence_id_ = 0;
    std::unordered_map<std::uint64_t, pending_fence> pending_fences_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace shallotwood::process
