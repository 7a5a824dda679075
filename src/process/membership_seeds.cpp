// Joins the fleet through seeds, and maintains the `seed/DOMAIN` objects on the
// platform. Besides joining nodes, only the first member of each failure domain
// in rendezvous order reads and writes them.
#include "process/membership.hpp"

#include "process/json_text.hpp"
#include "process/log.hpp"
#include "process/member_codec.hpp"

#include <algorithm>

namespace shallotwood::process
{

namespace
{

// After this many attempts to join without success, a node replaces a random
// seed of its failure domain by itself.
constexpr int join_attempts_before_seed_replacement = 5;
constexpr duration max_join_backoff = std::chrono::seconds(30);
const char* const seed_prefix = "seed/";

struct seed_entry {
    std::string instance;
    peer_address peer;
};

std::vector<seed_entry> parse_seeds(const std::string& text)
{
    std::vector<seed_entry> found;
    auto value = parse_json(text);
    if (!value || !value->isObject() || !(*value)["seeds"].isArray())
        return found;
    for (const auto& it : (*value)["seeds"]) {
        seed_entry next;
        if (!it.isObject() || !read_name(it["instance"], next.instance) ||
            !read_name(it["host"], next.peer.host) ||
            !read_port(it["port"], next.peer.port))
            continue;
        found.push_back(next);
    }
    return found;
}

std::string write_seeds(const std::vector<seed_entry>& seeds)
{
    Json::Value value;
    value["seeds"] = Json::Value(Json::arrayValue);
    for (const auto& it : seeds) {
        Json::Value entry;
        entry["instance"] = it.instance;
        entry["host"] = it.peer.host;
        entry["port"] = it.peer.port;
        value["seeds"].append(entry);
    }
    return write_json(value);
}

} // namespace

void membership::join()
{
    if (joined_)
        return;
    ++join_attempts_;
    auto backoff = std::min<duration>(std::chrono::seconds(1) *
                                          (1 << std::min(join_attempts_, 6)),
                                      max_join_backoff);
    // Jittered, because a whole fleet may start at once.
    after(backoff / 2 + duration(random_.below(backoff.count())),
          [this](bool) { join(); });
    for (const auto& it : settings_.seeds)
        exchange_with(it);
    for (const auto& it : random_members(1))
        exchange_with(it.peer);
    store_.list(seed_prefix, [this, alive = std::weak_ptr<bool>(alive_)](
                                 const list_result& result) {
        const auto* found = std::get_if<std::vector<stored_object>>(&result);
        if (alive.expired() || found == nullptr || joined_)
            return;
        contact_seeds(*found);
        update_domain_seeds(*found);
    });
}

void membership::check_seeds()
{
    after(settings_.seed_check_period, [this](bool) { check_seeds(); });
    if (!joined_)
        return;
    auto key = seed_prefix + self_.failure_domain;
    auto first = rendezvous_order(members_, key, 1, [this](const member& it) {
        return it.failure_domain == self_.failure_domain &&
               it.state == member_state::active;
    });
    if (first.empty() || first[0].instance != self_.instance)
        return;
    store_.list(seed_prefix, [this, alive = std::weak_ptr<bool>(alive_)](
                                 const list_result& result) {
        const auto* found = std::get_if<std::vector<stored_object>>(&result);
        if (alive.expired() || found == nullptr)
            return;
        contact_seeds(*found);
        update_domain_seeds(*found);
    });
}

// Starts an exchange with each seed: with all of them while this node joins,
// afterwards with those that it doesn't know as live members, because they may
// belong to a part of the fleet that formed separately.
void membership::contact_seeds(const std::vector<stored_object>& objects)
{
    bool registered = false;
    bool alone = true;
    for (const auto& object : objects) {
        for (const auto& it : parse_seeds(object.value)) {
            if (it.instance == self_.instance || it.peer == self_.peer) {
                registered = true;
                continue;
            }
            alone = false;
            const auto* known = entry_of(it.instance);
            if (!joined_ || known == nullptr ||
                known->state == member_state::dead)
                exchange_with(it.peer);
        }
    }
    // This node is the only registered seed, so there is no member list to
    // fetch; nodes that start later find this one.
    alone = alone && members_.size() == 1 &&
            std::all_of(settings_.seeds.begin(), settings_.seeds.end(),
                        [this](const auto& it) { return it == self_.peer; });
    if (registered && alone)
        on_exchange_completed();
}

void membership::update_domain_seeds(const std::vector<stored_object>& objects)
{
    auto name = seed_prefix + self_.failure_domain;
    std::vector<seed_entry> seeds;
    std::uint64_t version = 0;
    for (const auto& it : objects) {
        if (it.name == name) {
            seeds = parse_seeds(it.value);
            version = it.version;
        }
    }
    auto before = seeds.size();
    auto is_gone = [this](const seed_entry& it) {
        const auto* known = entry_of(it.instance);
        return known == nullptr || known->state == member_state::dead ||
               known->peer != it.peer;
    };
    // Only a node that has joined knows which members are gone.
    if (joined_)
        seeds.erase(std::remove_if(seeds.begin(), seeds.end(), is_gone),
                    seeds.end());
    bool changed = seeds.size() != before;
    auto listed = [&seeds](const std::string& instance) {
        return std::any_of(seeds.begin(), seeds.end(), [&](const auto& it) {
            return it.instance == instance;
        });
    };
    if (!joined_ && !listed(self_.instance) &&
        seeds.size() >= settings_.seeds_per_domain &&
        join_attempts_ > join_attempts_before_seed_replacement)
        seeds.erase(seeds.begin() + random_.below(seeds.size()));
    auto order =
        rendezvous_order(members_, name, 2 * settings_.seeds_per_domain,
                         [this](const member& it) {
                             return it.failure_domain == self_.failure_domain &&
                                    it.state == member_state::active;
                         });
    for (const auto& it : order) {
        if (seeds.size() >= settings_.seeds_per_domain)
            break;
        if (!listed(it.instance)) {
            seeds.push_back({it.instance, it.peer});
            changed = true;
        }
    }
    if (!changed)
        return;
    ++counts_.at("membership_seed_writes");
    store_.put(name, write_seeds(seeds), version, [](const put_result&) {});
}

} // namespace shallotwood::process
