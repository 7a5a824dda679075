#include "process/load/workspace_demand.hpp"

#include <algorithm>
#include <cmath>

namespace shallotwood::process::load
{

namespace
{

// Time constant of the demand. A surge of some seconds must show within a part
// of a second; a shorter time leaves too few requests to compare.
constexpr duration demand_time = std::chrono::milliseconds(350);

// Standard deviations by which a demand must exceed the mean. Without them,
// about half of the average workspaces count as too large at any moment; with
// more, a surge shows later.
constexpr double certainty = 1.3;

// A workspace with a lower demand is inactive: a single request is forgotten
// after three times demand_time.
constexpr double min_active_demand = 0.05;

// The demands are compared at most this often.
constexpr duration comparison_interval = std::chrono::milliseconds(25);

// Another node states what it has not sent; more than this is not believed.
constexpr int max_not_sent = 1000;

} // namespace

void workspace_demand::record(const std::string& workspace, int priority,
                              int not_sent)
{
    auto found = demands_.find(workspace);
    if (found == demands_.end()) {
        if (demands_.size() >= max_workspaces)
            compare();
        if (demands_.size() >= max_workspaces)
            return;
        found = demands_
                    .emplace(workspace,
                             demand{priority, rate::decaying_sum(demand_time)})
                    .first;
    }
    auto& it = found->second;
    it.priority = priority;
    it.requests.add(1 + std::clamp(not_sent, 0, max_not_sent), clock_.now());
}

const std::vector<large_demand>& workspace_demand::largest()
{
    if (clock_.now() - compared_at_ >= comparison_interval)
        compare();
    return largest_;
}

void workspace_demand::compare()
{
    auto now = clock_.now();
    compared_at_ = now;
    struct sum {
        double requests = 0;
        int workspaces = 0;
    };
    std::map<int, sum> sums;
    for (auto it = demands_.begin(); it != demands_.end();) {
        double value = it->second.requests.value(now);
        if (value < min_active_demand) {
            it = demands_.erase(it);
            continue;
        }
        auto& of = sums[it->second.priority];
        of.requests += value;
        ++of.workspaces;
        ++it;
    }
    largest_.clear();
    for (const auto& [name, it] : demands_) {
        const auto& all = sums[it.priority];
        double value = it.requests.value(now);
        double relative = (value - certainty * std::sqrt(value)) *
                          all.workspaces / all.requests;
        if (relative > 1)
            largest_.push_back({name, relative});
    }
    std::sort(largest_.begin(), largest_.end(),
              [](const large_demand& a, const large_demand& b) {
                  return a.relative > b.relative;
              });
    if (largest_.size() > max_large_demands)
        largest_.resize(max_large_demands);
}

} // namespace shallotwood::process::load
