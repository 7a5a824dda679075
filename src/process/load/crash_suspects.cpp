#include "process/load/crash_suspects.hpp"

#include <algorithm>
#include <xxhash.h>

namespace shallotwood::process::load
{

fingerprint fingerprint_of(std::string_view workspace, std::string_view method,
                           std::string_view target, std::string_view body)
{
    // Each hash seeds the next one, so that moving bytes from one part to
    // the next changes the result.
    fingerprint it = 0;
    for (auto part : {workspace, method, target, body})
        it = XXH64(part.data(), part.size(), it + part.size());
    return it;
}

void crash_suspects::record_crash(const std::string& crash,
                                  const std::vector<fingerprint>& in_flight)
{
    auto now = clock_.now();
    for (auto it : in_flight) {
        if (suspects_.size() >= max_suspects)
            evict_one_if_full();
        auto& of = suspects_[it];
        if (now - of.last > suspect_lifetime)
            of.crashes.clear();
        if (of.crashes.size() < crashes_to_refuse)
            of.crashes.insert(crash);
        of.last = now;
    }
}

void crash_suspects::record_response(fingerprint it)
{
    // A refused request isn't started any more; a response to it comes from an
    // earlier execution.
    if (!is_refused(it))
        suspects_.erase(it);
}

std::map<std::string, std::vector<fingerprint>>
crash_suspects::crashes(std::size_t limit) const
{
    std::vector<std::pair<time_point, fingerprint>> latest;
    for (const auto& [it, of] : suspects_)
        if (clock_.now() - of.last <= suspect_lifetime)
            latest.emplace_back(of.last, it);
    std::sort(latest.rbegin(), latest.rend());
    latest.resize(std::min(limit, latest.size()));
    std::map<std::string, std::vector<fingerprint>> all;
    for (const auto& [last, it] : latest)
        for (const auto& crash : suspects_.at(it).crashes)
            all[crash].push_back(it);
    return all;
}

bool crash_suspects::is_refused(fingerprint it) const
{
    auto found = suspects_.find(it);
    return found != suspects_.end() &&
           found->second.crashes.size() >= crashes_to_refuse &&
           clock_.now() - found->second.last <= suspect_lifetime;
}

// Drops what has expired, or else the oldest entry.
void crash_suspects::evict_one_if_full()
{
    auto now = clock_.now();
    auto oldest = suspects_.begin();
    for (auto it = suspects_.begin(); it != suspects_.end();) {
        if (now - it->second.last > suspect_lifetime) {
            it = suspects_.erase(it);
            oldest = suspects_.begin();
            continue;
        }
        if (it->second.last < oldest->second.last)
            oldest = it;
        ++it;
    }
    if (suspects_.size() >= max_suspects)
        suspects_.erase(oldest);
}

} // namespace shallotwood::process::load
