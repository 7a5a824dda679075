#include "version/plan.hpp"

#include "process/name.hpp"

#include <algorithm>
#include <array>
#include <sstream>

namespace shallotwood::version
{

namespace
{

constexpr int plan_format = 1;
constexpr std::size_t max_text_bytes = 512;
constexpr std::size_t max_fields = 16;

constexpr std::array<const char*, 3> kind_names{"add", "modify", "remove"};
constexpr std::array<char, 3> kind_marks{'+', '~', '-'};

using text_fields = std::vector<std::pair<std::string, std::string>>;

std::string number_text(double number)
{
    std::ostringstream out;
    out.precision(15);
    out << number;
    return out.str();
}

std::string yes_or_no(bool flag)
{
    return flag ? "yes" : "no";
}

text_fields describe(const route& it)
{
    auto ms = it.timeout / std::chrono::milliseconds(1);
    return {{"prefix", it.prefix},
            {"service", it.service},
            {"importance", std::string(request::name_of(it.level))},
            {"repeatable", yes_or_no(it.repeatable)},
            {"open", yes_or_no(it.open)},
            {"timeout", std::to_string(ms) + " ms"}};
}

text_fields describe(const workspace& it)
{
    return {{"rate", number_text(it.rate) + " requests/s"},
            {"burst", number_text(it.burst) + " requests"}};
}

// The workspace of a key.
text_fields describe(const std::string& owner)
{
    return {{"workspace", owner}};
}

text_fields describe(server_intent intent)
{
    return {{"intent", intent == server_intent::leave ? "leave" : "join"}};
}

difference added(const std::string& entry, const std::string& name,
                 const text_fields& fields)
{
    difference it{difference_kind::add, entry, name, {}};
    for (const auto& [field, text] : fields)
        it.fields.push_back({field, "", text});
    return it;
}

difference removed(const std::string& entry, const std::string& name,
                   const text_fields& fields)
{
    difference it{difference_kind::remove, entry, name, {}};
    for (const auto& [field, text] : fields)
        it.fields.push_back({field, text, ""});
    return it;
}

difference modified(const std::string& entry, const std::string& name,
                    const text_fields& before, const text_fields& after)
{
    difference it{difference_kind::modify, entry, name, {}};
    for (std::size_t n = 0; n < before.size(); ++n) {
        if (before[n].second != after[n].second)
            it.fields.push_back(
                {before[n].first, before[n].second, after[n].second});
    }
    return it;
}

// Both maps are ordered by name, so one pass finds every difference.
template <typename Map>
void compare_maps(const std::string& entry, const Map& before, const Map& after,
                  std::vector<difference>& to)
{
    auto a = before.begin();
    auto b = after.begin();
    while (a != before.end() || b != after.end()) {
        if (b == after.end() || (a != before.end() && a->first < b->first)) {
            to.push_back(removed(entry, a->first, describe(a->second)));
            ++a;
        } else if (a == before.end() || b->first < a->first) {
            to.push_back(added(entry, b->first, describe(b->second)));
            ++b;
        } else {
            if (!(a->second == b->second))
                to.push_back(modified(entry, a->first, describe(a->second),
                                      describe(b->second)));
            ++a;
            ++b;
        }
    }
}

void write_text(std::ostream& out, const difference& it)
{
    out << "  " << kind_marks[static_cast<std::size_t>(it.kind)] << ' '
        << it.entry << ' ' << it.name << '\n';
    for (const auto& field : it.fields) {
        out << "      " << field.name << ": ";
        if (it.kind == difference_kind::modify)
            out << field.before << " -> " << field.after << '\n';
        else
            out << field.before << field.after << '\n';
    }
}

Json::Value to_json(const difference& it)
{
    Json::Value json(Json::objectValue);
    json["kind"] = kind_names[static_cast<std::size_t>(it.kind)];
    json["entry"] = it.entry;
    json["name"] = it.name;
    json["fields"] = Json::Value(Json::arrayValue);
    for (const auto& field : it.fields) {
        Json::Value entry(Json::objectValue);
        entry["name"] = field.name;
        entry["before"] = field.before;
        entry["after"] = field.after;
        json["fields"].append(entry);
    }
    return json;
}

// The differences are shown on a terminal before anything else checks them.
std::string read_plain(object_reader& reader, const char* name)
{
    auto text = reader.text(name, max_text_bytes);
    if (!std::all_of(text.begin(), text.end(),
                     [](char c) { return c >= ' ' && c < 0x7f; }))
        reader.fail(std::string(name) + " must be printable ASCII");
    return text;
}

field_difference read_field(object_reader& reader)
{
    field_difference it;
    it.name = read_plain(reader, "name");
    it.before = read_plain(reader, "before");
    it.after = read_plain(reader, "after");
    return it;
}

difference read_difference(object_reader& reader)
{
    difference it;
    auto kind = read_plain(reader, "kind");
    const auto* found = std::find(kind_names.begin(), kind_names.end(), kind);
    if (found == kind_names.end())
        reader.fail("kind must be add, modify or remove");
    else
        it.kind = static_cast<difference_kind>(found - kind_names.begin());
    it.entry = read_plain(reader, "entry");
    it.name = read_plain(reader, "name");
    for (const auto& json : reader.list("fields", max_fields)) {
        object_reader field(json, "field");
        it.fields.push_back(read_field(field));
        if (auto error = field.finish())
            reader.fail(error->message);
    }
    return it;
}

void read_differences(object_reader& reader, plan& to)
{
    // Removing a workspace removes its keys, at most all keys.
    for (const auto& json : reader.list("differences", max_keys + 1)) {
        object_reader entry(json, "difference");
        to.differences.push_back(read_difference(entry));
        if (auto error = entry.finish()) {
            reader.fail(error->message);
            return;
        }
    }
}

} // namespace

bool is_operation(std::string_view text)
{
    return !text.empty() && text.size() <= max_operation_bytes &&
           std::all_of(text.begin(), text.end(), [](char c) {
               return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                      (c >= '0' && c <= '9') || c == '-' || c == '_';
           });
}

std::vector<difference> compare(const configuration& before,
                                const configuration& after)
{
    std::vector<difference> found;
    compare_maps("route", before.routes, after.routes, found);
    compare_maps("workspace", before.workspaces, after.workspaces, found);
    compare_maps("key", before.keys, after.keys, found);
    compare_maps("backend server", before.servers, after.servers, found);
    return found;
}

std::variant<plan, apply_error> make_plan(const configuration& base,
                                          const change& intent,
                                          const std::string& operation)
{
    auto next = apply(base, intent);
    if (auto* error = std::get_if<apply_error>(&next))
        return std::move(*error);
    return plan{operation, base.revision, intent,
                compare(base, std::get<configuration>(next))};
}

std::string to_text(const plan& it)
{
    std::ostringstream out;
    out << "Plan " << it.operation << " against revision " << it.base_revision
        << "; confirming it makes revision " << it.base_revision + 1 << ":\n";
    for (const auto& entry : it.differences)
        write_text(out, entry);
    return out.str();
}

Json::Value to_json(const plan& it)
{
    Json::Value json(Json::objectValue);
    json["format"] = plan_format;
    json["operation"] = it.operation;
    json["base_revision"] = Json::UInt64(it.base_revision);
    json["change"] = to_json(it.intent);
    json["differences"] = Json::Value(Json::arrayValue);
    for (const auto& entry : it.differences)
        json["differences"].append(to_json(entry));
    return json;
}

std::variant<plan, codec_error> plan_from_json(const Json::Value& json)
{
    object_reader reader(json, "plan");
    plan it;
    if (reader.integer("format") != plan_format)
        reader.fail("format is not known");
    it.operation = reader.text("operation", max_operation_bytes);
    if (!is_operation(it.operation))
        reader.fail("operation must be letters, digits, '-' and '_'");
    it.base_revision = reader.integer("base_revision");
    auto intent = change_from_json(reader.object("change"));
    read_differences(reader, it);
    if (auto error = reader.finish())
        return std::move(*error);
    if (auto* error = std::get_if<codec_error>(&intent))
        return std::move(*error);
    it.intent = std::get<change>(intent);
    return it;
}

std::optional<apply_error> check_plan(const plan& it, const configuration& base)
{
    auto expected = make_plan(base, it.intent, it.operation);
    if (auto* error = std::get_if<apply_error>(&expected))
        return std::move(*error);
    if (!(std::get<plan>(expected).differences == it.differences))
        return apply_error{apply_fault::invalid,
                           "the plan shows other differences than its change "
                           "makes"};
    return std::nullopt;
}

} // namespace shallotwood::version
