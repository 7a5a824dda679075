#include "request/verdict.hpp"

#include <array>
#include <utility>

namespace shallotwood::request
{

namespace
{

constexpr std::array<std::pair<execution, std::string_view>, 3> execution_names{
    {{execution::not_run, "not-run"},
     {execution::may_have_run, "may-have-run"},
     {execution::ran, "ran"}}};

constexpr std::array<std::pair<reason, std::string_view>, 24> reason_names{
    {{reason::none, "none"},
     {reason::no_route, "no-route"},
     {reason::unknown_key, "unknown-key"},
     {reason::wrong_workspace, "wrong-workspace"},
     {reason::missing_idempotency_key, "missing-idempotency-key"},
     {reason::over_rate, "over-rate"},
     {reason::overload, "overload"},
     {reason::no_configuration, "no-configuration"},
     {reason::isolated, "isolated"},
     {reason::draining, "draining"},
     {reason::record_store_unreachable, "record-store-unreachable"},
     {reason::record_capacity, "record-capacity"},
     {reason::duplicate_in_progress, "duplicate-in-progress"},
     {reason::duplicate, "duplicate"},
     {reason::suspected_crash, "suspected-crash"},
     {reason::no_backend_server, "no-backend-server"},
     {reason::evacuated, "evacuated"},
     {reason::deadline, "deadline"},
     {reason::cancelled, "cancelled"},
     {reason::fenced, "fenced"},
     {reason::connection_failed, "connection-failed"},
     {reason::connection_silent, "connection-silent"},
     {reason::backend_server_failed, "backend-server-failed"},
     {reason::malformed, "malformed"}}};

template <typename Table, typename Value>
std::string_view find_name(const Table& table, Value value)
{
    for (const auto& [it, name] : table) {
        if (it == value)
            return name;
    }
    return "unknown";
}

template <typename Table, typename Value>
bool find_value(const Table& table, std::string_view name, Value& value)
{
    for (const auto& [it, it_name] : table) {
        if (it_name == name) {
            value = it;
            return true;
        }
    }
    return false;
}

} // namespace

std::string_view name_of(execution run)
{
    return find_name(execution_names, run);
}

std::string_view name_of(reason why)
{
    return find_name(reason_names, why);
}

bool parse_execution(std::string_view name, execution& run)
{
    return find_value(execution_names, name, run);
}

bool parse_reason(std::string_view name, reason& why)
{
    return find_value(reason_names, name, why);
}

} // namespace shallotwood::request
