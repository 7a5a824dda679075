// Parses in two stages: toml++ parses the text, then each field of the table is
// read from the result. toml++ stops at the first error, so to report all of
// them, a line with a syntax error is cleared, a duplicate field is renamed,
// and the text is parsed again, at most max_parse_attempts times.
#include "process/settings.hpp"

#include "process/address.hpp"
#include "process/log.hpp"
#include "process/name.hpp"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <map>
#include <optional>
#include <set>
#include <sstream>

// In toml++ 3.3 some malformed files fail an assertion, such as one with a line
// `[` or `a = [}`. By default that aborts a debug build, and a release build
// ignores it because assertions are compiled out. Here a failed assertion
// throws and is reported as an error. No other file may include toml++, because
// its inline functions would then have two different definitions (an ODR
// violation).
namespace
{

struct toml_assertion {
};

[[noreturn]] void fail_assertion()
{
    throw toml_assertion();
}

} // namespace

#undef NDEBUG
#define TOML_ASSERT(expr) ((expr) ? void() : fail_assertion())
#include <toml++/toml.h>

namespace shallotwood::process
{

namespace
{

constexpr int max_parse_attempts = 20;

// Bounds of the length of a fleet secret, in bytes. The lower bound is the key
// size of the keyed hash.
constexpr double min_secret_bytes = 32;
constexpr double max_secret_bytes = 128;

constexpr double max_path_bytes = 4096;
constexpr double max_seeds = 64;

using log_level_type = boost::log::trivial::severity_level;

enum class presence { required, optional };

// Format of a string or address field.
enum class text_format { any, name, reachable_address, loopback_address };

using settings_member =
    std::variant<std::string settings::*, peer_address settings::*,
                 std::vector<peer_address> settings::*,
                 std::int64_t settings::*, duration settings::*,
                 log_level_type settings::*>;

struct field_spec {
    std::string_view name;
    settings_member member;
    presence needed;
    std::string_view unit;
    // Range of a number or duration in its unit, of the length of a string in
    // bytes, or of the number of entries of a list.
    double min;
    double max;
    text_format content;
    std::string_view description;
};

const std::vector<field_spec>& field_table()
{
    constexpr auto required = presence::required;
    constexpr auto optional = presence::optional;
    constexpr double name_max = max_name_bytes;
    static const std::vector<field_spec> table{
        {"instance", &settings::instance, required, "name", 1, name_max,
         text_format::name, "Name of this node, unique in the fleet."},
        {"failure_domain", &settings::failure_domain, required, "name", 1,
         name_max, text_format::name, "Failure domain that this node runs in."},
        {"region", &settings::region, required, "name", 1, name_max,
         text_format::name, "Region of the failure domain."},
        {"caller_address", &settings::caller_address, required, "IP:PORT", 0, 0,
         text_format::any, "HTTP address for callers."},
        {"peer_address", &settings::peer_address, required, "IP:PORT", 0, 0,
         text_format::reachable_address,
         "HTTP address for calls from other nodes, which connect to it."},
        {"control_address", &settings::control_address, required, "IP:PORT", 0,
         0, text_format::reachable_address,
         "UDP and TCP address for control messages from other nodes."},
        {"local_address", &settings::local_address, required, "IP:PORT", 0, 0,
         text_format::loopback_address,
         "HTTP address for the backend server beside this node and for the "
         "operator; on the loopback interface."},
        {"platform_address", &settings::platform_address, required, "IP:PORT",
         0, 0, text_format::reachable_address,
         "HTTP address of the platform's object API."},
        {"seeds", &settings::seeds, optional, "list of IP:PORT", 0, max_seeds,
         text_format::reachable_address,
         "Control addresses of nodes to join at the start, besides those that "
         "the "
         "platform names."},
        {"fleet_secret_file", &settings::fleet_secret_file, optional, "path", 1,
         max_path_bytes, text_format::any,
         "File with the secret shared by all nodes. Exactly one of "
         "`fleet_secret_file` and `fleet_secret` must be set."},
        {"fleet_secret", &settings::fleet_secret, optional, "text",
         min_secret_bytes, max_secret_bytes, text_format::any,
         "The secret itself; for tests, as the settings file is rarely kept "
         "secret."},
        {"log_level", &settings::log_level, optional, "level", 0, 0,
         text_format::any,
         "Least severe level that is logged: trace, debug, info, warning, "
         "error or fatal."},
        {"isolation_limit", &settings::isolation_limit, optional, "s", 1, 3600,
         text_format::any,
         "Time without the platform and without any peer after which requests "
         "that need a key are refused."},
        {"drain_limit", &settings::drain_limit, optional, "s", 0.1, 3600,
         text_format::any,
         "Time that requests in flight get to finish at a shutdown."},
        {"record_window", &settings::record_window, optional, "s", 1, 604800,
         text_format::any,
         "Time that the record of a non-repeatable request is kept; it must "
         "outlive every repeat of the request."},
        {"retry_allowance", &settings::retry_allowance, optional, "retries", 0,
         10, text_format::any,
         "Retries that a request may spend in its call tree."},
        {"queue_count_limit", &settings::queue_count_limit, optional,
         "requests", 1, 1'000'000, text_format::any,
         "Most requests that wait for a slot of the backend server."},
        {"queue_time_limit", &settings::queue_time_limit, optional, "s", 0.001,
         60, text_format::any, "Longest time that a request waits for a slot."},
    };
    return table;
}

const field_spec* find_field(std::string_view name)
{
    const auto& table = field_table();
    auto it = std::find_if(
        table.begin(), table.end(),
        [name](const field_spec& field) { return field.name == name; });
    return it == table.end() ? nullptr : &*it;
}

std::string number_text(double number)
{
    std::ostringstream out;
    out.precision(15);
    out << number;
    return out.str();
}

std::string range_text(const field_spec& field)
{
    return number_text(field.min) + " to " + number_text(field.max);
}

// Empty if the value was stored; otherwise the error message.
using validation_error = std::string;

class value_reader
{
public:
    value_reader(const field_spec& field, const toml::node& value, settings& to)
        : field_(field), value_(value), settings_(to)
    {
    }

