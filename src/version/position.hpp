// The place of a configuration in the order of all that operators confirmed.
#pragma once

#include <cstdint>
#include <json/json.h>
#include <optional>
#include <tuple>

namespace shallotwood::version
{

// Revisions count the confirmed changes. A restore of the platform from a copy
// loses the latest changes and gives their revisions out again, so the era of
// the platform in which the change was confirmed comes first.
struct position {
    // 0 if the platform names none.
    std::uint64_t era = 0;
    std::uint64_t revision = 0;

    friend bool operator==(const position& a, const position& b)
    {
        return std::tie(a.era, a.revision) == std::tie(b.era, b.revision);
    }
    friend bool operator!=(const position& a, const position& b)
    {
        return !(a == b);
    }
    friend bool operator<(const position& a, const position& b)
    {
        return std::tie(a.era, a.revision) < std::tie(b.era, b.revision);
    }
    friend bool operator<=(const position& a, const position& b)
    {
        return !(b < a);
    }
};

// Sets the field for the revision, and the one for the era unless it is 0.
inline void write_position(Json::Value& json, const char* era_name,
                           const char* revision_name, const position& it)
{
    if (it.era != 0)
        json[era_name] = Json::UInt64(it.era);
    json[revision_name] = Json::UInt64(it.revision);
}

// Empty if a field is malformed, or there is no revision.
inline std::optional<position> read_position(const Json::Value& json,
                                             const char* era_name,
                                             const char* revision_name)
{
    if (!json.isObject() || !json[revision_name].isUInt64() ||
        (json.isMember(era_name) && !json[era_name].isUInt64()))
        return std::nullopt;
    return position{json.isMember(era_name) ? json[era_name].asUInt64() : 0,
                    json[revision_name].asUInt64()};
}

} // namespace shallotwood::version
