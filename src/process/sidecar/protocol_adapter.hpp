// The names that callers, backend servers and the platform use on the wire.
//
// Everything inside uses the project's own types; an implementation translates
// and decides nothing.
#pragma once

#include "connection/http/message.hpp"
#include "process/event_loop.hpp"
#include "process/fleet/instance.hpp"
#include "request/attempt.hpp"
#include "version/policy.hpp"

#include <optional>
#include <string>
#include <variant>

namespace shallotwood::process::sidecar
{

// What a caller says about its request.
struct caller_fields {
    // Empty if it is missing.
    std::string request_id;
    std::string host;
    // Empty if there is none.
    std::string key;
    // How long the caller waits.
    std::optional<duration> timeout;
};

// What a backend server says about itself.
struct announcement {
    std::string backend_id;
    // Start of this incarnation, in milliseconds of the platform's clock.
    std::uint64_t started_at_ms = 0;
    // Increases with each announcement of an incarnation.
    std::uint64_t sequence = 0;
    std::string service;
    peer_address address;
    int slots = 0;
    bool draining = false;
};

// It ends after this.
struct departure {
    std::string backend_id;
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

    // Id of the request for which a backend server makes the call with this
    // id; empty if the id doesn't tell.
    virtual std::string parent_request(const std::string& request_id) const = 0;

    // Header by which an answer of a backend server names its request.
    virtual std::string echo_header() const = 0;
    // Turns the head of a caller's request into that for a backend server.
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

    // The answer to a caller whose request was refused or failed.
    virtual connection::http::response_head
    failure_response(const request::attempt_failure& why) const = 0;

    // A call to the address for the local backend server.
    virtual backend_message
    read_backend_message(const connection::http::request_head& head,
                         const std::string& body) const = 0;
    // True for the platform's question whether this node takes callers.
    virtual bool
    is_readiness_request(const connection::http::request_head& head) const = 0;

    virtual policy_result parse_policy(const std::string& text) const = 0;
};

} // namespace shallotwood::process::sidecar
