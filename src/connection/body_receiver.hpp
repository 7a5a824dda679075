// Reads the body of a request from an exchange with backpressure.
#pragma once

#include "connection/request_body.hpp"
#include "connection/server_exchange.hpp"

namespace shallotwood::connection
{

// Calls `ready` once the body is complete or its replayable prefix is full.
// The rest is read as a reader of the body asks for it.
void receive_body(const std::shared_ptr<server_exchange>& exchange,
                  std::function<void(std::shared_ptr<request_body>)> ready);

} // namespace shallotwood::connection
