#include "version/intent.hpp"

#include <array>
#include <charconv>
#include <functional>
#include <map>
#include <optional>

namespace shallotwood::version
{

namespace
{

using fault_text = std::optional<std::string>;

// Stores the text of a field, or says what it must be.
using field_setter = std::function<fault_text(const std::string&)>;
using field_setters = std::map<std::string, field_setter>;

std::optional<double> parse_number(std::string_view text)
{
    double number = 0;
    const auto* end = text.data() + text.size();
    auto [rest, ec] = std::from_chars(text.data(), end, number);
    if (ec != std::errc() || rest != end)
        return std::nullopt;
    return number;
}

std::optional<process::duration> parse_duration(const std::string& text)
{
    constexpr std::array<std::pair<const char*, double>, 3> units{
        {{"ms", 1e3}, {"s", 1e6}, {"m", 6e7}}};
    auto split = text.find_first_not_of("0123456789.");
    if (split == std::string::npos)
        return std::nullopt;
    auto number = parse_number(std::string_view(text).substr(0, split));
    for (const auto& [unit, micros] : units) {
        // The bound keeps the conversion to an integer defined.
        if (number && *number <= 1e9 &&
            text.compare(split, text.npos, unit) == 0)
            return process::duration(
                static_cast<process::duration::rep>(*number * micros));
    }
    return std::nullopt;
}

field_setter set_text(std::string& to)
{
    return [&to](const std::string& text) -> fault_text {
        to = text;
        return std::nullopt;
    };
}

field_setter set_number(double& to)
{
    return [&to](const std::string& text) -> fault_text {
        auto number = parse_number(text);
        if (!number)
            return "must be a number";
        to = *number;
        return std::nullopt;
    };
}

field_setter set_flag(bool& to)
{
    return [&to](const std::string& text) -> fault_text {
        if (text != "yes" && text != "no")
            return "must be yes or no";
        to = text == "yes";
        return std::nullopt;
    };
}

field_setter set_importance(request::importance& to)
{
    return [&to](const std::string& text) -> fault_text {
        if (!request::parse_importance(text, to))
            return "must be critical, high, normal or low";
        return std::nullopt;
    };
}

field_setter set_duration(process::duration& to)
{
    return [&to](const std::string& text) -> fault_text {
        auto parsed = parse_duration(text);
        if (!parsed)
            return "must be a number with the unit ms, s or m";
        to = *parsed;
        return std::nullopt;
    };
}

std::string names_of(const field_setters& fields)
{
    std::string names;
    for (const auto& [name, set] : fields)
        names += (names.empty() ? "" : ", ") + name;
    return names;
}

// Reads the words after the name as FIELD=VALUE, each field at most once.
fault_text read_fields(const std::vector<std::string>& words,
                       field_setters fields)
{
    const auto known = names_of(fields);
    for (std::size_t n = 2; n < words.size(); ++n) {
        auto split = words[n].find('=');
        auto name = words[n].substr(0, split);
        auto it = split == std::string::npos ? fields.end() : fields.find(name);
        if (it == fields.end())
            return '\'' + words[n] +
                   "' is not FIELD=VALUE, repeated, or not "
                   "one of the fields " +
                   known;
        if (auto fault = it->second(words[n].substr(split + 1)))
            return name + ' ' + *fault;
        fields.erase(it);
    }
    return std::nullopt;
}

std::variant<change, intent_error>
parse_set_route(const std::vector<std::string>& words,
                const configuration& base)
{
    auto found = base.routes.find(words[1]);
    auto it = found == base.routes.end() ? route{} : found->second;
    it.name = words[1];
    auto fault = read_fields(words, {{"prefix", set_text(it.prefix)},
                                     {"service", set_text(it.service)},
                                     {"importance", set_importance(it.level)},
                                     {"repeatable", set_flag(it.repeatable)},
                                     {"open", set_flag(it.open)},
                                     {"timeout", set_duration(it.timeout)}});
    if (fault)
        return intent_error{std::move(*fault)};
    return set_route{std::move(it)};
}

std::variant<change, intent_error>
parse_set_workspace(const std::vector<std::string>& words,
                    const configuration& base)
{
    auto found = base.workspaces.find(words[1]);
    auto it = found == base.workspaces.end() ? workspace{} : found->second;
    it.name = words[1];
    auto fault = read_fields(words, {{"rate", set_number(it.rate)},
                                     {"burst", set_number(it.burst)}});
    if (fault)
        return intent_error{std::move(*fault)};
    return set_workspace{std::move(it)};
}

} // namespace

std::variant<change, intent_error>
parse_intent(const std::vector<std::string>& words, const configuration& base)
{
    if (words.size() < 2)
        return intent_error{"an intent has a verb and a name"};
    const auto& verb = words[0];
    const auto& name = words[1];
    if (verb == "set-route")
        return parse_set_route(words, base);
    if (verb == "set-workspace")
        return parse_set_workspace(words, base);
    std::optional<change> found;
    if (verb == "remove-route")
        found = remove_route{name};
    else if (verb == "remove-workspace")
        found = remove_workspace{name};
    else if (verb == "join")
        found = join_server{name};
    else if (verb == "leave")
        found = leave_server{name};
    if (!found)
        return intent_error{
            '\'' + verb +
            "' is not one of set-route, remove-route, set-workspace, "
            "remove-workspace, join and leave"};
    if (words.size() > 2)
        return intent_error{verb + " takes a name only"};
    return std::move(*found);
}

std::variant<std::string, intent_error> find_key_hash(const std::string& prefix,
                                                      const configuration& in)
{
    if (prefix.size() < min_hash_prefix)
        return intent_error{"give at least " + std::to_string(min_hash_prefix) +
                            " digits of the key's hash"};
    auto it = in.keys.lower_bound(prefix);
    auto matches = [&prefix, &in](auto at) {
        return at != in.keys.end() &&
               at->first.compare(0, prefix.size(), prefix) == 0;
    };
    if (!matches(it))
        return intent_error{"no key has a hash that begins with " + prefix};
    if (matches(std::next(it)))
        return intent_error{"several keys have a hash that begins with " +
                            prefix};
    return it->first;
}

} // namespace shallotwood::version
