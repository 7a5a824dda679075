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

constexpr duration check_interval = std::chrono::seconds(1);

// Time limit for the reply of another node.
constexpr duration message_timeout = std::chrono::milliseconds(500);

// Number of nodes that are told that the store does not answer this one.
constexpr std::size_t fan_out = 16;

} // namespace

store_watch::store_watch(const dependencies& with,
                         std::function<bool()> isolated)
    : dependencies_(with), isolated_(std::move(isolated))
{
    dependencies_.feed.on_store_state(
        [this](bool lost) { announce_store_state(lost); });
}

store_watch::~store_watch()
{
    dependencies_.loop.cancel(check_timer_);
    dependencies_.feed.on_store_state({});
}

void store_watch::start()
{
    dependencies_.feed.set_watching(true);
    run_check();
}

void store_watch::run_check()
{
    update();
    check_timer_ =
        dependencies_.loop.call_after(check_interval, [this] { run_check(); });
}

void store_watch::update()
{
    auto& feed = dependencies_.feed;
    auto election = dependencies_.election.elect();
    bool isolated = isolated_();
    bool watch = !feed.current() || isolated || election.chosen;
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
    feed.set_watching(watch);
}

void store_watch::announce_store_state(bool lost)
{
    const auto& fleet = dependencies_.fleet;
    auto self = fleet.self().name();
    if (!lost) {
        dependencies_.election.store_reachable(self);
        return;
    }
    dependencies_.election.store_unreachable(self);
    Json::Value message;
    message["from"] = self;
    message["store_lost"] = true;
    for (std::size_t n = 0; n < fan_out && fleet.size() > 1; ++n)
        send(fleet.other(dependencies_.random.below(fleet.size() - 1)),
             message);
}

void store_watch::send(const fleet::instance& to, const Json::Value& message)
{
    if (dependencies_.peers.reachable(to.name()))
        dependencies_.peers.call(to.peer, peer_path::watch, write_json(message),
                                 message_timeout,
                                 [](const std::optional<std::string>&) {});
}

void store_watch::handle_message(const Json::Value& message)
{
    const auto& from = message["from"];
    const auto& lost = message["store_lost"];
    if (from.isString() && lost.isBool() && lost.asBool())
        dependencies_.election.store_unreachable(from.asString());
}

} // namespace shallotwood::process::sidecar
