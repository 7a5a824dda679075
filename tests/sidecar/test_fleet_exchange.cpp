#include "process/json_text.hpp"
#include "process/sidecar/fleet_exchange.hpp"
#include "process/sidecar/peer_links.hpp"
#include "process/sidecar/peer_server.hpp"
#include "sidecar/support/live_loop.hpp"
#include "sidecar/support/local_node.hpp"
#include "support/fake_object_store.hpp"

#include <catch2/catch.hpp>

namespace shallotwood::test
{

using namespace process;
using namespace process::sidecar;

namespace
{

fleet::instance entry(int number, std::uint64_t sequence = 1)
{
    fleet::instance it;
    it.peer = {"127.9.9." + std::to_string(number / 250 + 1),
               static_cast<std::uint16_t>(9000 + number % 250)};
    it.failure_domain = "d";
    it.incarnation = 1;
    it.sequence = sequence;
    // Not linked to, since nothing listens there.
    it.leaving = true;
    it.service = "s";
    it.backend_id = "b";
    return it;
}

// What of a node takes part in the exchange.
class talker
{
public:
    explicit talker(loop::reactor& loop, const std::string& in = "d")
        : domain(in), node(loop, {"127.0.0.1", 1}),
          peers(
              loop, node.executor,
              [] {
                  return peer_server::identity{1, 0};
              },
              [this](std::string_view, const std::string& body) {
                  return exchange->handle_message(*parse_json(body));
              },
              [](std::uint64_t) {}),
          listens(peers.listen({"127.0.0.1", 0}).empty()), view(self()),
          contact(loop, std::chrono::seconds(5)),
          load_balancer(loop, random, view, "d"),
          links(loop, node.counts, view, load_balancer), store(loop),
          feed(
              store, node.adapter, node.counts, "policy",
              [](const std::string&, const auto& done) { done(std::nullopt); },
              [](const version::policy&, policy_feed::origin) {}),
          duty(loop, view, "policy", [](const std::string&) { return true; })
    {
        exchange = std::make_unique<fleet_exchange>(
            fleet_exchange::dependencies{loop, random, store, view, duty,
                                         contact, links, feed},
            "instances/", [] {});
    }
    ~talker()
    {
        links.close();
        peers.close();
    }

    fleet::instance self() const
    {
        fleet::instance it;
        it.peer = {"127.0.0.1", peers.port()};
        it.failure_domain = domain;
        it.incarnation = 1;
        it.service = "s";
        return it;
    }

    // What this node would answer.
    Json::Value reply_to(const Json::Value& message)
    {
        return *parse_json(exchange->handle_message(message));
    }

    std::string domain;
    local_node node;
    peer_server peers;
    bool listens;
    fleet::fleet_view view;
    fleet::isolation_detector contact;
    random_source random{1};
    routing::load_balancer load_balancer;
    peer_links links;
    fake_object_store store;
    policy_feed feed;
    fleet::watcher_election duty;
    std::unique_ptr<fleet_exchange> exchange;
};

} // namespace

TEST_CASE("an answer to news does not grow with the fleet")
{
    loop::reactor loop;
    talker it(loop);
    for (int n = 0; n < 500; ++n)
        it.view.learn(entry(n));
    Json::Value message;
    message["from"] = to_json(entry(500));
    message["digest"] = Json::UInt64(1);
    message["entries"].append(to_json(entry(501)));
    auto reply = it.reply_to(message);
    CHECK(reply["entries"].empty());
    CHECK(reply["parts"].empty());
    CHECK(it.view.find(entry(501).name()) != nullptr);
    // A comparison gets digests, and then only the parts that it asks for.
    message["compare"] = true;
    reply = it.reply_to(message);
    CHECK(reply["entries"].empty());
    CHECK(reply["parts"].size() == fleet::fleet_view::bucket_count);
    message["wanted"].append(3);
    reply = it.reply_to(message);
    CHECK_FALSE(reply["entries"].empty());
    CHECK(reply["entries"].size() < 20);
}

TEST_CASE("views that differ become equal, in both directions")
{
    loop::reactor loop;
    talker one(loop);
    talker two(loop);
    REQUIRE((one.listens && two.listens));
    for (int n = 0; n < 400; ++n) {
        one.view.learn(entry(n, n % 50 == 0 ? 2 : 1));
        if (n < 300)
            two.view.learn(entry(n, n % 70 == 0 ? 3 : 1));
    }
    for (int n = 400; n < 500; ++n)
        two.view.learn(entry(n));
    one.exchange->start({two.self().peer}, true);
    // The seed's port is that of the node that asks.
    one.view.learn(two.self());
    CHECK(run_until(loop,
                    [&] { return one.view.digest() == two.view.digest(); }));
    CHECK(one.view.size() == 502);
}

TEST_CASE("a node writes its entry again after the store was restored")
{
    loop::reactor loop;
    talker one(loop);
    talker two(loop);
    auto own = "instances/" + one.self().name();
    one.exchange->write_entry();
    REQUIRE(run_until(loop, [&] { return one.store.holds(own); }));
    // Only another node knows of the restore.
    one.store.lose(own);
    auto writes = one.store.writes;
    two.store.current_era = one.store.current_era;
    one.store.current_era = 1;
    auto message = two.reply_to(Json::Value(Json::objectValue));
    one.reply_to(message);
    CHECK(run_until(loop, [&] { return one.store.holds(own); }));
    CHECK(one.store.writes == writes + 1);
}

// Guards against a delayed write that replaces a later one: each write names
// the version that it replaces.
TEST_CASE("an entry is written again after an answer was lost or it changed")
{
    loop::reactor loop;
    talker one(loop);
    auto own = "instances/" + one.self().name();
    auto is_written = [&] {
        bool written = false;
        one.exchange->when_written(std::chrono::seconds(30),
                                   [&](bool it) { written = it; });
        return run_until(loop, [&] { return written; });
    };
    one.store.answers_to_lose = 1;
    one.exchange->write_entry();
    CHECK(is_written());
    CHECK(one.store.writes == 2);
    // Another writer has replaced it.
    bool replaced = false;
    one.store.put(own, "{}", any_version,
                  [&](const auto&) { replaced = true; });
    REQUIRE(run_until(loop, [&] { return replaced; }));
    one.exchange->rewrite_entry();
    CHECK(is_written());
    std::string value;
    one.store.get(own, [&](const get_result& it) {
        value = std::get<stored_object>(it).value;
    });
    CHECK(run_until(loop, [&] { return !value.empty(); }));
    CHECK(value == write_json(to_json(one.view.self())));
}

// Traffic between failure domains would grow with the square of the fleet.
TEST_CASE("news from elsewhere is passed on within the failure domain only")
{
    loop::reactor loop;
    talker one(loop, "d");
    std::vector<std::unique_ptr<talker>> all;
    for (const auto* domain : {"d", "e", "d", "e", "e"}) {
        all.push_back(std::make_unique<talker>(loop, domain));
        one.view.learn(all.back()->self());
    }
    Json::Value message;
    message["from"] = to_json(entry(500));
    one.reply_to(message);
    auto heard = [&](const talker& at) {
        return at.view.find(entry(500).name()) != nullptr;
    };
    CHECK(run_until(loop, [&] { return heard(*all[0]) && heard(*all[2]); }));
    run_for(loop, std::chrono::milliseconds(200));
    for (const auto& at : all)
        CHECK(heard(*at) == (at->domain == "d"));
}

} // namespace shallotwood::test
