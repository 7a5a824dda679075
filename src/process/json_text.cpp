#include "process/json_text.hpp"

#include <memory>
#include <sstream>

namespace shallotwood::process
{

namespace
{

// Writers and the reader are created once and reused, because creating one
// costs several times as much as encoding a call context. This is safe as only
// one thread of a process uses them.
using writer_ptr = std::unique_ptr<Json::StreamWriter>;

writer_ptr make_writer(const char* indentation)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = indentation;
    builder["precision"] = 17;
    return writer_ptr(builder.newStreamWriter());
}

std::string write(const Json::Value& value, Json::StreamWriter& with)
{
    std::ostringstream out;
    with.write(value, &out);
    return out.str();
}

std::unique_ptr<Json::CharReader> make_reader()
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["stackLimit"] = max_json_depth;
    return std::unique_ptr<Json::CharReader>(builder.newCharReader());
}

} // namespace

std::optional<Json::Value> parse_json(std::string_view text)
{
    static const auto reader = make_reader();
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
    static const auto writer = make_writer("");
    return write(value, *writer);
}

std::string write_indented_json(const Json::Value& value)
{
    static const auto writer = make_writer("  ");
    return write(value, *writer) + '\n';
}

} // namespace shallotwood::process
