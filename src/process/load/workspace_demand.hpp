// Demand of the workspaces whose requests reach one instance.
//
// Tells entry nodes which workspaces send much more than others of the same
// priority. An executing node gets requests of all entry nodes, so it knows a
// workspace within a second; at one of many entry nodes, too few requests of a
// workspace arrive to tell a surge from chance.
//
// Bounded: max_workspaces; further ones count as average.
#pragma once

#include "process/event_loop.hpp"
#include "process/rate/decaying_sum.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace shallotwood::process::load
{

// A workspace that sends more than others.
struct large_demand {
    std::string workspace;
    // Demand relative to the mean of the workspaces of its priority.
    double relative = 1;

    friend bool operator==(const large_demand& a, const large_demand& b)
    {
        return std::tie(a.workspace, a.relative) ==
               std::tie(b.workspace, b.relative);
    }
};

// Most entries that are stated in a reply.
constexpr std::size_t max_large_demands = 8;

class workspace_demand
{
public:
    static constexpr std::size_t max_workspaces = 4096;

    explicit workspace_demand(const clock& time) : clock_(time) {}

    // A request of the workspace has arrived, and `not_sent` others that its
    // entry node has refused since the one before.
    void record(const std::string& workspace, int priority, int not_sent);
    // The largest demands that are certainly above the mean of the active
    // workspaces of their priority, the largest first.
    const std::vector<large_demand>& largest();

private:
    struct demand {
        int priority = 0;
        rate::decaying_sum requests;
    };
    // Removes inactive workspaces and compares the others.
    void compare();

    const clock& clock_;
    std::unordered_map<std::string, demand> demands_;
    std::vector<large_demand> largest_;
    time_point compared_at_{};
};

} // namespace shallotwood::process::load
