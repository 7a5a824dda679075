#include "request/call_context.hpp"

#include "process/json_text.hpp"
#include "process/keyed_hash.hpp"

#include <array>

namespace shallotwood::request
{

namespace
{

constexpr std::size_t max_header_bytes = 8192;

constexpr std::array<std::string_view, 4> importance_names{"critical", "high",
                                                           "normal", "low"};

Json::Value to_json(const call_context& context)
{
    Json::Value json(Json::arrayValue);
    json.append(context.request_id);
    json.append(context.attempt_id);
    json.append(context.workspace);
    json.append(context.route);
    json.append(static_cast<int>(context.level));
    json.append(context.key);
    json.append(context.repeatable);
    json.append(context.idempotency_key);
    json.append(Json::Int64(context.remaining.count()));
    json.append(context.retries);
    json.append(context.depth);
    return json;
}

// The types of the array that to_json makes.
bool is_context(const Json::Value& json)
{
    if (!json.isArray() || json.size() != 11)
        return false;
    for (Json::ArrayIndex n : {0, 1, 2, 3, 7}) {
        if (!json[n].isString())
            return false;
    }
    return json[4].isInt() && json[4].asInt() >= 0 && json[4].asInt() <= 3 &&
           json[5].isUInt() && json[6].isBool() && json[8].isInt64() &&
           json[9].isInt() && json[9].asInt() >= 0 && json[10].isInt() &&
           json[10].asInt() >= 0;
}

call_context from_json(const Json::Value& json)
{
    call_context context;
    context.request_id = json[0].asString();
    context.attempt_id = json[1].asString();
    context.workspace = json[2].asString();
    context.route = json[3].asString();
    context.level = static_cast<importance>(json[4].asInt());
    context.key = json[5].asUInt();
    context.repeatable = json[6].asBool();
    context.idempotency_key = json[7].asString();
    context.remaining = process::duration(json[8].asInt64());
    context.retries = json[9].asInt();
    context.depth = json[10].asInt();
    return context;
}

} // namespace

std::string_view name_of(importance level)
{
    return importance_names[static_cast<std::size_t>(level)];
}

bool parse_importance(std::string_view name, importance& level)
{
    for (std::size_t n = 0; n < importance_names.size(); ++n) {
        if (importance_names[n] == name) {
            level = static_cast<importance>(n);
            return true;
        }
    }
    return false;
}

std::string seal(const call_context& context, std::string_view fleet_secret)
{
    auto text = process::write_json(to_json(context));
    return process::to_base64(process::keyed_hash(text, fleet_secret) + text);
}

std::variant<call_context, context_error> unseal(std::string_view header,
                                                 std::string_view fleet_secret)
{
    if (header.size() > max_header_bytes)
        return context_error::malformed;
    auto bytes = process::from_base64(header);
    if (!bytes || bytes->size() <= process::hash_bytes)
        return context_error::malformed;
    auto hash = std::string_view(*bytes).substr(0, process::hash_bytes);
    auto text = std::string_view(*bytes).substr(process::hash_bytes);
    if (!process::keyed_hash_matches(hash, text, fleet_secret))
        return context_error::bad_seal;
    auto json = process::parse_json(text);
    if (!json || !is_context(*json))
        return context_error::malformed;
    return from_json(*json);
}

} // namespace shallotwood::request
