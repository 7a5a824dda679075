#include "process/sidecar/fleet_exchange.hpp"

#include "process/json_text.hpp"
#include "process/log.hpp"
#include "process/sidecar/peer_codec.hpp"
#include "process/telemetry/decision_log.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace shallotwood::process::sidecar
{

namespace
{

using telemetry::decision;

// Updates are collected for this time and then sent in one message.
constexpr duration update_batch_delay = std::chrono::milliseconds(15);

// Number of nodes of its own failure domain to which the origin of an update
// sends it, as does a node that gets it from an origin in another domain; and
// number of nodes there to which each further node forwards it. An update
// reaches 29,000 nodes in about eight hops.
constexpr std::size_t origin_fan_out = 16;
constexpr std::size_t fan_out = 3;

// Number of nodes of each other domain to which the origin of an update sends
// it, of how many in all, and how many nodes are tried in place of one that
// does not reply. Two of a domain are missed together by chance only.
constexpr std::size_t domain_fan_out = 2;
constexpr std::size_t max_crossing_messages = 16;
constexpr std::size_t domain_attempts = 3;

// Number of nodes with which a node compares its view when it starts: one of
// each other domain, and at least start_comparisons_at_home of its own, which
// has the rest.
constexpr std::size_t start_comparisons = 16;
constexpr std::size_t start_comparisons_at_home = 4;

// Interval at which views are compared, to repair lost updates.
constexpr duration compare_period = std::chrono::seconds(1);

// A new set of evacuations is sent a second time after this delay, to other
// nodes. The first messages miss some nodes in a hundred, which would otherwise
// learn of it from a comparison only, after up to a second.
constexpr duration evacuation_repeat_delay = std::chrono::milliseconds(300);

// Number of nodes of its domain to which a node sends it then. With fan_out
// again, one of 10 fleets of 82 nodes in a test had a node that missed it for a
// second.
constexpr std::size_t evacuation_repeat_fan_out = 6;

// Interval at which a node that does not know the set of evacuations asks other
// nodes for it.
constexpr duration ask_period = std::chrono::milliseconds(200);

// Time for which a node that hears of a policy from another domain waits for
// one of its own domain to have it: a message and a text take 12 ms between
// distant domains.
constexpr duration distant_policy_delay = std::chrono::milliseconds(30);

// Parts of a view in one message; keeps a reply below 2 MB.
constexpr std::size_t max_buckets_per_message = 32;

// Time limit for the reply of another node.
constexpr duration message_timeout = std::chrono::milliseconds(500);

// Departures that are kept for nodes which have started again.
constexpr std::size_t max_former_entries = 4096;

// Pause before a request to the store is retried.
constexpr duration store_pause = std::chrono::milliseconds(500);

// After a restore of the store, all nodes write their entries again. This time
// per node spreads the writes; the store allows several hundred a second.
constexpr duration rewrite_time_per_node = std::chrono::milliseconds(10);

// Digests of all parts as one string of 32 bits each, in hexadecimal digits. A
// comparison states in `parts_form` that its sender reads this form; nodes of
// earlier versions send and read a list of numbers of 64 bits.
constexpr unsigned text_parts_form = 2;
constexpr std::size_t digits_per_part = 8;

std::uint32_t short_digest(std::uint64_t digest)
{
    return static_cast<std::uint32_t>(digest);
}

std::string text_of(const fleet::fleet_view::digests& parts)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(parts.size() * digits_per_part);
    for (auto part : parts)
        for (auto n = digits_per_part; n-- > 0;)
            text += digits[(short_digest(part) >> (4 * n)) & 15];
    return text;
}

// Numbers of the parts that differ from `own`; none if the digests are
// unreadable.
std::vector<std::size_t> differing_parts(const Json::Value& digests,
                                         const fleet::fleet_view::digests& own)
{
    std::vector<std::size_t> numbers;
    if (digests.isString()) {
        auto text = digests.asString();
        auto own_text = text_of(own);
        if (text.size() != own_text.size())
            return {};
        for (std::size_t n = 0; n < own.size(); ++n)
            if (text.compare(n * digits_per_part, digits_per_part, own_text,
                             n * digits_per_part, digits_per_part) != 0)
                numbers.push_back(n);
        return numbers;
    }
    if (!digests.isArray() || digests.size() != own.size())
        return {};
    for (std::size_t n = 0; n < own.size(); ++n) {
        const auto& it = digests[static_cast<Json::ArrayIndex>(n)];
        if (it.isUInt64() && it.asUInt64() != own[n])
            numbers.push_back(n);
    }
    return numbers;
}

} // namespace