    validation_error operator()(std::string settings::*member) const
    {
        auto text = value_.value_exact<std::string>();
        if (!text)
            return "must be a string";
        if (field_.content == text_format::name && !is_valid_name(*text))
            return "must be 1 to " + number_text(field_.max) +
                   " letters, digits, '-', '_' or '.', beginning with a letter "
                   "or digit";
        if (!in_range(static_cast<double>(text->size())))
            return "must have " + range_text(field_) + " bytes";
        settings_.*member = std::move(*text);
        return {};
    }

    validation_error operator()(peer_address settings::*member) const
    {
        return read_address(value_, settings_.*member);
    }

    validation_error
    operator()(std::vector<peer_address> settings::*member) const
    {
        const auto* list = value_.as_array();
        if (!list)
            return "must be a list of addresses";
        if (!in_range(static_cast<double>(list->size())))
            return "must have " + range_text(field_) + " entries";
        std::vector<peer_address> found;
        for (const auto& it : *list) {
            peer_address address;
            if (auto error = read_address(it, address); !error.empty())
                return "each entry " + error;
            if (std::find(found.begin(), found.end(), address) != found.end())
                return "names " + process::to_text(address) + " twice";
            found.push_back(std::move(address));
        }
        settings_.*member = std::move(found);
        return {};
    }

    validation_error operator()(std::int64_t settings::*member) const
    {
        auto number = value_.value_exact<std::int64_t>();
        if (!number)
            return "must be an integer";
        if (!in_range(static_cast<double>(*number)))
            return out_of_range();
        settings_.*member = *number;
        return {};
    }

    validation_error operator()(duration settings::*member) const
    {
        if (!value_.is_number())
            return "must be a number of seconds";
        auto seconds = value_.value<double>().value_or(NAN);
        if (!in_range(seconds))
            return out_of_range();
        settings_.*member =
            duration(static_cast<duration::rep>(std::llround(seconds * 1e6)));
        return {};
    }

