// Validation of names of instances, failure domains, services, routes and
// workspaces.
#pragma once

#include <string_view>

namespace shallotwood::process
{

constexpr std::size_t max_name_bytes = 64;

// True for 1 to max_name_bytes ASCII letters, digits, '-', '_' and '.',
// beginning with a letter or digit. Such names need no escaping in headers,
// object names, log fields and metric labels.
bool is_valid_name(std::string_view text);

} // namespace shallotwood::process
