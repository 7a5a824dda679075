// Translates between the wire formats of callers, backend servers and the
// platform, and the types of this project.
//
// An implementation only translates; it makes no decisions.
#pragma once

#include "connection/http/message.hpp"
#include "process/event_loop.hpp"
#include "process/fleet/instance.hpp"
#include "process/routing/backend_notice.hpp"
#include "request/attempt.hpp"
#include "version/policy.hpp"

#include <optional>
#include <string>
#include <variant>

namespace shallotwood::process::sidecar
{

// Fields of a caller's request.
struct caller_fields {
    // Empty if it is missing.
    std::string request_id;
    std::string host;
    // Empty if there is none.
    std::string key;
    // How long the caller waits for the response.
    std::optional<duration> timeout;
};

// Periodic announcement of a backend server.
struct announcement {
    std::string backend_id;
    // Start time of this incarnation, by the platform's clock.
    std::uint64_t started_at_ms = 0;
    // Increases with each announcement of an incarnation.
    std::uint64_t sequence = 0;
    std::string service;
    peer_address address;
    int slots = 0;
    bool draining = false;
    // How long the backend server stays cold; empty if it does not say so.
    std::optional<duration> warmup_left;
};

// Last message of a backend server, before it ends.
struct departure {
    std::string backend_id;
    // Start time of the incarnation that ends; 0 if it is not named.
    std::uint64_t started_at_ms = 0;
    // When the node got the message, by the clock of the start times. Bounds
    // the start time if that is neither named nor known.
    std::uint64_t arrived_at_ms = 0;
};

struct malformed_message {
    std::string message;
};

using backend_message =
    std::variant<announcement, departure, malformed_message>;

struct parse_failure {
    std::string message;
};

using policy_result = std::variant<version::policy_ptr, parse_failure>;

class protocol_adapter
{
public:
    virtual ~protocol_adapter() = default;

    virtual caller_fields
    read_caller(const connection::http::request_head& from) const = 0;

    // ID of the request on whose behalf a backend server makes the call with
    // this ID; empty if it can't be derived.
    virtual std::string parent_request(const std::string& request_id) const = 0;

    // Response header in which a backend server echoes the request ID.
    virtual std::string echo_header() const = 0;
    // Converts the head of a caller's request to one for a backend server.
    virtual void prepare_backend_request(connection::http::request_head& head,
                                         const request::attempt_request& what,
                                         const std::string& backend_id,
                                         duration remaining) const = 0;
    // True if the backend server says that it did not run the request.
    virtual bool
    is_not_run_response(const connection::http::response_head& head) const = 0;
    // True if the response says that another backend server has the address.
    virtual bool is_misdirected_response(
        const connection::http::response_head& head) const = 0;
    // True if the response bears the mark of a backend server.
    virtual bool
    is_from_backend(const connection::http::response_head& head) const = 0;

    // What the backend server says of itself; the backend's key is not set.
    virtual routing::backend_notice
    read_notice(const connection::http::response_head& head) const = 0;

    // Response to a caller whose request was refused or failed.
    virtual connection::http::response_head
    failure_response(const request::attempt_failure& why) const = 0;

    // Parses a request to the announcement address.
    virtual backend_message
    read_backend_message(const connection::http::request_head& head,
                         const std::string& body) const = 0;
    // True if the request is a readiness probe of the platform.
    virtual bool
    is_readiness_request(const connection::http::request_head& head) const = 0;

    virtual policy_result parse_policy(const std::string& text) const = 0;
};

} // namespace shallotwood::process::sidecar
