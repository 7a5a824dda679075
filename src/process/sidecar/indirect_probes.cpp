#include "process/sidecar/indirect_probes.hpp"

#include "process/json_text.hpp"
#include "process/log.hpp"
#include "process/sidecar/peer_codec.hpp"
#include "process/telemetry/decision_log.hpp"

#include <vector>

namespace shallotwood::process::sidecar
{

namespace
{

// Time limit for the reply of a witness.
constexpr duration probe_timeout = std::chrono::milliseconds(150);

// A round of probes says nothing any more after this time.
constexpr duration confirmation_validity =
    indirect_probes::probe_interval * 5 / 2;

// A node that nobody asked about for this time is forgotten.
constexpr duration target_retention = std::chrono::seconds(30);

// Random choices that find no further witness before the search ends.
constexpr std::size_t tries_per_witness = 4;

bool says_reached(const std::optional<std::string>& reply)
{
    auto json = reply ? parse_json(*reply) : std::nullopt;
    return json && json->isObject() && (*json)["answers"].isBool() &&
           (*json)["answers"].asBool();
}

} // namespace

indirect_probes::indirect_probes(const clock& time, random_source& random,
                                 const fleet::fleet_view& fleet,
                                 peer_channel& peers)
    : clock_(time), random_(random), fleet_(fleet), peers_(peers)
{
}

bool indirect_probes::confirmed_dead(const std::string& name)
{
    auto found = targets_.find(name);
    if (found == targets_.end()) {
        forget_old();
        if (targets_.size() >= max_targets)
            return false;
        found = targets_.emplace(name, target{}).first;
        start_round(name, found->second);
    } else if (found->second.pending == 0 &&
               clock_.now() - found->second.probed_at > probe_interval) {
        start_round(name, found->second);
    }
    const auto& it = found->second;
    return it.confirmed &&
           clock_.now() - it.confirmed_at < confirmation_validity;
}

void indirect_probes::start_round(const std::string& name, target& of)
{
    of.probed_at = clock_.now();
    of.reached = false;
    std::map<std::string, const fleet::instance*> witnesses;
    for (std::size_t n = 0;
         fleet_.size() > 1 && n < max_witnesses * tries_per_witness &&
         witnesses.size() < max_witnesses;
         ++n) {
        const auto& it = fleet_.other(random_.below(fleet_.size() - 1));
        if (!it.leaving && it.name() != name && peers_.answers(it.name()))
            witnesses.emplace(it.name(), &it);
    }
    // The last reply ends the round; one more is counted for this function, as
    // replies may come before it returns.
    of.pending = witnesses.size() + 1;
    Json::Value message;
    message["node"] = name;
    for (const auto& [witness, it] : witnesses)
        peers_.call(it->peer, peer_path::probe, write_json(message),
                    probe_timeout,
                    [this, name](const std::optional<std::string>& reply) {
                        end_probe(name, says_reached(reply));
                    });
    end_probe(name, false);
}

void indirect_probes::end_probe(const std::string& name, bool reached)
{
    auto found = targets_.find(name);
    if (found == targets_.end())
        return;
    auto& it = found->second;
    it.reached |= reached;
    if (--it.pending > 0 && !reached)
        return;
    bool was_confirmed = it.confirmed;
    if (it.reached) {
        it.confirmed = false;
    } else {
        it.confirmed = true;
        it.confirmed_at = clock_.now();
    }
    if (it.confirmed == was_confirmed)
        return;
    if (telemetry::allow(telemetry::decision::state))
        SHALLOTWOOD_LOG(info)
            << "event="
            << (it.confirmed ? "peer_death_confirmed" : "peer_death_refuted")
            << field("peer", name);
    if (was_confirmed && on_refuted_)
        on_refuted_();
}

void indirect_probes::forget_old()
{
    for (auto it = targets_.begin(); it != targets_.end();)
        if (it->second.pending == 0 &&
            clock_.now() - it->second.probed_at > target_retention)
            it = targets_.erase(it);
        else
            ++it;
}

Json::Value indirect_probes::handle_message(const Json::Value& message) const
{
    Json::Value reply(Json::objectValue);
    if (message["node"].isString())
        reply["answers"] = peers_.answers(message["node"].asString());
    return reply;
}

} // namespace shallotwood::process::sidecar
