// The names of instances, failure domains, services, routes and workspaces.
#pragma once

#include <string_view>

namespace shallotwood::process
{

constexpr std::size_t max_name_bytes = 64;

// 1 to max_name_bytes of letters, digits, '-', '_' and '.', beginning with a
// letter or digit: safe in headers, object names, log fields and labels.
bool is_valid_name(std::string_view text);

} // namespace shallotwood::process
