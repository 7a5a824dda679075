#include "process/fleet/instance.hpp"

#include <array>
#include <xxhash.h>

namespace shallotwood::process::fleet
{

namespace
{

constexpr std::array<std::string_view, 4> state_names = {"unknown", "ready",
                                                         "draining", "gone"};

std::optional<backend_state> parse_state(const std::string& text)
{
    for (std::size_t n = 0; n < state_names.size(); ++n)
        if (state_names.at(n) == text)
            return static_cast<backend_state>(n);
    return std::nullopt;
}

// Larger numbers are not of a backend server.
constexpr int max_slots = 1'000'000;

// Larger rates are not of a cold backend server.
constexpr double max_cold_rate = 1e6;

bool is_cold_rate(const Json::Value& from)
{
    return from.isNumeric() && from.asDouble() > 0 &&
           from.asDouble() <= max_cold_rate;
}

bool has_fields(const Json::Value& from)
{
    if (!from.isObject())
        return false;
    for (const auto* name : {"host", "domain", "service", "backend", "state"})
        if (!from[name].isString())
            return false;
    for (const auto* name : {"incarnation", "sequence"})
        if (!from[name].isUInt64())
            return false;
    return from["port"].isUInt() && from["port"].asUInt() <= 65535 &&
           from["slots"].isInt() && from["slots"].asInt() >= 0 &&
           from["slots"].asInt() <= max_slots && from["leaving"].isBool();
}

} // namespace

std::uint64_t backend_key(const std::string& backend_id,
                          std::uint64_t started_at_ms)
{
    return XXH64(backend_id.data(), backend_id.size(), started_at_ms);
}

std::string_view name_of(backend_state state)
{
    return state_names.at(static_cast<std::size_t>(state));
}

Json::Value to_json(const instance& it)
{
    Json::Value to;
    to["host"] = it.peer.host;
    to["port"] = it.peer.port;
    to["domain"] = it.failure_domain;
    to["incarnation"] = Json::UInt64(it.incarnation);
    to["sequence"] = Json::UInt64(it.sequence);
    to["leaving"] = it.leaving;
    to["service"] = it.service;
    to["backend"] = it.backend_id;
    if (it.backend_started_at_ms != 0)
        to["backend_started_ms"] = Json::UInt64(it.backend_started_at_ms);
    to["state"] = std::string(name_of(it.state));
    to["slots"] = it.slots;
    if (it.is_cold())
        to["cold_rate"] = it.cold_rate;
    return to;
}

std::optional<instance> instance_from_json(const Json::Value& from)
{
    if (!has_fields(from))
        return std::nullopt;
    auto state = parse_state(from["state"].asString());
    if (!state)
        return std::nullopt;
    instance it;
    it.peer.host = from["host"].asString();
    it.peer.port = static_cast<std::uint16_t>(from["port"].asUInt());
    it.failure_domain = from["domain"].asString();
    it.incarnation = from["incarnation"].asUInt64();
    it.sequence = from["sequence"].asUInt64();
    it.leaving = from["leaving"].asBool();
    it.service = from["service"].asString();
    it.backend_id = from["backend"].asString();
    // Nodes of earlier versions don't send it.
    if (const auto& started = from["backend_started_ms"]; started.isUInt64())
        it.backend_started_at_ms = started.asUInt64();
    else if (!started.isNull())
        return std::nullopt;
    it.state = *state;
    it.slots = from["slots"].asInt();
    // Sent only while the backend server is cold.
    if (const auto& rate = from["cold_rate"]; is_cold_rate(rate))
        it.cold_rate = rate.asDouble();
    else if (!rate.isNull())
        return std::nullopt;
    return it;
}

} // namespace shallotwood::process::fleet
