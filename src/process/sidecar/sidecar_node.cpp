#include "process/sidecar/sidecar_node.hpp"

#include "process/json_text.hpp"
#include "process/log.hpp"
#include "process/telemetry/decision_log.hpp"

#include <sstream>
#include <tuple>
#include <utility>

namespace shallotwood::process::sidecar
{

namespace
{

using connection::http::request_head;
using connection::http::response_head;
using telemetry::decision;

// Time limit for fetching the policy from another node.
constexpr duration policy_pull_timeout = std::chrono::milliseconds(500);

// How often the node checks its contact to other nodes and logs its load.
constexpr duration periodic_check_interval = std::chrono::seconds(1);

// How often the node logs its traffic with other failure domains.
constexpr duration traffic_log_interval = std::chrono::seconds(10);

// Time limit for the reply to a crash report.
constexpr duration crash_report_timeout = std::chrono::milliseconds(500);

// Largest number of requests in one crash report.
constexpr Json::ArrayIndex max_reported_suspects = 2000;

// Nodes that a restarted node asks for requests that crash backend servers.
constexpr std::size_t max_suspect_sources = 3;

// The platform probes readiness once a second and routes callers away after two
// failures; new callers keep arriving until then.
constexpr duration caller_drain_time = std::chrono::milliseconds(2300);

// How long a node that shuts down still accepts calls from other nodes.
// Attempts of usual length that start within it end at about the time when its
// own callers are drained. The backend server keeps running and would be idle
// otherwise.
constexpr duration peer_drain_time = std::chrono::milliseconds(1500);

// Time reserved at the end of the shutdown to send the last responses.
constexpr duration shutdown_margin = std::chrono::milliseconds(300);

// Calls that arrive after this part of the shutdown are refused; those that may
// come from the backend server, for a request that it is running, are accepted
// for longer.
constexpr double last_call_share = 0.5;
constexpr double last_child_call_share = 0.8;

// After this part of the shutdown a call is accepted only if its timeout ends
// before the process does. Earlier calls have more time than a usual call
// takes. No call is exempt for longer than max_exempt_time.
constexpr double exempt_call_share = 0.25;
constexpr double exempt_child_call_share = 0.5;
constexpr duration max_exempt_time = std::chrono::seconds(3);

// The platform takes an acknowledgement that comes within a second. Without an
// answer of the store, a departure is acknowledged after this time.
constexpr duration departure_write_limit = std::chrono::milliseconds(700);

// Without an answer of the store, a node that has started uses its backend
// server after this time.
constexpr duration former_read_limit = std::chrono::milliseconds(1500);

// Share of the retry budget for requests that a node sends to its own backend
// server again. It is small because entry nodes use three quarters of the
// ratio; a call that gets none of it goes back to its entry node, which may
// retry it.
constexpr double resend_share = 0.15;

constexpr duration idle_check_period = std::chrono::milliseconds(50);

response_head response_with_status(int status)
{
    response_head head;
    head.status = status;
    return head;
}

fleet::instance initial_entry(const node_settings& from,
                              std::uint64_t incarnation)
{
    fleet::instance it;
    it.peer = from.peer_listen_address;
    it.failure_domain = from.failure_domain;
    it.incarnation = incarnation;
    it.service = from.service;
    return it;
}

void set_cold_bound(local_executor& to, const node_settings& from)
{
    load::cold_bound it;
    if (!from.cold_excess && !from.cold_slack)
        return;
    it.excess = from.cold_excess.value_or(it.excess);
    it.slack = from.cold_slack.value_or(it.slack);
    to.set_cold_bound(it);
}

retry::budget_settings budget_of(const node_settings& from)
{
    return {from.success_retry_budget, from.retry_allowance, from.retry_window};
}

retry::budget_settings resend_budget_of(const node_settings& from)
{
    auto it = budget_of(from);
    it.ratio *= resend_share;
    it.allowance *= resend_share;
    return it;
}

} // namespace

sidecar_node::sidecar_node(loop::reactor& loop, const protocol_adapter& adapter,
                           object_store& store, counters& counts,
                           const object_names& names,
                           const node_settings& settings,
                           std::uint64_t incarnation, std::uint64_t seed)
    : loop_(loop), adapter_(adapter), settings_(settings),
      incarnation_(incarnation), process_started_(loop.now()), random_(seed),
      counts_(counts), fleet_(initial_entry(settings, incarnation)),
      isolation_detector_(loop, settings.isolation_limit),
      load_balancer_(loop, random_, fleet_, settings.failure_domain),
      split_(random_), retries_(loop, budget_of(settings)),
      shed_thresholds_(loop), suspects_(loop),
      backend_(settings.service, settings.backend_address),
      executor_(loop, adapter, counts_, backend_, shed_thresholds_, suspects_),
      traffic_(counts_, settings.failure_domain),
      links_(loop, counts_, fleet_, load_balancer_),
      peers_(
          loop, executor_,
          [this] {
              return peer_server::identity{fleet_.self().incarnation,
                                           feed_.revision()};
          },
          [this](std::string_view path, const std::string& body) {
              return handle_message(path, body);
          },
          // A newer policy revision is not fetched here: the fleet exchange
          // does that, because its messages name the node to ask.
          [this](std::uint64_t) { isolation_detector_.record_contact(); }),
      feed_(
          store, adapter, counts_, names.policy,
          [this](const std::string& name, auto done) {
              if (const auto* it = fleet_.find(name))
                  links_.call(it->peer, peer_path::policy, "{}",
                              policy_pull_timeout, std::move(done));
              else
                  done(std::nullopt);
          },
          [this](const version::policy& it, policy_feed::origin from) {
              policy_adopted(it, from);
          }),
      evacuations_(
          settings.evacuation_limit
              ? std::make_unique<evacuation_feed>(
                    evacuation_feed::dependencies{loop, store, fleet_, counts},
                    names.evacuation_prefix, *settings.evacuation_limit,
                    [this](const fleet::evacuation_change& change,
                           evacuation_feed::origin from) {
                        evacuations_changed(change, from);
                    },
                    [this] { exchange_.ask_for_evacuations(); })
              : nullptr),
      watcher_election_(
          loop, fleet_, names.policy,
          [this](const std::string& name) { return links_.reachable(name); }),
      store_watch_(
          {loop, fleet_, watcher_election_, links_, feed_, evacuations_.get()},
          [this] { return isolation_detector_.isolated(); }),
      probes_(loop, random_, fleet_, links_),
      token_buckets_(loop, settings.fleet_is_new),
      tokens_(
          fleet_, links_, probes_,
          [this](const std::string& workspace) {
              return rate_limit_of(workspace);
          },
          token_buckets_),
      token_cache_(loop, tokens_, counts),
      exchange_({loop, random_, store, fleet_, watcher_election_,
                 isolation_detector_, links_, feed_, evacuations_.get()},
                names.instance_prefix, [this] { apply_membership_change(); }),
      callers_(loop,
               [this](const connection_ptr& from, request_head&& head,
                      const connection::http::message_info& info) {
                   return caller_request(from, std::move(head), info);
               }),
      announcements_(loop,
                     [this](const connection_ptr& from, request_head&& head,
                            const connection::http::message_info&) {
                         return announce_request(from, std::move(head));
                     }),
      readiness_(loop,
                 [this](const connection_ptr& from, request_head&& head,
                        const connection::http::message_info&) {
                     return readiness_request(from, head);
                 }),
      metrics_(loop,
               [this](const connection_ptr& from, request_head&& head,
                      const connection::http::message_info&) {
                   return metrics_request(from, head);
               }),
      lease_(!settings.fleet_is_new, process_started_, incarnation)
{
    executor_.on_evacuation_check([this] { return may_serve(); });
    links_.on_revision([this](const std::string& name, std::uint64_t revision) {
        feed_.handle_peer_revision(name, revision);
    });
    exchange_.on_former([this](const fleet::instance& it) {
        if (backend_.adopt_former(it) == local_backend::effect::changed)
            backend_changed("former process");
    });
    exchange_.on_former_read([this] { handle_former_read("store"); });
    peers_.set_load_balancer(load_balancer_);
    links_.set_traffic(traffic_);
    peers_.set_traffic(traffic_);
    links_.on_liveness([this] { tokens_.owners_changed(); });
    probes_.on_refuted([this] { tokens_.owners_changed(); });
    executor_.on_backend_changed(
        [this](std::string_view cause) { backend_changed(cause); });
    executor_.on_cold_changed([this] { publish(); });
    set_cold_bound(executor_, settings);
    executor_.on_start_check(
        [this](duration remaining) { return may_start_attempt(remaining); });
    executor_.on_crash([this](const std::vector<load::fingerprint>& in_flight) {
        backend_crashed(in_flight);
    });
}

sidecar_node::~sidecar_node()
{
    loop_.cancel(periodic_check_timer_);
    loop_.cancel(former_read_timer_);
    loop_.cancel(lease_timer_);
    // Calls in flight hold connections and call back into the members, so they
    // are ended before any member is destroyed.
    callers_.close();
    links_.close();
    peers_.close();
}

std::string sidecar_node::start()
{
    auto limits = callers_.limits();
    limits.connections = settings_.max_connections;
    callers_.set_limits(limits);
    std::string message = peers_.listen(settings_.peer_listen_address);
    if (message.empty())
        message = callers_.listen(settings_.caller_address);
    if (message.empty())
        message = announcements_.listen(settings_.announce_address);
    if (message.empty())
        message = readiness_.listen(settings_.readiness_address);
    if (message.empty())
        message = metrics_.listen(settings_.metrics_address);
    if (!message.empty())
        return message;
    SHALLOTWOOD_LOG(info) << "event=start" << field("node", settings_.name)
                          << field("service", settings_.service)
                          << field("domain", settings_.failure_domain)
                          << field("incarnation", fleet_.self().incarnation);
    apply_membership_change();
    traffic_logged_at_ = loop_.now();
    load_balancer_.set_placement_by_cost(settings_.placement_by_cost);
    store_watch_.start();
    former_read_timer_ = loop_.call_after(
        former_read_limit, [this] { handle_former_read("no-answer"); });
    exchange_.start(settings_.seeds, settings_.fleet_is_new);
    run_periodic_checks();
    return {};
}

void sidecar_node::reload(const node_settings& settings)
{
    SHALLOTWOOD_LOG(info) << "event=reload" << field("node", settings.name);
    settings_.success_retry_budget = settings.success_retry_budget;
    settings_.retry_allowance = settings.retry_allowance;
    settings_.retry_window = settings.retry_window;
    settings_.shutdown_limit = settings.shutdown_limit;
    settings_.isolation_limit = settings.isolation_limit;
    isolation_detector_.set_limit(settings.isolation_limit);
    retries_.set_settings(budget_of(settings));
    set_cold_bound(executor_, settings);
    executor_.set_resend_budget(resend_budget_of(settings), fleet_.size());
}

// ---- callers ----------------------------------------------------------------

sidecar_node::exchange_ptr
sidecar_node::caller_request(const connection_ptr& from, request_head&& head,
                             const connection::http::message_info& info)
{
    ++calls_;
    request::entry_services& services = *this;
    auto call = std::make_shared<request::entry_call>(services, from);
    call->begin(std::move(head), info);
    return call;
}

bool sidecar_node::accepts_call(bool may_be_child, duration timeout)
{
    if (!leaving_)
        return true;
    auto share = may_be_child ? last_child_call_share : last_call_share;
    auto exempt = may_be_child ? exempt_child_call_share : exempt_call_share;
    return loop_.now() < shutdown_time(share) &&
           !is_cut_short(timeout, shutdown_time(exempt));
}

bool sidecar_node::may_start_attempt(duration remaining)
{
    return !is_cut_short(remaining, shutdown_time(exempt_child_call_share));
}

// Whether a call with this much time left, which is not exempt, may still be
// running when the process ends.
bool sidecar_node::is_cut_short(duration remaining,
                                time_point exempt_until) const
{
    auto last_exempt = std::min(exempt_until, leaving_since_ + max_exempt_time);
    return leaving_ && loop_.now() >= last_exempt &&
           loop_.now() + remaining >
               leaving_since_ + settings_.shutdown_limit - shutdown_margin;
}

// The time at which this share of the shutdown has passed.
time_point sidecar_node::shutdown_time(double share) const
{
    std::chrono::duration<double> limit = settings_.shutdown_limit;
    return leaving_since_ + std::chrono::duration_cast<duration>(limit * share);
}

std::optional<request::parent_call>
sidecar_node::parent_of(const std::string& request_id, const std::string& route)
{
    const auto* it =
        executor_.find_running(adapter_.parent_request(request_id));
    if (it == nullptr)
        return std::nullopt;
    shed_thresholds_.record_call(it->route, route);
    return request::parent_call{it->key, it->is_retry};
}

std::string sidecar_node::new_attempt_id()
{
    return fleet_.self().name() + '/' +
           std::to_string(fleet_.self().incarnation) + '/' +
           std::to_string(++last_attempt_);
}

std::shared_ptr<request::attempt> sidecar_node::start_attempt(
    const fleet::instance& at, const request::attempt_request& what,
    const std::shared_ptr<request::attempt_receiver>& receiver)
{
    traffic_.attempt_started(at.failure_domain);
    if (at.name() == fleet_.self().name())
        return executor_.start(what, receiver);
    return links_.start(at, what, receiver);
}

// ---- the backend server -----------------------------------------------------

class sidecar_node::backend_message_exchange final
    : public connection::http::exchange
{
public:
    backend_message_exchange(sidecar_node& node, connection_ptr from,
                             request_head head)
        : node_(node), from_(std::move(from)), head_(std::move(head))
    {
    }

    void on_body(std::string_view bytes) override
    {
        too_large_ =
            too_large_ || body_.size() + bytes.size() > max_settings_bytes;
        if (!too_large_)
            body_.append(bytes);
    }

    void on_body_end() override
    {
        auto it = too_large_
                      ? backend_message(malformed_message{"too large"})
                      : node_.adapter_.read_backend_message(head_, body_);
        if (std::holds_alternative<malformed_message>(it)) {
            node_.handle_backend_message(it);
            respond(*from_, 400);
            return;
        }
        node_.acknowledge(it, [from = from_] { respond(*from, 200); });
    }

    void on_left() override {}

private:
    static void respond(connection::http::server_connection& to, int status)
    {
        auto head = response_with_status(status);
        head.headers.add("Content-Type", "application/json");
        to.respond(std::move(head), "{}");
    }

    sidecar_node& node_;
    connection_ptr from_;
    request_head head_;
    std::string body_;
    bool too_large_ = false;
};

sidecar_node::exchange_ptr
sidecar_node::announce_request(const connection_ptr& from, request_head&& head)
{
    return std::make_shared<backend_message_exchange>(*this, from,
                                                      std::move(head));
}

// An acknowledged departure must outlast all processes of the fleet, so it is
// in the store before. While the store does not answer, the other nodes have to
// keep it.
void sidecar_node::acknowledge(const backend_message& it,
                               std::function<void()> done)
{
    const auto* beat = std::get_if<announcement>(&it);
    if (beat != nullptr && !beat->draining && !former_read_) {
        // Kept until it is known whether the backend server had left.
        auto order = [](const announcement& of) {
            return std::tie(of.started_at_ms, of.sequence);
        };
        if (!first_announcement_ || order(*first_announcement_) < order(*beat))
            first_announcement_ = *beat;
        done();
        return;
    }
    handle_backend_message(it);
    if (beat != nullptr && !beat->draining) {
        done();
        return;
    }
    exchange_.when_written(
        departure_write_limit, [this, done = std::move(done)](bool written) {
            if (!written) {
                ++counts_.at("departures_not_stored");
                if (telemetry::allow(decision::state))
                    SHALLOTWOOD_LOG(warning)
                        << "event=departure_not_stored"
                        << field("backend", backend_.id())
                        << field("state", fleet::name_of(backend_.state()));
            }
            done();
        });
}

void sidecar_node::handle_former_read(std::string_view cause)
{
    if (former_read_)
        return;
    former_read_ = true;
    loop_.cancel(former_read_timer_);
    if (telemetry::allow(decision::state))
        SHALLOTWOOD_LOG(info)
            << "event=former_read" << field("cause", cause)
            << field("backend", backend_.id())
            << field("state", fleet::name_of(backend_.state()));
    if (auto it = std::exchange(first_announcement_, std::nullopt))
        handle_backend_message(*it);
}

void sidecar_node::handle_backend_message(const backend_message& it)
{
    if (const auto* bad = std::get_if<malformed_message>(&it)) {
        ++counts_.at("announcements_unreadable");
        if (telemetry::allow(decision::state))
            SHALLOTWOOD_LOG(warning) << "event=announcement_unreadable"
                                     << field("error", bad->message);
        return;
    }
    auto effect = local_backend::effect::none;
    std::string_view cause = "announced";
    if (const auto* beat = std::get_if<announcement>(&it)) {
        if (backend_.indicates_crash(*beat))
            executor_.handle_backend_crash();
        effect = backend_.handle_announcement(*beat);
        // First, so that the calls that wait start at the cold server's rate.
        if (effect != local_backend::effect::stale) {
            if (renew_lease() == local_backend::effect::changed)
                effect = local_backend::effect::changed;
            apply_cold_policy();
            executor_.handle_announcement(*beat, started_in_traffic(*beat));
        }
    } else {
        auto leaves = std::get<departure>(it);
        leaves.arrived_at_ms = wall_clock_ms();
        effect = backend_.handle_departure(leaves);
        cause = "departed";
    }
    if (effect == local_backend::effect::stale)
        ++counts_.at("announcements_stale");
    else if (effect == local_backend::effect::changed)
        backend_changed(cause);
}

local_backend::effect sidecar_node::renew_lease()
{
    loop_.cancel(lease_timer_);
    auto now = loop_.now();
    auto until = lease_.expires_at(backend_.started_at_ms(),
                                   backend_.announcements(), now);
    if (until && *until > now)
        lease_timer_ =
            loop_.call_after(*until - now, [this] { lease_expired(); });
    return backend_.set_confirmed(!until || *until > now);
}

void sidecar_node::lease_expired()
{
    if (backend_.set_confirmed(false) == local_backend::effect::changed) {
        ++counts_.at("backend_unconfirmed");
        backend_changed("unconfirmed");
    }
}

// Not affected by steps of the clock after the start of this process.
std::uint64_t sidecar_node::wall_clock_ms() const
{
    auto running = loop_.now() - process_started_;
    return incarnation_ +
           static_cast<std::uint64_t>(
               std::chrono::duration_cast<std::chrono::milliseconds>(running)
                   .count());
}

bool sidecar_node::started_in_traffic(const announcement& it) const
{
    return it.started_at_ms > incarnation_ && !settings_.fleet_is_new;
}

// Without a policy, nothing is known of the service.
void sidecar_node::apply_cold_policy()
{
    auto current = feed_.current();
    if (!current)
        return;
    const auto* it = current->find_service(backend_.service());
    executor_.set_cold_policy(
        it == nullptr ? load::cold_policy{}
                      : load::cold_policy{it->cold_rate, it->warmup});
}

void sidecar_node::backend_changed(std::string_view cause)
{
    if (telemetry::allow(decision::state))
        SHALLOTWOOD_LOG(info)
            << "event=backend_changed" << field("backend", backend_.id())
            << field("state", fleet::name_of(backend_.state()))
            << field("takes_calls", backend_.takes_calls() ? 1 : 0)
            << field("slots", backend_.slots()) << field("cause", cause);
    executor_.backend_changed();
    publish();
}

void sidecar_node::publish()
{
    bool changed = fleet_.update_self([this](fleet::instance& it) {
        it.leaving = left_fleet_;
        it.service = backend_.service();
        it.backend_id = backend_.id();
        it.backend_started_at_ms = backend_.started_at_ms();
        it.slots = backend_.slots();
        it.state = backend_.state();
        it.cold_rate = executor_.cold().published_rate();
        if (it.state == fleet::backend_state::ready && !backend_.takes_calls())
            it.state = fleet::backend_state::unknown;
    });
    if (!changed)
        return;
    exchange_.publish_own_entry();
    // Later changes are spread between the nodes. The store serves nodes that
    // know no other node yet, and later processes of this node, which must know
    // of a departure.
    std::uint64_t departed = backend_.has_left() ? backend_.key() : 0;
    bool needs_write = backend_.takes_calls() || departed != 0;
    if (needs_write && departed != stored_departure_) {
        stored_departure_ = departed;
        exchange_.rewrite_entry();
    } else if (needs_write) {
        exchange_.write_entry();
    }
}

void sidecar_node::backend_crashed(
    const std::vector<load::fingerprint>& in_flight)
{
    auto crash = fleet_.self().name() + '/' +
                 std::to_string(fleet_.self().incarnation) + '/' +
                 std::to_string(++last_crash_);
    ++counts_.at("backend_crashes");
    if (telemetry::allow(decision::state))
        SHALLOTWOOD_LOG(warning)
            << "event=backend_crashed" << field("crash", crash)
            << field("backend", backend_.id())
            << field("suspects", in_flight.size());
    if (in_flight.empty())
        return;
    Json::Value message;
    message["crash"] = crash;
    for (auto it : in_flight)
        if (message["suspects"].size() < max_reported_suspects)
            message["suspects"].append(Json::UInt64(it));
    handle_crash_report(message);
    for (const auto& [name, it] : fleet_.instances_of(backend_.service()))
        if (it != &fleet_.self() && links_.reachable(*name))
            links_.call(it->peer, peer_path::crash, write_json(message),
                        crash_report_timeout,
                        [](const std::optional<std::string>&) {});
}

void sidecar_node::handle_crash_report(const Json::Value& message)
{
    const auto& all = message["suspects"];
    if (!message["crash"].isString() || !all.isArray() ||
        all.size() > max_reported_suspects)
        return;
    std::vector<load::fingerprint> in_flight;
    for (const auto& it : all)
        if (it.isUInt64())
            in_flight.push_back(it.asUInt64());
    suspects_.record_crash(message["crash"].asString(), in_flight);
}

std::string sidecar_node::suspects_reply() const
{
    Json::Value reply;
    reply["crashes"] = Json::Value(Json::arrayValue);
    for (const auto& [crash, suspects] :
         suspects_.crashes(max_reported_suspects)) {
        Json::Value it;
        it["crash"] = crash;
        for (auto one : suspects)
            it["suspects"].append(Json::UInt64(one));
        reply["crashes"].append(it);
    }
    return write_json(reply);
}

void sidecar_node::ask_for_suspects()
{
    if (settings_.fleet_is_new)
        return;
    for (const auto& [name, it] : fleet_.instances_of(settings_.service)) {
        if (suspects_asked_.size() >= max_suspect_sources)
            return;
        if (it == &fleet_.self() || !suspects_asked_.insert(*name).second)
            continue;
        links_.call(it->peer, peer_path::crash, R"({"ask":true})",
                    crash_report_timeout,
                    [this](const std::optional<std::string>& reply) {
                        auto told = parse_json(reply.value_or("{}"));
                        if (!told || !told->isObject())
                            return;
                        for (const auto& one : (*told)["crashes"])
                            if (one.isObject())
                                handle_crash_report(one);
                    });
    }
}

// ---- other nodes ------------------------------------------------------------

std::string sidecar_node::handle_message(std::string_view path,
                                         const std::string& body)
{
    isolation_detector_.record_contact();
    if (path == peer_path::policy)
        return feed_.text();
    auto message = parse_json(body);
    if (!message || !message->isObject())
        return "{}";
    if (path == peer_path::fleet)
        return exchange_.handle_message(*message);
    if (path == peer_path::watch)
        store_watch_.handle_message(*message);
    if (path == peer_path::tokens)
        return write_json(tokens_.handle_message(*message));
    if (path == peer_path::probe)
        return write_json(probes_.handle_message(*message));
    if (path == peer_path::crash && (*message)["ask"].isBool())
        return suspects_reply();
    if (path == peer_path::crash)
        handle_crash_report(*message);
    return "{}";
}

// Checks the contact to other nodes and to the store, and logs the load.
void sidecar_node::run_periodic_checks()
{
    bool alone = true;
    for (const auto* it : fleet_.all())
        alone &= it->leaving || it->name() == fleet_.self().name();
    // A node that knows no other node can't be isolated.
    if (alone || feed_.store_answers())
        isolation_detector_.record_contact();
    if (isolation_detector_.isolated() != isolated_) {
        isolated_ = !isolated_;
        SHALLOTWOOD_LOG(warning)
            << "event=" << (isolated_ ? "isolated" : "contact_regained")
            << field("silence_us",
                     isolation_detector_.time_since_contact().count())
            << field("policy", feed_.revision())
            << field("unreachable", links_.unreachable());
    }
    if (is_partitioned() != partitioned_) {
        partitioned_ = !partitioned_;
        SHALLOTWOOD_LOG(warning)
            << "event=" << (partitioned_ ? "cut_off" : "links_regained")
            << field("unreachable", links_.unreachable())
            << field("ready", ready() ? 1 : 0);
    }
    if (evacuations_)
        evacuations_->check_domains();
    log_load();
    log_traffic();
    periodic_check_timer_ = loop_.call_after(periodic_check_interval,
                                             [this] { run_periodic_checks(); });
}

// Logs the load if anything was refused or shed since the last check.
void sidecar_node::log_load()
{
    auto refused = counts_.at("runs_refused");
    auto shed = counts_.at("calls_shed");
    if (refused + shed > last_logged_refused_ + last_logged_shed_) {
        auto load = executor_.load({});
        SHALLOTWOOD_LOG(info)
            << "event=load" << field("service", settings_.service)
            << field("running", load.running) << field("waiting", load.waiting)
            << field("limit", load.limit) << field("cut", load.shed_threshold)
            << field("service_us", load.service_time.count())
            << field("runs", counts_.at("runs_started"))
            << field("runs_refused", refused - last_logged_refused_)
            << field("calls_shed", shed - last_logged_shed_);
    }
    last_logged_refused_ = refused;
    last_logged_shed_ = shed;
}

void sidecar_node::log_traffic()
{
    auto now = loop_.now();
    if (now - traffic_logged_at_ < traffic_log_interval)
        return;
    traffic_logged_at_ = now;
    traffic_.log();
    executor_.log_costs();
    const auto& crossing = load_balancer_.crossing();
    for (const auto& domain : crossing.domains())
        SHALLOTWOOD_LOG(info)
            << "event=domain_distance" << field("domain", domain)
            << field("round_trip_us", crossing.round_trip(domain).count())
            << field("cost", crossing.to(domain));
}

void sidecar_node::apply_membership_change()
{
    if (membership_ == fleet_.membership())
        return;
    membership_ = fleet_.membership();
    retries_.set_nodes(fleet_.size());
    executor_.set_resend_budget(resend_budget_of(settings_), fleet_.size());
    tokens_.owners_changed();
    ask_for_suspects();
}

// ---- policy, readiness, metrics, shutdown -----------------------------------

void sidecar_node::policy_adopted(const version::policy& it,
                                  policy_feed::origin from)
{
    auto limits = callers_.limits();
    limits.message = {it.limits().header_bytes, it.limits().body_bytes};
    limits.head_time = it.limits().header_time;
    limits.idle_time = it.limits().idle_time;
    callers_.set_limits(limits);
    apply_cold_policy();
    exchange_.announce_policy(from);
    if (evacuations_ && !policy_arrived_)
        evacuations_->handle_first_policy();
    policy_arrived_ = true;
}

void sidecar_node::evacuations_changed(const fleet::evacuation_change& change,
                                       evacuation_feed::origin from)
{
    // The load balancer first: calls that the executor refuses now are sent to
    // other instances.
    load_balancer_.set_evacuated(evacuations_->current()->domains());
    executor_.set_evacuated(evacuations_->contains(settings_.failure_domain));
    if (!change.empty())
        exchange_.announce_evacuations(from == evacuation_feed::origin::store);
}

bool sidecar_node::ready()
{
    return feed_.current() && may_serve() && !leaving_ && !is_partitioned();
}

std::optional<rate::rate_limit>
sidecar_node::rate_limit_of(const std::string& workspace) const
{
    auto current = feed_.current();
    const auto* it = current ? current->find_workspace(workspace) : nullptr;
    if (it == nullptr)
        return std::nullopt;
    return rate::rate_limit{it->rate, it->burst};
}

sidecar_node::exchange_ptr
sidecar_node::readiness_request(const connection_ptr& from,
                                const request_head& head)
{
    bool asked = adapter_.is_readiness_request(head);
    from->respond(response_with_status(!asked ? 404 : ready() ? 200 : 503), {});
    return nullptr;
}

sidecar_node::exchange_ptr
sidecar_node::metrics_request(const connection_ptr& from,
                              const request_head& head)
{
    if (head.target != "/metrics") {
        from->respond(response_with_status(404), {});
        return nullptr;
    }
    auto load = executor_.load({});
    counts_.at("policy_revision") = feed_.revision();
    if (evacuations_)
        counts_.at("domains_evacuated") =
            evacuations_->current() ? evacuations_->current()->domains().size()
                                    : 0;
    counts_.at("store_watching") = feed_.watching() ? 1 : 0;
    counts_.at("instances_known") = fleet_.size();
    counts_.at("peers_unreachable") = links_.unreachable();
    counts_.at("calls_in_flight") = calls_;
    counts_.at("runs_in_flight") = static_cast<std::uint64_t>(load.running);
    counts_.at("runs_waiting") = static_cast<std::uint64_t>(load.waiting);
    counts_.at("runs_limit") = static_cast<std::uint64_t>(load.limit);
    auto in_ms = [](duration it) {
        return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(it).count());
    };
    const auto& costs = executor_.costs().totals();
    counts_.at("cost_predictions") = costs.compared;
    counts_.at("cost_error_ms", "predictor=\"estimate\"") =
        in_ms(costs.by_estimate);
    counts_.at("cost_error_ms", "predictor=\"mean\"") = in_ms(costs.by_mean);
    counts_.at("backend_work_left_ms") = in_ms(executor_.work_left());
    counts_.at("backend_cold_ms") = in_ms(executor_.cold().left());
    counts_.at("caller_connections") = callers_.connections();
    counts_.at("backend_connections_opened") = executor_.connections_opened();
    std::ostringstream out;
    out << counts_.text();
    for (double q : {0.5, 0.9, 0.99, 0.999})
        out << "shallotwood_call_seconds{quantile=\"" << q << "\"} "
            << std::chrono::duration<double>(latency_.quantile(q)).count()
            << '\n';
    out << "shallotwood_call_seconds_count " << latency_.count() << '\n';
    auto answer = response_with_status(200);
    answer.headers.add("Content-Type", "text/plain; version=0.0.4");
    from->respond(std::move(answer), out.str());
    return nullptr;
}

