// Failure detection: probes one random member per period, directly and then
// indirectly through other members, and dead members at a lower rate.
#include "process/membership.hpp"

#include "process/log.hpp"
#include "process/member_codec.hpp"

#include <algorithm>

namespace shallotwood::process
{

namespace
{

constexpr std::size_t max_own_suspects = 16;
constexpr std::size_t own_suspects_per_period = 2;
constexpr std::size_t max_probes = 512;
// An interval longer than this many periods between two probe timers shows that
// this process was paused.
constexpr int pause_periods = 3;

} // namespace

void membership::tick_probe()
{
    if (loop_.now() - last_tick_ > pause_periods * settings_.probe_period) {
        // The queued updates may have been refuted long ago.
        view_is_stale_ = true;
        update_queue_.clear();
        probes_.clear();
        schedule_exchange(duration(0));
    }
    last_tick_ = loop_.now();
    after(settings_.probe_period, [this](bool) { tick_probe(); });
    if (auto instance = next_probe_target())
        send_probe({*instance, std::nullopt, 0});
    // Tells the suspects themselves, so that they can refute even if all
    // gossip about the suspicion is lost.
    auto n = std::min(own_suspects_.size(), own_suspects_per_period);
    for (std::size_t it = 0; it < n; ++it) {
        auto instance = own_suspects_.front();
        own_suspects_.pop_front();
        auto found = records_.find(instance);
        if (found == records_.end() || !found->second.suspicion)
            continue;
        send_probe({instance, std::nullopt, 0});
        own_suspects_.push_back(instance);
    }
}

std::optional<std::string> membership::next_probe_target()
{
    while (!priority_probes_.empty()) {
        auto instance = priority_probes_.front();
        priority_probes_.pop_front();
        auto found = records_.find(instance);
        if (found != records_.end() &&
            found->second.entry.state != member_state::dead)
            return instance;
    }
    auto chosen = random_members(1);
    if (chosen.empty())
        return std::nullopt;
    return chosen[0].instance;
}

void membership::send_probe(const probe& it)
{
    auto found = records_.find(it.instance);
    if (found == records_.end() || probes_.size() >= max_probes)
        return;
    auto id = ++last_probe_;
    probes_[id] = it;
    auto params = make_probe_params(it.instance);
    params["id"] = Json::UInt64(id);
    transport_.send(found->second.entry.peer, "membership.probe", params);
    if (!it.requester) {
        after(settings_.probe_timeout,
              [this, id](bool) { send_indirect_probes(id); });
    }
    after(settings_.probe_period, [this, id](bool late) {
        if (late)
            probes_.erase(id);
        else
            probe_failed(id);
    });
}

void membership::send_indirect_probes(std::uint64_t id)
{
    auto found = probes_.find(id);
    if (found == probes_.end())
        return;
    auto instance = found->second.instance;
    auto known = records_.find(instance);
    if (known == records_.end() ||
        known->second.entry.state == member_state::dead)
        return;
    int asked = 0;
    for (const auto& it : random_members(settings_.indirect_probes + 1)) {
        if (it.instance == instance || asked == settings_.indirect_probes)
            continue;
        ++asked;
        auto params = make_probe_params(it.instance);
        params["id"] = Json::UInt64(id);
        params["i"] = instance;
        transport_.send(it.peer, "membership.probe_through", params);
    }
}

void membership::probe_failed(std::uint64_t id)
{
    auto node = probes_.extract(id);
    if (node.empty() || node.mapped().requester)
        return;
    const auto& instance = node.mapped().instance;
    auto found = records_.find(instance);
    if (found == records_.end() || found->second.suspicion ||
        found->second.entry.state == member_state::dead)
        return;
    ++counts_.at("membership_suspicions_raised");
    if (own_suspects_.size() < max_own_suspects)
        own_suspects_.push_back(instance);
    start_suspicion(instance);
    queue_update(instance);
}

// The member answered a probe at the known incarnation or a later one, so it is
// alive: ends its suspicion or death.
void membership::confirm_alive(const std::string& instance,
                               std::uint64_t incarnation)
{
    auto found = records_.find(instance);
    if (found == records_.end() ||
        found->second.entry.incarnation > incarnation)
        return;
    auto now = found->second.entry;
    bool was_dead = now.state == member_state::dead;
    if (found->second.suspicion) {
        loop_.cancel(*found->second.suspicion);
        found->second.suspicion.reset();
    }
    if (now.state == member_state::suspect || was_dead) {
        now.state = member_state::active;
        store_entry(now);
    }
    if (was_dead) {
        ++counts_.at("membership_revived");
        exchange_with(now.peer);
    }
}

void membership::on_probe(const peer_address& from, const Json::Value& params)
{
    auto sender = parse_entry(params["f"]);
    if (!params["id"].isUInt64() || !sender)
        return;
    auto answer = make_probe_params(sender->instance);
    answer["id"] = params["id"];
    answer["i"] = self_.instance;
    answer["n"] = Json::UInt64(self_.incarnation);
    transport_.send(from, "membership.ack", answer);
}

void membership::on_ack(const peer_address&, const Json::Value& params)
{
    if (!params["id"].isUInt64() || !params["i"].isString() ||
        !params["n"].isUInt64())
        return;
    auto found = probes_.find(params["id"].asUInt64());
    if (found == probes_.end() ||
        found->second.instance != params["i"].asString())
        return;
    auto it = found->second;
    probes_.erase(found);
    confirm_alive(it.instance, params["n"].asUInt64());
    if (!it.requester)
        return;
    auto answer = make_probe_params("");
    answer["id"] = Json::UInt64(it.requester_probe_id);
    answer["i"] = it.instance;
    answer["n"] = params["n"];
    transport_.send(*it.requester, "membership.ack", answer);
}

void membership::on_indirect_probe(const peer_address& from,
                                   const Json::Value& params)
{
    if (params["id"].isUInt64() && params["i"].isString())
        send_probe({params["i"].asString(), from, params["id"].asUInt64()});
}

void membership::tick_dead()
{
    after(settings_.dead_probe_period, [this](bool) { tick_dead(); });
    evict_dead(loop_.now() - settings_.dead_member_retention,
               settings_.max_members);
    if (dead_.empty())
        return;
    auto next = dead_.upper_bound(last_dead_probed_);
    if (next == dead_.end())
        next = dead_.begin();
    last_dead_probed_ = *next;
    send_probe({next->second, std::nullopt, 0});
}

} // namespace shallotwood::process
