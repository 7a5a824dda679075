// The store's watch of the names of all objects of a kind.
#include "platform/store.hpp"
#include "process/json_text.hpp"
#include "sidecar/support/live_loop.hpp"
#include "sidecar/support/object_api.hpp"

#include <catch2/catch.hpp>

namespace shallotwood::test
{

using namespace process;
using std::chrono::milliseconds;

namespace
{

using names = std::set<std::string>;

const Json::Value nothing(Json::objectValue);

class fixture
{
public:
    fixture() : api(loop), store(loop, counts, api.address()) {}

    void follow()
    {
        id = store.watch_all("evacuations/", [this](const names_result& it) {
            if (const auto* found = std::get_if<stored_names>(&it))
                seen.push_back(*found);
            else
                ++errors;
        });
    }

    bool sees(const names& wanted)
    {
        return run_until(
            loop, [&] { return !seen.empty() && seen.back().names == wanted; });
    }

    void put(const std::string& name) { api.put("evacuations", name, nothing); }

    loop::reactor loop;
    counters counts;
    object_api api;
    platform::store store;
    watch_id id{};
    std::vector<stored_names> seen;
    int errors = 0;
};

} // namespace

TEST_CASE("a watch of names sees each creation and each removal")
{
    // Guards against a node that never learns that an evacuation has ended.
    fixture it;
    it.put("a");
    it.follow();
    REQUIRE(it.sees({"a"}));
    it.put("b");
    REQUIRE(it.sees({"a", "b"}));
    it.api.remove("evacuations", "a");
    REQUIRE(it.sees({"b"}));
    it.api.remove("evacuations", "b");
    REQUIRE(it.sees({}));
    for (std::size_t n = 1; n < it.seen.size(); ++n)
        CHECK(it.seen[n - 1].revision < it.seen[n].revision);
    CHECK(it.seen.back().era == 1);
    CHECK(it.errors == 0);
}

TEST_CASE("a watch of names reports that there are none")
{
    // Guards against a node that waits for a set that is empty.
    fixture it;
    it.follow();
    CHECK(it.sees({}));
}

TEST_CASE("an object that waits for its deletion counts until it is gone")
{
    // Guards against traffic to a domain whose evacuation is not withdrawn yet.
    fixture it;
    it.put("a");
    it.follow();
    REQUIRE(it.sees({"a"}));
    it.api.mark_deletion("evacuations", "a");
    it.put("b");
    REQUIRE(it.sees({"a", "b"}));
    it.api.remove("evacuations", "a");
    CHECK(it.sees({"b"}));
}

TEST_CASE("a watch of names goes on after its history was dropped")
{
    // Guards against removals that are missed because only events tell them.
    fixture it;
    it.put("a");
    it.follow();
    REQUIRE(it.sees({"a"}));
    it.api.drop_history();
    it.api.remove("evacuations", "a");
    it.put("b");
    CHECK(it.sees({"b"}));
    it.api.drop_history();
    it.api.remove("evacuations", "b");
    CHECK(it.sees({}));
}

TEST_CASE("a lost event is found by the next poll in time")
{
    // Guards against a poll that is held for so long that an evacuation whose
    // event was lost comes too late.
    fixture it;
    it.follow();
    REQUIRE(it.sees({}));
    it.api.lose_next_event = true;
    auto written = it.loop.now();
    it.put("a");
    REQUIRE(it.sees({"a"}));
    CHECK(it.loop.now() - written < milliseconds(4000));
}

TEST_CASE("a silent store is noticed by all watches in time")
{
    // Guards against a node that takes part as a watcher though it hears
    // nothing. The policy is watched beside the names.
    fixture it;
    it.api.put("config", "main", nothing);
    it.store.watch("config/main", 0, [](const get_result&) {});
    it.follow();
    REQUIRE(it.sees({}));
    it.api.now = object_api::fault::answer_lost;
    auto from = it.loop.now();
    REQUIRE(run_until(it.loop, [&] { return it.errors > 0; }));
    CHECK(it.loop.now() - from < milliseconds(2000));
    it.put("a");
    it.api.now = object_api::fault::none;
    CHECK(it.sees({"a"}));
}

TEST_CASE("a watch of names goes on after each fault of the store")
{
    // Guards against a watch that an error ends.
    fixture it;
    it.put("a");
    it.follow();
    REQUIRE(it.sees({"a"}));
    it.api.now = GENERATE(object_api::fault::busy, object_api::fault::many,
                          object_api::fault::reset);
    it.put("b");
    REQUIRE(run_until(it.loop, [&] { return it.errors > 0; }));
    auto reports = it.seen.size();
    it.api.now = object_api::fault::none;
    REQUIRE(run_until(it.loop, [&] { return it.seen.size() > reports; }));
    CHECK(it.sees({"a", "b"}));
}

TEST_CASE("a watch of names reads the list again after a restore")
{
    // Guards against a set that mixes objects from before and after a restore.
    fixture it;
    it.put("a");
    it.follow();
    REQUIRE(it.sees({"a"}));
    it.api.take_copy();
    it.put("b");
    it.put("c");
    REQUIRE(it.sees({"a", "b", "c"}));
    it.api.restore();
    REQUIRE(it.sees({"a"}));
    CHECK(it.seen.back().era == 2);
    it.put("d");
    CHECK(it.sees({"a", "d"}));
}

TEST_CASE("odd entries neither hide nor add names")
{
    // Guards against an entry of another program that disables evacuations.
    auto item =
        GENERATE_COPY(R"({"metadata":"x","spec":{}})", R"([[]])", R"(17)",
                      R"({"metadata":{"name":{}},"spec":{}})", R"("text")",
                      R"({"metadata":{"name":""},"spec":{}})", R"(null)",
                      R"({"metadata":{"name":"x","rev":1e999},"spec":{}})");
    CAPTURE(item);
    fixture it;
    it.put("a");
    it.api.put_text("evacuations", item);
    it.follow();
    CHECK(it.sees({"a"}));
    CHECK(it.counts.at("store_entries_unreadable") == 1);
    it.put("b");
    CHECK(it.sees({"a", "b"}));
    CHECK(it.errors == 0);
}

TEST_CASE("the value of an object is not read")
{
    // Guards against an evacuation that is ignored because of its value.
    fixture it;
    it.api.put("evacuations", "a", Json::Value("no object"));
    it.follow();
    CHECK(it.sees({"a"}));
}

TEST_CASE("names are read from all pages of a list")
{
    // Guards against an evacuation that a full page hides.
    fixture it;
    it.api.page = 2;
    names all;
    for (int n = 0; n < 5; ++n) {
        it.put("d" + std::to_string(n));
        all.insert("d" + std::to_string(n));
    }
    it.follow();
    CHECK(it.sees(all));
    CHECK(it.seen.size() == 1);
}

TEST_CASE("an idle watch of names makes few calls")
{
    // Guards against the cost of polls that end early.
    fixture it;
    it.follow();
    REQUIRE(it.sees({}));
    auto calls = it.api.calls;
    run_for(it.loop, milliseconds(5500));
    CHECK(it.api.calls - calls <= 3);
    CHECK(it.seen.size() == 1);
}

TEST_CASE("a cancelled watch of names is quiet")
{
    // Guards against reports to an object that is gone.
    fixture it;
    it.follow();
    it.store.cancel(it.id);
    it.put("a");
    run_for(it.loop, milliseconds(50));
    CHECK(it.seen.empty());
}

} // namespace shallotwood::test
