// The set of evacuated domains, its source, and how it reaches all nodes.
#include "process/json_text.hpp"
#include "process/sidecar/evacuation_feed.hpp"
#include "sidecar/support/evacuation_fleet.hpp"
#include "support/fake_object_store.hpp"
#include "support/pausable_loop.hpp"

#include <catch2/catch.hpp>

namespace shallotwood::test
{

using namespace process;
using fleet::evacuation_set;
using fleet::to_json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using fault = evacuation_fleet::fault;

namespace
{

using names = std::set<std::string>;

// From this time after the store's acknowledgement on, no request may reach an
// evacuated domain; and the time that is aimed at.
constexpr duration evacuation_limit = seconds(5);
constexpr duration usual_limit = seconds(1);

constexpr std::size_t fleet_size = 82;
constexpr std::uint64_t seeds = 10;

} // namespace

TEST_CASE("an older set never replaces a newer one")
{
    // Guards against a delayed message that sends traffic back.
    std::vector<names> told;
    fleet::evacuations it([&](const fleet::evacuation_change& change) {
        told.push_back(change.evacuated);
    });
    CHECK(it.learn({{1, 50}, {"a"}}));
    CHECK_FALSE(it.learn({{1, 49}, {}}));
    CHECK_FALSE(it.learn({{1, 50}, {"b"}}));
    CHECK(it.current()->domains() == names{"a"});
    // A restored store gives its revisions out again.
    CHECK(it.learn({{2, 10}, {"a", "b"}}));
    CHECK_FALSE(it.learn({{1, 99}, {}}));
    CHECK(it.contains("b"));
    // A newer position of the same set is kept without a report.
    CHECK(it.learn({{2, 11}, {"a", "b"}}));
    CHECK_FALSE(it.learn({{2, 10}, {"a"}}));
    CHECK(told == std::vector<names>{{"a"}, {"b"}});
}

TEST_CASE("the first set is reported though it is empty")
{
    // Guards against a node that waits for its first set for good.
    int reports = 0;
    fleet::evacuations it([&](const fleet::evacuation_change&) { ++reports; });
    CHECK_FALSE(it.current());
    CHECK(it.learn({{0, 0}, {}}));
    CHECK(it.learn({{0, 1}, {}}));
    CHECK(reports == 1);
}

TEST_CASE("a set of another node is taken whole or not at all")
{
    // Guards against malformed messages.
    evacuation_set it({3, 77}, {"a", "b"});
    CHECK(fleet::evacuation_set_from_json(to_json(it)) == it);
    CHECK(fleet::evacuation_set_from_json(to_json(evacuation_set({}, {}))) ==
          evacuation_set({}, {}));
    for (const auto* text :
         {"[]", "{}", R"({"era":1,"rev":2})", R"({"era":1,"domains":[]})",
          R"({"era":-1,"rev":2,"domains":[]})",
          R"({"era":1,"rev":"2","domains":[]})",
          R"({"era":1,"rev":2,"domains":{"a":1}})",
          R"({"era":1,"rev":2,"domains":["a",7]})",
          R"({"era":1,"rev":2,"domains":[""]})"}) {
        CAPTURE(text);
        CHECK_FALSE(fleet::evacuation_set_from_json(*parse_json(text)));
    }
    auto large = to_json(it);
    large["domains"][0] = std::string(fleet::max_domain_bytes + 1, 'x');
    CHECK_FALSE(fleet::evacuation_set_from_json(large));
    large["domains"].clear();
    for (std::size_t n = 0; n <= fleet::max_evacuated_domains; ++n)
        large["domains"].append("d" + std::to_string(n));
    CHECK_FALSE(fleet::evacuation_set_from_json(large));
}

TEST_CASE("a node waits for its first set, but not for long")
{
    // Guards against a node that sends to an evacuated domain when it starts,
    // and against one that does not serve because the store is away.
    virtual_loop loop;
    fake_object_store store(loop);
    fleet::fleet_view view({});
    counters counts;
    int asked = 0;
    sidecar::evacuation_feed it(
        {loop, store, view, counts}, "e/", evacuation_limit,
        [](const auto&, auto) {}, [&] { ++asked; });
    store.names_down = true;
    it.set_watching(true);
    loop.advance(seconds(10));
    // Without a policy it does not serve anyway.
    CHECK(it.is_awaited());
    SECTION("the store answers just after the policy has come")
    {
        store.names_down = false;
        it.handle_first_policy();
        loop.advance(milliseconds(100));
        CHECK(it.current());
        CHECK_FALSE(it.is_awaited());
    }
    SECTION("another node knows the set")
    {
        it.handle_first_policy();
        it.handle_peer_set("n", to_json({{1, 5}, {"a"}}));
        CHECK_FALSE(it.is_awaited());
        CHECK(it.contains("a"));
    }
    SECTION("nobody knows the set")
    {
        it.handle_first_policy();
        loop.advance(sidecar::evacuation_feed::wait_limit - milliseconds(1));
        CHECK(it.is_awaited());
        loop.advance(milliseconds(2));
        CHECK_FALSE(it.is_awaited());
        CHECK(asked == 1);
        // It learns the set later all the same.
        it.handle_peer_set("n", to_json({{1, 5}, {"a"}}));
        CHECK(it.contains("a"));
    }
}

TEST_CASE("a process that was paused asks again before it serves")
{
    // Guards against requests that a process handles after a pause, before it
    // hears of an evacuation.
    virtual_loop loop;
    pausable_loop own(loop);
    fake_object_store store(loop);
    fleet::fleet_view view({});
    counters counts;
    int asked = 0;
    sidecar::evacuation_feed it(
        {own, store, view, counts}, "e/", evacuation_limit,
        [](const auto&, auto) {}, [&] { ++asked; });
    it.handle_peer_set("n", to_json({{1, 5}, {}}));
    REQUIRE_FALSE(it.is_awaited());
    own.pause();
    loop.advance(seconds(1));
    CHECK_FALSE(it.is_awaited());
    loop.advance(seconds(4));
    CHECK(it.is_awaited());
    // A message that arrived during the pause may be old.
    it.handle_peer_set("n", to_json({{1, 5}, {}}));
    own.resume();
    it.handle_peer_set("n", to_json({{1, 5}, {}}));
    CHECK(it.is_awaited());
    CHECK(asked == 1);
    SECTION("another node answers")
    {
        it.handle_peer_set("n", to_json({{1, 6}, {"a"}}));
        it.confirm();
        CHECK(it.contains("a"));
    }
    SECTION("nobody answers")
    {
        loop.advance(sidecar::evacuation_feed::wait_limit);
    }
    CHECK_FALSE(it.is_awaited());
}

TEST_CASE("the last known set stays while the store is away")
{
    // Guards against an outage that ends an evacuation.
    virtual_loop loop;
    fake_object_store store(loop);
    fleet::fleet_view view({});
    counters counts;
    int changes = 0;
    sidecar::evacuation_feed it(
        {loop, store, view, counts}, "e/", evacuation_limit,
        [&](const auto&, auto) { ++changes; }, [] {});
    store.put("e/unknown domain", "17", 0, [](const auto&) {});
    it.set_watching(true);
    loop.advance(seconds(1));
    REQUIRE(it.contains("unknown domain"));
    store.down = true;
    it.set_watching(false);
    it.set_watching(true);
    loop.advance(seconds(30));
    it.handle_peer_set("n", Json::Value("junk"));
    it.check_domains();
    CHECK(it.contains("unknown domain"));
    CHECK(changes == 1);
    CHECK(counts.at("evacuations_unreadable") == 1);
}

TEST_CASE(
    "an evacuation reaches all nodes within a second, and so does its end")
{
    // Guards against nodes that the election leaves without news.
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        evacuation_fleet fleet(fleet_size, seed);
        CHECK(fleet.watchers().size() == 5);
        fleet.evacuate("d1");
        CHECK(fleet.time_to_agree(evacuation_limit).count() <
              usual_limit.count());
        fleet.evacuate("unknown");
        for (int n = 0; n < 4; ++n)
            fleet.evacuate("d" + std::to_string(n));
        CHECK(fleet.time_to_agree(evacuation_limit).count() <
              usual_limit.count());
        fleet.withdraw("d1");
        CHECK(fleet.time_to_agree(evacuation_limit).count() <
              usual_limit.count());
        CHECK(fleet.domains_at(7).count("d1") == 0);
    }
}

