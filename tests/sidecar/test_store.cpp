#include "platform/store.hpp"
#include "process/json_text.hpp"
#include "process/store_position.hpp"
#include "sidecar/support/live_loop.hpp"
#include "sidecar/support/object_api.hpp"
#include "sidecar/support/scripted_server.hpp"

#include <catch2/catch.hpp>

namespace shallotwood::test
{

using namespace process;

namespace
{

Json::Value value(int n)
{
    Json::Value it;
    it["n"] = n;
    return it;
}

class fixture
{
public:
    fixture() : api(loop), store(loop, counts, api.address()) {}

    put_result put(const std::string& name, int n, std::uint64_t expected)
    {
        std::optional<put_result> got;
        store.put(name, write_json(value(n)), expected,
                  [&](const put_result& it) { got = it; });
        REQUIRE(run_until(loop, [&] { return got.has_value(); }));
        return *got;
    }

    get_result get(const std::string& name)
    {
        std::optional<get_result> got;
        store.get(name, [&](const get_result& it) { got = it; });
        REQUIRE(run_until(loop, [&] { return got.has_value(); }));
        return *got;
    }

    std::vector<stored_object> list(const std::string& kind)
    {
        std::optional<list_result> got;
        store.list(kind, [&](const list_result& it) { got = it; });
        REQUIRE(run_until(loop, [&] { return got.has_value(); }));
        return std::get<std::vector<stored_object>>(*got);
    }

    loop::reactor loop;
    counters counts;
    object_api api;
    platform::store store;
};

// Follows one object.
class follower
{
public:
    explicit follower(fixture& of) : of_(of)
    {
        of.store.watch("config/main", 0, [this](const get_result& it) {
            if (const auto* object = std::get_if<stored_object>(&it))
                seen.push_back(object->value);
            else
                ++errors;
        });
    }

    bool sees(int n)
    {
        auto text = write_json(value(n));
        return run_until(of_.loop,
                         [&] { return !seen.empty() && seen.back() == text; });
    }

