// Interfaces between the data path and the modules that make its decisions.
//
// The data path moves bytes: it reads requests, forwards them, streams bodies,
// cancels, and reports what happened. Whether, where and how often a request
// runs is decided behind these interfaces. All calls are made on the loop;
// `done` callbacks are called exactly once, possibly before the call returns,
// except after the matching cancel.
#pragma once

#include "request/call_context.hpp"
#include "request/verdict.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace shallotwood::request
{

// The parts of a caller's request on which decisions depend.
struct caller_request {
    std::string method;
    // With query.
    std::string path;
    // From `Authorization: Bearer`; empty if there was none.
    std::string key;
    std::string idempotency_key;
    std::optional<process::duration> timeout;
    // Hash of method, path and body as far as it is known before the body
    // streams; identifies a request that the caller retries.
    std::string fingerprint;
};

struct refusal {
    verdict what;
    int status = 503;
    std::optional<process::duration> retry_after;
};

// The recorded response, returned to retries of a request that must run at
// most once.
struct recorded_response {
    int status = 0;
    std::string content_type;
    std::string body;
    // False if the body was larger than the record holds.
    bool body_recorded = true;
};

// A call that is to be made, at the entry node or for a backend server.
struct call {
    call_context context;
    std::string service;
    // Path and query at the backend server.
    std::string path;
    std::string fingerprint;
    // Where the next attempt has to go; empty to choose freely.
    std::string instance;
};

// What comes back with a response, in `Shallotwood-Feedback`.
struct call_feedback {
    verdict what;
    // Retries of the allowance that were not used below.
    int unused_retries = 0;
    // Lowest shed threshold in the call tree downstream.
    shed_key shed_threshold = no_shed_threshold;
    // True if another attempt at this hop can't help: downstream is overloaded.
    bool final = false;
    // The only instance that would take another attempt; empty if any might.
    std::string redirect = {};
};

using entry_result = std::variant<call, refusal, recorded_response>;

class entry_policy
{
public:
    virtual ~entry_policy() = default;

    virtual void enter(const caller_request& it,
                       std::function<void(entry_result)> done) = 0;

    // Before the first byte of the response to a call that is not repeatable
    // goes to the caller. `done` gets nothing, or the refusal to send instead.
    virtual void record(const call& it, const recorded_response& response,
                        std::function<void(std::optional<refusal>)> done) = 0;

    // The request has ended, whole or not. Called once for each call that
    // enter() gave.
    virtual void leave(const call& it, const call_feedback& feedback) = 0;
};

// The node to forward a call to.
struct target {
    std::string instance;
    std::string host;
    std::uint16_t port = 0;
};

class routing_policy
{
public:
    virtual ~routing_policy() = default;

    // `tried` holds the instances that refused this call already.
    virtual std::variant<target, refusal>
    choose(const call& it, const std::vector<std::string>& tried) = 0;

    // Brackets each attempt: sent() before the first byte, answered() when the
    // response has ended or failed.
    virtual void sent(const call& it, const target& to) = 0;
    virtual void answered(const call& it, const target& to,
                          const call_feedback& feedback,
                          process::duration elapsed) = 0;

    // Whether to make another attempt; spends a retry of the call's allowance
    // and gives it a new attempt id.
    virtual bool retry(call& it, const call_feedback& feedback) = 0;

    // Asks the node of an attempt that went silent whether it was started, and
    // keeps it from starting later. Gives may_have_run when nothing is heard.
    virtual void fence(const call& it, const target& to,
                       std::function<void(execution)> done) = 0;

    // A call by the local backend server for the request behind `token`.
    virtual std::variant<call, refusal>
    begin_child(const std::string& token, const std::string& service,
                const std::string& path) = 0;
    virtual void end_child(const std::string& token, const call& child,
                           const call_feedback& feedback) = 0;
};

// Permission to execute a call on the local backend server.
struct execution_permit {
    std::string token;
    std::string host;
    std::uint16_t port = 0;
    process::duration remaining{};
};

// How a call on the local backend server ended.
enum class execution_end {
    // A complete response, of any status.
    response,
    // The backend server refused it without running it, such as when draining.
    refused,
    // The connection broke or the response was cut short.
    failed,
    // The deadline passed.
    deadline,
    // The caller disconnected.
    cancelled,
};

class execution_policy
{
public:
    virtual ~execution_policy() = default;

    // A call has arrived from a peer. `done` may be called after a time in
    // the queue.
    virtual void arrive(
        const call& it,
        std::function<void(std::variant<execution_permit, refusal>)> done) = 0;

    // The sender disconnected while the call was queued or running. If it was
    // queued, `done` is not called any more; if it was running, ended() still
    // follows.
    virtual void cancel(const std::string& attempt_id) = 0;

    // After a permit: the call has ended on the local backend server.
    virtual void ended(const std::string& attempt_id, execution_end how,
                       int status) = 0;

    // What to send back with the response of this attempt; call it before
    // ended().
    virtual call_feedback feedback(const std::string& attempt_id,
                                   const verdict& what) = 0;
};

} // namespace shallotwood::request
