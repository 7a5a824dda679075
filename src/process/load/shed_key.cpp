#include "process/load/shed_key.hpp"

#include <algorithm>
#include <xxhash.h>

namespace shallotwood::process::load
{

namespace
{

// Priorities beyond the last level are as unimportant as that.
constexpr int levels = 4;

constexpr int class_bits = 4;
constexpr int uniform_bits = 32 - class_bits;
constexpr std::uint32_t uniform_range = std::uint32_t{1} << uniform_bits;

// Part of each class for requests within the share of their workspace. The rest
// of the last class is for those beyond it: wide enough that a rising shed
// threshold does not admit all of them in one step.
constexpr double within_share_part = 0.75;

std::uint32_t uniform_of(const std::string& seed)
{
    return static_cast<std::uint32_t>(XXH64(seed.data(), seed.size(), 0) >>
                                      (64 - uniform_bits));
}

std::uint32_t class_of(int workspace_priority, int route_priority)
{
    auto level = [](int it) { return std::clamp(it, 0, levels - 1); };
    return static_cast<std::uint32_t>(level(workspace_priority) * levels +
                                      level(route_priority));
}

} // namespace

shed_key make_shed_key(int workspace_priority, int route_priority,
                       const std::string& seed)
{
    auto uniform = uniform_of(seed);
    if (uniform < always_best_class_share * uniform_range)
        return uniform;
    return (class_of(workspace_priority, route_priority) << uniform_bits) |
           uniform;
}

shed_key make_fair_shed_key(int workspace_priority, int route_priority,
                            const std::string& seed, double relative_demand)
{
    // Of a workspace with n requests in a time, the k-th in this order has the
    // rank k / n x n / mean: a threshold admits as many of each workspace.
    double rank =
        uniform_of(seed) / static_cast<double>(uniform_range) * relative_demand;
    auto key = [](std::uint32_t importance, double place) {
        return (importance << uniform_bits) |
               static_cast<std::uint32_t>(place * uniform_range);
    };
    if (rank < always_best_class_share)
        return key(0, rank * within_share_part);
    if (rank < 1)
        return key(class_of(workspace_priority, route_priority),
                   rank * within_share_part);
    return key(class_of(workspace_priority, levels - 1),
               1 - (1 - within_share_part) / rank);
}

} // namespace shallotwood::process::load