    std::vector<std::string> seen;
    int errors = 0;

private:
    fixture& of_;
};

} // namespace

TEST_CASE("objects of the platform's store are written under a condition")
{
    fixture it;
    auto first = it.put("k/a", 1, 0);
    REQUIRE(std::holds_alternative<std::uint64_t>(first));
    auto version = std::get<std::uint64_t>(first);
    CHECK(std::get<store_error>(it.put("k/a", 2, 0)) == store_error::conflict);
    CHECK(std::get<store_error>(it.put("k/a", 2, version + 9)) ==
          store_error::conflict);
    CHECK(std::get<std::uint64_t>(it.put("k/a", 2, version)) > version);
    CHECK(std::holds_alternative<std::uint64_t>(it.put("k/a", 3, any_version)));
    CHECK(std::get<stored_object>(it.get("k/a")).value == write_json(value(3)));
    CHECK(std::get<store_error>(it.get("k/b")) == store_error::not_found);
}

TEST_CASE("what the store did not do is told from what it may have done")
{
    fixture it;
    it.api.now = object_api::fault::busy;
    CHECK(std::get<store_error>(it.put("k/a", 1, 0)) ==
          store_error::unavailable);
    it.api.now = object_api::fault::many;
    CHECK(std::get<store_error>(it.put("k/a", 1, 0)) ==
          store_error::rate_limited);
    it.api.now = object_api::fault::reset;
    CHECK(std::get<store_error>(it.put("k/a", 1, 0)) ==
          store_error::unknown_outcome);
    it.api.now = object_api::fault::answer_lost;
    CHECK(std::get<store_error>(it.put("k/a", 1, 0)) ==
          store_error::unknown_outcome);
    it.api.now = object_api::fault::none;
    CHECK(std::holds_alternative<stored_object>(it.get("k/a")));
    it.store.set_address({"127.0.0.1", 1});
    CHECK(std::get<store_error>(it.put("k/a", 1, 0)) ==
          store_error::unavailable);
}

// Guards against part of a response that is taken for an empty one: "there is
// no such object", "the list is empty".
TEST_CASE("a response that is cut off says nothing about the store")
{
    const std::string object =
        R"({"metadata":{"name":"a","rev":5},"spec":{"n":1}})";
    auto body = GENERATE_COPY(object.substr(0, object.size() - 1),
                              R"({"items":[)" + object + ",", std::string());
    // The bodies have no length.
    loop::reactor loop;
    scripted_server server(loop, [&](scripted_connection& from,
                                     const std::string&, const std::string&) {
        from.send("HTTP/1.1 200 OK\r\n\r\n" + body);
        from.finish(std::chrono::seconds(1));
    });
    counters counts;
    platform::store store(loop, counts, server.address());
    CAPTURE(body);
    std::optional<get_result> got;
    store.get("k/a", [&](const get_result& it) { got = it; });
    std::optional<list_result> listed;
    store.list("k/", [&](const list_result& it) { listed = it; });
    REQUIRE(run_until(loop, [&] { return got && listed; }));
    REQUIRE(std::holds_alternative<store_error>(*got));
    CHECK(std::get<store_error>(*got) == store_error::unknown_outcome);
    REQUIRE(std::holds_alternative<store_error>(*listed));
    CHECK(std::get<store_error>(*listed) == store_error::unknown_outcome);
}

TEST_CASE("a list is read page by page, and foreign entries are left out")
{
    fixture it;
    it.api.page = 2;
    for (int n = 0; n < 5; ++n)
        it.api.put("k", "a" + std::to_string(n), value(n));
    it.api.put("k", "b", Json::Value("no object"));
    CHECK(it.list("k/").size() == 5);
    CHECK(it.list("empty/").empty());
}

TEST_CASE("an odd entry keeps nobody from reading the others")
{
    const std::string deep =
        std::string(200'000, '[') + std::string(200'000, ']');
    auto item = GENERATE_COPY(
        R"({"metadata":{"name":"x","rev":2},"spec":{"a":)" + deep + "}}",
        R"({"metadata":{"name":"x","rev":2},"spec":{"a":1e999}})",
        R"({"metadata":{"name":"x","rev":1e999},"spec":{"port":-1e999}})",
        R"({"metadata":{"name":"x","rev":-99999999999999999999999},"spec":{}})",
        R"({"metadata":"x","spec":{}})", R"({"metadata":["x"],"spec":"y"})",
        R"({"metadata":{"name":{}},"spec":{"port":70000}})", R"("text")",
        R"([[]])", R"(null)", R"(17)");
    CAPTURE(item.substr(0, 80));
    fixture it;
    it.api.put("config", "main", value(1));
    it.api.put("k", "a", value(1));
    it.api.put_text("config", item);
    it.api.put_text("k", item);
    bool found = false;
    for (const auto& object : it.list("k/"))
        found |= object.name == "k/a" && object.value == write_json(value(1));
    CHECK(found);
    follower follows(it);
    CHECK(follows.sees(1));
    CHECK(follows.errors == 0);
}

TEST_CASE("a list that consists of odd entries is read once")
{
    fixture it;
    it.api.page = 0;
    it.api.put("k", "a", value(1));
    it.api.put_text("k", "17");
    CHECK(it.list("k/").empty());
    CHECK(it.api.calls == 1);
}

TEST_CASE("elements are found in a text that ends anywhere")
{
    const std::string text =
        R"({"a":"]}\"","items":[ {"x":[1,{"y":"}"}]} , 1e999,[[2]],"z" ],"n":7})";
    auto all = parse_json_collection(text, {"items"});
    REQUIRE(all);
    CHECK((*all)["n"] == 7);
    CHECK((*all)["a"] == "]}\"");
    REQUIRE((*all)["items"].size() == 4);
    CHECK((*all)["items"][0]["x"][1]["y"] == "}");
    CHECK((*all)["items"][1].isNull());
    CHECK((*all)["items"][2][0][0] == 2);
    for (std::size_t n = 0; n < text.size(); ++n)
        CHECK_FALSE(parse_json_collection(text.substr(0, n), {"items"}));
    CHECK((*parse_json_collection(R"({"items":[]})", {"items"}))["items"]
              .empty());
    CHECK_FALSE(parse_json_collection("[]", {"items"}));
}

TEST_CASE("a watch sees an object that comes later, and each change")
{
    fixture it;
    follower watch(it);
    it.api.put("other", "main", value(9));
    it.api.put("config", "main", value(1));
    CHECK(watch.sees(1));
    it.api.put("config", "main", value(2));
    CHECK(watch.sees(2));
    CHECK(watch.seen.size() == 2);
}

TEST_CASE("a watch goes on after its history was dropped")
{
    fixture it;
    it.api.put("config", "main", value(1));
    follower watch(it);
    CHECK(watch.sees(1));
    it.api.drop_history();
    it.api.put("config", "main", value(2));
    CHECK(watch.sees(2));
    it.api.drop_history();
    it.api.put("config", "main", value(3));
    CHECK(watch.sees(3));
}

