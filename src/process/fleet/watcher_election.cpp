#include "process/fleet/watcher_election.hpp"

#include <algorithm>
#include <utility>

namespace shallotwood::process::fleet
{

namespace
{

// Number of nodes that watch the store. Large fleets have one watcher per
// nodes_per_watcher nodes, since each watcher informs only some of them.
constexpr std::size_t min_watchers = 5;
constexpr std::size_t nodes_per_watcher = 2'000;

// Number of candidates per watcher. If the store refuses a third of the nodes,
// and all watchers among them, it still answers some of the others.
constexpr std::size_t candidates_per_watcher = 4;

std::size_t watchers_of(const fleet_view& fleet)
{
    return std::max(min_watchers, fleet.size() / nodes_per_watcher);
}

} // namespace

watcher_election::watcher_election(const clock& time, const fleet_view& fleet,
                                   std::string object, reachability reachable)
    : clock_(time), fleet_(fleet), object_(std::move(object)),
      reachable_(std::move(reachable))
{
}

void watcher_election::record_watcher(const std::string& name)
{
    auto& it = records_[name];
    it.reported_at = clock_.now();
    it.skipped_until = {};
}

void watcher_election::store_unreachable(const std::string& name)
{
    records_[name].skipped_until = clock_.now() + unreachable_hold_time;
}

void watcher_election::store_reachable(const std::string& name)
{
    if (auto it = records_.find(name); it != records_.end())
        it->second.skipped_until = {};
}

bool watcher_election::store_unreachable_from(const std::string& name) const
{
    auto it = records_.find(name);
    return it != records_.end() && it->second.skipped_until > clock_.now();
}

bool watcher_election::present(const std::string& name) const
{
    return name == fleet_.self().name() || reachable_(name);
}

void watcher_election::update_order()
{
    if (order_membership_ == fleet_.membership() && !order_.empty())
        return;
    order_membership_ = fleet_.membership();
    std::vector<std::pair<std::uint64_t, std::string>> weighted;
    for (const auto* it : fleet_.all())
        if (!it->leaving || it == &fleet_.self())
            weighted.emplace_back(rendezvous_weight(object_, it->name()),
                                  it->name());
    std::sort(weighted.rbegin(), weighted.rend());
    order_.clear();
    for (auto& [weight, name] : weighted)
        order_.push_back(std::move(name));
    for (auto it = records_.begin(); it != records_.end();)
        it = fleet_.find(it->first) == nullptr ? records_.erase(it)
                                               : std::next(it);
}

std::vector<std::string> watcher_election::candidates()
{
    update_order();
    auto most = candidates_per_watcher * watchers_of(fleet_);
    std::vector<std::string> found;
    for (const auto& name : order_) {
        if (found.size() == most)
            break;
        if (present(name))
            found.push_back(name);
    }
    return found;
}

bool watcher_election::is_silent(const std::string& name)
{
    auto now = clock_.now();
    auto& it = records_[name];
    if (it.expected_in + 1 != elections_)
        it.expected_since = now;
    it.expected_in = elections_;
    return now - std::max(it.expected_since, it.reported_at) > silence_limit;
}

watcher_election::result
watcher_election::elect_among(const std::vector<std::string>& names,
                              bool reports)
{
    const auto self = fleet_.self().name();
    result outcome;
    outcome.wanted = watchers_of(fleet_);
    std::size_t able = 0;
    bool found_self = false;
    for (const auto& name : names) {
        if (name == self) {
            found_self = true;
            if (able < outcome.wanted && !store_unreachable_from(self)) {
                outcome.chosen = true;
                return outcome;
            }
            continue;
        }
        if (!present(name))
            continue;
        bool skipped = store_unreachable_from(name);
        if (!skipped && reports && able < outcome.wanted && is_silent(name)) {
            store_unreachable(name);
            skipped = true;
        }
        outcome.ahead += !found_self;
        outcome.skipped += !found_self && skipped;
        able += !skipped;
        if (able >= outcome.wanted)
            return outcome;
    }
    // While the store answers no candidate, the first ones keep trying.
    outcome.chosen = able == 0 && outcome.ahead < outcome.wanted;
    return outcome;
}

watcher_election::result watcher_election::elect()
{
    ++elections_;
    auto first = candidates();
    bool is_candidate = std::find(first.begin(), first.end(),
                                  fleet_.self().name()) != first.end();
    return is_candidate ? elect_among(first, true) : elect_among(order_, false);
}

} // namespace shallotwood::process::fleet
