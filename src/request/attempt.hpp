// One attempt to run a request on a backend server: what the node at its entry
// sends, and what it learns of it.
#pragma once

#include "connection/http/message.hpp"
#include "process/load/shed_key.hpp"
#include "process/routing/placement.hpp"
#include "request/upload.hpp"
#include "request/verdict.hpp"

#include <memory>
#include <optional>
#include <string>

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
    // Made by a backend server for a request under way. Such calls are served
    // before new work, which would waste what has been done for them.
    bool is_child_call = false;
    // Of the request at the root of the call tree.
    process::load::shed_key key = 0;
    // 1 for the first backend server that it is sent to.
    int attempt_number = 1;
    // This is a further attempt, or the call of a run that was one.
    bool is_retry = false;
    // Until the caller or the operator's timeout gives it up.
    process::duration remaining{};
    // How long it may wait for its turn.
    process::duration max_queue_time{};
    // Revision of the policy under which it was routed.
    std::uint64_t policy_revision = 0;
    connection::http::request_head head;
    std::shared_ptr<upload> body;
};

// Why a run did not give a whole response.
struct attempt_failure {
    verdict what;
    // Hint of a refusal.
    std::optional<process::duration> retry_after;
};

// Gets the events of one run, in this order: on_response, any number of
// on_response_body, on_response_end; or on_failure before on_response_end.
class attempt_receiver
{
public:
    virtual ~attempt_receiver() = default;
    // Before the other events, if the instance said how loaded it is.
    virtual void on_load(const process::routing::load_report& it) { (void)it; }
    virtual void on_response(connection::http::response_head&& head,
                             std::optional<std::uint64_t> length) = 0;
    virtual void on_response_body(std::string_view bytes) = 0;
    virtual void on_response_end() = 0;
    virtual void on_failure(const attempt_failure& why) = 0;
    // The node that was asked does not answer, and may still. Only for a run
    // that may be repeated and has not responded; it may be cancelled in this.
    virtual void on_silent() {}
};

// A run under way.
class attempt
{
public:
    virtual ~attempt() = default;
    // The result is of no use any more; no events follow.
    virtual void cancel() = 0;
    // False as long as it is certain that no backend server has got it, and
    // none will after a cancel().
    virtual bool may_have_run() const = 0;
    // The receiver stops or resumes taking the response's body.
    virtual void pause() {}
    virtual void resume() {}
};

// Starts runs: on the backend server beside this node, or by another node.
class attempt_executor
{
public:
    virtual ~attempt_executor() = default;
    // Events may come before this returns.
    virtual std::shared_ptr<attempt>
    start(const attempt_request& what,
          const std::shared_ptr<attempt_receiver>& receiver) = 0;
};

} // namespace shallotwood::request
