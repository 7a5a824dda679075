// The order in which requests are shed, fixed where a request enters.
//
// Every call made for a request carries its key, so all services shed the same
// requests: independent choices would leave hardly any request whole.
#pragma once

#include <cstdint>
#include <string>

namespace shallotwood::process::load
{

// Lower is more valuable. The class of importance in the upper bits, then a
// number that is uniform over requests.
using shed_key = std::uint32_t;

// Sheds nothing.
constexpr shed_key no_shed_threshold = 0xffffffff;

// Keys of one class of importance.
constexpr double keys_per_class = 268'435'456; // 2^28

// Of every class this part is ranked with the most important one, so that no
// kind of request and no workspace goes without service for long.
constexpr double always_best_class_share = 0.12;

// `workspace_priority` goes before `route_priority`; in both, 0 is most
// important. `seed` names the request.
shed_key make_shed_key(int workspace_priority, int route_priority,
                       const std::string& seed);

} // namespace shallotwood::process::load
