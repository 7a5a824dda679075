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

} // namespace

shed_key make_shed_key(int workspace_priority, int route_priority,
                       const std::string& seed)
{
    auto uniform = static_cast<std::uint32_t>(
        XXH64(seed.data(), seed.size(), 0) >> (64 - uniform_bits));
    if (uniform < always_best_class_share * uniform_range)
        return uniform;
    auto level = [](int it) { return std::clamp(it, 0, levels - 1); };
    auto importance = static_cast<std::uint32_t>(
        level(workspace_priority) * levels + level(route_priority));
    return (importance << uniform_bits) | uniform;
}

} // namespace shallotwood::process::load
