// Runs calls on the backend server beside this node.
//
// Every call that reaches the backend server passes here, from callers at this
// node and from other nodes, so this alone decides what runs: whether the
// backend server takes calls, when there is a slot, and what "not run" means.
#pragma once

#include "connection/http/client_pool.hpp"
#include "process/counters.hpp"
#include "process/load/admission_controller.hpp"
#include "process/load/crash_suspects.hpp"
#include "process/load/shed_threshold_table.hpp"
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

class local_run;

class local_runner final : public request::attempt_executor
{
public:
    struct settings {
        // Newest idle connection on which a request that must not run twice
        // is sent: the backend server may be closing an older one.
        duration non_repeatable_idle_limit = std::chrono::milliseconds(250);
        // Same for a request that may be repeated.
        duration idle_limit = std::chrono::seconds(4);
    };

    local_runner(loop::reactor& loop, const protocol_adapter& adapter,
                 counters& counts, local_backend& backend,
                 const load::shed_threshold_table& shed_thresholds,
                 load::crash_suspects& suspects);
    ~local_runner() override;

    std::shared_ptr<request::attempt>
    start(const request::attempt_request& what,
          const std::shared_ptr<request::attempt_receiver>& receiver) override;

    // Joins a run whose sender lost its connection. Null if it is not known;
    // then it never starts later.
    std::shared_ptr<local_run>
    attach(const std::string& attempt_id,
           const std::shared_ptr<request::attempt_receiver>& receiver);

    // The backend server announced itself or is gone.
    void backend_changed();
    // The backend server has crashed: what was in flight may be the cause.
    void handle_backend_crash();
    // Refuses what comes from now on.
    void set_leaving() { leaving_ = true; }

    // The load as calls on the route meet it.
    routing::load_report load(const std::string& route) const;

    // A request that runs on the backend server now.
    struct running_request {
        std::string route;
        load::shed_key key = 0;
        // Of a call tree in which something was sent to a further backend
        // server already.
        bool is_retry = false;
        load::fingerprint print = 0;
    };
    const running_request* find_running(const std::string& request_id) const;
    std::size_t runs() const { return running_; }
    std::uint64_t connections_opened() const { return pool_.opened(); }

    // Called when nothing listens at the backend server's address.
    void on_backend_lost(std::function<void()> lost)
    {
        backend_lost_listener_ = std::move(lost);
    }

    // Called with what was in flight when the backend server crashed.
    using crash_listener =
        std::function<void(const std::vector<load::fingerprint>& in_flight)>;
    void on_crash(crash_listener tell) { crash_listener_ = std::move(tell); }

private:
    friend class local_run;
    std::optional<request::reason> refusal() const;
    void forget(const std::string& attempt_id);
    void record_outcome(bool failed);
    void record_broken_run(load::fingerprint print);

    loop::reactor& loop_;
    const protocol_adapter& adapter_;
    counters& counts_;
    local_backend& backend_;
    const load::shed_threshold_table& shed_thresholds_;
    load::crash_suspects& suspects_;
    settings settings_;
    load::admission_controller gate_;
    connection::http::client_pool pool_;
    std::function<void()> backend_lost_listener_;
    crash_listener crash_listener_;
    // Runs whose connections broke a short while ago, oldest first.
    struct broken_run {
        time_point at;
        load::fingerprint print;
    };
    std::deque<broken_run> broken_runs_;
    bool leaving_ = false;
    std::size_t running_ = 0;
    // Mean of the last calls: 1 for a failure of the backend server.
    double failure_rate_ = 0;
    std::uint64_t last_arrival_ = 0;
    std::unordered_map<std::string, running_request> running_requests_;
    std::unordered_map<std::string, std::shared_ptr<local_run>> runs_;
    // Attempts that must not start any more, with the end of their entry.
    std::unordered_map<std::string, time_point> fenced_;
};

// One call on the backend server.
class local_run final : public request::attempt,
                        public std::enable_shared_from_this<local_run>,
                        private connection::http::call_events
{
public:
    local_run(local_runner& owner, const request::attempt_request& what,
              std::shared_ptr<request::attempt_receiver> receiver);

    void begin();
    void cancel() override;
    bool may_have_run() const override { return sending_started_; }
    void pause() override;
    void resume() override;

    // The connection to the sender was lost. The sender may come back for the
    // result.
    void detach();
    // False if what the former receiver got is not held any more.
    bool join(std::shared_ptr<request::attempt_receiver> receiver);

private:
    friend class local_runner;
    enum class state { waiting, running, ended };

    void handle_admission(load::admission_decision it);
    void send();
    void send_more_body();
    void refuse(request::reason why,
                std::optional<duration> retry_after = std::nullopt);
    void fail(request::execution known, request::reason why);
    void release_backend();
    void end();
    void expire();
    duration remaining() const;

    void on_response(connection::http::response_head&& head,
                     const connection::http::message_info& info) override;
    void on_response_body(std::string_view bytes) override;
    void on_response_end() override;
    void on_failure(const connection::http::call_failure& why) override;
    void on_request_drained() override { send_more_body(); }

    local_runner& owner_;
    request::attempt_request request_;
    load::fingerprint fingerprint_;
    std::shared_ptr<request::attempt_receiver> receiver_;
    state state_ = state::waiting;
    std::uint64_t arrival_ = 0;
    time_point arrived_;
    time_point deadline_;
    time_point started_;
    std::shared_ptr<connection::http::client_connection> connection_;
    timer_id timer_{};
    std::uint64_t body_sent_ = 0;
    // Something may have been sent to the backend server.
    bool sending_started_ = false;
    bool resent_ = false;
    bool paused_ = false;
    // The backend server said that it did not run the request.
    bool refused_by_backend_ = false;
    bool misdirected_ = false;

    // Copy of the response for a sender that comes back.
    std::optional<connection::http::response_head> response_head_;
    std::optional<std::uint64_t> response_length_;
    std::string response_copy_;
    bool copy_complete_ = true;
    bool response_ended_ = false;
    std::optional<request::attempt_failure> failure_;
};

} // namespace shallotwood::process::sidecar
