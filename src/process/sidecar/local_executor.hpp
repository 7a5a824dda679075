// Executes calls on the backend server beside this node.
//
// Every call to the backend server goes through this class, whether it comes
// from a caller of this node or from another node. It alone decides whether the
// backend server takes calls, when a slot is free, and which requests are
// reported as not run.
#pragma once

#include "connection/http/client_pool.hpp"
#include "connection/net/listen_check.hpp"
#include "process/callback_guard.hpp"
#include "process/counters.hpp"
#include "process/load/admission_controller.hpp"
#include "process/load/cold_start.hpp"
#include "process/load/cost_model.hpp"
#include "process/load/crash_suspects.hpp"
#include "process/load/remaining_work.hpp"
#include "process/load/service_times.hpp"
#include "process/load/shed_threshold_table.hpp"
#include "process/retry/retry_budget.hpp"
#include "process/sidecar/forgotten_attempts.hpp"
#include "process/sidecar/local_backend.hpp"
#include "process/sidecar/protocol_adapter.hpp"
#include "request/attempt.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace shallotwood::process::sidecar
{

class local_attempt;

class local_executor final : public request::attempt_executor
{
public:
    struct settings {
        // A request that must not run twice reuses a connection only if it has
        // been idle for at most this time: the backend server may be closing
        // one that has been idle for longer.
        duration non_repeatable_idle_limit = std::chrono::milliseconds(250);
        // The same limit for a request that may be repeated.
        duration idle_limit = std::chrono::seconds(4);
    };

    local_executor(loop::reactor& loop, const protocol_adapter& adapter,
                   counters& counts, local_backend& backend,
                   const load::shed_threshold_table& shed_thresholds,
                   load::crash_suspects& suspects);
    ~local_executor() override;

    std::shared_ptr<request::attempt>
    start(const request::attempt_request& what,
          const std::shared_ptr<request::attempt_receiver>& receiver) override;

    // Attaches a new receiver to an attempt whose sender lost its connection.
    // Returns null if there is nothing to attach to; the receiver is told why.
    // An attempt that has never come here is reported as not run, and fenced,
    // so that it can't start later.
    std::shared_ptr<local_attempt>
    attach(const std::string& attempt_id,
           const std::shared_ptr<request::attempt_receiver>& receiver);

    // Call when the state of the backend server has changed.
    void backend_changed();
    // The backend server has crashed: reports the requests that were in flight,
    // any of which may be the cause.
    void handle_backend_crash();
    // An announcement that `backend` has accepted; call it before
    // backend_changed(), so that a cold server gets no burst.
    // `started_in_traffic` as for load::cold_start.
    void handle_announcement(const announcement& it, bool started_in_traffic);
    void set_cold_bound(const load::cold_bound& it) { cold_.set_bound(it); }
    // What the policy in force says of the backend server's service.
    void set_cold_policy(const load::cold_policy& it) { cold_.set_policy(it); }
    const load::cold_start& cold() const { return cold_; }
    // Called when cold() may have changed.
    void on_cold_changed(std::function<void()> changed)
    {
        cold_listener_ = std::move(changed);
    }
    // Bounds how often requests are sent to the backend server again because
    // their connection broke. `nodes` share the allowance.
    void set_resend_budget(const retry::budget_settings& budget,
                           std::size_t nodes);
    // Refuses all new attempts from now on.
    void set_leaving() { leaving_ = true; }
    // Refuses new and queued attempts while the failure domain of this node is
    // evacuated; running ones end.
    void set_evacuated(bool evacuated);
    // Called before an attempt is queued or started; false refuses it, because
    // it is not known whether the failure domain is evacuated.
    void on_evacuation_check(std::function<bool()> known)
    {
        evacuations_known_ = std::move(known);
    }

    // Load report for calls on the route.
    routing::load_report load(const std::string& route) const;

    // A request that is running on the backend server.
    struct running_request {
        std::string route;
        load::shed_key key = 0;
        // True if this request, or one above it in its call tree, is a retry
        // on a further backend server.
        bool is_retry = false;
        load::fingerprint request_fingerprint = 0;
    };
    const running_request* find_running(const std::string& request_id) const;
    std::size_t running_attempts() const { return running_; }
    // Expected work of the backend server's running and queued calls.
    duration work_left() const { return remaining_work_.left(); }
    const load::cost_model& costs() const { return cost_model_; }
    // Logs how well the costs of the routes are predicted.
    void log_costs() const;
    std::uint64_t connections_opened() const { return pool_.opened(); }

    // Called when a call has shown that the backend server is gone or leaves.
    void on_backend_changed(std::function<void(std::string_view cause)> changed)
    {
        backend_listener_ = std::move(changed);
    }

    // Called when an attempt gets a slot; false refuses it as draining, because
    // the process may end before an attempt that has this much time left.
    void on_start_check(std::function<bool(duration remaining)> may_start)
    {
        may_start_ = std::move(may_start);
    }

    // Called with the requests that were in flight when the backend server
    // crashed.
    using crash_listener =
        std::function<void(const std::vector<load::fingerprint>& in_flight)>;
    void on_crash(crash_listener tell) { crash_listener_ = std::move(tell); }

private:
    friend class local_attempt;
    std::optional<request::reason> refusal() const;
    // What the backend server serves when it is warm, in requests per second.
    double capacity() const;
    void cold_changed();
    // Whether a request whose idle connection was closed may be sent again.
    bool may_resend();
    void evacuation_ended();
    // The part of it that holds for queued attempts as well.
    std::optional<request::reason> evacuation_refusal() const;
    // The backend server's latest response says so.
    void record_notice(const routing::backend_notice& it);
    // Another node knows of an earlier response, which this node may have
    // forgotten in a restart.
    void adopt_notice(const routing::backend_notice& it);
    void apply_notice(const routing::backend_notice& it);
    void forget(const std::string& attempt_id);
    // The same for an attempt whose outcome may still be asked for.
    void forget_outcome(const std::string& attempt_id);
    void record_outcome(bool failed);
    void record_broken_attempt(load::fingerprint request_fingerprint);
    void handle_listen_check(bool listens);
    void handle_unreachable();

    loop::reactor& loop_;
    const protocol_adapter& adapter_;
    counters& counts_;
    local_backend& backend_;
    retry::retry_budget resend_budget_;
    const load::shed_threshold_table& shed_thresholds_;
    load::crash_suspects& suspects_;
    settings settings_;
    load::admission_controller admission_controller_;
    load::cold_start cold_;
    load::service_times service_times_;
    load::cost_model cost_model_;
    load::remaining_work remaining_work_;
    connection::http::client_pool pool_;
    std::function<void(std::string_view)> backend_listener_;
    std::function<void()> cold_listener_;
    // Phase and end of the cold time that were logged last.
    load::cold_phase logged_phase_ = load::cold_phase::warm;
    load::cold_cause logged_cause_ = load::cold_cause::announced;
    time_point logged_until_{};
    std::function<bool(duration)> may_start_;
    crash_listener crash_listener_;
    // Attempts whose connections broke within the last seconds, oldest first.
    struct broken_attempt {
        time_point at;
        load::fingerprint request_fingerprint;
        // The backend server was found listening after that.
        bool listened_later;
    };
    std::deque<broken_attempt> broken_attempts_;
    connection::net::listen_check listen_check_;
    bool leaving_ = false;
    bool evacuated_ = false;
    std::function<bool()> evacuations_known_;
    routing::backend_notice notice_;
    // True once the backend server has answered this process.
    bool notice_recorded_ = false;
    std::size_t running_ = 0;
    // Moving average over recent calls: 1 for a failure of the backend server,
    // 0 for a success.
    double failure_rate_ = 0;
    std::uint64_t last_arrival_ = 0;
    std::unordered_map<std::string, running_request> running_requests_;
    std::unordered_map<std::string, std::shared_ptr<local_attempt>> attempts_;
    // Attempts that must not start any more, with the expiry of each entry.
    std::unordered_map<std::string, time_point> fenced_;
    forgotten_attempts forgotten_;
    callback_guard guard_;
};

// One attempt on the local backend server.
class local_attempt final : public request::attempt,
                            public std::enable_shared_from_this<local_attempt>,
                            private connection::http::call_events
{
public:
    local_attempt(local_executor& owner, const request::attempt_request& what,
                  std::shared_ptr<request::attempt_receiver> receiver);

    void begin();
    void cancel() override;
    bool may_have_run() const override { return sending_started_; }
    void pause() override;
    void resume() override;

    // The connection to the sender was lost. The sender may reconnect and ask
    // for the result.
    void detach();
    // Returns false if the outcome is not known, or the part of the response
    // that the former receiver got is no longer held.
    bool join(std::shared_ptr<request::attempt_receiver> receiver);

private:
    friend class local_executor;
    enum class state { waiting, running, ended };

    void handle_admission(load::admission_decision it);
    void send();
    void send_more_body();
    bool may_resend(const connection::http::call_failure& why);
    void refuse(request::reason why,
                std::optional<duration> retry_after = std::nullopt);
    void fail(request::execution known, request::reason why);
    // The response can't be told to belong to this request.
    void reject_response();
    // The backend server's refusal is whole, or as much of it as is read.
    void finish_refusal();
    void release_backend();
    // The executor is being destroyed.
    void abandon();
    void end();
    void expire();
    duration remaining() const;

    void on_response(connection::http::response_head&& head,
                     const connection::http::message_info& info) override;
    void on_response_body(std::string_view bytes) override;
    void on_response_end() override;
    void on_failure(const connection::http::call_failure& why) override;
    void on_request_drained() override { send_more_body(); }

    local_executor& owner_;
    request::attempt_request request_;
    load::fingerprint fingerprint_;
    std::shared_ptr<request::attempt_receiver> receiver_;
    state state_ = state::waiting;
    std::uint64_t arrival_ = 0;
    time_point arrived_;
    time_point deadline_;
    time_point started_;
    // As started_, or earlier if the request was sent again.
    time_point first_sent_;
    std::shared_ptr<connection::http::client_connection> connection_;
    timer_id timer_{};
    std::uint64_t body_sent_ = 0;
    // Something may have been sent to the backend server.
    bool sending_started_ = false;
    bool resent_ = false;
    // The request was sent before, and may have run then.
    bool earlier_may_have_run_ = false;
    bool paused_ = false;
    // The backend server answered that it did not run the request.
    bool refused_by_backend_ = false;
    bool misdirected_ = false;
    std::size_t refusal_bytes_ = 0;

    // Copy of the response for a sender that reconnects.
    std::optional<connection::http::response_head> response_head_;
    std::optional<std::uint64_t> response_length_;
    std::string response_copy_;
    bool copy_complete_ = true;
    bool response_ended_ = false;
    std::optional<request::attempt_failure> failure_;
};

} // namespace shallotwood::process::sidecar
