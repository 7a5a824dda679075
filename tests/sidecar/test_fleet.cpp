#include "process/fleet/fleet_view.hpp"
#include "process/json_text.hpp"
#include "process/sidecar/announcement_lease.hpp"
#include "process/sidecar/local_backend.hpp"

#include <catch2/catch.hpp>
#include <set>

namespace shallotwood::test
{

using namespace process;
using namespace process::fleet;
using sidecar::announcement;
using sidecar::announcement_lease;
using sidecar::local_backend;

namespace
{

instance entry(const std::string& host, std::uint64_t incarnation,
               std::uint64_t sequence)
{
    instance it;
    it.peer = {host, 7000};
    it.incarnation = incarnation;
    it.sequence = sequence;
    it.service = "s";
    it.backend_id = "b";
    it.failure_domain = "d";
    return it;
}

announcement beat(const std::string& id, std::uint64_t started_at_ms,
                  std::uint64_t sequence, bool draining = false)
{
    announcement it;
    it.backend_id = id;
    it.started_at_ms = started_at_ms;
    it.sequence = sequence;
    it.service = "s";
    it.address = {"127.0.0.1", 80};
    it.slots = 4;
    it.draining = draining;
    return it;
}

} // namespace

TEST_CASE("older news never replaces newer news")
{
    fleet_view view(entry("self", 5, 0));
    CHECK(view.learn(entry("a", 2, 7)));
    CHECK_FALSE(view.learn(entry("a", 2, 6)));
    CHECK_FALSE(view.learn(entry("a", 1, 99)));
    CHECK(view.learn(entry("a", 3, 0)));
    CHECK(view.find("a:7000")->incarnation == 3);
}

// The clock of an earlier start may have been ahead; without this, the others
// would keep the entry of the process that has ended.
TEST_CASE("a node goes past what is said of an earlier start of it")
{
    fleet_view view(entry("self", 5, 0));
    CHECK(view.learn(entry("self", 9, 3)));
    CHECK(view.self().incarnation == 10);
    CHECK_FALSE(view.learn(entry("self", 9, 3)));
}

TEST_CASE("equal views have equal digests whatever the order of the news")
{
    fleet_view one(entry("a", 1, 1));
    fleet_view two(entry("b", 1, 1));
    one.learn(entry("b", 1, 1));
    one.learn(entry("c", 1, 1));
    two.learn(entry("c", 1, 1));
    CHECK(one.digest() != two.digest());
    two.learn(entry("a", 1, 1));
    CHECK(one.digest() == two.digest());
}

TEST_CASE("an entry survives its text form; broken ones name no instance")
{
    auto it = entry("a", 1, 2);
    it.state = backend_state::draining;
    it.leaving = true;
    it.slots = 17;
    auto json = to_json(it);
    CHECK(instance_from_json(json) == it);
    for (const auto& name : json.getMemberNames()) {
        auto broken = json;
        broken[name] = Json::Value(Json::arrayValue);
        CAPTURE(name);
        CHECK_FALSE(instance_from_json(broken));
        broken.removeMember(name);
        CHECK_FALSE(instance_from_json(broken));
    }
    CHECK_FALSE(instance_from_json(Json::Value("text")));
    for (const auto& slots : {Json::Value(-1), Json::Value(2'000'000'000)}) {
        auto odd = json;
        odd["slots"] = slots;
        CHECK_FALSE(instance_from_json(odd));
    }
    for (auto port : {-1, 70000}) {
        auto odd = json;
        odd["port"] = port;
        CHECK_FALSE(instance_from_json(odd));
    }
}

TEST_CASE("a late announcement of an earlier incarnation says nothing")
{
    local_backend it("s", {"127.0.0.1", 80});
    CHECK(it.handle_announcement(beat("one", 10, 5)) ==
          local_backend::effect::changed);
    CHECK(it.handle_announcement(beat("one", 10, 4)) ==
          local_backend::effect::stale);
    CHECK(it.handle_announcement(beat("two", 20, 1)) ==
          local_backend::effect::changed);
    CHECK(it.handle_announcement(beat("one", 10, 6)) ==
          local_backend::effect::stale);
    CHECK(it.id() == "two");
    // The same id starts again and counts anew.
    CHECK(it.handle_announcement(beat("two", 30, 1)) ==
          local_backend::effect::changed);
}

TEST_CASE("what has left stays away until its next incarnation")
{
    local_backend it("s", {"127.0.0.1", 80});
    it.handle_announcement(beat("one", 10, 1));
    it.handle_announcement(beat("one", 10, 2, true));
    CHECK_FALSE(it.takes_calls());
    it.handle_announcement(beat("one", 10, 3));
    CHECK_FALSE(it.takes_calls());
    CHECK(it.handle_departure({"other"}) == local_backend::effect::stale);
    CHECK(it.handle_departure({"one"}) == local_backend::effect::changed);
    it.handle_announcement(beat("one", 10, 4));
    CHECK_FALSE(it.takes_calls());
    it.handle_announcement(beat("two", 11, 1));
    CHECK(it.takes_calls());
}

TEST_CASE("a late departure of an earlier start ends no later one")
{
    local_backend it("s", {"127.0.0.1", 80});
    it.handle_announcement(beat("one", 20, 1));
    CHECK(it.handle_departure({"one", 10}) == local_backend::effect::stale);
    CHECK(it.takes_calls());
    CHECK(it.handle_departure({"one", 20}) == local_backend::effect::changed);
    CHECK_FALSE(it.takes_calls());
}

TEST_CASE("a departure before any announcement is remembered")
{
    local_backend it("s", {"127.0.0.1", 80});
    it.handle_departure({"one", 10});
    it.handle_announcement(beat("one", 10, 1));
    CHECK_FALSE(it.takes_calls());
    it.handle_announcement(beat("one", 11, 1));
    CHECK(it.takes_calls());
}

// Guards against a departure that is forgotten because it states no start time
// and its node knows of no start yet.
TEST_CASE("a departure without a start time ends all starts before it")
{
    local_backend it("s", {"127.0.0.1", 80});
    CHECK(it.handle_departure({"one", 0, 100}) ==
          local_backend::effect::changed);
    it.handle_announcement(beat("one", 90, 5));
    it.handle_announcement(beat("one", 0, 6));
    CHECK_FALSE(it.takes_calls());
    it.handle_announcement(beat("one", 101, 1));
    CHECK(it.takes_calls());
}

// The same for a backend server that takes the place of one that the node knew.
TEST_CASE("a departure that overtakes the first announcement is remembered")
{
    bool is_named = GENERATE(false, true);
    local_backend it("s", {"127.0.0.1", 80});
    it.handle_announcement(beat("one", 10, 1));
    it.handle_departure({"two", is_named ? 20u : 0u, 100});
    it.handle_announcement(beat("two", 20, 1));
    CHECK(it.takes_calls() == !is_named);
    CHECK(it.id() == (is_named ? "two" : "one"));
    it.handle_announcement(beat("two", 101, 1));
    CHECK(it.id() == "two");
    CHECK(it.takes_calls());
    // A later start of the same id leaves before it has announced itself.
    it.handle_departure({"two", 101});
    it.handle_departure({"two", 110});
    it.handle_announcement(beat("two", 110, 1));
    CHECK_FALSE(it.takes_calls());
}

// Guards against a backend server that is never used because the one before it
// left without a start time.
TEST_CASE("a server without a start time follows one that has left")
{
    local_backend it("s", {"127.0.0.1", 80});
    it.handle_departure({"one", 0, 100});
    it.handle_announcement(beat("two", 0, 1));
    CHECK(it.takes_calls());
    CHECK(it.id() == "two");
}

TEST_CASE("what had left before the node started again stays away")
{
    auto state =
        GENERATE(fleet::backend_state::draining, fleet::backend_state::gone);
    bool announced_first = GENERATE(false, true);
    fleet::instance former;
    former.backend_id = "one";
    former.backend_started_at_ms = 10;
    former.state = state;
    local_backend it("s", {"127.0.0.1", 80});
    if (announced_first)
        it.handle_announcement(beat("one", 10, 3));
    CHECK(it.adopt_former(former) == local_backend::effect::changed);
    CHECK(it.adopt_former(former) == local_backend::effect::none);
    it.handle_announcement(beat("one", 10, 4));
    CHECK_FALSE(it.takes_calls());
    it.handle_announcement(beat("one", 11, 1));
    CHECK(it.takes_calls());
    // News of the earlier start comes too late.
    CHECK(it.adopt_former(former) == local_backend::effect::none);
    CHECK(it.takes_calls());
}

TEST_CASE("announcements expire on a node that has started again")
{
    constexpr std::uint64_t started_ms = 1000;
    time_point start{};
    announcement_lease it(true, start, started_ms);
    auto at = [&](int ms) { return start + std::chrono::milliseconds(ms); };
    CHECK(it.expires_at(900, 1, at(100)) == at(2900));
    CHECK(it.expires_at(900, 1, at(2000)) == at(2900));
    // Too late to be trusted by itself.
    CHECK(it.expires_at(900, 1, at(5000)) == at(2900));
    CHECK(it.expires_at(900, 2, at(5000)) == at(9000));
    CHECK(it.expires_at(0, 2, at(5000)) == at(9000));
    // A later start than that of the process, or a long-running process.
    CHECK_FALSE(it.expires_at(1001, 1, at(5000)));
    CHECK_FALSE(it.expires_at(900, 1, at(30'001)));
    CHECK_FALSE(announcement_lease(false, start, started_ms)
                    .expires_at(900, 1, at(100)));
}

TEST_CASE(
    "a server whose announcement has expired takes no calls until the next")
{
    local_backend it("s", {"127.0.0.1", 80});
    it.handle_announcement(beat("one", 10, 1));
    CHECK(it.announcements() == 1);
    CHECK(it.set_confirmed(false) == local_backend::effect::changed);
    CHECK_FALSE(it.takes_calls());
    CHECK(it.state() == fleet::backend_state::ready);
    it.handle_announcement(beat("one", 10, 2));
    CHECK(it.announcements() == 2);
    CHECK(it.set_confirmed(true) == local_backend::effect::changed);
    CHECK(it.takes_calls());
    it.handle_announcement(beat("one", 11, 1));
    CHECK(it.announcements() == 1);
}

TEST_CASE("a crashed backend server is back with its next announcement")
{
    local_backend it("s", {"127.0.0.1", 80});
    it.handle_announcement(beat("one", 10, 1));
    CHECK(it.unreachable() == local_backend::effect::changed);
    CHECK_FALSE(it.takes_calls());
    CHECK(it.handle_announcement(beat("one", 10, 2)) ==
          local_backend::effect::changed);
    CHECK(it.takes_calls());
}

TEST_CASE("a view finds the instances of a service through all changes")
{
    fleet_view view(entry("self", 5, 0));
    auto hosts = [&](const std::string& service) {
        std::set<std::string> all;
        for (const auto& [name, it] : view.instances_of(service)) {
            CHECK(*name == it->name());
            all.insert(it->peer.host);
        }
        return all;
    };
    auto a = entry("a", 1, 0);
    view.learn(a);
    view.learn(entry("b", 1, 0));
    CHECK(hosts("s") == std::set<std::string>{"self", "a", "b"});
    // The address now serves something else.
    a.sequence = 1;
    a.service = "t";
    view.learn(a);
    CHECK(hosts("s") == std::set<std::string>{"self", "b"});
    CHECK(hosts("t") == std::set<std::string>{"a"});
    view.update_self([](instance& it) { it.service = "t"; });
    CHECK(hosts("t") == std::set<std::string>{"self", "a"});
    CHECK(hosts("none").empty());
}

TEST_CASE("equal views have equal digests, whatever the order of news")
{
    fleet_view one(entry("a", 1, 0));
    fleet_view two(entry("b", 1, 0));
    one.learn(entry("b", 1, 0));
    one.learn(entry("c", 1, 0));
    one.learn(entry("c", 1, 4));
    CHECK(one.digest() != two.digest());
    two.learn(entry("c", 1, 4));
    two.learn(entry("c", 1, 0));
    two.learn(entry("a", 1, 0));
    CHECK(one.digest() == two.digest());
}

// Replaced instances come at new addresses, for ever.
TEST_CASE("views that differ in one entry differ in one part")
{
    fleet_view one(entry("10.0.0.1", 1, 1));
    fleet_view two(entry("10.0.0.2", 1, 1));
    two.learn(one.self());
    one.learn(two.self());
    for (int n = 3; n < 300; ++n) {
        auto it = entry("10.0.1." + std::to_string(n), 1, 1);
        one.learn(it);
        two.learn(it);
    }
    REQUIRE(one.digest() == two.digest());
    CHECK(one.bucket_digests() == two.bucket_digests());
    auto changed = entry("10.0.1.7", 1, 2);
    one.learn(changed);
    std::set<std::size_t> parts;
    for (std::size_t n = 0; n < fleet_view::bucket_count; ++n)
        if (one.bucket_digests()[n] != two.bucket_digests()[n])
            parts.insert(n);
    REQUIRE(parts.size() == 1);
    auto entries = one.entries_in(parts);
    CHECK(entries.size() < 30);
    for (const auto* it : entries)
        two.learn(*it);
    CHECK(one.digest() == two.digest());
}

// Homes of workspaces follow it.
TEST_CASE("a view counts who comes and leaves, not what else changes")
{
    fleet_view view(entry("self", 1, 0));
    auto before = view.membership();
    auto it = entry("10.0.0.1", 1, 1);
    view.learn(it);
    CHECK(view.membership() == before + 1);
    it.sequence = 2;
    it.slots = 9;
    view.learn(it);
    CHECK(view.membership() == before + 1);
    it.sequence = 3;
    it.leaving = true;
    view.learn(it);
    CHECK(view.membership() == before + 2);
    it.incarnation = 2;
    it.leaving = false;
    view.learn(it);
    CHECK(view.membership() == before + 3);
}

TEST_CASE("an instance that has left makes room for a new one")
{
    fleet_view view(entry("self", 1, 0));
    for (std::size_t n = 2; n < max_instances; ++n)
        view.learn(entry("h" + std::to_string(n), 1, 0));
    REQUIRE(view.size() == max_instances - 1);
    CHECK(view.learn(entry("last", 1, 0)));
    CHECK_FALSE(view.learn(entry("new", 1, 0)));
    auto left = entry("h7", 1, 1);
    left.leaving = true;
    view.learn(left);
    CHECK(view.learn(entry("new", 1, 0)));
    CHECK(view.find("new:7000") != nullptr);
    CHECK(view.find("h7:7000") == nullptr);
    CHECK(view.size() == max_instances);
}

} // namespace shallotwood::test
