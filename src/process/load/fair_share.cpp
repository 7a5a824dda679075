#include "process/load/fair_share.hpp"

#include <algorithm>
#include <iterator>

namespace shallotwood::process::load
{

namespace
{

// A statement is valid for this time, as a load report is.
constexpr duration statement_validity = std::chrono::milliseconds(500);

// Weight of the newest statement: executing nodes get different requests, and
// the mean of their statements is more certain than each of them.
constexpr double newest_statement_weight = 0.5;

} // namespace

void fair_share::record_demands(const std::vector<large_demand>& stated)
{
    auto now = clock_.now();
    for (auto it = demands_.begin(); it != demands_.end();)
        it = now - it->second.at > statement_validity ? demands_.erase(it)
                                                      : std::next(it);
    // What is not stated is average.
    for (auto& [workspace, it] : demands_)
        it.relative += newest_statement_weight * (1 - it.relative);
    for (const auto& [workspace, relative] : stated) {
        if (demands_.size() >= max_workspaces && demands_.count(workspace) == 0)
            continue;
        auto& it = demands_[workspace];
        it.relative += newest_statement_weight * (std::max(relative, 1.0) - 1);
        it.at = now;
    }
}

void fair_share::record_refused(const std::string& workspace)
{
    if (refused_.size() < max_workspaces || refused_.count(workspace) != 0)
        ++refused_[workspace];
}

int fair_share::take_refused(const std::string& workspace)
{
    auto found = refused_.find(workspace);
    if (found == refused_.end())
        return 0;
    int n = found->second;
    refused_.erase(found);
    return n;
}

double fair_share::relative_demand(const std::string& workspace) const
{
    auto found = demands_.find(workspace);
    if (found == demands_.end() ||
        clock_.now() - found->second.at > statement_validity)
        return 1;
    return found->second.relative;
}

} // namespace shallotwood::process::load
