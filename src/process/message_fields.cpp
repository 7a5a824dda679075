#include "process/message_fields.hpp"

#include <cmath>

namespace shallotwood::process
{

message_fields::message_fields(const Json::Value& message)
    : message_(message), valid_(message.isObject())
{
}

const Json::Value& message_fields::at(const char* name) const
{
    // Json::Value throws when a member of anything but an object is read.
    if (!message_.isObject() || !message_.isMember(name))
        return Json::Value::nullSingleton();
    return message_[name];
}

std::uint64_t message_fields::number(const char* name, std::uint64_t limit)
{
    const auto& it = at(name);
    if (!it.isUInt64() || it.asUInt64() > limit) {
        valid_ = false;
        return 0;
    }
    return it.asUInt64();
}

double message_fields::real(const char* name, double limit)
{
    const auto& it = at(name);
    if (!it.isNumeric() || !std::isfinite(it.asDouble()) || it.asDouble() < 0 ||
        it.asDouble() > limit) {
        valid_ = false;
        return 0;
    }
    return it.asDouble();
}

std::string message_fields::text(const char* name, std::size_t limit)
{
    const auto& it = at(name);
    if (!it.isString()) {
        valid_ = false;
        return {};
    }
    auto text = it.asString();
    if (text.size() > limit) {
        valid_ = false;
        return {};
    }
    return text;
}

bool message_fields::flag(const char* name)
{
    const auto& it = at(name);
    if (!it.isBool()) {
        valid_ = false;
        return false;
    }
    return it.asBool();
}

const Json::Value& message_fields::list(const char* name, std::size_t limit)
{
    const auto& it = at(name);
    if (!it.isArray() || it.size() > limit) {
        valid_ = false;
        return Json::Value::nullSingleton();
    }
    return it;
}

const Json::Value& message_fields::optional(const char* name) const
{
    return at(name);
}

} // namespace shallotwood::process