TEST_CASE("an evacuation is in force in time though the watchers fail")
{
    // Guards against an evacuation that only silent or refused watchers could
    // have seen.
    auto how = GENERATE(0, 1, 2);
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(how, seed);
        evacuation_fleet fleet(fleet_size, seed);
        for (auto n : fleet.watchers()) {
            if (how == 0)
                fleet.freeze(n);
            else
                fleet.set_store(n, how == 1 ? fault::refuse : fault::silent);
        }
        fleet.evacuate("d1");
        CHECK(fleet.time_to_agree(seconds(10)).count() <
              evacuation_limit.count());
    }
}

TEST_CASE("a watcher that ends after it has read an evacuation loses nothing")
{
    // Guards against news that only one node had.
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        evacuation_fleet fleet(fleet_size, seed);
        auto watchers = fleet.watchers();
        fleet.evacuate("d1");
        fleet.advance(milliseconds(5));
        for (std::size_t n = 1; n < watchers.size(); ++n)
            fleet.freeze(watchers[n]);
        CHECK(fleet.time_to_agree(evacuation_limit) < evacuation_limit);
    }
}

TEST_CASE("a node that was cut off or frozen keeps its set, then catches up")
{
    // Guards against a node that forgets an evacuation without contact.
    evacuation_fleet fleet(fleet_size, 3);
    fleet.evacuate("d1");
    REQUIRE(fleet.time_to_agree(evacuation_limit) < evacuation_limit);
    std::size_t frozen = 7;
    std::size_t cut = 9;
    fleet.cut_off(cut);
    fleet.set_store(cut, fault::refuse);
    fleet.freeze(frozen);
    fleet.evacuate("d2");
    fleet.advance(seconds(20));
    CHECK(fleet.domains_at(cut) == names{"d1"});
    fleet.reconnect(cut);
    fleet.thaw(frozen);
    CHECK(fleet.time_to_agree(evacuation_limit) < seconds(3));
}

