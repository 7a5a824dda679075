#include "process/witness_quorum.hpp"

#include <algorithm>

namespace shallotwood::process
{

void witness_quorum::confirm()
{
    current_ = *next_;
    next_.reset();
}

std::vector<node_ref> witness_quorum::all() const
{
    auto nodes = current_;
    if (next_) {
        for (const auto& it : *next_) {
            if (std::find(nodes.begin(), nodes.end(), it) == nodes.end())
                nodes.push_back(it);
        }
    }
    return nodes;
}

namespace
{

bool is_majority(const std::vector<node_ref>& set,
                 const std::set<std::string>& boots)
{
    auto n = std::count_if(set.begin(), set.end(), [&](const auto& it) {
        return boots.count(it.boot) != 0;
    });
    return static_cast<std::size_t>(n) >= majority(set.size());
}

} // namespace

bool witness_quorum::reached(const std::set<std::string>& boots) const
{
    return is_majority(current_, boots) &&
           (!next_ || is_majority(*next_, boots));
}

bool witness_quorum::next_reached(const std::set<std::string>& boots) const
{
    return next_ && is_majority(*next_, boots);
}

void witness_quorum::acknowledge(const std::string& boot, time_point asked)
{
    auto& it = acknowledged_[boot];
    it = std::max(it, asked);
}

std::optional<time_point>
witness_quorum::last_acknowledged(const std::string& boot) const
{
    auto found = acknowledged_.find(boot);
    if (found == acknowledged_.end())
        return std::nullopt;
    return found->second;
}

time_point witness_quorum::lease_end(duration term, bool with_next) const
{
    auto end = lease_end(current_, term);
    return with_next && next_ ? std::min(end, lease_end(*next_, term)) : end;
}

time_point witness_quorum::next_lease_end(duration term) const
{
    return lease_end(*next_, term);
}

time_point witness_quorum::lease_end(const std::vector<node_ref>& set,
                                     duration term) const
{
    if (set.empty())
        return time_point::max();
    std::vector<time_point> asked;
    for (const auto& it : set) {
        if (auto at = last_acknowledged(it.boot))
            asked.push_back(*at);
    }
    auto needed = majority(set.size());
    if (asked.size() < needed)
        return {};
    std::sort(asked.rbegin(), asked.rend());
    return asked[needed - 1] + term;
}

} // namespace shallotwood::process