    validation_error operator()(log_level_type settings::*member) const
    {
        auto text = value_.value_exact<std::string>();
        if (!text || !parse_log_level(*text, settings_.*member))
            return "must be trace, debug, info, warning, error or fatal";
        return {};
    }

private:
    // False for NaN.
    bool in_range(double number) const
    {
        return number >= field_.min && number <= field_.max;
    }

    validation_error out_of_range() const
    {
        return "must be " + range_text(field_) + ' ' + std::string(field_.unit);
    }

    validation_error read_address(const toml::node& value,
                                  peer_address& address) const
    {
        auto text = value.value_exact<std::string>();
        auto parsed = text ? parse_address(*text) : std::nullopt;
        if (!parsed)
            return "must be \"IP:PORT\" with a port from 1 to 65535, not a "
                   "host name";
        if (field_.content == text_format::reachable_address &&
            is_unspecified(*parsed))
            return "must be an address that other processes can connect to";
        if (field_.content == text_format::loopback_address &&
            !is_loopback(*parsed))
            return "must be an address of the loopback interface";
        address = std::move(*parsed);
        return {};
    }

    const field_spec& field_;
    const toml::node& value_;
    settings& settings_;
};

class settings_parser
{
public:
    explicit settings_parser(std::string_view text) { split(text); }

    std::variant<settings, setting_errors> run()
    {
        reject_unsafe_lines();
        auto table = parse_toml();
        for (const auto& [key, value] : table)
            read(key, value);
        check_missing();
        if (errors_.empty())
            check_addresses();
        if (errors_.empty())
            return result_;
        std::stable_sort(
            errors_.begin(), errors_.end(),
            [](const auto& a, const auto& b) { return a.line < b.line; });
        if (errors_.size() > max_setting_errors)
            errors_.resize(max_setting_errors);
        return std::move(errors_);
    }

private:
    void split(std::string_view text)
    {
        std::size_t start = 0;
        while (start < text.size()) {
            auto end = std::min(text.find('\n', start), text.size());
            lines_.emplace_back(text.substr(start, end - start));
            start = end + 1;
        }
    }

    // toml++ 3.3 has undefined behaviour on some characters above U+00A0
    // outside strings and comments. Non-ASCII characters are therefore allowed
    // only in comments. Multi-line strings are rejected so that comments can be
    // found line by line.
    void reject_unsafe_lines()
    {
        for (std::size_t n = 0; n < lines_.size(); ++n) {
            auto content = strip_comment(lines_[n]);
            auto line = static_cast<int>(n) + 1;
            if (content.find("\"\"\"") != std::string_view::npos ||
                content.find("'''") != std::string_view::npos)
                report_and_remove(line, "a string can't span several lines");
            else if (!std::all_of(content.begin(), content.end(), [](char c) {
                         return static_cast<unsigned char>(c) < 0x80;
                     }))
                report_and_remove(line, "must be ASCII, except for comments");
        }
    }

    // The part before a '#', unless the '#' may be inside a string.
    static std::string_view strip_comment(std::string_view line)
    {
        auto end = line.find_first_of("#\"'");
        if (end != std::string_view::npos && line[end] == '#')
            return line.substr(0, end);
        return line;
    }

    // The first `count` lines as one text.
    std::string join_lines(std::size_t count) const
    {
        std::string text;
        for (std::size_t n = 0; n < count; ++n)
            text += lines_[n] + '\n';
        return text;
    }

    toml::table parse_toml()
    {
        for (int n = 0; n < max_parse_attempts; ++n) {
            try {
                return toml::parse(join_lines(lines_.size()));
            } catch (const toml::parse_error& e) {
                auto line = static_cast<int>(e.source().begin.line);
                if (!report_and_remove(line, std::string(e.description())))
                    break;
            } catch (const toml_assertion&) {
                if (!report_and_remove(find_assertion(), "is malformed"))
                    break;
            }
        }
        return {};
    }

