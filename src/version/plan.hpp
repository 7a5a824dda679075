// A plan: what one change would do to a named base revision, for an operator to
// read and then to confirm.
#pragma once

#include "version/change.hpp"
#include "version/codec.hpp"

#include <string>
#include <tuple>
#include <vector>

namespace shallotwood::version
{

constexpr std::size_t max_operation_bytes = 64;

// Largest plan file that is read, in bytes.
constexpr std::size_t max_plan_bytes = 16'000'000;

enum class difference_kind { add, modify, remove };

// Empty `before` if the entry is added, empty `after` if it is removed.
struct field_difference {
    std::string name;
    std::string before;
    std::string after;

    friend bool operator==(const field_difference& a, const field_difference& b)
    {
        return std::tie(a.name, a.before, a.after) ==
               std::tie(b.name, b.before, b.after);
    }
};

// One entry of the configuration that the change adds, modifies or removes.
struct difference {
    difference_kind kind = difference_kind::add;
    // "route", "workspace", "key" or "backend server".
    std::string entry;
    std::string name;
    // Only those that differ.
    std::vector<field_difference> fields;

    friend bool operator==(const difference& a, const difference& b)
    {
        return std::tie(a.kind, a.entry, a.name, a.fields) ==
               std::tie(b.kind, b.entry, b.name, b.fields);
    }
};

struct plan {
    // Identifies the commit of this plan, so that one whose answer was lost is
    // recognised and never made twice.
    std::string operation;
    std::uint64_t base_revision = 0;
    change intent;
    std::vector<difference> differences;
};

// Letters, digits, '-' and '_'.
bool is_operation(std::string_view text);

// Everything in which `after` differs from `before`, in a fixed order.
std::vector<difference> compare(const configuration& before,
                                const configuration& after);

std::variant<plan, apply_error> make_plan(const configuration& base,
                                          const change& intent,
                                          const std::string& operation);

// For people; several lines.
std::string to_text(const plan& it);

Json::Value to_json(const plan& it);

// From the JSON form. The differences in it are read for comparison with those
// that the change makes; see check_plan.
std::variant<plan, codec_error> plan_from_json(const Json::Value& json);

// Empty if the differences that the plan shows are those that its change makes
// to `base`, which must have the plan's base revision: an operator confirms
// what the plan shows.
std::optional<apply_error> check_plan(const plan& it,
                                      const configuration& base);

} // namespace shallotwood::version
