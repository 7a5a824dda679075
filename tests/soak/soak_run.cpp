#include "soak/soak_run.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <unistd.h>

namespace shallotwood::soak
{

namespace
{

using connection::http::client_connection;
using connection::http::request_head;
using connection::http::response_head;
using process::duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

const std::array<std::string, 2> services{"a", "b"};
constexpr const char* workspace = "w";

// A workspace that sends more than its rate.
constexpr const char* busy_workspace = "busy";
constexpr const char* busy_key = "busy-key";
constexpr double busy_rate = 40;
constexpr double busy_burst = 40;

// What the platform tolerates above a rate.
constexpr double rate_excess = 0.1;
constexpr double rate_slack = 20;

// Keys that hold at the same time; the oldest one is withdrawn with each
// change of keys.
constexpr std::size_t keys_at_once = 3;

constexpr milliseconds send_period{10};

// Part of the requests that have a long body, which is sent in pieces and
// answered before it is whole.
constexpr double upload_share = 0.05;
constexpr std::size_t upload_piece_bytes = std::size_t{40} * 1024;
constexpr int upload_pieces = 6;
constexpr milliseconds upload_period{5};

// From this time after an evacuation, or after the last fault of the store, no
// request reaches a server of the domain. The platform allows 5 s.
constexpr duration evacuation_limit = seconds(3);

const std::array<std::string, 2> domains{"d0", "d1"};

// From this time after its start, a node knows whether its backend server has
// left. The platform allows 3 s.
constexpr duration settle_limit = milliseconds(3500);

// Requests that meet the new connections of a node in freeze_entry().
constexpr int bursts = 4;
constexpr int burst_requests = 8;

// Ends a run whose nodes do not come back; no check depends on a time.
constexpr duration recovery_limit = seconds(60);

std::string key_text(std::size_t n)
{
    return "key-" + std::to_string(n);
}

std::string host_of(const std::string& service, bool once)
{
    return service + (once ? "-once" : "-repeatable") + ".example";
}

Json::Value entry(const char* kind, const std::string& name)
{
    Json::Value it;
    it["entry_kind"] = kind;
    it["metadata"]["name"] = name;
    it["spec"] = Json::Value(Json::objectValue);
    return it;
}

Json::Value route(const std::string& service, bool once, int revision)
{
    auto it =
        entry("routes", host_of(service, once) + std::to_string(revision));
    auto& spec = it["spec"];
    spec["host"] = host_of(service, once);
    spec["path_prefix"] = "/r" + std::to_string(revision) + "/";
    spec["kind"] = once ? "non_idempotent" : "idempotent";
    spec["timeout_s"] = 4;
    spec["target_latency_s"] = 2;
    spec["service"] = service;
    spec["max_attempts"] = 2;
    return it;
}

Json::Value tenant(const char* name, double rate, double burst)
{
    auto it = entry("tenants", name);
    it["spec"]["rate_per_s"] = rate;
    it["spec"]["burst"] = burst;
    it["spec"]["api_keys"] = Json::Value(Json::arrayValue);
    return it;
}

const std::array<std::string, 4> odd_entries{
    std::string(100'000, '[') + std::string(100'000, ']'),
    R"({"metadata":"x","spec":{"port":70000}})",
    R"({"metadata":{"name":"x","rev":1e999},"spec":{"slots":-1e999}})",
    R"({"metadata":{"name":"x","rev":1},"spec":{"host":7,"port":99999999999}})"};

} // namespace

// One request on one connection, which goes back to its pool.
class soak_run::caller final : public connection::http::call_events,
                               public std::enable_shared_from_this<caller>
{
public:
    // `done` gets the status, or 0 if there was no whole answer.
    caller(soak_run& run, instance& at, std::string id,
           std::function<void(int status)> done)
        : run_(run), at_(at), id_(std::move(id)), done_(std::move(done))
    {
    }

    void send(const request_head& head, int upload_pieces_left)
    {
        run_.callers_.insert(shared_from_this());
        connection_ = at_.pool->take(seconds(4));
        connection::http::framing body;
        if (upload_pieces_left > 0)
            body = {connection::http::framing::kind::length,
                    upload_pieces_left * upload_piece_bytes};
        connection_->start_call(head, body, {}, {}, *this);
        send_piece(upload_pieces_left);
        run_.loop_.call_after(seconds(6), [weak = weak_from_this()] {
            if (auto it = weak.lock(); it && !it->ended_)
                it->leave();
        });
    }

    void on_response(response_head&& head,
                     const connection::http::message_info&) override
    {
        head_ = std::move(head);
    }
    void on_response_body(std::string_view bytes) override { body_ += bytes; }
    void on_response_end() override
    {
        bool marked = head_.headers.find("X-Server-Seal") != nullptr;
        run_.seen_.answered(id_, head_.status, body_, marked);
        at_.pool->give_back(connection_);
        end(head_.status);
    }
    void on_failure(const connection::http::call_failure&) override { end(0); }

    void leave()
    {
        connection_->close();
        end(0);
    }

private:
    void send_piece(int left)
    {
        if (left == 0 || ended_)
            return;
        connection_->send_body(std::string(upload_piece_bytes, 'u'), left == 1);
        run_.loop_.call_after(upload_period, [weak = weak_from_this(), left] {
            if (auto it = weak.lock())
                it->send_piece(left - 1);
        });
    }

    void end(int status)
    {
        auto self = shared_from_this();
        run_.callers_.erase(self);
        ended_ = true;
        done_(status);
    }

    soak_run& run_;
    instance& at_;
    std::string id_;
    std::function<void(int)> done_;
    std::shared_ptr<client_connection> connection_;
    bool ended_ = false;
    response_head head_;
    std::string body_;
};

soak_run::soak_run(const soak_settings& settings)
    : settings_(settings), random_(settings.seed), store_(loop_),
      store_line_(loop_, store_.address())
{
    auto pid = static_cast<unsigned>(::getpid());
    auto network = "127." + std::to_string(pid / 250 % 250 + 1) + '.' +
                   std::to_string(pid % 250 + 1) + '.';
    write_configuration();
    std::vector<process::peer_address> seeds;
    for (int n = 0; n < settings_.nodes; ++n) {
        auto it = std::make_unique<instance>();
        const auto& service = services.at(n % services.size());
        node_addresses at{network + std::to_string(n + 1)};
        it->backend = std::make_unique<soak_backend>(
            loop_, random_, seen_, service, at.announcements());
        // Each service has instances in both domains.
        it->domain = domains.at(n / services.size() % domains.size());
        it->backend->must_be_idle = [this, domain = it->domain] {
            return is_evacuated(domain);
        };
        it->node = std::make_unique<node_process>(
            settings_.program, settings_.directory, service, it->domain, at,
            it->backend->address(), store_line_.address(), seeds);
        it->line = std::make_unique<fault_proxy>(loop_, at.callers());
        it->pool = std::make_unique<connection::http::client_pool>(
            loop_, connection::http::client_options{});
        it->pool->set_address(it->line->address());
        it->backend->node_is_settled = [this, of = it.get()] {
            return is_up(*of) && loop_.now() - of->runs_since > settle_limit;
        };
        it->node->start();
        if (seeds.size() < 2)
            seeds.push_back(at.announcements());
        instances_.push_back(std::move(it));
    }
}

soak_run::~soak_run()
{
    auto waiting = callers_;
    for (const auto& it : waiting)
        it->leave();
    // A paused process can't be ended gracefully, and need not be.
    for (auto& it : instances_) {
        it->node->expect_end();
        it->node->signal(SIGKILL);
    }
}

// ---- configuration and requests ---------------------------------------------

// Each revision adds a route and keeps those of the last ones.
void soak_run::write_configuration()
{
    ++revision_;
    put_configuration();
}

void soak_run::put_configuration()
{
    Json::Value all;
    all["version"] = "r" + std::to_string(revision_);
    for (int n = 1; n <= revision_; ++n)
        for (const auto& service : services)
            for (bool once : {false, true})
                all["resources"].append(route(service, once, n));
    for (const auto& service : services) {
        auto it = entry("services", service);
        it["spec"]["cold_per_s"] = cold.rate;
        it["spec"]["warmup_s"] =
            std::chrono::duration<double>(cold.warmup).count();
        all["resources"].append(it);
    }
    auto usual = tenant(workspace, 10'000, 10'000);
    for (std::size_t n = 0; n < keys_at_once; ++n)
        usual["spec"]["api_keys"].append(key_text(first_key_ + n));
    all["resources"].append(usual);
    auto busy = tenant(busy_workspace, busy_rate, busy_burst);
    busy["spec"]["api_keys"].append(busy_key);
    all["resources"].append(busy);
    store_.put("config", "main", all);
}

void soak_run::send_requests()
{
    auto count = settings_.rate * std::chrono::duration<double>(send_period) /
                 seconds(1);
    auto key = key_text(first_key_ + keys_at_once - 1);
    for (int n = 0; n < static_cast<int>(count); ++n)
        send_one({workspace, key});
    send_one({busy_workspace, busy_key});
    if (playing_)
        loop_.call_after(send_period, [this] { send_requests(); });
}

void soak_run::send_one(const credentials& who)
{
    auto& at = *instances_[random_.below(instances_.size())];
    const auto& service = services.at(random_.below(services.size()));
    bool once = random_.below(2) == 0;
    auto revision = 1 + static_cast<int>(random_.below(revision_));
    request(at, service, once, revision, who);
}

std::shared_ptr<soak_run::outcome> soak_run::request(instance& at,
                                                     const std::string& service,
                                                     bool once, int revision,
                                                     const credentials& who)
{
    auto id = "s" + std::to_string(settings_.seed) + '-' +
              std::to_string(++last_request_);
    request_head head;
    bool is_upload = random_.unit() < upload_share;
    head.method = is_upload ? "POST" : once ? "DELETE" : "GET";
    head.target = "/r" + std::to_string(revision) + "/x?id=" + id;
    head.headers.add("Host", host_of(service, once));
    head.headers.add("X-Request-Id", id);
    head.headers.add("X-Request-Timeout-Ms", "4000");
    head.headers.add("Authorization", "Token " + who.key);
    seen_.sent({id, once, who.workspace, body_for(id)});
    auto result = std::make_shared<outcome>();
    auto done = [this, &at, result, revision, starts = at.starts,
                 served = at.served_revision](int status) {
        result->ended = true;
        result->status = status;
        if (at.starts != starts)
            return;
        // Routes are never taken away, so a process that served this one
        // before the request was sent has gone back.
        if (status == 404 && revision <= served)
            seen_.violation("went back to an older configuration: " +
                            at.node->at().host);
        if (status == 200)
            at.served_revision = std::max(at.served_revision, revision);
    };
    std::make_shared<caller>(*this, at, id, std::move(done))
        ->send(head, is_upload ? upload_pieces : 0);
    return result;
}

// ---- faults -----------------------------------------------------------------

void soak_run::later(duration delay, std::function<void()> task)
{
    loop_.call_after(delay, [this, task = std::move(task)] {
        if (playing_)
            task();
    });
}

void soak_run::note(const std::string& text)
{
    auto at = std::chrono::duration_cast<milliseconds>(
        settings_.length - (ends_at_ - loop_.now()));
    faults_.push_back(std::to_string(at.count()) + " ms: " + text);
}

duration soak_run::some_time(int least_ms, int most_ms)
{
    return milliseconds(least_ms +
                        static_cast<int>(random_.below(most_ms - least_ms)));
}

void soak_run::next_fault()
{
    later(some_time(100, 900), [this] {
        if (loop_.now() >= held_until_)
            start_fault();
        next_fault();
    });
}

void soak_run::start_fault()
{
    auto at = random_.below(instances_.size());
    switch (random_.below(8)) {
    case 0:
    case 1:
        node_fault(at);
        return;
    case 5:
        overlapping_freezes(at);
        return;
    case 6:
        restart_under_silent_store(at);
        return;
    case 2:
        backend_fault(at);
        return;
    case 3:
        store_fault();
        return;
    case 4:
        line_fault(at);
        return;
    default:
        note("configuration");
        if (random_.below(2) == 0)
            ++first_key_;
        write_configuration();
    }
}

void soak_run::node_fault(std::size_t at)
{
    auto& it = *instances_[at];
    auto name = it.node->at().host;
    if (!is_up(it))
        return;
    switch (random_.below(3)) {
    case 0:
        kill(it);
        break;
    case 1:
        note("terminate " + name);
        it.node->expect_end();
        it.node->signal(SIGTERM);
        break;
    default:
        pause(it);
        later(some_time(200, 3000), [this, &it] { wake(it); });
    }
}

bool soak_run::is_up(instance& it)
{
    return !it.paused && it.node->running();
}

void soak_run::kill(instance& it)
{
    note("kill " + it.node->at().host);
    it.node->expect_end();
    it.node->signal(SIGKILL);
}

void soak_run::pause(instance& it)
{
    note("pause " + it.node->at().host);
    it.paused = true;
    it.node->signal(SIGSTOP);
}

void soak_run::wake(instance& it)
{
    note("wake " + it.node->at().host);
    it.paused = false;
    it.runs_since = loop_.now();
    it.node->signal(SIGCONT);
}

leaving soak_run::some_leaving()
{
    constexpr std::array<leaving, 3> all{leaving::drains, leaving::deregisters,
                                         leaving::deregisters_unnamed};
    return all.at(random_.below(all.size()));
}

void soak_run::overlapping_freezes(std::size_t at)
{
    auto& entry = *instances_[at];
    auto& other = *instances_[(at + 1) % instances_.size()];
    if (!is_up(entry) || !is_up(other))
        return;
    hold_faults(seconds(1));
    // Its next process has no connections yet.
    kill(entry);
    pause(other);
    when_started(entry, entry.starts + 1,
                 [this, &entry, &other] { freeze_entry(entry, other); });
}

void soak_run::when_started(instance& it, int starts,
                            std::function<void()> task)
{
    if (it.starts >= starts)
        task();
    else
        later(milliseconds(5), [this, &it, starts, task = std::move(task)] {
            when_started(it, starts, task);
        });
}

// A node of the same domain, if there is one, which passes on what it hears.
soak_run::instance& soak_run::neighbour_of(const instance& entry,
                                           const instance& other)
{
    for (auto& it : instances_)
        if (it.get() != &entry && it.get() != &other &&
            it->domain == entry.domain)
            return *it;
    return *instances_.front();
}

void soak_run::freeze_entry(instance& entry, instance& other)
{
    // The first ones come before the node has a configuration.
    for (int n = 0; n < bursts; ++n)
        later(some_time(20, 90), [this, &entry, &other] {
            auto key = key_text(first_key_ + keys_at_once - 1);
            for (int sent = 0; sent < burst_requests; ++sent)
                request(entry, other.node->service(), true, revision_,
                        {workspace, key});
        });
    // The entry node reads the news of both when it wakes.
    auto leave = [this](instance& it) {
        it.backend->leave(some_leaving(), some_time(200, 6000));
        later(some_time(3000, 7000), [&it] { it.backend->start_anew(); });
    };
    auto& neighbour = neighbour_of(entry, other);
    constexpr milliseconds frozen{110};
    later(frozen, [this, &entry, &neighbour, leave] {
        if (is_up(entry))
            pause(entry);
        leave(neighbour);
    });
    auto woken = frozen + some_time(30, 60);
    later(woken, [this, &other] {
        if (other.paused)
            wake(other);
    });
    later(woken + some_time(10, 30), [&other, leave] { leave(other); });
    auto killed = woken + some_time(70, 140);
    if (random_.below(3) != 0)
        later(killed, [this, &other] {
            if (is_up(other))
                kill(other);
        });
    later(killed + some_time(10, 40), [this, &entry] {
        if (entry.paused)
            wake(entry);
    });
}

// Lets a series of faults take its course.
void soak_run::hold_faults(duration time)
{
    held_until_ = std::max(held_until_, loop_.now() + time);
}

void soak_run::restart_under_silent_store(std::size_t at)
{
    hold_faults(seconds(8));
    silence_store(some_time(2000, 4500));
    auto& leaves = *instances_[at];
    later(some_time(100, 400), [this, &leaves] {
        note("backend server leaves beside " + leaves.node->at().host);
        leaves.backend->leave(some_leaving(), some_time(1500, 4000));
    });
    // Without an answer of the store, it is acknowledged after 0.7 s.
    later(some_time(1200, 1600), [this] {
        auto spared = random_.below(2) == 0 ? instances_.size()
                                            : random_.below(instances_.size());
        for (std::size_t n = 0; n < instances_.size(); ++n)
            if (n != spared && is_up(*instances_[n]))
                kill(*instances_[n]);
    });
    later(some_time(8000, 9000), [&leaves] { leaves.backend->start_anew(); });
}

void soak_run::silence_store(duration time)
{
    note("store is silent");
    store_line_.set_line(line::silent);
    store_line_.silence_open();
    ++store_faults_;
    later(time, [this] {
        store_line_.set_line(line::clear);
        store_fault_ended();
    });
}

void soak_run::backend_fault(std::size_t at)
{
    auto& it = *instances_[at]->backend;
    auto name = instances_[at]->node->at().host;
    switch (random_.below(3)) {
    case 0:
        note("backend server ends beside " + name);
        if (!it.restart())
            it.crash();
        later(some_time(300, 2000), [&it] { it.restart(); });
        break;
    case 1:
        note("backend server leaves beside " + name);
        it.leave(some_leaving(), some_time(200, 6000));
        later(some_time(1000, 7000), [&it] { it.start_anew(); });
        break;
    default:
        note("backend server misbehaves beside " + name);
        it.bad = {0.15, 0.15, 0.1, 0.1, 0.2};
        later(some_time(500, 3000), [&it] { it.bad = {}; });
    }
}

void soak_run::store_fault()
{
    using fault = test::object_api::fault;
    constexpr std::array<fault, 4> kinds{fault::busy, fault::many, fault::reset,
                                         fault::answer_lost};
    switch (random_.below(6)) {
    case 0:
        note("store loses its history");
        store_.drop_history();
        return;
    case 1:
        note("store is restored from a copy soon");
        store_.take_copy();
        later(some_time(500, 4000), [this] {
            store_.restore();
            ++store_faults_;
            // The operator finds the loss and writes all objects again.
            later(some_time(100, 1000), [this] {
                put_configuration();
                put_evacuations();
                store_fault_ended();
            });
        });
        return;
    case 2:
        note("another writer leaves odd entries in the store");
        for (const auto* kind : {"config", "shallotwood-instances"})
            store_.put_text(kind,
                            odd_entries.at(random_.below(odd_entries.size())));
        return;
    case 3:
        silence_store(some_time(500, 3000));
        return;
    default:
        note("store fails");
        store_.now = kinds.at(random_.below(kinds.size()));
        ++store_faults_;
        later(some_time(500, 3000), [this] {
            store_.now = fault::none;
            store_fault_ended();
        });
    }
}

void soak_run::line_fault(std::size_t at)
{
    auto& of = *instances_[at];
    bool backend = random_.below(2) == 0;
    auto& it = backend ? of.backend->line() : *of.line;
    auto name = std::string(backend ? "backend server" : "callers") + " of " +
                of.node->at().host;
    switch (random_.below(4)) {
    case 0:
        note("reset the connections of " + name);
        it.reset_open();
        return;
    case 1:
        note("silence the open connections of " + name);
        it.silence_open();
        return;
    case 2:
        note("cut one way: " + name);
        it.set_line(line::one_way);
        break;
    default:
        note("delay: " + name);
        it.set_line(line::delayed);
    }
    later(some_time(300, 2000), [&it] { it.set_line(line::clear); });
}

void soak_run::store_fault_ended()
{
    --store_faults_;
    store_clear_since_ = loop_.now();
}

void soak_run::next_evacuation()
{
    later(some_time(50, 400), [this] {
        const auto& domain = domains.at(random_.below(domains.size()));
        note("evacuate " + domain);
        evacuations_[domain] = loop_.now();
        put_evacuations();
        later(some_time(4000, 7000), [this, domain] {
            note("restore " + domain);
            evacuations_.erase(domain);
            put_evacuations();
            next_evacuation();
        });
    });
}

void soak_run::put_evacuations()
{
    for (const auto& it : domains)
        if (evacuations_.count(it) != 0)
            store_.put("evacuations", it, Json::Value(Json::objectValue));
        else
            store_.remove("evacuations", it);
}

bool soak_run::is_evacuated(const std::string& domain) const
{
    auto it = evacuations_.find(domain);
    return it != evacuations_.end() && store_faults_ == 0 &&
           loop_.now() >
               std::max(it->second, store_clear_since_) + evacuation_limit;
}

// ---- the run ----------------------------------------------------------------

// As the platform does, starts a process again that has ended.
void soak_run::watch_processes()
{
    for (auto& it : instances_) {
        if (it->node->running())
            continue;
        if (it->node->ended_unexpectedly()) {
            seen_.violation("a node ended by itself: " + it->node->at().host);
            continue;
        }
        it->served_revision = 0;
        ++it->starts;
        it->runs_since = loop_.now();
        it->node->start();
    }
    loop_.call_after(milliseconds(200), [this] { watch_processes(); });
}

void soak_run::play()
{
    watch_processes();
    if (!wait_until([this] {
            return std::all_of(instances_.begin(), instances_.end(),
                               [this](auto& it) {
                                   return served(*it, services.front(), false,
                                                 first_key_ + keys_at_once - 1);
                               });
        })) {
        seen_.violation("the fleet does not start");
        return;
    }
    playing_ = true;
    auto started = loop_.now();
    ends_at_ = loop_.now() + settings_.length;
    next_fault();
    next_evacuation();
    send_requests();
    wait_until([this] { return loop_.now() > ends_at_; });
    playing_ = false;
    end_faults();
    check_service();
    check_rate(loop_.now() - started);
}

// Over the whole run: a pause of this process moves what it sees in time.
void soak_run::check_rate(duration elapsed)
{
    auto seconds = std::chrono::duration<double>(elapsed).count();
    auto most = (busy_rate * seconds + busy_burst) * (1 + rate_excess);
    if (auto runs = seen_.requests_run(busy_workspace);
        static_cast<double>(runs) > most + rate_slack)
        seen_.violation("above its rate: " + std::to_string(runs) + " in " +
                        std::to_string(seconds) + " s");
}

void soak_run::end_faults()
{
    store_.now = test::object_api::fault::none;
    store_line_.set_line(line::clear);
    evacuations_.clear();
    put_evacuations();
    for (auto& it : instances_) {
        it->paused = false;
        it->node->signal(SIGCONT);
        it->backend->bad = {};
        it->backend->start_anew();
        it->backend->line().set_line(line::clear);
        it->line->set_line(line::clear);
    }
}

// Everything is served again at every node, under the last configuration, and
// no withdrawn key is.
void soak_run::check_service()
{
    auto newest = first_key_ + keys_at_once - 1;
    for (auto& it : instances_)
        for (const auto& service : services)
            for (bool once : {false, true})
                if (!wait_until(
                        [&] { return served(*it, service, once, newest); }))
                    seen_.violation("not served again at " +
                                    it->node->at().host);
    for (auto& it : instances_)
        for (std::size_t key = 0; key < first_key_; ++key)
            if (served(*it, services.front(), false, key))
                seen_.violation("a withdrawn key is served at " +
                                it->node->at().host);
}

bool soak_run::served(instance& at, const std::string& service, bool once,
                      std::size_t key)
{
    auto result =
        request(at, service, once, revision_, {workspace, key_text(key)});
    wait_until([&] { return result->ended; });
    return result->status == 200;
}

bool soak_run::wait_until(const std::function<bool()>& done)
{
    auto limit = loop_.now() + recovery_limit;
    bool reached = false;
    // `done` may itself wait, so it is not called from within the loop.
    while (!(reached = done()) && loop_.now() < limit) {
        loop_.call_after(milliseconds(20), [this] { loop_.stop(); });
        loop_.run();
    }
    return reached;
}

} // namespace shallotwood::soak
