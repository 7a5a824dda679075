#include "process/load/remaining_work.hpp"

namespace shallotwood::process::load
{

void remaining_work::arrive(std::uint64_t id, const std::string& route,
                            const cost_features& features)
{
    calls_[id] = {route, features, model_.estimate(route, features), false, {}};
}

void remaining_work::start(std::uint64_t id)
{
    auto found = calls_.find(id);
    if (found == calls_.end())
        return;
    auto& it = found->second;
    it.running = true;
    it.started = clock_.now();
    // It may have waited for long.
    it.cost = model_.estimate(it.route, it.features);
}

void remaining_work::finish(std::uint64_t id)
{
    auto found = calls_.find(id);
    if (found == calls_.end())
        return;
    const auto& it = found->second;
    if (it.running)
        model_.record(it.route, it.features, clock_.now() - it.started);
    calls_.erase(found);
}

duration remaining_work::left() const
{
    duration sum{};
    auto now = clock_.now();
    for (const auto& [id, it] : calls_)
        sum += it.running ? model_.rest(it.route, it.cost, now - it.started)
                          : it.cost;
    return sum;
}

} // namespace shallotwood::process::load
