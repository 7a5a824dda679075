// One attempt to execute a request on a backend server: what the entry node
// sends, and the events that it gets back.
//
// A request is what a caller sends; a call is one hop of the call graph made
// for it; an attempt is one try to have one instance execute a call.
#pragma once

#include "connection/http/message.hpp"
#include "process/load/shed_key.hpp"
#include "process/routing/load_balancer.hpp"
#include "request/upload.hpp"
#include "request/verdict.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace shallotwood::request
{

struct attempt_request {
    // As the caller sent it.
    std::string request_id;
    // Unique among all nodes and attempts.
    std::string attempt_id;
    std::string route;
    std::string service;
    // Empty on a route that is open to all.
    std::string workspace;
    // Service of the instance at which the request entered.
    std::string caller_service;
    // False if it must not run twice.
    bool repeatable = true;
    // Made by a backend server for a request in progress. Child calls go
    // before new requests: refusing them would waste the work already done.
    bool is_child_call = false;
    // Of the request at the root of the call tree.
    process::load::shed_key key = 0;
    // 1 for the first backend server that the request is sent to.
    int attempt_number = 1;
    // This is a retry, or a child call of an execution that was one.
    bool is_retry = false;
    // Time until the deadline set by the caller or by the route's timeout.
    process::duration remaining{};
    // Longest time that it may wait in the queue of the instance.
    process::duration max_queue_time{};
    // What this node knows of the backend server, for an executing node that
    // has restarted since.
    process::routing::backend_notice notice;
    // What this node knows of the speed of the service's other instances.
    std::vector<process::routing::instance_speed> speeds;
    // Revision of the policy under which it was routed.
    std::uint64_t policy_revision = 0;
    connection::http::request_head head;
    std::shared_ptr<upload> body;
};

// Why an attempt gave no complete response.
struct attempt_failure {
    verdict what;
    // Set by a refusal: when to try again.
    std::optional<process::duration> retry_after;
};

// Receives the events of one attempt, in this order: on_response, any number of
// on_response_body, on_response_end; or on_failure before on_response_end.
class attempt_receiver
{
public:
    virtual ~attempt_receiver() = default;
    // Before the other events, if the instance reported its load.
    virtual void on_load(const process::routing::load_report& it) { (void)it; }
    virtual void on_response(connection::http::response_head&& head,
                             std::optional<std::uint64_t> length) = 0;
    virtual void on_response_body(std::string_view bytes) = 0;
    virtual void on_response_end() = 0;
    virtual void on_failure(const attempt_failure& why) = 0;
    // The peer node is silent, but may still answer. Only for an attempt that
    // is repeatable and has no response yet; the receiver may cancel the
    // attempt from within this function.
    virtual void on_silent() {}
};

// Handle of an attempt in progress.
class attempt
{
public:
    virtual ~attempt() = default;
    // Drops the attempt; no events follow.
    virtual void cancel() = 0;
    // False as long as it is certain that no backend server has received the
    // request, and that none will after a cancel().
    virtual bool may_have_run() const = 0;
    // The receiver stops or resumes taking the response's body.
    virtual void pause() {}
    virtual void resume() {}
};

// Starts attempts on the local backend server or through a peer node.
class attempt_executor
{
public:
    virtual ~attempt_executor() = default;
    // Events may be delivered before start() returns.
    virtual std::shared_ptr<attempt>
    start(const attempt_request& what,
          const std::shared_ptr<attempt_receiver>& receiver) = 0;
};

} // namespace shallotwood::request