fleet_exchange::fleet_exchange(const dependencies& with,
                               std::string entry_prefix,
                               std::function<void()> changed)
    : dependencies_(with), entry_prefix_(std::move(entry_prefix)),
      fleet_changed_(std::move(changed)),
      contacts_(dependencies_.fleet, dependencies_.random, dependencies_.links)
{
    dependencies_.feed.set_delays(
        dependencies_.loop,
        [this](const std::string& name) { return policy_delay(name); });
}

fleet_exchange::~fleet_exchange()
{
    dependencies_.loop.cancel(compare_timer_);
    dependencies_.feed.set_delays(dependencies_.loop, {});
}

void fleet_exchange::start(const std::vector<peer_address>& seeds,
                           bool first_start)
{
    if (first_start) {
        entry_version_ = 0;
        if (on_former_read_)
            on_former_read_();
    } else {
        read_own_entry();
    }
    const auto& self = dependencies_.fleet.self();
    for (const auto& it : seeds)
        exchange_with({it.host, self.peer.port}, make_comparison());
    read_entries();
    compare_views();
}

// ---- entries in the store ---------------------------------------------------

// Nothing is written before the entry of an earlier process has been read, as
// it may tell that the backend server has left.
void fleet_exchange::write_entry()
{
    entry_requested_ = true;
    if (entry_written_)
        return;
    if (entry_writing_) {
        entry_changed_ = true;
        return;
    }
    entry_writing_ = true;
    if (entry_version_)
        put_entry(*entry_version_);
    else
        read_own_entry();
}

void fleet_exchange::rewrite_entry()
{
    entry_written_ = false;
    write_entry();
}

void fleet_exchange::put_entry(std::uint64_t version)
{
    entry_changed_ = false;
    const auto& self = dependencies_.fleet.self();
    dependencies_.store.put(
        entry_prefix_ + self.name(), write_json(to_json(self)), version,
        guard_.wrap([this, known = store_era_](const put_result& result) {
            entry_era_ = std::max(known, dependencies_.store.era());
            handle_written(result);
        }));
}

void fleet_exchange::handle_written(const put_result& result)
{
    entry_writing_ = false;
    const auto* version = std::get_if<std::uint64_t>(&result);
    if (version == nullptr) {
        entry_version_.reset();
        // After a conflict the entry is read again at once.
        bool conflict = std::get<store_error>(result) == store_error::conflict;
        dependencies_.loop.call_after(conflict ? duration(0) : store_pause,
                                      guard_.wrap([this] { write_entry(); }));
        return;
    }
    entry_version_ = *version;
    if (entry_changed_) {
        write_entry();
        return;
    }
    entry_written_ = true;
    auto waiters = std::move(write_waiters_);
    write_waiters_.clear();
    for (const auto& it : waiters)
        it(true);
}

void fleet_exchange::when_written(duration limit,
                                  std::function<void(bool)> done)
{
    if (entry_written_ || !entry_requested_) {
        done(true);
        return;
    }
    // The timer may fire after the waiter was called and removed.
    auto pending = std::make_shared<std::function<void(bool)>>(std::move(done));
    auto call_once = [pending](bool written) {
        if (auto it = std::exchange(*pending, nullptr))
            it(written);
    };
    auto at = write_waiters_.insert(write_waiters_.end(), call_once);
    dependencies_.loop.call_after(limit, guard_.wrap([this, pending, at] {
        if (!*pending)
            return;
        auto it = std::move(*at);
        write_waiters_.erase(at);
        it(false);
    }));
}

