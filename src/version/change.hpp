// The changes that an operator can confirm, and their effect on a
// configuration.
//
// Every field and every count has a bound, so that the size of a
// configuration, of a change and of the objects that hold them is bounded.
#pragma once

#include "version/configuration.hpp"

#include <optional>
#include <string>
#include <variant>

namespace shallotwood::version
{

constexpr std::size_t max_routes = 10'000;
constexpr std::size_t max_workspaces = 20'000;
constexpr std::size_t max_keys = 50'000;
// Backend servers that were told to leave.
constexpr std::size_t max_server_intents = 50'000;

constexpr std::size_t max_prefix_bytes = 256;
constexpr process::duration min_timeout = std::chrono::milliseconds(1);
constexpr process::duration max_timeout = std::chrono::hours(1);
// Requests per second. The lower bound is about four requests an hour.
constexpr double min_rate = 0.001;
constexpr double max_rate = 1e7;
// Requests. With a burst below 1 no request would ever be admitted.
constexpr double min_burst = 1;
constexpr double max_burst = 1e8;
// Hexadecimal digits of the hash of a key.
constexpr std::size_t key_hash_digits = 64;

// Adds the route, or replaces the one of the same name.
struct set_route {
    route value;
};

struct remove_route {
    std::string name;
};

// Adds the workspace, or replaces the one of the same name.
struct set_workspace {
    workspace value;
};

// Withdraws the keys of the workspace too.
struct remove_workspace {
    std::string name;
};

struct issue_key {
    // See process::hash_api_key. The key itself is never stored.
    std::string hash;
    std::string workspace;
};

struct withdraw_key {
    std::string hash;
};

// Ends the intent to leave. A backend server without an entry serves as soon
// as it announces itself, so the entry is removed; entries then exist only for
// backend servers that leave, and don't accumulate.
struct join_server {
    std::string instance;
};

// The backend server beside this instance gets no new work.
struct leave_server {
    std::string instance;
};

using change =
    std::variant<set_route, remove_route, set_workspace, remove_workspace,
                 issue_key, withdraw_key, join_server, leave_server>;

bool operator==(const change& a, const change& b);
inline bool operator!=(const change& a, const change& b)
{
    return !(a == b);
}

enum class apply_fault {
    // A field is out of its bounds.
    invalid,
    // The entry to remove does not exist.
    not_found,
    already_exists,
    // Another route has the same prefix.
    prefix_taken,
    // The key's workspace does not exist.
    no_workspace,
    // The configuration would not differ.
    no_effect,
    // A count is at its bound.
    too_many,
};

struct apply_error {
    apply_fault fault = apply_fault::invalid;
    // For people: names the field or entry.
    std::string message;
};

// What is wrong with a field, or empty if all are within bounds.
std::optional<std::string> find_fault(const route& it);
std::optional<std::string> find_fault(const workspace& it);
std::optional<std::string> find_fault(const change& it);

bool is_key_hash(std::string_view text);

// The next revision, or why the change does not apply to this one. Takes the
// configuration by value: a caller that no longer needs it moves it in, and
// nothing is copied.
std::variant<configuration, apply_error> apply(configuration base,
                                               const change& it);

} // namespace shallotwood::version