    bool violates_assertion(std::size_t count) const
    {
        try {
            static_cast<void>(toml::parse(join_lines(count)));
        } catch (const toml::parse_error&) {
            return false;
        } catch (const toml_assertion&) {
            return true;
        }
        return false;
    }

    // Finds the line at which an assertion fails, as the assertion has no
    // position. toml++ reads in order, so every longer prefix of the text fails
    // too, and a binary search finds the shortest one.
    int find_assertion() const
    {
        std::size_t good = 0;
        std::size_t bad = lines_.size();
        while (bad - good > 1) {
            auto middle = good + (bad - good) / 2;
            (violates_assertion(middle) ? bad : good) = middle;
        }
        return static_cast<int>(bad);
    }

    // Reports the error and removes its cause from the text; false if there is
    // nothing to remove.
    bool report_and_remove(int line, const std::string& description)
    {
        auto last = static_cast<int>(lines_.size());
        line = std::clamp(line, 1, std::max(last, 1));
        if (lines_.empty() || lines_[line - 1].empty()) {
            report(line, "", description);
            return false;
        }
        auto& text = lines_[line - 1];
        auto name = name_before_value(text);
        mentioned_fields_.insert(name);
        bool duplicate =
            find_field(name) &&
            description.find("cannot redefine") != std::string::npos;
        report(line, find_field(name) ? name : "",
               duplicate ? "is set twice" : description);
        // The value of a duplicate field may span several lines, so the field
        // is renamed instead of removed.
        if (duplicate)
            text.insert(text.find(name), duplicate_prefix);
        else
            text.clear();
        return true;
    }

    static std::string name_before_value(const std::string& line)
    {
        auto text = line.substr(0, line.find('='));
        auto first = text.find_first_not_of(" \t");
        if (first == std::string::npos)
            return {};
        return text.substr(first, text.find_last_not_of(" \t") - first + 1);
    }

    void read(const toml::key& key, const toml::node& value)
    {
        std::string name(key.str());
        auto line = static_cast<int>(key.source().begin.line);
        if (name.compare(0, duplicate_prefix.size(), duplicate_prefix) == 0)
            return;
        const auto* field = find_field(name);
        if (!field) {
            report(line, name, "is not a known field");
            return;
        }
        mentioned_fields_.insert(name);
        field_lines_[name] = line;
        auto error =
            std::visit(value_reader(*field, value, result_), field->member);
        if (!error.empty())
            report(line, name, error);
    }

    void check_missing()
    {
        auto last = static_cast<int>(lines_.size());
        for (const auto& it : field_table()) {
            if (it.needed == presence::required && !is_mentioned(it.name))
                report(last, it.name, "is missing");
        }
        bool by_file = is_mentioned("fleet_secret_file");
        bool by_value = is_mentioned("fleet_secret");
        if (!by_file && !by_value)
            report(last, "fleet_secret_file",
                   "is missing, and fleet_secret too");
        if (by_file && by_value)
            report(std::max(field_lines_["fleet_secret_file"],
                            field_lines_["fleet_secret"]),
                   "fleet_secret",
                   "is set twice, as fleet_secret_file is set too");
    }

    // Two listeners can't have the same address and port.
    void check_addresses()
    {
        std::map<peer_address, std::string_view> used;
        for (const auto& [name, address] :
             {std::pair("caller_address", &result_.caller_address),
              std::pair("peer_address", &result_.peer_address),
              std::pair("control_address", &result_.control_address),
              std::pair("local_address", &result_.local_address)}) {
            auto [it, added] = used.emplace(*address, name);
            if (!added)
                report(field_lines_[name], name,
                       "is the same as " + std::string(it->second));
        }
    }

    bool is_mentioned(std::string_view name) const
    {
        return mentioned_fields_.count(std::string(name)) != 0;
    }

    void report(int line, std::string_view field, std::string message)
    {
        errors_.push_back({line, std::string(field), std::move(message)});
    }

    // No field name starts with this prefix.
    inline static const std::string duplicate_prefix = "duplicate-";

