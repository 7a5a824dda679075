#include "version/change.hpp"

#include "process/name.hpp"

#include <algorithm>

namespace shallotwood::version
{

namespace
{

using fault_text = std::optional<std::string>;

fault_text name_fault(const std::string& field, const std::string& name)
{
    if (process::is_valid_name(name))
        return std::nullopt;
    return field + " must be 1 to " + std::to_string(process::max_name_bytes) +
           " letters, digits, '-', '_' or '.', beginning with a letter or "
           "digit";
}

fault_text hash_fault(const std::string& hash)
{
    if (is_key_hash(hash))
        return std::nullopt;
    return "key hash must be " + std::to_string(key_hash_digits) +
           " lower-case hexadecimal digits";
}

// Plain URL path characters, which need no escape in JSON either.
bool is_path(const std::string& text)
{
    if (text.empty() || text.size() > max_prefix_bytes || text[0] != '/')
        return false;
    return std::all_of(text.begin(), text.end(), [](char c) {
        return c > ' ' && c < 0x7f &&
               std::string_view("\"\\?#").find(c) == std::string_view::npos;
    });
}

class field_check
{
public:
    fault_text operator()(const set_route& it) const
    {
        return find_fault(it.value);
    }
    fault_text operator()(const remove_route& it) const
    {
        return name_fault("route name", it.name);
    }
    fault_text operator()(const set_workspace& it) const
    {
        return find_fault(it.value);
    }
    fault_text operator()(const remove_workspace& it) const
    {
        return name_fault("workspace name", it.name);
    }
    fault_text operator()(const issue_key& it) const
    {
        if (auto fault = hash_fault(it.hash))
            return fault;
        return name_fault("workspace name", it.workspace);
    }
    fault_text operator()(const withdraw_key& it) const
    {
        return hash_fault(it.hash);
    }
    fault_text operator()(const join_server& it) const
    {
        return name_fault("instance", it.instance);
    }
    fault_text operator()(const leave_server& it) const
    {
        return name_fault("instance", it.instance);
    }
};

using fault_result = std::optional<apply_error>;

apply_error no_effect(const std::string& what)
{
    return {apply_fault::no_effect, what + " would not change"};
}

apply_error not_found(const std::string& what)
{
    return {apply_fault::not_found, what + " does not exist"};
}

// Stores the value under the name, as long as the map stays within the bound.
template <typename Map>
fault_result store(Map& to, std::size_t bound, const std::string& what,
                   const std::string& name,
                   const typename Map::mapped_type& value)
{
    auto it = to.find(name);
    if (it != to.end()) {
        if (it->second == value)
            return no_effect(what + ' ' + name);
        it->second = value;
        return std::nullopt;
    }
    if (to.size() >= bound)
        return apply_error{apply_fault::too_many, "there are already " +
                                                      std::to_string(bound) +
                                                      ' ' + what + " entries"};
    to.emplace(name, value);
    return std::nullopt;
}

template <typename Map>
fault_result erase(Map& from, const std::string& what, const std::string& name)
{
    if (from.erase(name) == 0)
        return not_found(what + ' ' + name);
    return std::nullopt;
}

class applier
{
public:
    explicit applier(configuration& to) : to_(to) {}

    fault_result operator()(const set_route& it) const
    {
        for (const auto& [name, other] : to_.routes) {
            if (other.prefix == it.value.prefix && name != it.value.name)
                return apply_error{apply_fault::prefix_taken,
                                   "route " + name + " has the prefix " +
                                       other.prefix + " already"};
        }
        return store(to_.routes, max_routes, "route", it.value.name, it.value);
    }

    fault_result operator()(const remove_route& it) const
    {
        return erase(to_.routes, "route", it.name);
    }

    fault_result operator()(const set_workspace& it) const
    {
        return store(to_.workspaces, max_workspaces, "workspace", it.value.name,
                     it.value);
    }

    fault_result operator()(const remove_workspace& it) const
    {
        for (auto key = to_.keys.begin(); key != to_.keys.end();) {
            if (key->second == it.name)
                key = to_.keys.erase(key);
            else
                ++key;
        }
        return erase(to_.workspaces, "workspace", it.name);
    }

