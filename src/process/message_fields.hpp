// Reads the parameters of a message from another process, which are untrusted:
// a wrong type, a missing field or an excessive size marks the message invalid
// and yields an empty value.
#pragma once

#include <cstdint>
#include <json/json.h>
#include <string>

namespace shallotwood::process
{

class message_fields
{
public:
    explicit message_fields(const Json::Value& message);

    // A whole number from 0 to `limit`.
    std::uint64_t number(const char* name, std::uint64_t limit = UINT64_MAX);
    // A finite number from 0 to `limit`.
    double real(const char* name, double limit);
    std::string text(const char* name, std::size_t limit);
    bool flag(const char* name);
    // An array of at most `limit` elements.
    const Json::Value& list(const char* name, std::size_t limit);
    // Any value; null if missing, without making the message invalid.
    const Json::Value& optional(const char* name) const;

    // False once any field that was read was missing or invalid.
    bool valid() const { return valid_; }

private:
    const Json::Value& at(const char* name) const;

    const Json::Value& message_;
    bool valid_;
};

} // namespace shallotwood::process
