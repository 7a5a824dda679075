#include "process/sidecar/store_watch.hpp"

#include "process/json_text.hpp"
#include "process/log.hpp"
#include "process/sidecar/peer_codec.hpp"
#include "process/telemetry/decision_log.hpp"

#include <utility>

namespace shallotwood::process::sidecar
{

namespace
{

using telemetry::decision;

// Interval at which a watcher reports, and at which the election is held. A
// report that is lost does not make the watcher silent.
constexpr duration check_interval = std::chrono::milliseconds(400);

// Time limit for the reply of another node.
constexpr duration message_timeout = std::chrono::milliseconds(500);

} // namespace

store_watch::store_watch(const dependencies& with,
                         std::function<bool()> isolated)
    : dependencies_(with), isolated_(std::move(isolated))
{
    dependencies_.feed.on_store_state(
        [this](bool lost) { handle_store_state(lost); });
}

store_watch::~store_watch()
{
    dependencies_.loop.cancel(check_timer_);
    dependencies_.feed.on_store_state({});
}

void store_watch::set_watching(bool watch)
{
    dependencies_.feed.set_watching(watch);
    if (auto* it = dependencies_.evacuations)
        it->set_watching(watch);
}

void store_watch::start()
{
    set_watching(true);
    run_check();
}

void store_watch::run_check()
{
    update();
    report();
    check_timer_ =
        dependencies_.loop.call_after(check_interval, [this] { run_check(); });
}

void store_watch::update()
{
    auto& feed = dependencies_.feed;
    auto election = dependencies_.election.elect();
    bool isolated = isolated_();
    const auto* evacuations = dependencies_.evacuations;
    bool starting = !feed.current() ||
                    (evacuations != nullptr && evacuations->is_awaited());
    bool watch = starting || isolated || election.chosen;
    if (watch == feed.watching())
        return;
    if (telemetry::allow(decision::state))
        SHALLOTWOOD_LOG(info)
            << "event=" << (watch ? "watch_started" : "watch_stopped")
            << field("ahead", election.ahead)
            << field("skipped", election.skipped)
            << field("wanted", election.wanted)
            << field("policy", feed.revision())
            << field("isolated", isolated ? 1 : 0);
    set_watching(watch);
}

void store_watch::report()
{
    if (!dependencies_.feed.watching() || !dependencies_.feed.store_answers())
        return;
    Json::Value message;
    message["from"] = dependencies_.fleet.self().name();
    message["store_answers"] = true;
    send_to_candidates(message);
}

void store_watch::handle_store_state(bool lost)
{
    auto self = dependencies_.fleet.self().name();
    if (!lost) {
        dependencies_.election.store_reachable(self);
        report();
        return;
    }
    dependencies_.election.store_unreachable(self);
    Json::Value message;
    message["from"] = self;
    message["store_answers"] = false;
    send_to_candidates(message);
}

void store_watch::send_to_candidates(const Json::Value& message)
{
    auto text = write_json(message);
    for (const auto& name : dependencies_.election.candidates()) {
        const auto* it = dependencies_.fleet.find(name);
        if (it != nullptr && it != &dependencies_.fleet.self())
            dependencies_.peers.call(it->peer, peer_path::watch, text,
                                     message_timeout,
                                     [](const std::optional<std::string>&) {});
    }
}

void store_watch::handle_message(const Json::Value& message)
{
    const auto& from = message["from"];
    const auto& answers = message["store_answers"];
    if (!from.isString() || !answers.isBool() ||
        dependencies_.fleet.find(from.asString()) == nullptr)
        return;
    if (answers.asBool()) {
        dependencies_.election.record_watcher(from.asString());
        return;
    }
    dependencies_.election.store_unreachable(from.asString());
    update();
}

} // namespace shallotwood::process::sidecar
