#include "process/crash_suspects.hpp"

#include "process/keyed_hash.hpp"
#include "process/log.hpp"

#include <algorithm>

namespace shallotwood::process
{

namespace
{

constexpr std::size_t crashes_to_refuse = 2;
constexpr std::size_t max_crash_id_bytes = 200;

} // namespace

crash_suspects::crash_suspects(event_loop& loop, peer_transport& transport,
                               const member_view& members, counters& counts,
                               const crash_suspects_settings& settings)
    : loop_(loop), transport_(transport), members_(members), counts_(counts),
      settings_(settings)
{
    transport_.subscribe(
        "suspect.report",
        [this, alive = std::weak_ptr<bool>(alive_)](const peer_address& from,
                                                    const Json::Value& params) {
            if (!alive.expired() && params.isObject())
                on_report(from, params);
        });
}

crash_suspects::~crash_suspects() = default;

crash_suspects::placement
crash_suspects::decide_placement(const std::string& fingerprint) const
{
    auto it = hash_fingerprint(fingerprint);
    const auto* known = find(it);
    if (known == nullptr)
        return {placement_decision::run, std::nullopt};
    if (known->crashes.size() >= crashes_to_refuse)
        return {placement_decision::refuse, std::nullopt};
    auto chosen = rendezvous_order(members_.serving(members_.self().service),
                                   "suspect/" + std::to_string(it), 1,
                                   [](const member&) { return true; });
    if (!chosen.empty() && chosen[0].instance != members_.self().instance)
        return {placement_decision::elsewhere, chosen[0]};
    if (runs_here(it))
        return {placement_decision::busy, std::nullopt};
    return {placement_decision::run_alone, std::nullopt};
}

crash_suspects::run_id
crash_suspects::record_start(const std::string& fingerprint)
{
    if (in_flight_.size() >= settings_.max_in_flight) {
        ++counts_.at("suspects_in_flight_full");
        return run_id{0};
    }
    auto id = run_id{++last_run_};
    in_flight_[id] = hash_fingerprint(fingerprint);
    return id;
}

void crash_suspects::completed(run_id id)
{
    auto node = in_flight_.extract(id);
    if (node.empty())
        return;
    auto it = node.mapped();
    const auto* known = find(it);
    if (known == nullptr || known->crashes.size() >= crashes_to_refuse)
        return;
    report(*known->crashes.begin(), "cleared", {it});
    clear(it);
}

void crash_suspects::ended(run_id id)
{
    in_flight_.erase(id);
}

void crash_suspects::record_crash()
{
    const auto& self = members_.self();
    auto crash = self.instance + '/' + std::to_string(self.incarnation) + '/' +
                 std::to_string(++last_crash_);
    std::set<fingerprint_hash> different;
    for (const auto& [id, it] : in_flight_)
        different.insert(it);
    std::vector<fingerprint_hash> hashes(different.begin(), different.end());
    in_flight_.clear();
    SHALLOTWOOD_LOG(warning) << "event=backend-crash" << field("crash", crash)
                             << field("suspects", hashes.size());
    for (auto it : hashes)
        add(it, crash);
    report(crash, "suspects", hashes);
}

crash_suspects::fingerprint_hash
crash_suspects::hash_fingerprint(const std::string& fingerprint)
{
    return stable_hash(fingerprint);
}

const crash_suspects::suspect* crash_suspects::find(fingerprint_hash it) const
{
    auto found = suspects_.find(it);
    if (found == suspects_.end() || found->second.cleared ||
        loop_.now() - found->second.last_crash_time > settings_.keep)
        return nullptr;
    return &found->second;
}

void crash_suspects::add(fingerprint_hash it, const std::string& crash)
{
    drop_expired();
    auto found = suspects_.find(it);
    if (found == suspects_.end()) {
        if (suspects_.size() >= settings_.max_suspects) {
            ++counts_.at("suspects_full");
            while (!drop_oldest()) {
            }
        }
        found = suspects_.emplace(it, suspect{}).first;
    }
    auto& known = found->second;
    if (known.crashes.count(crash) != 0)
        return;
    if (known.cleared) {
        known.crashes.clear();
        known.cleared = false;
    }
    if (known.crashes.size() >= crashes_to_refuse)
        return;
    known.crashes.insert(crash);
    known.last_crash_time = loop_.now();
    by_crash_time_.emplace_back(known.last_crash_time, it);
}

void crash_suspects::clear(fingerprint_hash it)
{
    auto found = suspects_.find(it);
    if (found != suspects_.end() &&
        found->second.crashes.size() < crashes_to_refuse)
        found->second.cleared = true;
}

bool crash_suspects::runs_here(fingerprint_hash it) const
{
    return std::any_of(in_flight_.begin(), in_flight_.end(),
                       [it](const auto& run) { return run.second == it; });
}

void crash_suspects::report(const std::string& crash, const char* field,
                            const std::vector<fingerprint_hash>& hashes)
{
    std::vector<Json::Value> messages;
    for (std::size_t n = 0; n < hashes.size(); ++n) {
        if (n % fingerprints_per_report == 0) {
            messages.emplace_back();
            messages.back()["crash"] = crash;
        }
        messages.back()[field].append(Json::UInt64(hashes[n]));
    }
    auto send = [this, messages, alive = std::weak_ptr<bool>(alive_)] {
        if (alive.expired())
            return;
        const auto& self = members_.self();
        for (const auto& it : members_.serving(self.service)) {
            if (it.instance == self.instance)
                continue;
            for (const auto& params : messages)
                transport_.send(it.peer, "suspect.report", params);
        }
    };
    send();
    for (auto delay : settings_.repeats)
        loop_.call_after(delay, send);
}

void crash_suspects::on_report(const peer_address& from,
                               const Json::Value& params)
{
    if (!params["crash"].isString() || !from_own_service(from))
        return;
    auto crash = params["crash"].asString();
    if (crash.size() > max_crash_id_bytes)
        return;
    for (const char* field : {"suspects", "cleared"}) {
        const auto& hashes = params[field];
        if (!hashes.isArray() || hashes.size() > fingerprints_per_report)
            continue;
        for (const auto& it : hashes) {
            if (!it.isUInt64())
                continue;
            // A clearance may overtake the report of the crash.
            add(it.asUInt64(), crash);
            if (*field == 'c')
                clear(it.asUInt64());
        }
    }
}

void crash_suspects::drop_expired()
{
    while (!by_crash_time_.empty() &&
           loop_.now() - by_crash_time_.front().first > settings_.keep)
        drop_oldest();
}

// False if the oldest item was outdated.
bool crash_suspects::drop_oldest()
{
    auto [time, it] = by_crash_time_.front();
    by_crash_time_.pop_front();
    auto found = suspects_.find(it);
    if (found == suspects_.end() || found->second.last_crash_time != time)
        return false;
    suspects_.erase(found);
    return true;
}

// Ignores the member's state: a node whose backend server has just crashed may
// already be leaving.
bool crash_suspects::from_own_service(const peer_address& from) const
{
    const auto& all = members_.members();
    return std::any_of(all.begin(), all.end(), [&](const member& it) {
        return it.peer == from && it.service == members_.self().service;
    });
}

} // namespace shallotwood::process
