#include "process/json_text.hpp"

#include <algorithm>
#include <memory>
#include <sstream>
#include <utility>
#include <vector>

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

// Finds the elements of arrays in the text of a JSON object, without parsing
// what is in them. Only the extent of values is checked; the parser checks the
// rest.
class element_finder
{
public:
    element_finder(std::string_view text,
                   std::initializer_list<std::string_view> arrays)
        : text_(text), arrays_(arrays)
    {
    }

    // False if the text ends too early.
    bool run()
    {
        if (!skip_to("{"))
            return false;
        do {
            ++pos_;
            if (!skip_to("\"}"))
                return false;
            if (text_[pos_] == '}')
                break;
            auto name = pos_ + 1;
            if (!skip_string())
                return false;
            auto key = text_.substr(name, pos_ - name - 1);
            if (!skip_to(":"))
                return false;
            ++pos_;
            if (!(is_array(key) ? read_array(key) : skip_value()))
                return false;
        } while (text_[pos_] == ',');
        rest_ += text_.substr(copied_);
        return true;
    }

    // The object, with empty arrays.
    const std::string& rest() const { return rest_; }
    const std::vector<std::pair<std::string, std::string_view>>&
    elements() const
    {
        return elements_;
    }

private:
    bool skip_to(const char* characters)
    {
        pos_ = text_.find_first_of(characters, pos_);
        return pos_ != std::string_view::npos;
    }

    // From the opening quote to the end of the string.
    bool skip_string()
    {
        for (++pos_; pos_ < text_.size(); ++pos_) {
            if (text_[pos_] == '\\')
                ++pos_;
            else if (text_[pos_] == '"')
                return ++pos_, true;
        }
        return false;
    }

    // To the comma or bracket after a value.
    bool skip_value()
    {
        std::size_t depth = 0;
        while (skip_to("\"[]{},")) {
            auto c = text_[pos_];
            if (c == '"') {
                if (!skip_string())
                    return false;
                continue;
            }
            bool closes = c == ']' || c == '}';
            if (depth == 0 && (closes || c == ','))
                return true;
            if (closes)
                --depth;
            else if (c != ',')
                ++depth;
            ++pos_;
        }
        return false;
    }

    bool is_array(std::string_view key)
    {
        auto first = text_.find_first_not_of(" \t\r\n", pos_);
        return first != std::string_view::npos && text_[first] == '[' &&
               std::find(arrays_.begin(), arrays_.end(), key) != arrays_.end();
    }

    // From before an array to after it.
    bool read_array(std::string_view key)
    {
        if (!skip_to("["))
            return false;
        rest_ += text_.substr(copied_, pos_ + 1 - copied_);
        do {
            auto start = ++pos_;
            if (!skip_value())
                return false;
            auto it = text_.substr(start, pos_ - start);
            if (text_[pos_] == ',' ||
                it.find_first_not_of(" \t\r\n") != std::string_view::npos)
                elements_.emplace_back(key, it);
        } while (text_[pos_] == ',');
        copied_ = pos_;
        ++pos_;
        return skip_to(",}");
    }

    std::string_view text_;
    std::initializer_list<std::string_view> arrays_;
    std::size_t pos_ = 0;
    // Number of bytes that were copied to `rest_` or left out of it.
    std::size_t copied_ = 0;
    std::string rest_;
    std::vector<std::pair<std::string, std::string_view>> elements_;
};

} // namespace

std::optional<Json::Value>
parse_json_collection(std::string_view text,
                      std::initializer_list<std::string_view> arrays)
{
    element_finder found(text, arrays);
    if (!found.run())
        return std::nullopt;
    auto all = parse_json(found.rest());
    if (!all || !all->isObject())
        return std::nullopt;
    for (const auto& [key, element] : found.elements())
        (*all)[key].append(parse_json(element).value_or(Json::Value()));
    return all;
}

const Json::Value& member_of(const Json::Value& object, const char* name)
{
    return object.isObject() ? object[name] : Json::Value::nullSingleton();
}

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