TEST_CASE("a watch reports that the store is away, and goes on after it")
{
    fixture it;
    it.api.put("config", "main", value(1));
    follower watch(it);
    CHECK(watch.sees(1));
    it.api.now = GENERATE(object_api::fault::busy, object_api::fault::reset);
    it.api.drop_history();
    it.api.put("config", "main", value(2));
    CHECK(run_until(it.loop, [&] { return watch.errors > 0; }));
    it.api.now = object_api::fault::none;
    CHECK(watch.sees(2));
}

// Otherwise a second outage would look like the rest of the first one.
// Guards against a watch that waits for good on a connection that has gone
// silent.
TEST_CASE("a watch goes on after its connection went silent")
{
    fixture it;
    it.put("config/main", 1, any_version);
    follower watch(it);
    REQUIRE(watch.sees(1));
    it.api.now = object_api::fault::answer_lost;
    REQUIRE(run_until(it.loop, [&] { return watch.errors > 0; }));
    it.api.now = object_api::fault::none;
    it.put("config/main", 2, any_version);
    CHECK(watch.sees(2));
}

TEST_CASE("a watch tells that the store is back, though nothing has changed")
{
    fixture it;
    it.api.put("config", "main", value(1));
    follower watch(it);
    REQUIRE(watch.sees(1));
    for (std::size_t outage = 1; outage <= 2; ++outage) {
        it.api.now = object_api::fault::busy;
        it.api.put("config", "other", value(9));
        auto before = watch.errors;
        REQUIRE(run_until(it.loop, [&] { return watch.errors > before; }));
        it.api.now = object_api::fault::none;
        CHECK(run_until(it.loop,
                        [&] { return watch.seen.size() == 1 + outage; }));
        CHECK(watch.sees(1));
    }
}

TEST_CASE("a watch sees what is written after the store was restored")
{
    fixture it;
    it.api.put("config", "main", value(1));
    follower follows(it);
    REQUIRE(follows.sees(1));
    it.api.take_copy();
    for (int n = 2; n < 6; ++n)
        it.api.put("config", "main", value(n));
    REQUIRE(follows.sees(5));
    it.api.restore();
    CHECK(follows.sees(1));
    it.api.put("config", "main", value(6));
    CHECK(follows.sees(6));
}

TEST_CASE("a watch misses no change whose revision was given out twice")
{
    fixture it;
    it.api.put("config", "main", value(1));
    follower follows(it);
    REQUIRE(follows.sees(1));
    it.api.take_copy();
    it.api.put("config", "main", value(2));
    REQUIRE(follows.sees(2));
    it.api.restore();
    it.api.put("config", "main", value(3));
    it.api.put("other", "object", value(1));
    CHECK(follows.sees(3));
}

TEST_CASE("a version is compared only with versions of the same era")
{
    watch_position it(0);
    it.continue_from(60, 1);
    CHECK(it.take(50, 1));
    CHECK_FALSE(it.take(50, 1));
    CHECK_FALSE(it.take(49, 1));
    CHECK(it.is_valid_in(1));
    CHECK_FALSE(it.is_valid_in(2));
    it.continue_from(45, 2);
    CHECK(it.revision() == 45);
    CHECK(it.take(40, 2));
    CHECK_FALSE(it.take(40, 2));
    CHECK(it.take(50, 2));
    it.record_error();
    CHECK(it.take(50, 2));
    CHECK_FALSE(it.take(41, 2));
}

TEST_CASE("an era that goes back marks a response that was overtaken")
{
    using response = store_era::response;
    store_era it;
    CHECK(it.observe(std::nullopt) == response::current);
    CHECK(it.observe(7) == response::current);
    CHECK(it.observe(8) == response::restored);
    CHECK(it.observe(7) == response::outdated);
    CHECK(it.observe(std::nullopt) == response::current);
    CHECK(it.observe(8) == response::current);
    CHECK(it.value() == 8);
}

TEST_CASE("a cancelled watch is quiet")
{
    fixture it;
    int calls = 0;
    auto id =
        it.store.watch("config/main", 0, [&](const get_result&) { ++calls; });
    it.store.cancel(id);
    it.api.put("config", "main", value(1));
    it.get("config/main");
    CHECK(calls == 0);
}

} // namespace shallotwood::test
