#include "connection/peer/index_policy.hpp"

#include <functional>

namespace shallotwood::connection::peer
{

bool index_policy::indexes(std::string_view name, std::string_view value)
{
    if (value.size() > max_indexed_bytes)
        return false;
    auto name_hash = std::hash<std::string_view>()(name);
    auto hash = std::hash<std::string_view>()(value) ^ (name_hash * 31);
    auto& seen = values_[hash % remembered_values];
    // 0 stands for an empty place.
    auto mark = static_cast<std::uint16_t>((hash >> 16) | 1);
    bool repeats = seen == mark;
    seen = mark;
    auto& skipped = skipped_[name_hash % remembered_names];
    bool refresh = skipped % name_refresh == 0;
    if (!repeats)
        skipped = static_cast<std::uint8_t>((skipped + 1) % name_refresh);
    return repeats || refresh;
}

} // namespace shallotwood::connection::peer
