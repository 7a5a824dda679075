// Requests from callers, and calls by the local backend server: the two places
// where a call begins.
#pragma once

#include "process/http/http_environment.hpp"

namespace shallotwood::process::http
{

// Handles a request at the caller listener: asks the entry policy, forwards,
// and reports the end of the request to it.
void begin_caller_request(
    http_environment& in,
    const std::shared_ptr<connection::server_exchange>& exchange);

// Handles `/call/SERVICE/PATH` at the local listener.
void begin_child_call(
    http_environment& in,
    const std::shared_ptr<connection::server_exchange>& exchange);

} // namespace shallotwood::process::http
