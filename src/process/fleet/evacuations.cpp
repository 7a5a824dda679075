#include "process/fleet/evacuations.hpp"

#include "process/json_text.hpp"

#include <algorithm>
#include <iterator>

namespace shallotwood::process::fleet
{

Json::Value to_json(const evacuation_set& it)
{
    Json::Value to;
    to["era"] = Json::UInt64(it.position().era);
    to["rev"] = Json::UInt64(it.position().revision);
    to["domains"] = Json::Value(Json::arrayValue);
    for (const auto& name : it.domains())
        to["domains"].append(name);
    return to;
}

std::optional<evacuation_set> evacuation_set_from_json(const Json::Value& from)
{
    const auto& era = member_of(from, "era");
    const auto& revision = member_of(from, "rev");
    const auto& all = member_of(from, "domains");
    if (!era.isUInt64() || !revision.isUInt64() || !all.isArray() ||
        all.size() > max_evacuated_domains)
        return std::nullopt;
    std::set<std::string> domains;
    for (const auto& it : all) {
        if (!it.isString())
            return std::nullopt;
        auto name = it.asString();
        if (name.empty() || name.size() > max_domain_bytes)
            return std::nullopt;
        domains.insert(std::move(name));
    }
    return evacuation_set({era.asUInt64(), revision.asUInt64()},
                          std::move(domains));
}

bool evacuations::learn(const evacuation_set& it)
{
    if (current_ && !(current_->position() < it.position()))
        return false;
    bool first = !current_;
    const std::set<std::string> none;
    const auto& before = first ? none : current_->domains();
    const auto& now = it.domains();
    evacuation_change change;
    std::set_difference(
        now.begin(), now.end(), before.begin(), before.end(),
        std::inserter(change.evacuated, change.evacuated.end()));
    std::set_difference(before.begin(), before.end(), now.begin(), now.end(),
                        std::inserter(change.restored, change.restored.end()));
    current_ = it;
    if (first || !change.empty())
        changed_(change);
    return true;
}

} // namespace shallotwood::process::fleet
