// Ranks new requests so that workspaces share what a service admits under
// overload.
//
// Handles a workspace that sends several times as much as others within its
// rate while a service sheds: what it sends beyond its share is shed before
// another's first request. Decides at the entry node; the demands come from
// executing nodes, which state the largest ones in replies while they shed
// (workspace_demand). An entry node tells them in turn what it has refused.
//
// Bounded: max_workspaces; further ones count as average.
#pragma once

#include "process/event_loop.hpp"
#include "process/load/workspace_demand.hpp"

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace shallotwood::process::load
{

class fair_share
{
public:
    static constexpr std::size_t max_workspaces = 4096;

    explicit fair_share(const clock& time) : clock_(time) {}

    // A reply stated these demands.
    void record_demands(const std::vector<large_demand>& stated);
    // A request of the workspace was refused here.
    void record_refused(const std::string& workspace);
    // Requests of the workspace refused here since the last call.
    int take_refused(const std::string& workspace);
    // 1 if nothing was stated recently.
    double relative_demand(const std::string& workspace) const;

private:
    struct demand {
        // Moving average over the replies.
        double relative = 1;
        // Latest statement of a large demand.
        time_point at{};
    };

    const clock& clock_;
    std::unordered_map<std::string, demand> demands_;
    std::unordered_map<std::string, int> refused_;
};

} // namespace shallotwood::process::load
