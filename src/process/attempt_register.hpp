// Records the state of each attempt sent to this node, so that a sender that
// got no response can learn whether its attempt ran.
//
// A sender may retry a request that must not run twice only if the fence of its
// last attempt returns "not run". That result is returned for an attempt that
// has not started, which from then on never starts. It requires that the sender
// knew this process when it sent the attempt, and that finished attempts of
// that age are still retained; in all other cases the result is "may have run".
//
// Retention counts only the time in which this process runs: while it is
// paused, late attempts wait in its sockets, so entries must not expire.
//
// Bounds: max_attempts entries; at the bound new attempts are refused and new
// fences return "may have run", and no entry is dropped early. At most
// max_pending_fences requests to other nodes.
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
    duration finished_retention = std::chrono::seconds(60);
    // The fence of an unknown attempt sent longer ago than this returns "may
    // have run". Half of finished_retention leaves room for the transit of the
    // request.
    duration max_fence_age = std::chrono::seconds(30);
    // By default, Linux gives up TCP retransmission after about 15 minutes, so
    // no older attempt can still arrive.
    duration fenced_retention = std::chrono::minutes(30);

    // A sender repeats a fence request at this interval until the timeout.
    duration fence_resend_interval = std::chrono::milliseconds(150);
    duration fence_timeout = std::chrono::milliseconds(600);
    std::size_t max_pending_fences = 10'000;
};

class attempt_register
{
public:
    // `first_incarnation` returns the lowest incarnation of this node that
    // belongs to this process, or 0 while that is unknown, as
    // membership::first_incarnation() does. While it returns 0, the fence of an
    // unknown attempt returns "may have run".
    attempt_register(event_loop& loop, peer_transport& transport,
                     counters& counts,
                     const attempt_register_settings& settings,
                     std::function<std::uint64_t()> first_incarnation);
    ~attempt_register();
    attempt_register(const attempt_register&) = delete;
    attempt_register& operator=(const attempt_register&) = delete;

    enum class admission {
        // The attempt is recorded as started and may run now.
        started,
        // Fenced: "not run" has been reported, so it must not run.
        fenced,
        // An attempt with this id has started before.
        duplicate,
        // The register is full; the attempt must not run.
        full,
    };

    // Call immediately before sending the attempt to the backend server.
    admission start(const std::string& attempt_id);

    // The attempt has ended. `how` is not_run only if the backend server
    // refused to run it.
    void finish(const std::string& attempt_id, request::execution outcome);

    // Prevents the attempt from starting if it has not started. `sent_ago` is
    // the time since the sender sent it, and `incarnation` that of this node
    // which the sender knew at that time.
    request::execution fence(const std::string& attempt_id,
                             std::uint64_t incarnation, duration sent_ago);

    // Requests that the node at `to` fence an attempt sent to it. `done` is
    // called once, asynchronously, with may_have_run if there is no response.
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
    // Drops `attempt_id` when running_time_ reaches `at`.
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
    // Ordered by expiry, because each queue has one retention time.
    std::deque<expiry> finished_;
    std::deque<expiry> fenced_;
    // Running time of this process since construction, without pauses.
    duration running_time_{0};
    time_point last_tick_;

    std::uint64_t last_fence_id_ = 0;
    std::unordered_map<std::uint64_t, pending_fence> pending_fences_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace shallotwood::process
