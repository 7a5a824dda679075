// JSON form of changes and configurations, as stored at the platform and sent
// between nodes.
//
// Reading is strict: every field must be present, known, of its type and within
// the bounds of change.hpp. Nothing here throws on untrusted input.
#pragma once

#include "version/change.hpp"

#include <functional>
#include <json/json.h>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace shallotwood::version
{

struct codec_error {
    // For people: names the field.
    std::string message;
};

Json::Value to_json(const change& it);
std::variant<change, codec_error> change_from_json(const Json::Value& json);

Json::Value to_json(const configuration& it);
std::variant<configuration, codec_error>
configuration_from_json(const Json::Value& json);

// Reads the fields of one JSON object and remembers the first fault. After a
// fault the readers return empty values.
class object_reader
{
public:
    // `what` names the object in messages.
    object_reader(const Json::Value& json, std::string what);

    std::string text(const char* name, std::size_t max_bytes);
    bool flag(const char* name);
    double number(const char* name);
    std::uint64_t integer(const char* name);
    // 0 if there is no such field.
    std::uint64_t optional_integer(const char* name);
    // An empty array after a fault.
    const Json::Value& list(const char* name, std::size_t max_entries);
    const Json::Value& object(const char* name);

    // Has a fault also if the object has a field that was not asked for.
    std::optional<codec_error> finish();
    void fail(const std::string& message);
    bool failed() const { return error_.has_value(); }

private:
    const Json::Value& find(const char* name);

    const Json::Value& json_;
    std::string what_;
    Json::ArrayIndex asked_ = 0;
    std::optional<codec_error> error_;
};

// The entries of a configuration as JSON objects, one at a time, so that a
// large one can be split over several objects.
class entry_list
{
public:
    explicit entry_list(const configuration& of) : of_(of) {}

    // Calls `on_entry` with the name of the list and each of its entries, in an
    // order that depends on the configuration only.
    void for_each(
        const std::function<void(const char* list, const Json::Value& entry)>&
            on_entry) const;

private:
    const configuration& of_;
};

// Builds a configuration from lists of entries.
class entry_reader
{
public:
    // Adds the lists `routes`, `workspaces`, `keys` and `leaving`.
    std::optional<codec_error> add(object_reader& reader);

    // Checks what no single entry shows: each key's workspace exists and no
    // two routes have the same prefix.
    std::variant<configuration, codec_error> finish(std::uint64_t revision);

private:
    void add_routes(object_reader& reader);
    void add_workspaces(object_reader& reader);
    void add_keys(object_reader& reader);
    void add_leaving(object_reader& reader);

    configuration result_;
};

} // namespace shallotwood::version