    fault_result operator()(const issue_key& it) const
    {
        if (to_.workspaces.count(it.workspace) == 0)
            return apply_error{apply_fault::no_workspace,
                               "workspace " + it.workspace + " does not exist"};
        if (to_.keys.count(it.hash) != 0)
            return apply_error{apply_fault::already_exists,
                               "key " + it.hash + " is issued already"};
        return store(to_.keys, max_keys, "key", it.hash, it.workspace);
    }

    fault_result operator()(const withdraw_key& it) const
    {
        return erase(to_.keys, "key", it.hash);
    }

    fault_result operator()(const join_server& it) const
    {
        if (to_.servers.erase(it.instance) == 0)
            return apply_error{apply_fault::no_effect,
                               "backend server " + it.instance +
                                   " was not told to leave; it serves as soon "
                                   "as it announces itself"};
        return std::nullopt;
    }

    fault_result operator()(const leave_server& it) const
    {
        return store(to_.servers, max_server_intents, "backend server",
                     it.instance, server_intent::leave);
    }

private:
    configuration& to_;
};

bool equal(const set_route& a, const set_route& b)
{
    return a.value == b.value;
}
bool equal(const remove_route& a, const remove_route& b)
{
    return a.name == b.name;
}
bool equal(const set_workspace& a, const set_workspace& b)
{
    return a.value == b.value;
}
bool equal(const remove_workspace& a, const remove_workspace& b)
{
    return a.name == b.name;
}
bool equal(const issue_key& a, const issue_key& b)
{
    return std::tie(a.hash, a.workspace) == std::tie(b.hash, b.workspace);
}
bool equal(const withdraw_key& a, const withdraw_key& b)
{
    return a.hash == b.hash;
}
bool equal(const join_server& a, const join_server& b)
{
    return a.instance == b.instance;
}
bool equal(const leave_server& a, const leave_server& b)
{
    return a.instance == b.instance;
}

} // namespace

bool operator==(const change& a, const change& b)
{
    if (a.index() != b.index())
        return false;
    return std::visit(
        [&b](const auto& it) {
            return equal(it, std::get<std::decay_t<decltype(it)>>(b));
        },
        a);
}

std::optional<std::string> find_fault(const route& it)
{
    if (auto fault = name_fault("route name", it.name))
        return fault;
    if (!is_path(it.prefix))
        return "prefix must begin with '/' and have at most " +
               std::to_string(max_prefix_bytes) +
               " printable ASCII characters other than space, '\"', '\\', '?' "
               "and '#'";
    if (auto fault = name_fault("service", it.service))
        return fault;
    if (it.timeout < min_timeout || it.timeout > max_timeout)
        return "timeout must be 1 ms to 1 h";
    if (it.timeout % std::chrono::milliseconds(1) != process::duration(0))
        return "timeout must be a whole number of milliseconds";
    return std::nullopt;
}

std::optional<std::string> find_fault(const workspace& it)
{
    if (auto fault = name_fault("workspace name", it.name))
        return fault;
    // Written so that NaN is a fault.
    if (!(it.rate >= min_rate && it.rate <= max_rate))
        return "rate must be 0.001 to 10000000 requests per second";
    if (!(it.burst >= min_burst && it.burst <= max_burst))
        return "burst must be 1 to 100000000 requests";
    return std::nullopt;
}

std::optional<std::string> find_fault(const change& it)
{
    return std::visit(field_check{}, it);
}

bool is_key_hash(std::string_view text)
{
    return text.size() == key_hash_digits &&
           std::all_of(text.begin(), text.end(), [](char c) {
               return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
           });
}

std::variant<configuration, apply_error> apply(configuration base,
                                               const change& it)
{
    if (auto fault = find_fault(it))
        return apply_error{apply_fault::invalid, std::move(*fault)};
    if (auto error = std::visit(applier(base), it))
        return std::move(*error);
    ++base.revision;
    return base;
}

} // namespace shallotwood::version
