#include "process/fleet/watcher_election.hpp"

#include <algorithm>

namespace shallotwood::process::fleet
{

namespace
{

// Number of nodes that watch the store: with the minimum, a store that refuses
// a third of the nodes still reaches some watcher. Large fleets have one
// watcher per nodes_per_watcher nodes.
constexpr std::size_t min_watchers = 5;
constexpr std::size_t nodes_per_watcher = 200;

// A node to which the store did not respond is skipped for this time.
constexpr duration unreachable_hold_time = std::chrono::seconds(5);

} // namespace

watcher_election::watcher_election(const clock& time, const fleet_view& fleet,
                                   std::string object, reachability reachable)
    : clock_(time), fleet_(fleet), object_(std::move(object)),
      reachable_(std::move(reachable))
{
}

void watcher_election::store_unreachable(const std::string& name)
{
    unreachable_until_[name] = clock_.now() + unreachable_hold_time;
}

void watcher_election::store_reachable(const std::string& name)
{
    unreachable_until_.erase(name);
}

bool watcher_election::store_unreachable_from(const std::string& name) const
{
    auto it = unreachable_until_.find(name);
    return it != unreachable_until_.end() && it->second > clock_.now();
}

watcher_election::result watcher_election::elect() const
{
    auto self = fleet_.self().name();
    auto own = rendezvous_weight(object_, self);
    result outcome;
    outcome.wanted = std::max(min_watchers, fleet_.size() / nodes_per_watcher);
    std::size_t able = 0;
    for (const auto* it : fleet_.all()) {
        auto name = it->name();
        if (it->leaving || (name != self && !reachable_(name)))
            continue;
        bool skipped = store_unreachable_from(name);
        bool first = rendezvous_weight(object_, name) > own;
        able += !skipped;
        outcome.ahead += first;
        outcome.skipped += first && skipped;
    }
    // While no node reaches the store, the first in order keep trying.
    if (able == 0)
        outcome.chosen = outcome.ahead < outcome.wanted;
    else
        outcome.chosen = !store_unreachable_from(self) &&
                         outcome.ahead - outcome.skipped < outcome.wanted;
    return outcome;
}

} // namespace shallotwood::process::fleet
