// Handles one request of a caller at the node where it enters, from its head to
// the end of the response.
//
// Checks the route, the API key and the rate limit; then tries one instance
// after another until there is a response, too many refusals, or a failure
// after which a retry is not allowed. A response is buffered until it is
// complete, up to max_held_bytes, so that the request can still be retried if
// the response breaks off.
#pragma once

#include "connection/http/server_connection.hpp"
#include "process/counters.hpp"
#include "process/fleet/isolation_detector.hpp"
#include "process/latency_histogram.hpp"
#include "process/load/shed_threshold_table.hpp"
#include "process/rate/token_cache.hpp"
#include "process/retry/retry_budget.hpp"
#include "process/routing/load_balancer.hpp"
#include "process/sidecar/protocol_adapter.hpp"
#include "request/attempt.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace shallotwood::request
{

// The request, executing on the local backend server, that makes a child call.
struct parent_call {
    process::load::shed_key key = 0;
    // This request, or a call upstream of it, is a retry.
    bool is_retry = false;
};

// What an entry call uses of its node.
class entry_services
{
public:
    virtual process::loop::reactor& loop() = 0;
    virtual const process::sidecar::protocol_adapter& adapter() = 0;
    virtual process::counters& counts() = 0;
    virtual process::latency_histogram& latency() = 0;
    // Null until the first policy is known.
    virtual version::policy_ptr policy() = 0;
    virtual process::rate::token_cache& rates() = 0;
    virtual process::routing::load_balancer& load_balancer() = 0;
    virtual process::retry::retry_budget& retries() = 0;
    // Service of the local backend server.
    virtual const std::string& own_service() = 0;
    virtual process::load::shed_threshold_table& shed_thresholds() = 0;
    virtual const process::fleet::isolation_detector& isolation_detector() = 0;
    // True if neither another node nor the store answers this node.
    virtual bool is_partitioned() = 0;
    // False if this node shuts down too soon to serve a call with this timeout.
    // `may_be_child` is set if the local backend server may make the call for a
    // request that it is running.
    virtual bool accepts_call(bool may_be_child, process::duration timeout) = 0;
    // False if this node shuts down and may end before an attempt that has
    // this much time left.
    virtual bool may_start_attempt(process::duration remaining) = 0;
    // The request for which the local backend server makes the call with this
    // id; nothing if there is none. Records that its route calls `route`.
    virtual std::optional<parent_call> parent_of(const std::string& request_id,
                                                 const std::string& route) = 0;
    virtual std::string new_attempt_id() = 0;
    // Splits the route's traffic between its services by their weights.
    virtual const std::string& choose_service(const version::route& route) = 0;
    virtual std::shared_ptr<attempt>
    start_attempt(const process::fleet::instance& at,
                  const attempt_request& what,
                  const std::shared_ptr<attempt_receiver>& receiver) = 0;
    virtual void call_ended() = 0;

protected:
    ~entry_services() = default;
};

class entry_call final : public connection::http::exchange,
                         public std::enable_shared_from_this<entry_call>
{
public:
    // A longer response is streamed to the caller.
    static constexpr std::size_t max_held_bytes = std::size_t{64} * 1024;

    entry_call(entry_services& node,
               std::shared_ptr<connection::http::server_connection> caller);
    ~entry_call() override;

    void begin(connection::http::request_head&& head,
               const connection::http::message_info& info);

    void on_body(std::string_view bytes) override;
    void on_body_end() override;
    void on_left() override;
    void on_drained() override;

private:
    class attempt_listener;

    bool admit(const connection::http::request_head& head);
    bool refuse_if_isolated();
    bool refuse_if_shed();
    void acquire_token();
    void charged(std::optional<process::duration> refused);
    void start_next_attempt();
    attempt_request make_attempt_request(const process::fleet::instance& at);
    process::duration max_queue_time() const;
    process::duration remaining() const;

    // Events of the current attempt.
    void on_attempt_load(const process::routing::load_report& it);
    void on_attempt_response(connection::http::response_head&& head,
                             std::optional<std::uint64_t> length);
    void on_attempt_body(std::string_view bytes);
    void on_attempt_end();
    void on_attempt_failure(const attempt_failure& why);
    void on_attempt_silent();

    bool may_retry(const attempt_failure& why);
    void release_attempt(
        process::routing::attempt_outcome how,
        std::optional<process::duration> retry_after = std::nullopt);
    void on_deadline();
    void start_streaming();
    // Ends the call with the failure of its last attempt.
    void fail(const attempt_failure& last);
    void finish(int status, std::string_view outcome,
                const attempt_failure* why = nullptr);

    entry_services& node_;
    std::shared_ptr<connection::http::server_connection> caller_;
    process::time_point arrived_;
    process::time_point deadline_;
    process::timer_id timer_{};

    version::policy_ptr policy_;
    const version::route* route_ = nullptr;
    const version::workspace* workspace_ = nullptr;
    connection::http::request_head head_;
    std::string request_id_;
    process::load::shed_key key_ = 0;
    // Made for a request that is itself a retry. It isn't retried again,
    // because retries at each level of the call graph would multiply.
    bool parent_is_retry_ = false;
    std::string service_;
    std::shared_ptr<upload> request_body_;

    std::shared_ptr<attempt_listener> listener_;
    std::shared_ptr<attempt> attempt_;
    std::string instance_;
    std::vector<std::string> tried_;
    // Refusals before execution. They don't count against the retry budget.
    int refusals_ = 0;
    // Attempts in which a backend server may have received the request.
    int delivered_attempts_ = 0;
    process::time_point sent_at_;

    std::optional<connection::http::response_head> response_;
    std::optional<std::uint64_t> length_;
    std::string buffered_body_;
    bool streaming_ = false;
    bool rate_charged_ = false;
    // True if any of the attempts may have run.
    bool may_have_run_ = false;
    bool started_ = false;
    bool ended_ = false;
};

} // namespace shallotwood::request
