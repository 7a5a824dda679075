#include "process/membership.hpp"

#include "process/json_text.hpp"
#include "process/keyed_hash.hpp"
#include "process/log.hpp"

#include <algorithm>
#include <cmath>
#include <cstring>

namespace shallotwood::process
{

namespace
{

// Bounds of the queues of targets that are probed before random ones.
constexpr std::size_t max_verified = 64;
constexpr std::size_t max_accused = 16;
constexpr std::size_t accused_per_period = 2;
constexpr std::size_t max_probes = 512;
// Bytes of updates on a probe or an ack.
constexpr std::size_t probe_update_bytes = 400;
// An exchange that changed more than one entry in this many, and more than a
// few, met a part of the fleet that was cut off; the next one follows soon.
constexpr std::size_t repair_fraction = 50;
constexpr std::size_t few_entries = 3;
// Exchanges of a new node in quick succession: when many start together, the
// first pages hold only those that started earlier.
constexpr int exchanges_after_join = 5;
// A timer that fires this many periods late shows that this process paused.
constexpr int pause_periods = 3;
// A joining node without an answer this often takes a place in the seeds.
constexpr int attempts_before_seed = 5;
constexpr duration longest_join_backoff = std::chrono::seconds(30);
constexpr int farewell_copies = 8;

// JSON punctuation and numbers of an entry.
constexpr std::size_t short_entry_bytes = 26;
constexpr std::size_t full_entry_bytes = 58;
// Envelope, authentication and UDP/IP headers of a message.
constexpr std::size_t envelope_bytes = 230;

const char* const seed_prefix = "seed/";

// At one incarnation, the higher rank is believed.
int rank_of(member_state it)
{
    switch (it) {
    case member_state::active:
        return 0;
    case member_state::suspect:
        return 1;
    case member_state::leaving:
        return 2;
    case member_state::dead:
        return 3;
    }
    return 0;
}

// Suspicion and death need no more than the name: whoever acts on them knows
// the rest.
bool is_short(const member& it)
{
    return it.state == member_state::suspect || it.state == member_state::dead;
}

Json::Value to_json(const member& it)
{
    Json::Value entry(Json::arrayValue);
    entry.append(it.instance);
    entry.append(Json::UInt64(it.incarnation));
    entry.append(rank_of(it.state));
    if (is_short(it))
        return entry;
    entry.append(it.service);
    entry.append(it.peer.host);
    entry.append(it.peer.port);
    entry.append(it.http_port);
    entry.append(it.slots);
    entry.append(it.failure_domain);
    entry.append(it.region);
    return entry;
}

// A live entry whole, whether suspect or not.
Json::Value to_full_json(member it)
{
    if (it.state == member_state::suspect)
        it.state = member_state::active;
    return to_json(it);
}

std::size_t size_of(const member& it)
{
    if (is_short(it))
        return short_entry_bytes + it.instance.size();
    return full_entry_bytes + it.instance.size() + it.service.size() +
           it.peer.host.size() + it.failure_domain.size() + it.region.size();
}

bool read_name(const Json::Value& from, std::string& name)
{
    if (!from.isString())
        return false;
    name = from.asString();
    return name.size() <= membership::max_name_bytes;
}

bool read_port(const Json::Value& from, std::uint16_t& port)
{
    if (!from.isUInt() || from.asUInt() > 65'535)
        return false;
    port = static_cast<std::uint16_t>(from.asUInt());
    return true;
}

bool read_details(const Json::Value& entry, member& it)
{
    if (!read_name(entry[3], it.service) ||
        !read_name(entry[4], it.peer.host) ||
        !read_port(entry[5], it.peer.port) ||
        !read_port(entry[6], it.http_port) || !entry[7].isInt())
        return false;
    it.slots = std::max(0, entry[7].asInt());
    return read_name(entry[8], it.failure_domain) &&
           read_name(entry[9], it.region);
}

std::optional<member> parse_entry(const Json::Value& entry)
{
    member it;
    if (!entry.isArray() || (entry.size() != 3 && entry.size() != 10) ||
        !read_name(entry[0], it.instance) || it.instance.empty() ||
        !entry[1].isUInt64() || !entry[2].isInt())
        return std::nullopt;
    it.incarnation = entry[1].asUInt64();
    static constexpr member_state states[] = {
        member_state::active, member_state::suspect, member_state::leaving,
        member_state::dead};
    auto rank = entry[2].asInt();
    if (rank < 0 || rank > 3)
        return std::nullopt;
    it.state = states[rank];
    if (is_short(it) != (entry.size() == 3))
        return std::nullopt;
    if (entry.size() == 10 && !read_details(entry, it))
        return std::nullopt;
    return it;
}

std::size_t bucket_of(const std::string& instance, std::size_t count)
{
    return stable_hash(instance) % count;
}

// Equal on all nodes that agree on the member; a suspicion is no difference.
std::uint64_t digest_of(const member& it)
{
    auto leaving = it.state == member_state::leaving ? 1 : 0;
    return stable_hash(it.instance, 2 * it.incarnation + leaving);
}

std::string bytes_of(const std::uint64_t* values, std::size_t count)
{
    std::string bytes;
    for (std::size_t n = 0; n < count; ++n) {
        for (int shift = 0; shift < 64; shift += 8)
            bytes.push_back(static_cast<char>(values[n] >> shift & 0xff));
    }
    return bytes;
}

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

bool before_instance(const member& a, const std::string& b)
{
    return a.instance < b;
}

} // namespace

membership::membership(event_loop& loop, peer_transport& transport,
                       object_store& store, counters& counts,
                       const membership_settings& settings, const member& self,
                       std::uint64_t seed)
    : loop_(loop), transport_(transport), store_(store), counts_(counts),
      settings_(settings), random_(seed), self_(self),
      first_incarnation_(self.incarnation), last_tick_(loop.now())
{
    publish(self_);
    using handle =
        void (membership::*)(const peer_address&, const Json::Value&);
    auto subscribe = [this](const char* method, handle it) {
        transport_.subscribe(
            method, [this, it, alive = std::weak_ptr<bool>(alive_)](
                        const peer_address& from, const Json::Value& params) {
                if (!alive.expired() && receive(from, params) && it != nullptr)
                    (this->*it)(from, params);
            });
    };
    subscribe("membership.probe", &membership::on_probe);
    subscribe("membership.ack", &membership::on_ack);
    subscribe("membership.probe_through", &membership::on_probe_through);
    subscribe("membership.exchange", &membership::on_exchange);
    subscribe("membership.update", nullptr);
}

membership::~membership() = default;

void membership::start()
{
    // A random phase keeps nodes that start together from probing together.
    auto phase = [this](duration period) {
        return duration(random_.below(period.count()));
    };
    last_tick_ = loop_.now();
    after(phase(settings_.probe_period), [this](bool) { tick(); });
    after(phase(settings_.gossip_period), [this](bool) { tick_gossip(); });
    after(phase(settings_.dead_probe_period), [this](bool) { tick_dead(); });
    after(phase(settings_.seed_check_period), [this](bool) { check_seeds(); });
    schedule_exchange(phase(settings_.exchange_period));
    join();
}

void membership::listen_on(std::uint16_t http_port)
{
    self_.http_port = http_port;
    for (auto& it : members_) {
        if (it.instance == self_.instance)
            it = self_;
    }
}

void membership::announce(const std::string& service, int slots)
{
    if (stopped_ || (self_.state == member_state::active &&
                     self_.service == service && self_.slots == slots))
        return;
    self_.service = service;
    self_.slots = slots;
    self_.state = member_state::active;
    raise_incarnation(self_.incarnation);
    gossip();
}

void membership::leave()
{
    if (stopped_ || self_.state == member_state::leaving)
        return;
    self_.state = member_state::leaving;
    raise_incarnation(self_.incarnation);
    SHALLOTWOOD_LOG(info) << "event=leave" << field("instance", self_.instance);
    gossip();
}

void membership::stop()
{
    if (stopped_)
        return;
    auto farewell = self_;
    farewell.state = member_state::dead;
    farewell.incarnation += 1;
    Json::Value params;
    params["u"].append(to_json(farewell));
    for (const auto& it : random_members(farewell_copies))
        transport_.send(it.peer, "membership.update", params);
    stopped_ = true;
    alive_.reset();
}

void membership::carry_revision(revision_source own, revision_listener heard)
{
    own_revision_ = std::move(own);
    heard_revision_ = std::move(heard);
}

std::vector<member> membership::random_members(std::size_t count)
{
    count = std::min(count, members_.size() - 1);
    std::set<std::size_t> taken;
    std::vector<member> found;
    while (found.size() < count) {
        auto n = random_.below(members_.size());
        if (members_[n].instance != self_.instance && taken.insert(n).second)
            found.push_back(members_[n]);
    }
    return found;
}

std::optional<member> membership::find(const std::string& instance) const
{
    if (const auto* it = entry_of(instance))
        return *it;
    return std::nullopt;
}

std::vector<member> membership::serving(const std::string& service) const
{
    std::vector<member> found;
    auto names = by_service_.find(service);
    if (names == by_service_.end())
        return found;
    for (const auto& it : names->second)
        found.push_back(*entry_of(it));
    return found;
}

void membership::listen(std::function<void(const member& changed)> on_change)
{
    listeners_.push_back(std::move(on_change));
}

// Probing.

void membership::tick()
{
    if (loop_.now() - last_tick_ > pause_periods * settings_.probe_period) {
        // What this node was about to spread may be long refuted.
        stale_ = true;
        rumours_.clear();
        probes_.clear();
        schedule_exchange(duration(0));
    }
    last_tick_ = loop_.now();
    after(settings_.probe_period, [this](bool) { tick(); });
    if (auto instance = next_target())
        send_probe({*instance, std::nullopt, 0});
    // The accused hears of it from here even if every rumour is lost.
    auto n = std::min(accused_.size(), accused_per_period);
    for (std::size_t it = 0; it < n; ++it) {
        auto instance = accused_.front();
        accused_.pop_front();
        auto found = records_.find(instance);
        if (found == records_.end() || !found->second.suspicion)
            continue;
        send_probe({instance, std::nullopt, 0});
        accused_.push_back(instance);
    }
}

std::optional<std::string> membership::next_target()
{
    while (!verify_.empty()) {
        auto instance = verify_.front();
        verify_.pop_front();
        auto found = records_.find(instance);
        if (found != records_.end() &&
            found->second.it.state != member_state::dead)
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
    auto params = message(it.instance);
    params["id"] = Json::UInt64(id);
    transport_.send(found->second.it.peer, "membership.probe", params);
    if (!it.asked_by) {
        after(settings_.probe_timeout,
              [this, id](bool) { probe_through_others(id); });
    }
    after(settings_.probe_period, [this, id](bool late) {
        if (late)
            probes_.erase(id);
        else
            probe_failed(id);
    });
}

void membership::probe_through_others(std::uint64_t id)
{
    auto found = probes_.find(id);
    if (found == probes_.end())
        return;
    auto instance = found->second.instance;
    auto known = records_.find(instance);
    if (known == records_.end() || known->second.it.state == member_state::dead)
        return;
    int asked = 0;
    for (const auto& it : random_members(settings_.indirect_probes + 1)) {
        if (it.instance == instance || asked == settings_.indirect_probes)
            continue;
        ++asked;
        auto params = message(it.instance);
        params["id"] = Json::UInt64(id);
        params["i"] = instance;
        transport_.send(it.peer, "membership.probe_through", params);
    }
}

void membership::probe_failed(std::uint64_t id)
{
    auto node = probes_.extract(id);
    if (node.empty() || node.mapped().asked_by)
        return;
    const auto& instance = node.mapped().instance;
    auto found = records_.find(instance);
    if (found == records_.end() || found->second.suspicion ||
        found->second.it.state == member_state::dead)
        return;
    ++counts_.at("membership_suspicions_raised");
    if (accused_.size() < max_accused)
        accused_.push_back(instance);
    start_suspicion(instance);
    spread(instance);
}

// The member answered a probe sent after the last thing known about it, so it
// lives whatever was said before.
void membership::acknowledged(const std::string& instance,
                              std::uint64_t incarnation)
{
    auto found = records_.find(instance);
    if (found == records_.end() || found->second.it.incarnation > incarnation)
        return;
    auto now = found->second.it;
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
    auto answer = message(sender->instance);
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
    acknowledged(it.instance, params["n"].asUInt64());
    if (!it.asked_by)
        return;
    auto answer = message("");
    answer["id"] = Json::UInt64(it.asked_id);
    answer["i"] = it.instance;
    answer["n"] = params["n"];
    transport_.send(*it.asked_by, "membership.ack", answer);
}

void membership::on_probe_through(const peer_address& from,
                                  const Json::Value& params)
{
    if (params["id"].isUInt64() && params["i"].isString())
        send_probe({params["i"].asString(), from, params["id"].asUInt64()});
}

void membership::tick_dead()
{
    after(settings_.dead_probe_period, [this](bool) { tick_dead(); });
    forget_dead_until(loop_.now() - settings_.forget_dead,
                      settings_.max_members);
    if (dead_.empty())
        return;
    auto next = dead_.upper_bound(last_dead_probed_);
    if (next == dead_.end())
        next = dead_.begin();
    last_dead_probed_ = *next;
    send_probe({next->second, std::nullopt, 0});
}

// Updates.

bool membership::receive(const peer_address& from, const Json::Value& params)
{
    if (!params.isObject())
        return false;
    last_heard_ = loop_.now();
    if (params.isMember("f"))
        apply_entry(params["f"], source::rumour);
    if (params.isMember("u"))
        apply(params["u"], source::rumour);
    if (heard_revision_ && params["r"].isUInt64())
        heard_revision_(from, params["r"].asUInt64());
    return true;
}

std::size_t membership::apply(const Json::Value& entries, source how)
{
    std::size_t changed = 0;
    if (!entries.isArray())
        return changed;
    for (const auto& it : entries)
        changed += apply_entry(it, how) ? 1 : 0;
    return changed;
}

bool membership::apply_entry(const Json::Value& entry, source how)
{
    auto claimed = parse_entry(entry);
    if (!claimed) {
        ++counts_.at("membership_malformed_entries");
        return false;
    }
    if (claimed->instance == self_.instance)
        return apply_own(*claimed);
    auto found = records_.find(claimed->instance);
    if (found == records_.end()) {
        if (is_short(*claimed) || !make_room())
            return false;
    } else {
        auto& known = found->second;
        if (!supersedes(*claimed, known, how)) {
            bool same = claimed->incarnation == known.it.incarnation;
            if (same && claimed->state == member_state::suspect &&
                known.it.state == member_state::leaving && !known.suspicion)
                start_suspicion(claimed->instance);
            return false;
        }
        if (is_short(*claimed)) {
            // Of a newer incarnation the rest is not known yet.
            if (claimed->state == member_state::suspect &&
                claimed->incarnation != known.it.incarnation)
                return false;
            if (how == source::exchange) {
                verify(claimed->instance);
                return false;
            }
            auto state = claimed->state;
            auto incarnation = claimed->incarnation;
            claimed = known.it;
            claimed->state = state;
            claimed->incarnation = incarnation;
        }
    }
    bool suspected = claimed->state == member_state::suspect;
    if (suspected)
        start_suspicion(claimed->instance);
    else
        store_entry(*claimed);
    if (how == source::rumour)
        spread(claimed->instance);
    return true;
}

// An accusation is refuted. An incarnation that this process never had is left
// over from an earlier one, and everything from then on counts as this one's.
bool membership::apply_own(const member& claimed)
{
    if (stopped_ || claimed.incarnation < self_.incarnation)
        return false;
    bool foreign = claimed.incarnation > self_.incarnation;
    if (!foreign && !is_short(claimed))
        return false;
    if (foreign)
        first_incarnation_ = claimed.incarnation + 1;
    raise_incarnation(claimed.incarnation);
    ++counts_.at("membership_refutations");
    return true;
}

bool membership::supersedes(const member& claimed, const record& known,
                            source how) const
{
    if (claimed.incarnation != known.it.incarnation)
        return claimed.incarnation > known.it.incarnation;
    if (known.it.state == member_state::dead)
        return how == source::exchange && !is_short(claimed) &&
               loop_.now() - known.died > settings_.death_settles;
    return rank_of(claimed.state) > rank_of(known.it.state);
}

void membership::store_entry(const member& claimed)
{
    auto& known = records_[claimed.instance];
    if (known.suspicion && (claimed.incarnation != known.it.incarnation ||
                            claimed.state != known.it.state)) {
        loop_.cancel(*known.suspicion);
        known.suspicion.reset();
    }
    bool dies = claimed.state == member_state::dead;
    if (known.it.state == member_state::dead)
        dead_.erase({known.died, claimed.instance});
    if (dies) {
        known.died = loop_.now();
        dead_.emplace(known.died, claimed.instance);
        SHALLOTWOOD_LOG(info)
            << "event=member-removed" << field("instance", claimed.instance);
    }
    known.it = claimed;
    publish(claimed);
}

void membership::start_suspicion(const std::string& instance)
{
    auto& known = records_.at(instance);
    if (known.it.state == member_state::active) {
        auto now = known.it;
        now.state = member_state::suspect;
        store_entry(now);
    }
    auto term = settings_.suspicion_periods * settings_.probe_period;
    records_.at(instance).suspicion = start_timer(
        term, [this, instance](bool late) { suspicion_over(instance, late); });
}

void membership::suspicion_over(const std::string& instance, bool late)
{
    auto found = records_.find(instance);
    if (found == records_.end() || !found->second.suspicion)
        return;
    found->second.suspicion.reset();
    auto now = found->second.it;
    if (late) {
        // This process paused: the refutation may be among the messages that
        // it has not read yet.
        if (now.state == member_state::suspect) {
            now.state = member_state::active;
            store_entry(now);
        }
        verify(instance);
        return;
    }
    now.state = member_state::dead;
    store_entry(now);
    spread(instance);
}

void membership::verify(const std::string& instance)
{
    bool queued =
        std::find(verify_.begin(), verify_.end(), instance) != verify_.end();
    if (!queued && verify_.size() < max_verified)
        verify_.push_back(instance);
}

void membership::raise_incarnation(std::uint64_t above)
{
    self_.incarnation = above + 1;
    publish(self_);
    spread(self_.instance);
}

// Brings the views of the live members up to date with one entry.
void membership::publish(const member& now)
{
    auto it = std::lower_bound(members_.begin(), members_.end(), now.instance,
                               before_instance);
    auto& digest = digests_[bucket_of(now.instance, buckets)];
    bool known = it != members_.end() && it->instance == now.instance;
    if (known) {
        digest -= digest_of(*it);
        if (auto names = by_service_.find(it->service);
            names != by_service_.end()) {
            names->second.erase(now.instance);
            if (names->second.empty())
                by_service_.erase(names);
        }
    }
    bool lives = now.state != member_state::dead;
    if (lives) {
        digest += digest_of(now);
        if (known)
            *it = now;
        else
            members_.insert(it, now);
    } else if (known) {
        members_.erase(it);
    }
    if (lives && now.state != member_state::leaving && !now.service.empty())
        by_service_[now.service].insert(now.instance);
    for (const auto& listener : listeners_)
        listener(now);
}

bool membership::make_room()
{
    // One place is this node's own.
    if (records_.size() + 1 < settings_.max_members)
        return true;
    forget_dead_until(loop_.now(), settings_.max_members / 2);
    if (records_.size() + 1 < settings_.max_members)
        return true;
    ++counts_.at("membership_full");
    return false;
}

// Drops deaths before `oldest` and, oldest first, those beyond `keep`.
void membership::forget_dead_until(time_point oldest, std::size_t keep)
{
    while (!dead_.empty() &&
           (dead_.begin()->first <= oldest || dead_.size() > keep)) {
        rumours_.erase(dead_.begin()->second);
        records_.erase(dead_.begin()->second);
        dead_.erase(dead_.begin());
    }
}

// Rumours.

void membership::spread(const std::string& instance)
{
    rumours_[instance] = {};
}

void membership::tick_gossip()
{
    after(settings_.gossip_period, [this](bool) { tick_gossip(); });
    auto seconds = std::chrono::duration<double>(settings_.gossip_period);
    gossip_allowance_ = std::min(
        gossip_allowance_ + settings_.gossip_bytes_per_second * seconds.count(),
        8 * settings_.gossip_bytes_per_second);
    gossip();
}

void membership::gossip()
{
    auto names = pick_rumours(max_update_bytes, true);
    if (names.empty() || members_.size() < 2)
        return;
    // A member that leaves must be known everywhere within seconds, so its
    // rumour may overdraw the budget.
    bool urgent = std::any_of(names.begin(), names.end(), [this](auto& it) {
        return entry_of(it)->state == member_state::leaving;
    });
    if (gossip_allowance_ < 0 && !urgent)
        return;
    Json::Value params;
    std::size_t bytes = envelope_bytes;
    for (const auto& it : names) {
        params["u"].append(to_json(*entry_of(it)));
        bytes += size_of(*entry_of(it));
    }
    auto targets = random_members(settings_.fan_out);
    for (const auto& it : targets)
        transport_.send(it.peer, "membership.update", params);
    gossip_allowance_ -= static_cast<double>(bytes * targets.size());
    note_sent(names, settings_.fan_out, true);
}

const member* membership::entry_of(const std::string& instance) const
{
    if (instance == self_.instance)
        return &self_;
    auto found = records_.find(instance);
    return found == records_.end() ? nullptr : &found->second.it;
}

// The updates to send next within `limit` bytes: leaving members first, then
// those sent least.
std::vector<std::string> membership::pick_rumours(std::size_t limit,
                                                  bool rounds_only)
{
    struct candidate {
        bool leaving;
        int sent;
        const member* it;
    };
    std::vector<candidate> waiting;
    for (const auto& [name, it] : rumours_) {
        if (rounds_only && it.rounds >= settings_.gossip_rounds)
            continue;
        const auto* entry = entry_of(name);
        if (entry != nullptr)
            waiting.push_back(
                {entry->state == member_state::leaving, it.sent, entry});
    }
    std::stable_sort(waiting.begin(), waiting.end(),
                     [](const candidate& a, const candidate& b) {
                         return a.leaving != b.leaving ? a.leaving
                                                       : a.sent < b.sent;
                     });
    std::vector<std::string> names;
    std::size_t bytes = 0;
    for (const auto& next : waiting) {
        bytes += size_of(*next.it);
        if (bytes > limit && !names.empty())
            break;
        names.push_back(next.it->instance);
    }
    return names;
}

void membership::note_sent(const std::vector<std::string>& names, int copies,
                           bool round)
{
    auto limit =
        4 * static_cast<int>(std::ceil(std::log2(1.0 + members_.size())));
    for (const auto& name : names) {
        auto found = rumours_.find(name);
        if (found == rumours_.end())
            continue;
        auto& it = found->second;
        it.sent += copies;
        it.rounds += round ? 1 : 0;
        if (it.sent >= limit && it.rounds >= settings_.gossip_rounds)
            rumours_.erase(found);
    }
}

// The parts that every probe and ack carries: this node's entry and revision,
// updates, and what is held against the receiver.
Json::Value membership::message(const std::string& to)
{
    Json::Value params;
    params["f"] = to_json(self_);
    if (own_revision_)
        params["r"] = Json::UInt64(own_revision_());
    auto names = pick_rumours(probe_update_bytes, false);
    for (const auto& it : names)
        params["u"].append(to_json(*entry_of(it)));
    note_sent(names, 1, false);
    auto known = records_.find(to);
    if (known == records_.end())
        return params;
    auto accusation = known->second.it;
    if (known->second.suspicion)
        accusation.state = member_state::suspect;
    // A death that has settled is tested by the answer alone: after a long cut
    // thousands would have to refute at once.
    bool settled = accusation.state == member_state::dead &&
                   loop_.now() - known->second.died > settings_.death_settles;
    if (is_short(accusation) && !settled)
        params["u"].append(to_json(accusation));
    return params;
}

// Exchanges.

void membership::tick_exchange()
{
    bool quick = quick_exchanges_ > 0;
    quick_exchanges_ -= quick ? 1 : 0;
    schedule_exchange(quick ? settings_.repair_period
                            : settings_.exchange_period);
    auto chosen = random_members(1);
    if (!chosen.empty())
        exchange_with(chosen[0].peer);
}

void membership::schedule_exchange(duration delay)
{
    if (next_exchange_)
        loop_.cancel(*next_exchange_);
    next_exchange_ = start_timer(delay, [this](bool) { tick_exchange(); });
}

void membership::exchange_with(const peer_address& to)
{
    if (to == self_.peer)
        return;
    Json::Value params;
    std::uint64_t sum = 0;
    for (auto it : digests_)
        sum += it;
    params["f"] = to_json(self_);
    params["kind"] = "digest";
    params["d"] = Json::UInt64(sum);
    transport_.send(to, "membership.exchange", params);
}

void membership::on_exchange(const peer_address& from,
                             const Json::Value& params)
{
    if (!params["kind"].isString())
        return;
    auto kind = params["kind"].asString();
    if (kind == "digest")
        answer_digest(from, params);
    else if (kind == "buckets")
        answer_buckets(from, params);
    else if (kind == "page")
        answer_page(from, params);
    else if (kind == "same")
        completed();
}

void membership::answer_digest(const peer_address& from,
                               const Json::Value& params)
{
    if (!params["d"].isUInt64())
        return;
    std::uint64_t sum = 0;
    for (auto it : digests_)
        sum += it;
    Json::Value answer;
    answer["f"] = to_json(self_);
    if (sum == params["d"].asUInt64()) {
        answer["kind"] = "same";
    } else {
        answer["kind"] = "buckets";
        answer["b"] = to_base64(bytes_of(digests_.data(), buckets));
    }
    transport_.send(from, "membership.exchange", answer);
}

void membership::answer_buckets(const peer_address& from,
                                const Json::Value& params)
{
    if (!params["b"].isString())
        return;
    auto theirs = from_base64(params["b"].asString());
    if (!theirs || theirs->size() != 8 * buckets)
        return;
    auto ours = bytes_of(digests_.data(), buckets);
    std::vector<std::size_t> differing;
    Json::Value answer;
    for (std::size_t n = 0; n < buckets; ++n) {
        if (ours.compare(8 * n, 8, *theirs, 8 * n, 8) == 0)
            continue;
        differing.push_back(n);
        answer["want"].append(Json::UInt(n));
    }
    if (differing.empty()) {
        completed();
        return;
    }
    bool whole = true;
    answer["f"] = to_json(self_);
    answer["kind"] = "page";
    answer["join"] = !joined_;
    if (joined_ && !stale_)
        answer["e"] = page_of(differing, max_page_bytes, whole);
    transport_.send(from, "membership.exchange", answer);
}

void membership::answer_page(const peer_address& from,
                             const Json::Value& params)
{
    auto changed = apply(params["e"], source::exchange);
    if (!params["want"].isArray()) {
        bool whole = params["whole"].isBool() && params["whole"].asBool();
        if (whole)
            completed();
        else if (!joined_)
            after(settings_.join_period,
                  [this, from](bool) { exchange_with(from); });
        if (joined_ && (!whole || was_cut_off(changed)))
            schedule_exchange(settings_.repair_period);
        return;
    }
    if (was_cut_off(changed))
        schedule_exchange(settings_.repair_period);
    std::vector<std::size_t> wanted;
    for (const auto& it : params["want"]) {
        if (it.isUInt() && it.asUInt() < buckets && wanted.size() < buckets)
            wanted.push_back(it.asUInt());
    }
    bool joins = params["join"].isBool() && params["join"].asBool();
    bool whole = true;
    Json::Value answer;
    answer["f"] = to_json(self_);
    answer["kind"] = "page";
    // A node that has paused has nothing reliable to tell.
    if (stale_ || (!joined_ && !joins))
        return;
    answer["e"] =
        page_of(wanted, joins ? max_join_page_bytes : max_page_bytes, whole);
    answer["whole"] = whole;
    transport_.send(from, "membership.exchange", answer);
}

// The entries of as many of the buckets as fit, at least one, in random order
// so that a cut page does not always end at the same one.
Json::Value membership::page_of(std::vector<std::size_t> wanted,
                                std::size_t limit, bool& whole)
{
    std::shuffle(wanted.begin(), wanted.end(), random_.engine());
    std::vector<std::vector<const member*>> filled(buckets);
    for (const auto& it : members_)
        filled[bucket_of(it.instance, buckets)].push_back(&it);
    auto unsettled = loop_.now() - settings_.death_settles;
    for (auto it = dead_.lower_bound({unsettled, ""}); it != dead_.end(); ++it)
        filled[bucket_of(it->second, buckets)].push_back(entry_of(it->second));
    Json::Value entries(Json::arrayValue);
    std::size_t bytes = 0;
    for (auto bucket : wanted) {
        for (const auto* it : filled[bucket])
            bytes += size_of(*it);
        if (bytes > limit && !entries.empty()) {
            whole = false;
            return entries;
        }
        for (const auto* it : filled[bucket])
            entries.append(to_full_json(*it));
    }
    whole = true;
    return entries;
}

bool membership::was_cut_off(std::size_t changed) const
{
    return changed > few_entries && changed * repair_fraction > members_.size();
}

void membership::completed()
{
    stale_ = false;
    if (joined_)
        return;
    joined_ = true;
    quick_exchanges_ = exchanges_after_join;
    schedule_exchange(settings_.repair_period);
}

// Seeds.

void membership::join()
{
    if (joined_)
        return;
    ++join_attempts_;
    auto backoff = std::min<duration>(std::chrono::seconds(1) *
                                          (1 << std::min(join_attempts_, 6)),
                                      longest_join_backoff);
    // Jittered: a whole fleet may start at once.
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
        use_seeds(*found);
        write_seed(*found);
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
        use_seeds(*found);
        write_seed(*found);
    });
}

// Turns to the seeds that are not members here: all of them when this node
// joins, else those of a part of the fleet that has grown separately.
void membership::use_seeds(const std::vector<stored_object>& objects)
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
    // Only this node has registered, so there is nobody to learn from; others
    // that start now find it.
    alone = alone && members_.size() == 1 &&
            std::all_of(settings_.seeds.begin(), settings_.seeds.end(),
                        [this](const auto& it) { return it == self_.peer; });
    if (registered && alone)
        completed();
}

void membership::write_seed(const std::vector<stored_object>& objects)
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
    // Only a node that has joined can tell who is gone.
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
        join_attempts_ > attempts_before_seed)
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

// Timers.

void membership::after(duration delay, std::function<void(bool late)> task)
{
    start_timer(delay, std::move(task));
}

timer_id membership::start_timer(duration delay,
                                 std::function<void(bool late)> task)
{
    auto due = loop_.now() + delay;
    return loop_.call_after(delay, [this, due, task = std::move(task),
                                    alive = std::weak_ptr<bool>(alive_)] {
        if (!alive.expired())
            task(paused_since(due));
    });
}

bool membership::paused_since(time_point due) const
{
    return loop_.now() - due > settings_.probe_period;
}

} // namespace shallotwood::process