    std::vector<std::string> lines_;
    settings result_;
    setting_errors errors_;
    // Names of the fields in the text, whether their values are valid or not.
    std::set<std::string> mentioned_fields_;
    std::map<std::string, int> field_lines_;
};

// The file's content; empty if it can't be read or is larger than `max_bytes`.
std::optional<std::string> read_file(const std::string& name,
                                     std::size_t max_bytes)
{
    std::ifstream in(name, std::ios::binary);
    std::string text(max_bytes + 1, '\0');
    in.read(text.data(), static_cast<std::streamsize>(text.size()));
    // A directory can be opened but not read.
    if (in.bad() || (!in.eof() && !in.good()) || in.gcount() < 0)
        return std::nullopt;
    text.resize(static_cast<std::size_t>(in.gcount()));
    if (text.size() > max_bytes)
        return std::nullopt;
    return text;
}

std::string default_value_text(const field_spec& field)
{
    static const settings defaults;
    struct writer {
        std::string operator()(std::int64_t settings::*member) const
        {
            return std::to_string(defaults.*member);
        }
        std::string operator()(duration settings::*member) const
        {
            return number_text(static_cast<double>((defaults.*member).count()) /
                               1e6);
        }
        std::string operator()(log_level_type settings::*member) const
        {
            return boost::log::trivial::to_string(defaults.*member);
        }
        std::string operator()(std::vector<peer_address> settings::*) const
        {
            return "none";
        }
        std::string operator()(std::string settings::*) const { return "–"; }
        std::string operator()(peer_address settings::*) const { return "–"; }
    };
    if (field.needed == presence::required)
        return "required";
    return std::visit(writer{}, field.member);
}

} // namespace

std::variant<settings, setting_errors> parse_settings(std::string_view text)
{
    if (text.size() > max_settings_bytes)
        return setting_errors{{0, "", "the file is too large"}};
    return settings_parser(text).run();
}

std::variant<settings, setting_errors>
load_settings(const std::string& file_name)
{
    auto text = read_file(file_name, max_settings_bytes);
    if (!text)
        return setting_errors{{0, "",
                               "can't be read, or is larger than " +
                                   std::to_string(max_settings_bytes) +
                                   " bytes"}};
    return parse_settings(*text);
}

setting_errors check_settings(const std::string& file_name)
{
    auto result = load_settings(file_name);
    if (auto* errors = std::get_if<setting_errors>(&result))
        return std::move(*errors);
    return {};
}

std::string to_text(const setting_error& error, std::string_view file_name)
{
    std::string text(file_name);
    if (error.line > 0)
        text += ':' + std::to_string(error.line);
    text += ": ";
    if (!error.field.empty())
        text += error.field + ": ";
    return text + error.message;
}

std::variant<std::string, setting_error>
load_fleet_secret(const settings& configured)
{
    if (configured.fleet_secret_file.empty())
        return configured.fleet_secret;
    constexpr auto max_bytes = static_cast<std::size_t>(max_secret_bytes);
    auto secret = read_file(configured.fleet_secret_file, max_bytes + 1);
    if (!secret)
        return setting_error{0, "fleet_secret_file",
                             "can't be read, or is too large"};
    if (!secret->empty() && secret->back() == '\n')
        secret->pop_back();
    if (secret->size() < static_cast<std::size_t>(min_secret_bytes) ||
        secret->size() > max_bytes)
        return setting_error{0, "fleet_secret_file",
                             "must hold " + number_text(min_secret_bytes) +
                                 " to " + number_text(max_secret_bytes) +
                                 " bytes"};
    return std::move(*secret);
}

std::string settings_reference()
{
    std::ostringstream out;
    out << "| field | unit | range | default | meaning |\n"
           "| --- | --- | --- | --- | --- |\n";
    for (const auto& it : field_table()) {
        out << "| `" << it.name << "` | " << it.unit << " | "
            << (it.max > 0 ? range_text(it) : "–") << " | "
            << default_value_text(it) << " | " << it.description << " |\n";
    }
    return out.str();
}

} // namespace shallotwood::process
