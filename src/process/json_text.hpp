// JSON parsing and formatting, with limits for untrusted input.
#pragma once

#include <initializer_list>
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

// Parses an object with arrays whose elements other programs write, such as the
// objects of a list. As parse_json(), but the elements of its members `arrays`
// are parsed one by one: one that can't be parsed is null, and hides no other.
std::optional<Json::Value>
parse_json_collection(std::string_view text,
                      std::initializer_list<std::string_view> arrays);

// The member of a JSON object; null if there is none, or if it is no object.
const Json::Value& member_of(const Json::Value& object, const char* name);

// Compact form, without whitespace. Numbers keep their value when parsed again.
std::string write_json(const Json::Value& value);

// Indented form, for people to read.
std::string write_indented_json(const Json::Value& value);

} // namespace shallotwood::process