void sidecar_node::shut_down(std::function<void()> done)
{
    if (leaving_)
        return;
    SHALLOTWOOD_LOG(info) << "event=leaving" << field("calls", calls_)
                          << field("runs", executor_.running_attempts());
    leaving_ = true;
    leaving_since_ = loop_.now();
    shutdown_done_ = std::move(done);
    stop_if_idle();
}

void sidecar_node::leave_fleet()
{
    SHALLOTWOOD_LOG(info) << "event=left_fleet" << field("calls", calls_)
                          << field("runs", executor_.running_attempts());
    left_fleet_ = true;
    executor_.set_leaving();
    publish();
}

void sidecar_node::stop_if_idle()
{
    auto waited = loop_.now() - leaving_since_;
    if (waited > peer_drain_time && !left_fleet_)
        leave_fleet();
    if (waited > caller_drain_time && !callers_.draining())
        callers_.drain();
    bool idle = calls_ == 0 && executor_.running_attempts() == 0 &&
                callers_.draining() && !callers_.has_unsent() &&
                peers_.is_idle();
    if (idle || waited > settings_.shutdown_limit - shutdown_margin) {
        traffic_.log();
        SHALLOTWOOD_LOG(info) << "event=stop" << field("calls", calls_)
                              << field("runs", executor_.running_attempts());
        shutdown_done_();
        return;
    }
    loop_.call_after(idle_check_period, [this] { stop_if_idle(); });
}

} // namespace shallotwood::process::sidecar
