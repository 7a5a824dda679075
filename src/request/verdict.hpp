// What is known about the execution of a request that did not succeed, and
// why.
#pragma once

#include <string_view>
#include <tuple>

namespace shallotwood::request
{

// A request that is not repeatable may be retried only after not_run.
enum class execution { not_run, may_have_run, ran };

enum class reason {
    none,
    // Refused before any backend server was chosen.
    no_route,
    unknown_key,
    wrong_workspace,
    missing_idempotency_key,
    over_rate,
    overload,
    no_configuration,
    isolated,
    draining,
    record_store_unreachable,
    record_capacity,
    duplicate_in_progress,
    // It ran before; the response was too large to be recorded.
    duplicate,
    suspected_crash,
    no_backend_server,
    // The failure domain of the backend server is evacuated.
    evacuated,
    // Other failures, possibly during execution.
    deadline,
    cancelled,
    fenced,
    connection_failed,
    connection_silent,
    backend_server_failed,
    malformed,
};

struct verdict {
    execution run = execution::not_run;
    reason why = reason::none;

    friend bool operator==(const verdict& a, const verdict& b)
    {
        return std::tie(a.run, a.why) == std::tie(b.run, b.why);
    }
    friend bool operator!=(const verdict& a, const verdict& b)
    {
        return !(a == b);
    }
};

// The names used in headers, logs and counters, such as "not-run" and
// "over-rate".
std::string_view name_of(execution run);
std::string_view name_of(reason why);

// Return false and leave the output alone if the name is unknown.
bool parse_execution(std::string_view name, execution& run);
bool parse_reason(std::string_view name, reason& why);

} // namespace shallotwood::request
