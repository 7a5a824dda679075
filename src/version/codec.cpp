#include "version/codec.hpp"

#include "process/name.hpp"

#include <functional>
#include <set>

namespace shallotwood::version
{

namespace
{

using std::chrono::milliseconds;

// Names the kind of a change in JSON.
constexpr const char* kind_field = "change";
constexpr std::size_t max_kind_bytes = 32;
constexpr std::size_t max_importance_bytes = 16;

void write_route(Json::Value& json, const route& it)
{
    json["name"] = it.name;
    json["prefix"] = it.prefix;
    json["service"] = it.service;
    json["importance"] = std::string(request::name_of(it.level));
    json["repeatable"] = it.repeatable;
    json["open"] = it.open;
    json["timeout_ms"] = Json::UInt64(it.timeout / milliseconds(1));
}

route read_route(object_reader& reader)
{
    route it;
    it.name = reader.text("name", process::max_name_bytes);
    it.prefix = reader.text("prefix", max_prefix_bytes);
    it.service = reader.text("service", process::max_name_bytes);
    auto level = reader.text("importance", max_importance_bytes);
    if (!request::parse_importance(level, it.level))
        reader.fail("importance must be critical, high, normal or low");
    it.repeatable = reader.flag("repeatable");
    it.open = reader.flag("open");
    constexpr std::uint64_t max_ms = max_timeout / milliseconds(1);
    auto timeout = std::min(reader.integer("timeout_ms"), max_ms + 1);
    it.timeout = milliseconds(timeout);
    return it;
}

void write_workspace(Json::Value& json, const workspace& it)
{
    json["name"] = it.name;
    json["rate"] = it.rate;
    json["burst"] = it.burst;
}

workspace read_workspace(object_reader& reader)
{
    workspace it;
    it.name = reader.text("name", process::max_name_bytes);
    it.rate = reader.number("rate");
    it.burst = reader.number("burst");
    return it;
}

void write_key(Json::Value& json, const std::string& hash,
               const std::string& owner)
{
    json["hash"] = hash;
    json["workspace"] = owner;
}

issue_key read_key(object_reader& reader)
{
    issue_key it;
    it.hash = reader.text("hash", key_hash_digits);
    it.workspace = reader.text("workspace", process::max_name_bytes);
    return it;
}

struct kind_name {
    const char* operator()(const set_route&) const { return "set_route"; }
    const char* operator()(const remove_route&) const { return "remove_route"; }
    const char* operator()(const set_workspace&) const
    {
        return "set_workspace";
    }
    const char* operator()(const remove_workspace&) const
    {
        return "remove_workspace";
    }
    const char* operator()(const issue_key&) const { return "issue_key"; }
    const char* operator()(const withdraw_key&) const { return "withdraw_key"; }
    const char* operator()(const join_server&) const { return "join_server"; }
    const char* operator()(const leave_server&) const { return "leave_server"; }
};

class change_writer
{
public:
    explicit change_writer(Json::Value& json) : json_(json) {}

