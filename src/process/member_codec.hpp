// The JSON form of membership entries, their precedence and their digests.
//
// An entry is an array: instance, incarnation, state, and for members that are
// active or leaving also service, host, port, HTTP port, slots, failure domain
// and region. Input is untrusted; malformed input yields an empty result.
#pragma once

#include "process/member.hpp"

#include <json/json.h>
#include <optional>
#include <string>

namespace shallotwood::process
{

// Of two entries with the same incarnation, the one with the higher value
// overrides the other. It is also the state's number on the wire.
int state_precedence(member_state it);

// Whether the entry is sent as instance, incarnation and state only, as for
// suspect and dead members: a receiver that acts on it has the other fields.
bool has_reduced_entry(const member& it);

Json::Value to_json(const member& it);

// The entry with all fields unless dead; a suspect is written as active.
Json::Value to_full_json(member it);

// Estimates the size of the entry as JSON text.
std::size_t estimated_json_bytes(const member& it);

bool read_name(const Json::Value& from, std::string& name);
bool read_port(const Json::Value& from, std::uint16_t& port);

std::optional<member> parse_entry(const Json::Value& entry);

std::size_t bucket_of(const std::string& instance, std::size_t count);

// Depends on instance, incarnation and whether the member is leaving. Equal for
// active and suspect members, so that a suspicion makes no difference.
std::uint64_t digest_of(const member& it);

} // namespace shallotwood::process