void fleet_exchange::read_own_entry()
{
    if (entry_reading_)
        return;
    entry_reading_ = true;
    dependencies_.store.get(entry_prefix_ + dependencies_.fleet.self().name(),
                            guard_.wrap([this](const get_result& result) {
                                entry_reading_ = false;
                                handle_own_entry(result);
                            }));
}

void fleet_exchange::handle_own_entry(const get_result& result)
{
    const auto* found = std::get_if<stored_object>(&result);
    if (found == nullptr &&
        std::get<store_error>(result) != store_error::not_found) {
        dependencies_.loop.call_after(store_pause, guard_.wrap([this] {
            if (!entry_version_)
                read_own_entry();
        }));
        return;
    }
    // The handlers may start another write.
    bool write_waits = entry_writing_;
    entry_version_ = found == nullptr ? 0 : found->version;
    if (found != nullptr)
        if (auto json = parse_json(found->value))
            apply_former(*json);
    if (on_former_read_)
        on_former_read_();
    if (write_waits)
        put_entry(*entry_version_);
}

void fleet_exchange::record_store_era(std::uint64_t era)
{
    store_era_ = std::max(store_era_, era);
    if (!entry_written_ || rewrite_scheduled_ || entry_era_ >= store_era_)
        return;
    rewrite_scheduled_ = true;
    auto spread = rewrite_time_per_node.count() *
                  static_cast<duration::rep>(dependencies_.fleet.size());
    auto delay = duration(static_cast<duration::rep>(
        dependencies_.random.unit() * static_cast<double>(spread)));
    dependencies_.loop.call_after(delay, guard_.wrap([this] {
        rewrite_scheduled_ = false;
        if (telemetry::allow(decision::state))
            SHALLOTWOOD_LOG(info)
                << "event=entry_rewritten" << field("era", store_era_)
                << field("before", entry_era_);
        // Versions of the former era may be given out again.
        entry_version_.reset();
        rewrite_entry();
    }));
}

void fleet_exchange::read_entries()
{
    dependencies_.store.list_stale(
        entry_prefix_, guard_.wrap([this](const list_result& result) {
            handle_entries(result);
            if (dependencies_.fleet.size() == 1)
                dependencies_.loop.call_after(
                    store_pause, guard_.wrap([this] { read_entries(); }));
        }));
}

void fleet_exchange::handle_entries(const list_result& result)
{
    const auto* all = std::get_if<std::vector<stored_object>>(&result);
    if (all == nullptr)
        return;
    dependencies_.isolation_detector.record_contact();
    for (const auto& object : *all) {
        auto json = parse_json(object.value);
        if (auto entry = json ? fleet::instance_from_json(*json) : std::nullopt)
            learn(*entry);
    }
    fleet_changed_();
    // The entries may be stale; the nodes themselves have newer ones.
    compare_at_start();
}

// ---- messages ---------------------------------------------------------------

void fleet_exchange::publish_own_entry()
{
    queue_update(dependencies_.fleet.self().name());
}

void fleet_exchange::queue_update(const std::string& name)
{
    pending_updates_.insert(name);
    if (send_scheduled_)
        return;
    send_scheduled_ = true;
    dependencies_.loop.call_after(update_batch_delay,
                                  guard_.wrap([this] { send_updates(); }));
}

void fleet_exchange::send_updates()
{
    send_scheduled_ = false;
    auto names = std::move(pending_updates_);
    pending_updates_.clear();
    bool from_origin = std::exchange(pending_from_origin_, false);
    if (names.count(dependencies_.fleet.self().name()) != 0)
        send_from_origin(make_message(names), update_contacts());
    else
        send_to_random_nodes(from_origin ? origin_fan_out : fan_out,
                             scope::failure_domain, make_message(names));
}

// If the origin's messages reach all nodes, none needs another hop.
domain_contacts::instances fleet_exchange::update_contacts()
{
    bool small = dependencies_.fleet.size() <= max_crossing_messages + 1;
    return contacts_.nodes_elsewhere(
        small ? max_crossing_messages : domain_fan_out, max_crossing_messages);
}

