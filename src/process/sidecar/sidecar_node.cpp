#include "process/sidecar/sidecar_node.hpp"

#include "process/json_text.hpp"
#include "process/log.hpp"
#include "process/telemetry/decision_log.hpp"

#include <algorithm>
#include <sstream>

namespace shallotwood::process::sidecar
{

namespace
{

using connection::http::request_head;
using connection::http::response_head;
using telemetry::decision;

// News gathered before it is sent on.
constexpr duration news_delay = std::chrono::milliseconds(15);

// Nodes that the origin of news tells at once, and those that each further
// node tells. News reaches 29,000 nodes in about eight steps.
constexpr std::size_t origin_fan_out = 16;
constexpr std::size_t fan_out = 3;

// Views are compared with one other node at a time, to repair what was lost.
constexpr duration compare_period = std::chrono::seconds(1);

// Nodes that watch the store: enough that a store that turns a third of the
// nodes away still tells somebody, and one more for each so many nodes.
constexpr std::size_t least_watchers = 5;
constexpr std::size_t nodes_per_watcher = 200;

// For how long a node that the store did not answer is passed over.
constexpr duration store_lost_time = std::chrono::seconds(5);

// For a reply of another node.
constexpr duration message_limit = std::chrono::milliseconds(500);

// A request waits for its token this long.
constexpr duration token_limit = std::chrono::milliseconds(150);

// A list of instances is read again while no other node is known.
constexpr duration read_again_period = std::chrono::milliseconds(500);

// The platform looks once a second whether a node takes callers, and needs two
// misses; callers keep coming until then.
constexpr duration callers_leave_time = std::chrono::milliseconds(2300);

// Kept at the end of the shutdown for the last responses.
constexpr duration shutdown_margin = std::chrono::milliseconds(300);

constexpr duration load_log_period = std::chrono::seconds(1);

constexpr duration idle_check_period = std::chrono::milliseconds(50);

response_head plain(int status)
{
    response_head head;
    head.status = status;
    return head;
}

fleet::instance first_entry(const node_settings& from,
                            std::uint64_t incarnation)
{
    fleet::instance it;
    it.peer = from.peer_listen_address;
    it.failure_domain = from.failure_domain;
    it.incarnation = incarnation;
    it.service = from.service;
    return it;
}

retry::budget_settings budget_of(const node_settings& from)
{
    return {from.retry_ratio, from.retry_allowance, from.retry_window};
}

} // namespace

sidecar_node::sidecar_node(loop::reactor& loop, const dialect& words,
                           object_store& store, counters& counts,
                           object_names names, const node_settings& settings,
                           std::uint64_t incarnation, std::uint64_t seed)
    : loop_(loop), words_(words), store_(store), names_(std::move(names)),
      settings_(settings), random_(seed), counts_(counts),
      fleet_(first_entry(settings, incarnation)),
      placement_(loop, random_, fleet_, settings.failure_domain),
      retries_(loop, budget_of(settings)), home_(loop, settings.fleet_is_new),
      wallet_(loop, *this), cuts_(loop),
      backend_(settings.service, settings.backend_address),
      runner_(loop, words, counts_, backend_, cuts_),
      links_(loop, counts_, fleet_, placement_),
      peers_(
          loop, runner_,
          [this] {
              return peer_server::identity{fleet_.self().incarnation,
                                           feed_.revision()};
          },
          [this](std::string_view path, const std::string& body) {
              return take_message(path, body);
          },
          // The revision of a caller's policy is followed up by the exchange
          // of views, which names the node to ask.
          [](std::uint64_t) {}),
      feed_(
          store, words, counts_, names_.policy,
          [this](const std::string& name, auto done) {
              if (const auto* it = fleet_.find(name))
                  links_.call(it->peer, peer_path::policy, "{}", message_limit,
                              std::move(done));
              else
                  done(std::nullopt);
          },
          [this](const version::policy& it, policy_feed::origin from) {
              policy_adopted(it, from);
          }),
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
      metrics_(loop, [this](const connection_ptr& from, request_head&& head,
                            const connection::http::message_info&) {
          return metrics_request(from, head);
      })
{
    links_.on_revision([this](const std::string& name, std::uint64_t revision) {
        feed_.heard(name, revision);
    });
    feed_.on_store_state([this](bool lost) {
        auto self = fleet_.self().name();
        if (!lost) {
            store_lost_.erase(self);
            return;
        }
        store_lost_[self] = loop_.now() + store_lost_time;
        tell_some(origin_fan_out, fleet_message({}));
    });
    runner_.on_backend_lost([this] { backend_changed("unreachable"); });
}

sidecar_node::~sidecar_node()
{
    loop_.cancel(compare_timer_);
    loop_.cancel(load_timer_);
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
    set_node_count();
    feed_.set_watching(true);
    for (const auto& it : settings_.seeds)
        exchange_with({it.host, settings_.peer_listen_address.port},
                      fleet_message({fleet_.self().name()}));
    read_entries();
    compare_views();
    log_load();
    return {};
}

void sidecar_node::reload(const node_settings& settings)
{
    SHALLOTWOOD_LOG(info) << "event=reload" << field("node", settings.name);
    settings_.retry_ratio = settings.retry_ratio;
    settings_.retry_allowance = settings.retry_allowance;
    settings_.retry_window = settings.retry_window;
    settings_.shutdown_limit = settings.shutdown_limit;
    retries_.set_settings(budget_of(settings));
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

std::optional<load::shed_key>
sidecar_node::key_of_caller(const std::string& request_id,
                            const std::string& route)
{
    const auto* it = runner_.find_running(words_.parent_request(request_id));
    if (it == nullptr)
        return std::nullopt;
    cuts_.called(it->route, route);
    return it->key;
}

std::string sidecar_node::new_attempt_id()
{
    return fleet_.self().name() + '/' +
           std::to_string(fleet_.self().incarnation) + '/' +
           std::to_string(++last_attempt_);
}

const std::string& sidecar_node::choose_service(const version::route& route)
{
    if (route.services.size() == 1)
        return route.services.front().service;
    auto& it = splits_[route.name];
    if (it.shares != route.services) {
        it.shares = route.services;
        it.credit.assign(route.services.size(), 0);
        // Nodes must not start their rounds with the same service.
        for (auto& credit : it.credit)
            credit = random_.unit();
    }
    // Smooth weighted round robin: exact over any stretch of requests.
    double total = 0;
    std::size_t best = 0;
    for (std::size_t n = 0; n < it.shares.size(); ++n) {
        total += it.shares[n].weight;
        it.credit[n] += it.shares[n].weight;
        if (it.credit[n] > it.credit[best])
            best = n;
    }
    it.credit[best] -= total;
    return it.shares[best].service;
}

std::shared_ptr<request::run>
sidecar_node::start_run(const fleet::instance& at,
                        const request::run_request& what,
                        const std::shared_ptr<request::run_receiver>& receiver)
{
    if (at.name() == fleet_.self().name())
        return runner_.start(what, receiver);
    return links_.start(at, what, receiver);
}

// ---- rates ------------------------------------------------------------------

std::string sidecar_node::home_of(const std::string& workspace) const
{
    std::string home;
    std::uint64_t most = 0;
    for (const auto* it : fleet_.all()) {
        auto name = it->name();
        if (it->leaving || !links_.reachable(name))
            continue;
        auto weight = fleet::rendezvous_weight(workspace, name);
        if (home.empty() || weight > most) {
            home = name;
            most = weight;
        }
    }
    return home;
}

void sidecar_node::ask(const std::string& workspace, int wanted,
                       std::function<void(std::optional<rate::grant>)> reply)
{
    auto home = home_of(workspace);
    Json::Value message;
    message["workspace"] = workspace;
    message["wanted"] = wanted;
    auto parse = [reply = std::move(reply)](
                     const std::optional<std::string>& text) {
        auto json = text ? parse_json(*text) : std::nullopt;
        if (!json || !(*json)["tokens"].isInt()) {
            reply(std::nullopt);
            return;
        }
        rate::grant given;
        given.tokens = (*json)["tokens"].asInt();
        if ((*json)["retry_after_us"].isInt64())
            given.retry_after = duration((*json)["retry_after_us"].asInt64());
        reply(given);
    };
    if (home.empty() || home == fleet_.self().name()) {
        parse(take_message(peer_path::tokens, write_json(message)));
        return;
    }
    links_.call(fleet_.find(home)->peer, peer_path::tokens, write_json(message),
                token_limit, std::move(parse));
}

double sidecar_node::own_part() const
{
    return 1.0 / static_cast<double>(fleet_.size());
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
        if (body_.size() + bytes.size() <= max_settings_bytes)
            body_.append(bytes);
    }

    void on_body_end() override
    {
        auto it = node_.words_.read_backend_message(head_, body_);
        bool readable = !std::holds_alternative<unreadable>(it);
        node_.take_backend_message(it);
        auto head = plain(readable ? 200 : 400);
        head.headers.add("Content-Type", "application/json");
        from_->respond(std::move(head), "{}");
    }

    void on_left() override {}

private:
    sidecar_node& node_;
    connection_ptr from_;
    request_head head_;
    std::string body_;
};

sidecar_node::exchange_ptr
sidecar_node::announce_request(const connection_ptr& from, request_head&& head)
{
    return std::make_shared<backend_message_exchange>(*this, from,
                                                      std::move(head));
}

void sidecar_node::take_backend_message(const backend_message& it)
{
    if (const auto* bad = std::get_if<unreadable>(&it)) {
        ++counts_.at("announcements_unreadable");
        if (telemetry::allow(decision::state))
            SHALLOTWOOD_LOG(warning) << "event=announcement_unreadable"
                                     << field("error", bad->message);
        return;
    }
    auto effect = local_backend::effect::none;
    std::string_view cause = "announced";
    if (const auto* beat = std::get_if<announcement>(&it)) {
        effect = backend_.announced(*beat);
    } else {
        effect = backend_.departed(std::get<departure>(it));
        cause = "departed";
    }
    if (effect == local_backend::effect::stale)
        ++counts_.at("announcements_stale");
    else if (effect == local_backend::effect::changed)
        backend_changed(cause);
}

void sidecar_node::backend_changed(std::string_view cause)
{
    if (telemetry::allow(decision::state))
        SHALLOTWOOD_LOG(info)
            << "event=backend_changed" << field("backend", backend_.id())
            << field("state", fleet::name_of(backend_.state()))
            << field("takes_calls", backend_.takes_calls() ? 1 : 0)
            << field("slots", backend_.slots()) << field("cause", cause);
    runner_.backend_changed();
    publish();
}

void sidecar_node::publish()
{
    bool changed = fleet_.change_self([this](fleet::instance& it) {
        it.leaving = leaving_;
        it.service = backend_.service();
        it.backend_id = backend_.id();
        it.slots = backend_.slots();
        it.state = backend_.state();
        if (it.state == fleet::backend_state::ready && !backend_.takes_calls())
            it.state = fleet::backend_state::unknown;
    });
    if (!changed)
        return;
    spread(fleet_.self().name());
    // The store is for those that know nobody yet; what changes later reaches
    // the nodes from one another.
    if (!entry_written_ && backend_.takes_calls())
        write_entry();
}

void sidecar_node::write_entry()
{
    if (entry_writing_) {
        entry_changed_ = true;
        return;
    }
    entry_writing_ = true;
    entry_changed_ = false;
    store_.put(
        names_.instance_prefix + fleet_.self().name(),
        write_json(to_json(fleet_.self())), any_version,
        [this](const put_result& result) {
            entry_writing_ = false;
            entry_written_ = std::holds_alternative<std::uint64_t>(result);
            if (!entry_written_ || entry_changed_)
                loop_.call_after(read_again_period, [this] { write_entry(); });
        });
}

void sidecar_node::read_entries()
{
    store_.list_stale(names_.instance_prefix, [this](const list_result& it) {
        if (const auto* all = std::get_if<std::vector<stored_object>>(&it)) {
            Json::Value message = fleet_message({fleet_.self().name()});
            for (const auto& object : *all) {
                auto json = parse_json(object.value);
                auto entry =
                    json ? fleet::instance_from_json(*json) : std::nullopt;
                if (!entry)
                    continue;
                // A node at that address says more than its old entry.
                if (fleet_.learn(*entry) &&
                    entry->name() != fleet_.self().name())
                    exchange_with(entry->peer, message);
            }
            set_node_count();
        }
        if (fleet_.size() == 1)
            loop_.call_after(read_again_period, [this] { read_entries(); });
    });
}

// ---- other nodes ------------------------------------------------------------

std::vector<const fleet::instance*> sidecar_node::other_nodes() const
{
    auto all = fleet_.all();
    auto self = fleet_.self().name();
    all.erase(std::remove_if(all.begin(), all.end(),
                             [&](const fleet::instance* it) {
                                 return it->name() == self ||
                                        !links_.reachable(it->name());
                             }),
              all.end());
    return all;
}

void sidecar_node::spread(const std::string& name)
{
    news_.insert(name);
    if (news_planned_)
        return;
    news_planned_ = true;
    loop_.call_after(news_delay, [this] { send_news(); });
}

void sidecar_node::send_news()
{
    news_planned_ = false;
    auto names = std::move(news_);
    news_.clear();
    bool origin = names.count(fleet_.self().name()) != 0;
    tell_some(origin ? origin_fan_out : fan_out, fleet_message(names));
}

Json::Value
sidecar_node::fleet_message(const std::set<std::string>& names) const
{
    Json::Value message;
    message["from"] = to_json(fleet_.self());
    message["policy"] = Json::UInt64(feed_.revision());
    message["digest"] = Json::UInt64(fleet_.digest());
    auto lost = store_lost_.find(fleet_.self().name());
    message["store_lost"] =
        lost != store_lost_.end() && lost->second > loop_.now();
    message["entries"] = Json::Value(Json::arrayValue);
    for (const auto& name : names)
        if (const auto* it = fleet_.find(name))
            message["entries"].append(to_json(*it));
    return message;
}

void sidecar_node::exchange_with(const peer_address& to,
                                 const Json::Value& message)
{
    links_.call(to, peer_path::fleet, write_json(message), message_limit,
                [this](const std::optional<std::string>& reply) {
                    if (!reply)
                        return;
                    if (auto json = parse_json(*reply))
                        take_fleet(*json);
                });
}

Json::Value sidecar_node::take_fleet(const Json::Value& message)
{
    auto learn = [this](const Json::Value& from) {
        auto it = fleet::instance_from_json(from);
        if (!it || !fleet_.learn(*it))
            return;
        if (telemetry::allow(decision::state))
            SHALLOTWOOD_LOG(info)
                << "event=instance_learned" << field("instance", it->name())
                << field("service", it->service)
                << field("backend", it->backend_id)
                << field("state", fleet::name_of(it->state))
                << field("leaving", it->leaving ? 1 : 0)
                << field("incarnation", it->incarnation)
                << field("sequence", it->sequence);
        spread(it->name());
    };
    learn(message["from"]);
    for (const auto& it : message["entries"])
        learn(it);
    set_node_count();
    auto from = fleet::instance_from_json(message["from"]);
    if (from && message["store_lost"].isBool() &&
        message["store_lost"].asBool())
        store_lost_[from->name()] = loop_.now() + store_lost_time;
    if (from && message["policy"].isUInt64())
        feed_.heard(from->name(), message["policy"].asUInt64());
    bool differs = message["digest"].isUInt64() &&
                   message["digest"].asUInt64() != fleet_.digest();
    std::set<std::string> names;
    if (differs)
        for (const auto* it : fleet_.all())
            names.insert(it->name());
    return fleet_message(names);
}

std::string sidecar_node::take_message(std::string_view path,
                                       const std::string& body)
{
    if (path == peer_path::policy)
        return feed_.text();
    auto message = parse_json(body);
    if (!message || !message->isObject())
        return "{}";
    if (path == peer_path::fleet) {
        auto reply = take_fleet(*message);
        return write_json(reply);
    }
    if (path == peer_path::tokens && feed_.current()) {
        auto name = (*message)["workspace"];
        auto wanted = (*message)["wanted"];
        if (!name.isString() || !wanted.isInt())
            return "{}";
        const auto* of = feed_.current()->find_workspace(name.asString());
        if (of == nullptr)
            return "{}";
        double reserved = static_cast<double>(links_.unreachable()) /
                          static_cast<double>(fleet_.size());
        auto given = home_.take(of->name, {of->rate, of->burst}, reserved,
                                wanted.asInt());
        Json::Value reply;
        reply["tokens"] = given.tokens;
        reply["retry_after_us"] = Json::Int64(given.retry_after.count());
        return write_json(reply);
    }
    return "{}";
}

void sidecar_node::compare_views()
{
    choose_watchers();
    auto others = other_nodes();
    if (!others.empty()) {
        const auto* it = others[random_.below(others.size())];
        exchange_with(it->peer, fleet_message({}));
    }
    compare_timer_ =
        loop_.call_after(compare_period, [this] { compare_views(); });
}

// While something is refused, one line says how loaded the gate is.
void sidecar_node::log_load()
{
    auto refused = counts_.at("runs_refused");
    auto shed = counts_.at("calls_shed");
    if (refused + shed > refused_before_ + shed_before_) {
        auto load = runner_.load({});
        SHALLOTWOOD_LOG(info)
            << "event=load" << field("service", settings_.service)
            << field("running", load.running) << field("waiting", load.waiting)
            << field("limit", load.limit) << field("cut", load.cut)
            << field("service_us", load.service_time.count())
            << field("runs", counts_.at("runs_started"))
            << field("runs_refused", refused - refused_before_)
            << field("calls_shed", shed - shed_before_);
    }
    refused_before_ = refused;
    shed_before_ = shed;
    load_timer_ = loop_.call_after(load_log_period, [this] { log_load(); });
}

void sidecar_node::set_node_count()
{
    retries_.set_nodes(fleet_.size());
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
    tell_some(from == policy_feed::origin::store ? origin_fan_out : fan_out,
              fleet_message({}));
}

void sidecar_node::tell_some(std::size_t count, const Json::Value& message)
{
    auto to = other_nodes();
    std::shuffle(to.begin(), to.end(), random_.engine());
    to.resize(std::min(to.size(), count));
    for (const auto* it : to)
        exchange_with(it->peer, message);
}

// A few nodes watch the store for all. Which ones follows from what each node
// knows; that two nodes disagree for a moment only costs calls.
void sidecar_node::choose_watchers()
{
    if (!feed_.current()) {
        feed_.set_watching(true);
        return;
    }
    auto now = loop_.now();
    auto self = fleet_.self().name();
    auto own = fleet::rendezvous_weight(names_.policy, self);
    auto answered = [&](const std::string& name) {
        auto it = store_lost_.find(name);
        return it == store_lost_.end() || it->second < now;
    };
    std::size_t able = 0;
    std::size_t before = 0;
    std::size_t before_any = 0;
    for (const auto* it : fleet_.all()) {
        auto name = it->name();
        if (it->leaving || (name != self && !links_.reachable(name)))
            continue;
        bool first = fleet::rendezvous_weight(names_.policy, name) > own;
        before_any += first;
        able += answered(name);
        before += first && answered(name);
    }
    auto wanted = std::max(least_watchers, fleet_.size() / nodes_per_watcher);
    // While the store answers nobody, the first ones go on asking.
    bool on_duty =
        able == 0 ? before_any < wanted : answered(self) && before < wanted;
    feed_.set_watching(on_duty);
}

bool sidecar_node::ready() const
{
    return feed_.current() && !leaving_;
}

sidecar_node::exchange_ptr
sidecar_node::readiness_request(const connection_ptr& from,
                                const request_head& head)
{
    bool asked = words_.asks_readiness(head);
    from->respond(plain(!asked ? 404 : ready() ? 200 : 503), {});
    return nullptr;
}

sidecar_node::exchange_ptr
sidecar_node::metrics_request(const connection_ptr& from,
                              const request_head& head)
{
    if (head.target != "/metrics") {
        from->respond(plain(404), {});
        return nullptr;
    }
    auto load = runner_.load({});
    counts_.at("policy_revision") = feed_.revision();
    counts_.at("instances_known") = fleet_.size();
    counts_.at("peers_unreachable") = links_.unreachable();
    counts_.at("calls_in_flight") = calls_;
    counts_.at("runs_in_flight") = static_cast<std::uint64_t>(load.running);
    counts_.at("runs_waiting") = static_cast<std::uint64_t>(load.waiting);
    counts_.at("runs_limit") = static_cast<std::uint64_t>(load.limit);
    counts_.at("caller_connections") = callers_.connections();
    counts_.at("backend_connections_opened") = runner_.connections_opened();
    std::ostringstream out;
    out << counts_.text();
    for (double q : {0.5, 0.9, 0.99, 0.999})
        out << "shallotwood_call_seconds{quantile=\"" << q << "\"} "
            << std::chrono::duration<double>(latency_.quantile(q)).count()
            << '\n';
    out << "shallotwood_call_seconds_count " << latency_.count() << '\n';
    auto answer = plain(200);
    answer.headers.add("Content-Type", "text/plain; version=0.0.4");
    from->respond(std::move(answer), out.str());
    return nullptr;
}

void sidecar_node::shut_down(std::function<void()> done)
{
    if (leaving_)
        return;
    SHALLOTWOOD_LOG(info) << "event=leaving" << field("calls", calls_)
                          << field("runs", runner_.runs());
    leaving_ = true;
    leaving_since_ = loop_.now();
    shut_down_ = std::move(done);
    runner_.set_leaving();
    publish();
    end_if_idle();
}

void sidecar_node::end_if_idle()
{
    auto waited = loop_.now() - leaving_since_;
    if (waited > callers_leave_time && !callers_.draining())
        callers_.drain();
    bool idle = calls_ == 0 && runner_.runs() == 0 && callers_.draining();
    if (idle || waited > settings_.shutdown_limit - shutdown_margin) {
        SHALLOTWOOD_LOG(info) << "event=stop" << field("calls", calls_)
                              << field("runs", runner_.runs());
        shut_down_();
        return;
    }
    loop_.call_after(idle_check_period, [this] { end_if_idle(); });
}

} // namespace shallotwood::process::sidecar
