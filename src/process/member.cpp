#include "process/member.hpp"

#include "process/keyed_hash.hpp"

#include <algorithm>

namespace shallotwood::process
{

std::vector<member>
rendezvous_order(const std::vector<member>& members, const std::string& key,
                 std::size_t count,
                 const std::function<bool(const member&)>& eligible)
{
    std::vector<std::pair<std::uint64_t, const member*>> weighted;
    for (const auto& it : members) {
        if (eligible(it))
            weighted.emplace_back(stable_hash(it.instance, stable_hash(key)),
                                  &it);
    }
    auto n = std::min(count, weighted.size());
    std::partial_sort(weighted.begin(), weighted.begin() + n, weighted.end(),
                      [](const auto& a, const auto& b) {
                          return a.first != b.first
                                     ? a.first > b.first
                                     : a.second->instance < b.second->instance;
                      });
    std::vector<member> order;
    for (std::size_t it = 0; it < n; ++it)
        order.push_back(*weighted[it].second);
    return order;
}

} // namespace shallotwood::process