void fleet_exchange::announce_policy(policy_feed::origin from)
{
    using origin = policy_feed::origin;
    if (from == origin::store)
        send_from_origin(make_message({}),
                         contacts_.speakers_elsewhere(max_crossing_messages));
    else
        send_to_random_nodes(from == origin::distant_node ? origin_fan_out
                                                          : fan_out,
                             scope::failure_domain, make_message({}));
}

// Only the first fetch of a policy in a domain is to cross, and the first
// speaker makes it at once.
std::optional<duration> fleet_exchange::policy_delay(const std::string& name)
{
    const auto& fleet = dependencies_.fleet;
    const auto* it = fleet.find(name);
    if (it == nullptr || it->failure_domain == fleet.self().failure_domain)
        return std::nullopt;
    return contacts_.is_first_speaker() ? duration(0) : distant_policy_delay;
}

void fleet_exchange::announce_evacuations(bool first_hand)
{
    send_evacuations(first_hand, fan_out);
    dependencies_.loop.call_after(
        evacuation_repeat_delay, guard_.wrap([this, first_hand] {
            send_evacuations(first_hand, evacuation_repeat_fan_out);
        }));
}

// Sets change rarely, and must be in force at once: the origin's messages go to
// random nodes of all domains.
void fleet_exchange::send_evacuations(bool first_hand, std::size_t count)
{
    if (first_hand)
        send_to_random_nodes(origin_fan_out, scope::fleet, make_message({}));
    else
        send_to_random_nodes(count, scope::failure_domain, make_message({}));
}

void fleet_exchange::ask_for_evacuations()
{
    auto* evacuations = dependencies_.evacuations;
    if (evacuations == nullptr || !evacuations->is_awaited())
        return;
    for (const auto* it : contacts_.random_nodes(fan_out, scope::fleet))
        exchange_with(it->peer, make_message({}),
                      fleet::fleet_view::bucket_count + 1,
                      [evacuations](const Json::Value& reply) {
                          if (reply["evacuations"].isObject())
                              evacuations->confirm();
                      });
    dependencies_.loop.call_after(
        ask_period, guard_.wrap([this] { ask_for_evacuations(); }));
}

void fleet_exchange::send_to_random_nodes(std::size_t count, scope where,
                                          const Json::Value& message)
{
    for (const auto* it : contacts_.random_nodes(count, where))
        exchange_with(it->peer, message);
}

void fleet_exchange::send_from_origin(
    const Json::Value& message, const domain_contacts::instances& elsewhere)
{
    send_to_random_nodes(origin_fan_out, scope::failure_domain, message);
    for (const auto* it : elsewhere)
        send_to_domain(*it, message, domain_attempts);
}

void fleet_exchange::send_to_domain(const fleet::instance& to,
                                    const Json::Value& message,
                                    std::size_t attempts)
{
    exchange_with(to.peer, message, fleet::fleet_view::bucket_count + 1,
                  [this, message, domain = to.failure_domain,
                   attempts](const Json::Value& reply) {
                      if (!reply.isNull() || attempts <= 1)
                          return;
                      if (const auto* it = contacts_.random_node_of(domain))
                          send_to_domain(*it, message, attempts - 1);
                  });
}

void fleet_exchange::exchange_with(
    const peer_address& to, const Json::Value& message, std::size_t differing,
    std::function<void(const Json::Value&)> replied)
{
    const auto* former = former_entry(to.host + ':' + std::to_string(to.port));
    auto text = write_json(message);
    if (former != nullptr) {
        auto with_former = message;
        with_former["former"] = to_json(*former);
        text = write_json(with_former);
    }
    dependencies_.links.call(
        to, peer_path::fleet, text, message_timeout,
        [this, to, differing, replied = std::move(replied)](
            const std::optional<std::string>& reply) {
            auto json = reply ? parse_json(*reply) : std::nullopt;
            if (!json || !json->isObject()) {
                if (replied)
                    replied(Json::Value());
                return;
            }
            apply_former((*json)["former"]);
            apply_message(*json);
            if (replied)
                replied(*json);
            repair(to, (*json)["parts"], differing);
        });
}

