// Starts calls: for requests from callers, and for child calls that the local
// backend server makes.
#pragma once

#include "process/http/http_environment.hpp"

namespace shallotwood::process::http
{

// Handles a request at the caller listener: asks the entry policy for
// admission, forwards the call, and reports its result to the entry policy.
void begin_caller_request(
    http_environment& in,
    const std::shared_ptr<connection::server_exchange>& exchange);

// Handles `/call/SERVICE/PATH` at the local listener.
void begin_child_call(
    http_environment& in,
    const std::shared_ptr<connection::server_exchange>& exchange);

} // namespace shallotwood::process::http
