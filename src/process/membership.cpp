#include "process/membership.hpp"

#include "process/keyed_hash.hpp"
#include "process/log.hpp"
#include "process/member_codec.hpp"

#include <algorithm>
#include <cmath>

namespace shallotwood::process
{

namespace
{

// Bound of the queue of members that are probed before random ones.
constexpr std::size_t max_priority_probes = 64;
// Bytes of updates piggybacked on a probe or an ack.
constexpr std::size_t probe_update_bytes = 400;
constexpr int dead_notice_copies = 8;
// The sender's position in the configurations.
constexpr const char* era_field = "e";
constexpr const char* revision_field = "r";
// Envelope, authentication and UDP/IP headers of a message.
constexpr std::size_t message_overhead_bytes = 230;

bool instance_less(const member& a, const std::string& b)
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
    subscribe("membership.probe_through", &membership::on_indirect_probe);
    subscribe("membership.exchange", &membership::on_exchange);
    subscribe("membership.update", nullptr);
}

membership::~membership() = default;

void membership::start()
{
    // A random phase keeps nodes that start at the same time from sending their
    // periodic messages at the same time.
    auto phase = [this](duration period) {
        return duration(random_.below(period.count()));
    };
    last_tick_ = loop_.now();
    after(phase(settings_.probe_period), [this](bool) { tick_probe(); });
    after(phase(settings_.gossip_period), [this](bool) { tick_gossip(); });
    after(phase(settings_.dead_probe_period), [this](bool) { tick_dead(); });
    after(phase(settings_.seed_check_period), [this](bool) { check_seeds(); });
    schedule_exchange(phase(settings_.exchange_period));
    join();
}

void membership::set_http_port(std::uint16_t http_port)
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
    send_gossip();
}

void membership::leave()
{
    if (stopped_ || self_.state == member_state::leaving)
        return;
    self_.state = member_state::leaving;
    raise_incarnation(self_.incarnation);
    SHALLOTWOOD_LOG(info) << "event=leave" << field("instance", self_.instance);
    send_gossip();
}

void membership::stop()
{
    if (stopped_)
        return;
    auto dead_notice = self_;
    dead_notice.state = member_state::dead;
    dead_notice.incarnation += 1;
    Json::Value params;
    params["u"].append(to_json(dead_notice));
    for (const auto& it : random_members(dead_notice_copies))
        transport_.send(it.peer, "membership.update", params);
    stopped_ = true;
    alive_.reset();
}