TEST_CASE("a node that starts while the store is away asks the others")
{
    // Guards against a node that sends to an evacuated domain after a restart.
    auto how = GENERATE(fault::refuse, fault::silent);
    evacuation_fleet fleet(fleet_size, 4);
    fleet.evacuate("d1");
    REQUIRE(fleet.time_to_agree(evacuation_limit) < evacuation_limit);
    fleet.set_store(how);
    fleet.restart(5);
    CHECK_FALSE(fleet.knows(5));
    CHECK(fleet.awaits(5));
    fleet.advance(milliseconds(100));
    CHECK(fleet.domains_at(5) == names{"d1"});
}

TEST_CASE(
    "after a loss of power all nodes learn an evacuation before they serve")
{
    // Guards against a set that only the processes held.
    evacuation_fleet fleet(fleet_size, 5);
    fleet.evacuate("d1");
    REQUIRE(fleet.time_to_agree(evacuation_limit) < evacuation_limit);
    for (std::size_t n = 0; n < fleet.size(); ++n)
        fleet.restart(n);
    for (std::size_t n = 0; n < fleet.size(); ++n)
        CHECK(fleet.awaits(n));
    CHECK(fleet.time_to_agree(evacuation_limit) < milliseconds(100));
}

TEST_CASE("without the setting nothing is watched and no message names a set")
{
    // Guards against costs on deployments without evacuations.
    evacuation_fleet off(20, 6, false);
    off.evacuate("d1");
    off.advance(seconds(10));
    CHECK(off.watches_started == 0);
    CHECK(off.messages_with_set == 0);
    evacuation_fleet on(20, 6);
    CHECK(on.watches_started > 0);
    CHECK(on.messages_with_set > 0);
}

} // namespace shallotwood::test