    void operator()(const set_route& it) const { write_route(json_, it.value); }
    void operator()(const remove_route& it) const { json_["name"] = it.name; }
    void operator()(const set_workspace& it) const
    {
        write_workspace(json_, it.value);
    }
    void operator()(const remove_workspace& it) const
    {
        json_["name"] = it.name;
    }
    void operator()(const issue_key& it) const
    {
        write_key(json_, it.hash, it.workspace);
    }
    void operator()(const withdraw_key& it) const { json_["hash"] = it.hash; }
    void operator()(const join_server& it) const
    {
        json_["instance"] = it.instance;
    }
    void operator()(const leave_server& it) const
    {
        json_["instance"] = it.instance;
    }

private:
    Json::Value& json_;
};

change read_change(const std::string& kind, object_reader& reader)
{
    auto name = [&reader](const char* field) {
        return reader.text(field, process::max_name_bytes);
    };
    if (kind == "set_route")
        return set_route{read_route(reader)};
    if (kind == "remove_route")
        return remove_route{name("name")};
    if (kind == "set_workspace")
        return set_workspace{read_workspace(reader)};
    if (kind == "remove_workspace")
        return remove_workspace{name("name")};
    if (kind == "issue_key")
        return read_key(reader);
    if (kind == "withdraw_key")
        return withdraw_key{reader.text("hash", key_hash_digits)};
    if (kind == "join_server")
        return join_server{name("instance")};
    if (kind == "leave_server")
        return leave_server{name("instance")};
    reader.fail("kind is not known");
    return {};
}

const Json::Value& empty_array()
{
    static const Json::Value value(Json::arrayValue);
    return value;
}

const Json::Value& empty_object()
{
    static const Json::Value value(Json::objectValue);
    return value;
}

// Reads each entry of a list; stops at the first fault, which is passed on.
template <typename Read>
void read_entries(object_reader& reader, const char* list, std::size_t bound,
                  Read read)
{
    for (const auto& json : reader.list(list, bound)) {
        object_reader entry(json, list);
        auto fault = read(entry);
        if (auto error = entry.finish()) {
            reader.fail(error->message);
            return;
        }
        if (fault) {
            reader.fail(std::string(list) + ": " + *fault);
            return;
        }
    }
}

// Fails if the name is present already or the map is at the bound.
template <typename Map, typename Value>
std::optional<std::string> insert(Map& to, std::size_t bound,
                                  const std::string& name, Value value)
{
    if (to.size() >= bound)
        return "too many entries";
    if (!to.emplace(name, std::move(value)).second)
        return name + " is repeated";
    return std::nullopt;
}

} // namespace

object_reader::object_reader(const Json::Value& json, std::string what)
    : json_(json.isObject() ? json : empty_object()), what_(std::move(what))
{
    if (!json.isObject())
        fail("must be an object");
}

std::string object_reader::text(const char* name, std::size_t max_bytes)
{
    const auto& value = find(name);
    if (!value.isString()) {
        fail(std::string(name) + " must be a text");
        return {};
    }
    auto found = value.asString();
    if (found.size() > max_bytes) {
        fail(std::string(name) + " is too long");
        return {};
    }
    return found;
}

bool object_reader::flag(const char* name)
{
    const auto& value = find(name);
    if (!value.isBool())
        fail(std::string(name) + " must be true or false");
    return value.isBool() && value.asBool();
}

double object_reader::number(const char* name)
{
    const auto& value = find(name);
    if (!value.isNumeric()) {
        fail(std::string(name) + " must be a number");
        return 0;
    }
    return value.asDouble();
}

std::uint64_t object_reader::integer(const char* name)
{
    const auto& value = find(name);
    // isUInt64 is also true of a number such as 1.0, which is accepted.
    if (!value.isUInt64()) {
        fail(std::string(name) + " must be a whole number");
        return 0;
    }
    return value.asUInt64();
}

std::uint64_t object_reader::optional_integer(const char* name)
{
    return json_.isMember(name) ? integer(name) : 0;
}

const Json::Value& object_reader::list(const char* name,
                                       std::size_t max_entries)
{
    const auto& value = find(name);
    if (!value.isArray()) {
        fail(std::string(name) + " must be a list");
        return empty_array();
    }
    if (value.size() > max_entries) {
        fail(std::string(name) + " has too many entries");
        return empty_array();
    }
    return value;
}

const Json::Value& object_reader::object(const char* name)
{
    const auto& value = find(name);
    if (!value.isObject()) {
        fail(std::string(name) + " must be an object");
        return empty_object();
    }
    return value;
}

std::optional<codec_error> object_reader::finish()
{
    if (json_.size() != asked_)
        fail("has a field that is not known");
    return error_;
}

void object_reader::fail(const std::string& message)
{
    if (!error_)
        error_ = codec_error{what_ + ": " + message};
}

const Json::Value& object_reader::find(const char* name)
{
    if (json_.isMember(name))
        ++asked_;
    return json_[name];
}

void entry_list::for_each(
    const std::function<void(const char*, const Json::Value&)>& on_entry) const
{
    for (const auto& [name, it] : of_.routes) {
        Json::Value json(Json::objectValue);
        write_route(json, it);
        on_entry("routes", json);
    }
    for (const auto& [name, it] : of_.workspaces) {
        Json::Value json(Json::objectValue);
        write_workspace(json, it);
        on_entry("workspaces", json);
    }
    for (const auto& [hash, owner] : of_.keys) {
        Json::Value json(Json::objectValue);
        write_key(json, hash, owner);
        on_entry("keys", json);
    }
    for (const auto& [instance, intent] : of_.servers) {
        if (intent != server_intent::leave)
            continue;
        Json::Value json(Json::objectValue);
        json["instance"] = instance;
        on_entry("leaving", json);
    }
}

std::optional<codec_error> entry_reader::add(object_reader& reader)
{
    add_routes(reader);
    add_workspaces(reader);
    add_keys(reader);
    add_leaving(reader);
    return reader.finish();
}

void entry_reader::add_routes(object_reader& reader)
{
    read_entries(reader, "routes", max_routes, [this](object_reader& entry) {
        auto it = read_route(entry);
        auto fault = find_fault(it);
        return fault ? fault : insert(result_.routes, max_routes, it.name, it);
    });
}

void entry_reader::add_workspaces(object_reader& reader)
{
    read_entries(reader, "workspaces", max_workspaces,
                 [this](object_reader& entry) {
                     auto it = read_workspace(entry);
                     auto fault = find_fault(it);
                     return fault ? fault
                                  : insert(result_.workspaces, max_workspaces,
                                           it.name, it);
                 });
}

void entry_reader::add_keys(object_reader& reader)
{
    read_entries(reader, "keys", max_keys, [this](object_reader& entry) {
        auto it = read_key(entry);
        auto fault = find_fault(change(it));
        return fault ? fault
                     : insert(result_.keys, max_keys, it.hash, it.workspace);
    });
}

void entry_reader::add_leaving(object_reader& reader)
{
    read_entries(
        reader, "leaving", max_server_intents, [this](object_reader& entry) {
            leave_server it{entry.text("instance", process::max_name_bytes)};
            auto fault = find_fault(change(it));
            return fault ? fault
                         : insert(result_.servers, max_server_intents,
                                  it.instance, server_intent::leave);
        });
}

std::variant<configuration, codec_error>
entry_reader::finish(std::uint64_t revision)
{
    std::set<std::string_view> prefixes;
    for (const auto& [name, it] : result_.routes) {
        if (!prefixes.insert(it.prefix).second)
            return codec_error{"routes: prefix " + it.prefix + " is repeated"};
    }
    for (const auto& [hash, owner] : result_.keys) {
        if (result_.workspaces.count(owner) == 0)
            return codec_error{"keys: workspace " + owner + " does not exist"};
    }
    result_.revision = revision;
    return std::move(result_);
}

Json::Value to_json(const change& it)
{
    Json::Value json(Json::objectValue);
    json[kind_field] = std::visit(kind_name{}, it);
    std::visit(change_writer(json), it);
    return json;
}

std::variant<change, codec_error> change_from_json(const Json::Value& json)
{
    object_reader reader(json, "change");
    auto it = read_change(reader.text(kind_field, max_kind_bytes), reader);
    if (auto error = reader.finish())
        return std::move(*error);
    if (auto fault = find_fault(it))
        return codec_error{std::move(*fault)};
    return it;
}

Json::Value to_json(const configuration& it)
{
    Json::Value json(Json::objectValue);
    write_position(json, "era", "revision", it.position());
    for (const auto* list : {"routes", "workspaces", "keys", "leaving"})
        json[list] = Json::Value(Json::arrayValue);
    entry_list(it).for_each(
        [&json](const char* list, const Json::Value& entry) {
            json[list].append(entry);
        });
    return json;
}

std::variant<configuration, codec_error>
configuration_from_json(const Json::Value& json)
{
    object_reader reader(json, "configuration");
    auto era = reader.optional_integer("era");
    auto revision = reader.integer("revision");
    entry_reader entries;
    if (auto error = entries.add(reader))
        return std::move(*error);
    auto result = entries.finish(revision);
    if (auto* it = std::get_if<configuration>(&result))
        it->era = era;
    return result;
}

} // namespace shallotwood::version
