#include "process/json_text.hpp"

#include <memory>

namespace shallotwood::process
{

namespace
{

std::string write(const Json::Value& value, const char* indentation)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = indentation;
    builder["precision"] = 17;
    return Json::writeString(builder, value);
}

} // namespace

std::optional<Json::Value> parse_json(std::string_view text)
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["stackLimit"] = max_json_depth;
    std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    try {
        if (!reader->parse(text.data(), text.data() + text.size(), &value,
                           nullptr))
            return std::nullopt;
    } catch (const Json::Exception&) {
        // Thrown when the nesting exceeds the limit.
        return std::nullopt;
    }
    return value;
}

std::string write_json(const Json::Value& value)
{
    return write(value, "");
}

std::string write_indented_json(const Json::Value& value)
{
    return write(value, "  ") + '\n';
}

} // namespace shallotwood::process
