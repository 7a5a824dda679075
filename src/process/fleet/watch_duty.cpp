#include "process/fleet/watch_duty.hpp"

#include <algorithm>

namespace shallotwood::process::fleet
{

namespace
{

// Nodes that watch the store: enough that a store that turns a third of the
// nodes away still tells somebody, and one more for each so many nodes.
constexpr std::size_t least_watchers = 5;
constexpr std::size_t nodes_per_watcher = 200;

// For how long a node that the store did not answer is passed over.
constexpr duration store_lost_time = std::chrono::seconds(5);

} // namespace

watch_duty::watch_duty(const clock& time, const fleet_view& fleet,
                       std::string object, reachability reachable)
    : clock_(time), fleet_(fleet), object_(std::move(object)),
      reachable_(std::move(reachable))
{
}

void watch_duty::store_lost(const std::string& name)
{
    lost_until_[name] = clock_.now() + store_lost_time;
}

void watch_duty::store_regained(const std::string& name)
{
    lost_until_.erase(name);
}

bool watch_duty::has_lost_store(const std::string& name) const
{
    auto it = lost_until_.find(name);
    return it != lost_until_.end() && it->second > clock_.now();
}

bool watch_duty::on_duty() const
{
    auto self = fleet_.self().name();
    auto own = rendezvous_weight(object_, self);
    std::size_t able = 0;
    std::size_t before = 0;
    std::size_t before_any = 0;
    for (const auto* it : fleet_.all()) {
        auto name = it->name();
        if (it->leaving || (name != self && !reachable_(name)))
            continue;
        bool answered = !has_lost_store(name);
        bool first = rendezvous_weight(object_, name) > own;
        before_any += first;
        able += answered;
        before += first && answered;
    }
    auto wanted = std::max(least_watchers, fleet_.size() / nodes_per_watcher);
    // While the store answers nobody, the first ones go on asking.
    if (able == 0)
        return before_any < wanted;
    return !has_lost_store(self) && before < wanted;
}

} // namespace shallotwood::process::fleet