void membership::piggyback_position(position_source own,
                                    position_listener on_peer_position)
{
    own_position_ = std::move(own);
    on_peer_position_ = std::move(on_peer_position);
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

// Updates.

bool membership::receive(const peer_address& from, const Json::Value& params)
{
    if (!params.isObject())
        return false;
    last_message_time_ = loop_.now();
    if (params.isMember("f"))
        apply_entry(params["f"], update_source::gossip);
    if (params.isMember("u"))
        apply(params["u"], update_source::gossip);
    if (auto theirs = version::read_position(params, era_field, revision_field);
        theirs && on_peer_position_)
        on_peer_position_(from, *theirs);
    return true;
}

std::size_t membership::apply(const Json::Value& entries, update_source origin)
{
    std::size_t changed = 0;
    if (!entries.isArray())
        return changed;
    for (const auto& it : entries)
        changed += apply_entry(it, origin) ? 1 : 0;
    return changed;
}

bool membership::apply_entry(const Json::Value& entry, update_source origin)
{
    auto claimed = parse_entry(entry);
    if (!claimed) {
        ++counts_.at("membership_malformed_entries");
        return false;
    }
    if (claimed->instance == self_.instance)
        return apply_own_entry(*claimed);
    auto found = records_.find(claimed->instance);
    if (found == records_.end()) {
        if (has_reduced_entry(*claimed) || !evict_one_if_full())
            return false;
    } else {
        auto& known = found->second;
        if (!supersedes(*claimed, known, origin)) {
            bool same = claimed->incarnation == known.entry.incarnation;
            if (same && claimed->state == member_state::suspect &&
                known.entry.state == member_state::leaving && !known.suspicion)
                start_suspicion(claimed->instance);
            return false;
        }
        if (has_reduced_entry(*claimed)) {
            // The other fields of a newer incarnation are not known yet.
            if (claimed->state == member_state::suspect &&
                claimed->incarnation != known.entry.incarnation)
                return false;
            if (origin == update_source::exchange) {
                queue_priority_probe(claimed->instance);
                return false;
            }
            auto state = claimed->state;
            auto incarnation = claimed->incarnation;
            claimed = known.entry;
            claimed->state = state;
            claimed->incarnation = incarnation;
        }
    }
    bool suspected = claimed->state == member_state::suspect;
    if (suspected)
        start_suspicion(claimed->instance);
    else
        store_entry(*claimed);
    if (origin == update_source::gossip)
        queue_update(claimed->instance);
    return true;
}

// Refutes a claim that this node is suspect or dead. An incarnation higher than
// any this process used is left over from an earlier process; this process
// starts above it.
bool membership::apply_own_entry(const member& claimed)
{
    if (stopped_ || claimed.incarnation < self_.incarnation)
        return false;
    bool from_earlier_process = claimed.incarnation > self_.incarnation;
    if (!from_earlier_process && !has_reduced_entry(claimed))
        return false;
    if (from_earlier_process)
        first_incarnation_ = claimed.incarnation + 1;
    raise_incarnation(claimed.incarnation);
    ++counts_.at("membership_refutations");
    return true;
}

bool membership::supersedes(const member& claimed, const record& known,
                            update_source origin) const
{
    if (claimed.incarnation != known.entry.incarnation)
        return claimed.incarnation > known.entry.incarnation;
    if (known.entry.state == member_state::dead)
        return origin == update_source::exchange &&
               !has_reduced_entry(claimed) &&
               loop_.now() - known.died > settings_.death_settle_time;
    return state_precedence(claimed.state) >
           state_precedence(known.entry.state);
}

void membership::store_entry(const member& claimed)
{
    auto& known = records_[claimed.instance];
    if (known.suspicion && (claimed.incarnation != known.entry.incarnation ||
                            claimed.state != known.entry.state)) {
        loop_.cancel(*known.suspicion);
        known.suspicion.reset();
    }
    bool dies = claimed.state == member_state::dead;
    if (known.entry.state == member_state::dead)
        dead_.erase({known.died, claimed.instance});
    if (dies) {
        known.died = loop_.now();
        dead_.emplace(known.died, claimed.instance);
        SHALLOTWOOD_LOG(info)
            << "event=member-removed" << field("instance", claimed.instance);
    }
    known.entry = claimed;
    publish(claimed);
}

void membership::start_suspicion(const std::string& instance)
{
    auto& known = records_.at(instance);
    if (known.entry.state == member_state::active) {
        auto now = known.entry;
        now.state = member_state::suspect;
        store_entry(now);
    }
    auto term = settings_.suspicion_periods * settings_.probe_period;
    records_.at(instance).suspicion =
        start_timer(term, [this, instance](bool late) {
            on_suspicion_timeout(instance, late);
        });
}

void membership::on_suspicion_timeout(const std::string& instance, bool late)
{
    auto found = records_.find(instance);
    if (found == records_.end() || !found->second.suspicion)
        return;
    found->second.suspicion.reset();
    auto now = found->second.entry;
    if (late) {
        // This process was paused, so the refutation may be among the messages
        // that it has not read yet.
        if (now.state == member_state::suspect) {
            now.state = member_state::active;
            store_entry(now);
        }
        queue_priority_probe(instance);
        return;
    }
    now.state = member_state::dead;
    store_entry(now);
    queue_update(instance);
}

void membership::queue_priority_probe(const std::string& instance)
{
    bool queued = std::find(priority_probes_.begin(), priority_probes_.end(),
                            instance) != priority_probes_.end();
    if (!queued && priority_probes_.size() < max_priority_probes)
        priority_probes_.push_back(instance);
}

void membership::raise_incarnation(std::uint64_t above)
{
    self_.incarnation = above + 1;
    publish(self_);
    queue_update(self_.instance);
}

// Updates members_, by_service_ and the digests with one entry, then calls the
// listeners.
void membership::publish(const member& now)
{
    auto it = std::lower_bound(members_.begin(), members_.end(), now.instance,
                               instance_less);
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

bool membership::evict_one_if_full()
{
    // One entry is reserved for this node itself.
    if (records_.size() + 1 < settings_.max_members)
        return true;
    evict_dead(loop_.now(), settings_.max_members / 2);
    if (records_.size() + 1 < settings_.max_members)
        return true;
    ++counts_.at("membership_full");
    return false;
}

// Removes dead members that died at `oldest` or earlier, then the oldest deaths
// until at most `keep` are left.
void membership::evict_dead(time_point oldest, std::size_t keep)
{
    while (!dead_.empty() &&
           (dead_.begin()->first <= oldest || dead_.size() > keep)) {
        update_queue_.erase(dead_.begin()->second);
        records_.erase(dead_.begin()->second);
        dead_.erase(dead_.begin());
    }
}

// Gossip.

void membership::queue_update(const std::string& instance)
{
    update_queue_[instance] = {};
}

void membership::tick_gossip()
{
    after(settings_.gossip_period, [this](bool) { tick_gossip(); });
    auto seconds = std::chrono::duration<double>(settings_.gossip_period);
    gossip_budget_bytes_ =
        std::min(gossip_budget_bytes_ +
                     settings_.gossip_bytes_per_second * seconds.count(),
                 8 * settings_.gossip_bytes_per_second);
    send_gossip();
}

void membership::send_gossip()
{
    auto names = select_updates(max_update_bytes, true);
    if (names.empty() || members_.size() < 2)
        return;
    // All nodes must know of a leaving member within seconds, so its update
    // may exceed the budget.
    bool urgent = std::any_of(names.begin(), names.end(), [this](auto& it) {
        return entry_of(it)->state == member_state::leaving;
    });
    if (gossip_budget_bytes_ < 0 && !urgent)
        return;
    Json::Value params;
    std::size_t bytes = message_overhead_bytes;
    for (const auto& it : names) {
        params["u"].append(to_json(*entry_of(it)));
        bytes += estimated_json_bytes(*entry_of(it));
    }
    auto targets = random_members(settings_.fan_out);
    for (const auto& it : targets)
        transport_.send(it.peer, "membership.update", params);
    gossip_budget_bytes_ -= static_cast<double>(bytes * targets.size());
    record_transmissions(names, settings_.fan_out, true);
}

const member* membership::entry_of(const std::string& instance) const
{
    if (instance == self_.instance)
        return &self_;
    auto found = records_.find(instance);
    return found == records_.end() ? nullptr : &found->second.entry;
}

// The instances whose updates are sent next, within `limit` bytes but at least
// one: leaving members first, then those sent least often.
std::vector<std::string> membership::select_updates(std::size_t limit,
                                                    bool rounds_only)
{
    struct candidate {
        bool leaving;
        int sent;
        const member* entry;
    };
    std::vector<candidate> waiting;
    for (const auto& [name, it] : update_queue_) {
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
        bytes += estimated_json_bytes(*next.entry);
        if (bytes > limit && !names.empty())
            break;
        names.push_back(next.entry->instance);
    }
    return names;
}

void membership::record_transmissions(const std::vector<std::string>& names,
                                      int copies, bool round)
{
    auto limit =
        4 * static_cast<int>(std::ceil(std::log2(1.0 + members_.size())));
    for (const auto& name : names) {
        auto found = update_queue_.find(name);
        if (found == update_queue_.end())
            continue;
        auto& it = found->second;
        it.sent += copies;
        it.rounds += round ? 1 : 0;
        if (it.sent >= limit && it.rounds >= settings_.gossip_rounds)
            update_queue_.erase(found);
    }
}

// The fields common to all probes and acks: this node's entry and position,
// piggybacked updates, and the receiver's own entry if this node holds it
// suspect or dead, so that it can refute.
Json::Value membership::make_probe_params(const std::string& to)
{
    Json::Value params;
    params["f"] = to_json(self_);
    if (own_position_)
        version::write_position(params, era_field, revision_field,
                                own_position_());
    auto names = select_updates(probe_update_bytes, false);
    for (const auto& it : names)
        params["u"].append(to_json(*entry_of(it)));
    record_transmissions(names, 1, false);
    auto known = records_.find(to);
    if (known == records_.end())
        return params;
    auto receiver_entry = known->second.entry;
    if (known->second.suspicion)
        receiver_entry.state = member_state::suspect;
    // After death_settle_time, the ack alone revives the member. Otherwise,
    // when a long partition heals, thousands of members would have to refute
    // at once.
    bool settled =
        receiver_entry.state == member_state::dead &&
        loop_.now() - known->second.died > settings_.death_settle_time;
    if (has_reduced_entry(receiver_entry) && !settled)
        params["u"].append(to_json(receiver_entry));
    return params;
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
            task(fired_late(due));
    });
}

bool membership::fired_late(time_point due) const
{
    return loop_.now() - due > settings_.probe_period;
}

} // namespace shallotwood::process