Json::Value
fleet_exchange::make_message(const std::set<std::string>& names) const
{
    const auto& self = dependencies_.fleet.self();
    Json::Value message;
    message["from"] = to_json(self);
    message["policy"] = Json::UInt64(dependencies_.feed.revision());
    if (dependencies_.watcher_election.store_unreachable_from(self.name()))
        message["store_lost"] = true;
    if (auto era = std::max(store_era_, dependencies_.store.era()); era != 0)
        message["store_era"] = Json::UInt64(era);
    if (const auto* it = dependencies_.evacuations; it && it->current())
        message["evacuations"] = fleet::to_json(*it->current());
    // The own entry is in `from`.
    for (const auto& name : names)
        if (const auto* it = dependencies_.fleet.find(name); it && it != &self)
            message["entries"].append(to_json(*it));
    return message;
}

Json::Value fleet_exchange::make_comparison() const
{
    auto message = make_message({});
    message["compare"] = true;
    message["digest"] = Json::UInt64(dependencies_.fleet.digest());
    message["parts_form"] = text_parts_form;
    return message;
}

// Only the node of the backend server can keep its departure: it alone decides
// whether the server takes calls. So it is told until its entry shows that it
// knows, whoever has spread its new entry before.
bool fleet_exchange::learn(const fleet::instance& entry)
{
    auto name = entry.name();
    const auto* known = dependencies_.fleet.find(name);
    bool is_own = name == dependencies_.fleet.self().name();
    if (known != nullptr && !is_own && known->has_left() &&
        known->incarnation < entry.incarnation) {
        if (former_entries_.size() == max_former_entries)
            former_entries_.erase(former_entries_.begin());
        former_entries_[name] = *known;
    }
    if (!dependencies_.fleet.learn(entry))
        return false;
    if (auto it = former_entries_.find(name); it != former_entries_.end()) {
        bool same = it->second.backend_key() == entry.backend_key();
        bool later =
            entry.backend_started_at_ms >= it->second.backend_started_at_ms;
        if (!entry.backend_id.empty() && (same ? entry.has_left() : later))
            former_entries_.erase(it);
    }
    return true;
}

const fleet::instance*
fleet_exchange::former_entry(const std::string& name) const
{
    auto it = former_entries_.find(name);
    return it == former_entries_.end() ? nullptr : &it->second;
}

bool fleet_exchange::brings_news_of_another_domain(
    const Json::Value& message) const
{
    const auto& fleet = dependencies_.fleet;
    auto from = fleet::instance_from_json(message["from"]);
    if (!from || from->failure_domain == fleet.self().failure_domain)
        return false;
    const auto* known = fleet.find(from->name());
    return known == nullptr || from->is_newer_than(*known);
}

void fleet_exchange::apply_former(const Json::Value& entry)
{
    const auto& self = dependencies_.fleet.self();
    auto it = fleet::instance_from_json(entry);
    if (!it || !it->has_left() || it->name() != self.name() ||
        it->incarnation == self.incarnation || !on_former_)
        return;
    if (telemetry::allow(decision::state))
        SHALLOTWOOD_LOG(info)
            << "event=former_entry" << field("backend", it->backend_id)
            << field("state", fleet::name_of(it->state))
            << field("incarnation", it->incarnation);
    on_former_(*it);
}

std::string fleet_exchange::handle_message(const Json::Value& message)
{
    apply_former(message["former"]);
    if (brings_news_of_another_domain(message))
        pending_from_origin_ = true;
    apply_message(message);
    auto reply = make_message({});
    if (auto from = fleet::instance_from_json(message["from"]))
        if (const auto* it = former_entry(from->name()))
            reply["former"] = to_json(*it);
    const auto& fleet = dependencies_.fleet;
    const auto& digest = message["digest"];
    if (message["compare"] == true && digest.isUInt64() &&
        digest.asUInt64() != fleet.digest()) {
        if (message["parts_form"] == text_parts_form)
            reply["parts"] = text_of(fleet.bucket_digests());
        else
            for (auto it : fleet.bucket_digests())
                reply["parts"].append(Json::UInt64(it));
    }
    const auto& wanted = message["wanted"];
    if (wanted.isArray() && wanted.size() <= max_buckets_per_message) {
        std::set<std::size_t> numbers;
        for (const auto& it : wanted)
            if (it.isUInt())
                numbers.insert(it.asUInt());
        for (const auto* it : fleet.entries_in(numbers))
            reply["entries"].append(to_json(*it));
    }
    return write_json(reply);
}

