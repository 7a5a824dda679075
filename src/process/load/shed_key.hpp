// The order in which requests are shed, fixed where a request enters.
//
// Every call made for a request carries its key, so all services shed the same
// requests: with independent choices hardly any request would have all of its
// calls served.
#pragma once

#include <cstdint>
#include <string>

namespace shallotwood::process::load
{

// Lower is more valuable. The class of importance in the upper bits, then a
// number that is uniform over requests.
using shed_key = std::uint32_t;

// Threshold that sheds nothing.
constexpr shed_key no_shed_threshold = 0xffffffff;

// Keys of one class of importance.
constexpr double keys_per_class = 268'435'456; // 2^28

// This share of every class is ranked with the most important class, so that no
// kind of request and no workspace is starved.
constexpr double always_best_class_share = 0.12;

// `workspace_priority` goes before `route_priority`; in both, 0 is most
// important. `seed` is the request id.
shed_key make_shed_key(int workspace_priority, int route_priority,
                       const std::string& seed);

} // namespace shallotwood::process::load
