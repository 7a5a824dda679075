// JSON parsing and formatting, with limits for untrusted input.
#pragma once

#include <json/json.h>
#include <optional>
#include <string>
#include <string_view>

namespace shallotwood::process
{

// Limit of the nesting depth, because the JSON parser is recursive.
constexpr int max_json_depth = 32;

// Empty if the text is not a single strict JSON object or array, is nested too
// deeply or has a duplicate key. Never throws.
std::optional<Json::Value> parse_json(std::string_view text);

// Compact form, without whitespace. Numbers keep their value when parsed again.
std::string write_json(const Json::Value& value);

// Indented form, for people to read.
std::string write_indented_json(const Json::Value& value);

} // namespace shallotwood::process
