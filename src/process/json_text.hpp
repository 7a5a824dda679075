// JSON as text, with limits for untrusted input.
#pragma once

#include <json/json.h>
#include <optional>
#include <string>
#include <string_view>

namespace shallotwood::process
{

// Deepest nesting that is read. The JSON parser is recursive.
constexpr int max_json_depth = 32;

// Empty if the text is not one strict JSON object or array, is nested too
// deeply or has a repeated field. Never throws.
std::optional<Json::Value> parse_json(std::string_view text);

// Without spaces or line ends. Numbers are read back unchanged.
std::string write_json(const Json::Value& value);

// Indented, for people and for files that people look at.
std::string write_indented_json(const Json::Value& value);

} // namespace shallotwood::process
