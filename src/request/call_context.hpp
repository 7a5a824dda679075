// The context of a call, created by the entry node and passed along the call
// graph. A backend server never sees it; it gets an opaque token instead.
#pragma once

#include "process/event_loop.hpp"

#include <cstdint>
#include <json/json.h>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>

namespace shallotwood::request
{

// Lower values are shed later.
enum class importance : std::uint8_t { critical, high, normal, low };

std::string_view name_of(importance level);
bool parse_importance(std::string_view name, importance& level);

// Total order fixed at entry and the same at every hop: importance in the top
// 8 bits, then the rank. Lower keys are shed later.
using shed_key = std::uint32_t;

// Admits everything.
constexpr shed_key no_shed_threshold = 0xffffffff;

// Deepest call chain that is served; a deeper call is refused as a loop.
constexpr int max_depth = 32;

struct call_context {
    // Id of the caller's request; the same in the whole call tree.
    std::string request_id;
    // Id of this attempt of this call; unique across all nodes.
    std::string attempt_id;
    // Empty on a route open to all.
    std::string workspace;
    // Entry route; feedback is recorded per entry route.
    std::string route;
    importance level = importance::normal;
    shed_key key = no_shed_threshold;
    // False if the request must run at most once.
    bool repeatable = true;
    std::string idempotency_key;
    // Time remaining when the context was sent; each receiver turns it into a
    // deadline on its own clock.
    process::duration remaining{};
    // Retries that this call and its subtree may spend.
    int retries = 0;
    // 0 for the call that the entry node makes itself.
    int depth = 0;

    auto fields() const
    {
        return std::tie(request_id, attempt_id, workspace, route, level, key,
                        repeatable, idempotency_key, remaining, retries, depth);
    }

    friend bool operator==(const call_context& a, const call_context& b)
    {
        return a.fields() == b.fields();
    }
    friend bool operator!=(const call_context& a, const call_context& b)
    {
        return !(a == b);
    }
};

// The header value: base64 of the JSON form and a keyed hash over it under the
// fleet secret (32 bytes).
std::string seal(const call_context& context, std::string_view fleet_secret);

enum class context_error { malformed, bad_seal };

// Never throws on untrusted input; 8 KB at most.
std::variant<call_context, context_error> unseal(std::string_view header,
                                                 std::string_view fleet_secret);

} // namespace shallotwood::request
