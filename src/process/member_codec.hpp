// The JSON form of membership entries, their order, and their digests.
//
// An entry is an array: instance, incarnation, state, and for live members
// service, host, port, HTTP port, slots, failure domain and region. Input is
// untrusted: what does not fit gives nothing.
#pragma once

#include "process/member.hpp"

#include <json/json.h>
#include <optional>
#include <string>

namespace shallotwood::process
{

// At one incarnation, the higher rank is believed.
int state_precedence(member_state it);

// Suspicion and death need no more than the name: whoever acts on them knows
// the rest.
bool has_reduced_entry(const member& it);

Json::Value to_json(const member& it);

// A live entry whole, whether suspect or not.
Json::Value to_full_json(member it);

// About the bytes of the entry as text.
std::size_t estimated_json_bytes(const member& it);

bool read_name(const Json::Value& from, std::string& name);
bool read_port(const Json::Value& from, std::uint16_t& port);

std::optional<member> parse_entry(const Json::Value& entry);

std::size_t bucket_of(const std::string& instance, std::size_t count);

// Equal on all nodes that agree on the member; a suspicion is no difference.
std::uint64_t digest_of(const member& it);

} // namespace shallotwood::process
