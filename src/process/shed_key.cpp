#include "process/shed_key.hpp"

#include "process/keyed_hash.hpp"

#include <algorithm>
#include <cmath>

namespace shallotwood::process
{

namespace
{

// Added to log2(u x demand) so that ranks start at 0.
constexpr double rank_offset = 10;

double seconds(duration it)
{
    return std::chrono::duration<double>(it).count();
}

const std::string& shared_name()
{
    static const std::string name("\0others", 7);
    return name;
}

} // namespace

request::shed_key make_shed_key(request::importance level,
                                std::string_view request_id, double demand)
{
    // 53 bits, so that the value is exact in a double and never 0.
    auto draw = (stable_hash(request_id) >> 11) + 1;
    double u = std::ldexp(static_cast<double>(draw), -53);
    double octaves = std::log2(u * std::max(demand, 1e-9)) + rank_offset;
    octaves = std::clamp(octaves, 0.0, 16.0);
    auto rank = static_cast<request::shed_key>(octaves * ranks_per_octave);
    auto top = static_cast<request::shed_key>(level) << rank_bits;
    return top | std::min(rank, most_rank);
}

request::shed_key shift_key(request::shed_key key, double octaves)
{
    if (key == request::no_shed_threshold)
        return key;
    double moved = key + octaves * ranks_per_octave;
    if (moved >= above_all_keys)
        return request::no_shed_threshold;
    return static_cast<request::shed_key>(std::max(moved, 0.0));
}

double demand_estimator::count(const std::string& workspace, double weight)
{
    auto now = clock_.now();
    if (now >= next_expiry_)
        expire();
    bool room = rates_.size() < max_workspaces || rates_.count(workspace) != 0;
    auto& it = rates_[room ? workspace : shared_name()];
    double span = seconds(memory);
    double age = seconds(now - it.at);
    it.value = it.value * std::exp(-age / span) + 1 / span;
    it.at = now;
    return it.value / (weight > 0 ? weight : 1);
}

void demand_estimator::expire()
{
    auto now = clock_.now();
    // After 10 time constants an estimate is below 0.005% of its value.
    for (auto it = rates_.begin(); it != rates_.end();)
        it = now - it->second.at > 10 * memory ? rates_.erase(it)
                                               : std::next(it);
    next_expiry_ = now + 10 * memory;
}

} // namespace shallotwood::process