// If the views differ in some parts, sends this node's entries of them and asks
// for the other node's. Stops when the last round made no further part equal.
void fleet_exchange::repair(const peer_address& to, const Json::Value& digests,
                            std::size_t differing_before)
{
    auto numbers =
        differing_parts(digests, dependencies_.fleet.bucket_digests());
    auto differing = numbers.size();
    if (differing == 0 || differing >= differing_before)
        return;
    numbers.resize(std::min(differing, max_buckets_per_message));
    std::set<std::size_t> chosen(numbers.begin(), numbers.end());
    auto message = make_comparison();
    for (auto n : chosen)
        message["wanted"].append(Json::UInt64(n));
    for (const auto* it : dependencies_.fleet.entries_in(chosen))
        message["entries"].append(to_json(*it));
    exchange_with(to, message, differing);
}

bool fleet_exchange::apply_entry(const Json::Value& entry)
{
    auto it = fleet::instance_from_json(entry);
    if (!it)
        return false;
    bool known = dependencies_.fleet.find(it->name()) != nullptr;
    // It was written by an earlier process.
    if (it->name() == dependencies_.fleet.self().name())
        apply_former(entry);
    if (!learn(*it))
        return false;
    // An instance that is new to this node is only counted: a node that starts
    // learns the whole fleet.
    if (known && telemetry::allow(decision::state))
        SHALLOTWOOD_LOG(info)
            << "event=instance_learned" << field("instance", it->name())
            << field("service", it->service) << field("backend", it->backend_id)
            << field("state", fleet::name_of(it->state))
            << field("leaving", it->leaving ? 1 : 0)
            << field("incarnation", it->incarnation)
            << field("sequence", it->sequence);
    dependencies_.links.reconnect_now(it->name());
    queue_update(it->name());
    return !known;
}

void fleet_exchange::apply_message(const Json::Value& message)
{
    dependencies_.isolation_detector.record_contact();
    int added = apply_entry(message["from"]) ? 1 : 0;
    for (const auto& it : message["entries"])
        added += apply_entry(it) ? 1 : 0;
    fleet_changed_();
    auto from = fleet::instance_from_json(message["from"]);
    if (added > 0 && telemetry::allow(decision::state))
        SHALLOTWOOD_LOG(info)
            << "event=instances_added" << field("count", added)
            << field("known", dependencies_.fleet.size())
            << field("source", from ? from->name() : std::string());
    if (!from)
        return;
    const auto& lost = message["store_lost"];
    // Does not extend the time for which the sender is skipped already.
    if (lost.isBool() && lost.asBool() &&
        !dependencies_.watcher_election.store_unreachable_from(from->name()))
        dependencies_.watcher_election.store_unreachable(from->name());
    if (message["store_era"].isUInt64())
        record_store_era(message["store_era"].asUInt64());
    if (auto* it = dependencies_.evacuations)
        it->handle_peer_set(from->name(), message["evacuations"]);
    if (message["policy"].isUInt64())
        dependencies_.feed.handle_peer_revision(from->name(),
                                                message["policy"].asUInt64());
}

void fleet_exchange::compare_views()
{
    record_store_era(dependencies_.store.era());
    for (const auto* it : contacts_.compared_nodes())
        exchange_with(it->peer, make_comparison());
    compare_timer_ = dependencies_.loop.call_after(compare_period,
                                                   [this] { compare_views(); });
}

void fleet_exchange::compare_at_start()
{
    auto chosen = contacts_.nodes_elsewhere(1, start_comparisons -
                                                   start_comparisons_at_home);
    auto own = contacts_.random_nodes(start_comparisons - chosen.size(),
                                      scope::failure_domain);
    if (own.empty())
        chosen = contacts_.random_nodes(start_comparisons, scope::fleet);
    chosen.insert(chosen.end(), own.begin(), own.end());
    for (const auto* it : chosen)
        exchange_with(it->peer, make_comparison());
}

} // namespace shallotwood::process::sidecar
