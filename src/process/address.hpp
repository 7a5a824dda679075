// Text form of addresses: `127.0.0.1:8080` or `[::1]:8080`.
#pragma once

#include "process/peer_transport.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace shallotwood::process
{

// Empty if the text is not an IP address and a port from 1 to 65535. Host names
// are rejected, as resolving them could block.
std::optional<peer_address> parse_address(std::string_view text);

std::string to_text(const peer_address& address);

bool is_loopback(const peer_address& address);

// True for 0.0.0.0 and [::], which other processes can't connect to.
bool is_unspecified(const peer_address& address);

} // namespace shallotwood::process
