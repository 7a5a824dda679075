// The HTTP client of the platform against the stand-in.
#include "process/address.hpp"
#include "process/glib_event_loop.hpp"
#include "process/platform_client.hpp"
#include "support/platform_process.hpp"

#include <catch2/catch.hpp>

namespace shallotwood::process
{

namespace
{

using std::chrono::milliseconds;

platform_limits short_limits()
{
    platform_limits it;
    it.call_timeout = milliseconds(500);
    it.watch_wait = milliseconds(300);
    it.watch_grace = milliseconds(300);
    it.watch_min_interval = milliseconds(10);
    it.max_backoff = milliseconds(200);
    return it;
}

class client_fixture
{
public:
    get_result get(const std::string& name)
    {
        std::optional<get_result> result;
        client.get(name, [&](auto it) { result = std::move(it); });
        test::iterate_until([&] { return result.has_value(); });
        return *result;
    }

    put_result put(const std::string& name, const std::string& value,
                   std::uint64_t expected)
    {
        std::optional<put_result> result;
        client.put(name, value, expected, [&](auto it) { result = it; });
        test::iterate_until([&] { return result.has_value(); });
        return *result;
    }

    list_result list(const std::string& prefix)
    {
        std::optional<list_result> result;
        client.list(prefix, [&](auto it) { result = std::move(it); });
        test::iterate_until([&] { return result.has_value(); });
        return *result;
    }

    test::platform_process platform;
    glib_event_loop loop;
    random_source random{1};
    platform_client client{*parse_address(platform.address()), loop, random,
                           short_limits()};
};

} // namespace

TEST_CASE_METHOD(client_fixture, "objects are written, read and listed")
{
    CHECK(get("a/1") == get_result(store_error::not_found));
    CHECK(put("a/1", "x", 1) == put_result(store_error::conflict));
    CHECK(put("a/1", "x", 0) == put_result(std::uint64_t{1}));
    CHECK(put("a/1", "y", 0) == put_result(store_error::conflict));
    CHECK(put("a/1", "y", 1) == put_result(std::uint64_t{2}));
    CHECK(put("b", "z \"\xc3\xa9\"", 0) == put_result(std::uint64_t{1}));
    CHECK(get("a/1") == get_result(stored_object{"a/1", 2, "y"}));
    CHECK(list("c") == list_result(std::vector<stored_object>{}));
    CHECK(list("") == list_result(std::vector<stored_object>{
                          {"a/1", 2, "y"}, {"b", 1, "z \"\xc3\xa9\""}}));
    CHECK(client.last_response_time());
}

// One page holds 1 MB, so that a list must be put together from several.
TEST_CASE_METHOD(client_fixture, "a long list comes complete and in order")
{
    std::vector<stored_object> expected;
    for (const auto* name : {"p/1", "p/2", "p/3"}) {
        std::string value(600'000, name[2]);
        CHECK(put(name, value, 0) == put_result(std::uint64_t{1}));
        expected.push_back({name, 1, value});
    }
    CHECK(put("q", "", 0) == put_result(std::uint64_t{1}));
    CHECK(list("p/") == list_result(expected));
}

// "Unavailable" promises that nothing was written, so that only a connection
// that never carried the request may be reported so.
TEST_CASE_METHOD(client_fixture, "an outage is reported truthfully")
{
    struct {
        const char* outage;
        store_error put_error;
    } const cases[] = {
        {"refused", store_error::unavailable},
        {"silent", store_error::unknown_outcome},
        {"unavailable", store_error::unknown_outcome},
    };
    for (const auto& it : cases) {
        INFO(it.outage);
        REQUIRE_FALSE(
            platform.control(std::string(R"({"outage":")") + it.outage + "\"}")
                .empty());
        CHECK(put("a", "x", 0) == put_result(it.put_error));
        CHECK(get("a") == get_result(store_error::unavailable));
        CHECK(list("") == list_result(store_error::unavailable));
        REQUIRE_FALSE(platform.control(R"({"outage":"none"})").empty());
        CHECK(get("a") == get_result(store_error::not_found));
    }
}

// The second write goes over a connection that was used before: libsoup sends
// it again, and the platform answers that repeat with a conflict.
TEST_CASE_METHOD(client_fixture,
                 "a write whose answer was lost has an unknown outcome")
{
    platform.control(R"({"lose_answers":1})");
    CHECK(put("a", "x", 0) == put_result(store_error::unknown_outcome));
    CHECK(get("a") == get_result(stored_object{"a", 1, "x"}));
    platform.control(R"({"lose_answers":1})");
    CHECK(put("a", "y", 1) == put_result(store_error::unknown_outcome));
    CHECK(get("a") == get_result(stored_object{"a", 2, "y"}));
}

TEST_CASE_METHOD(client_fixture, "an answer that is too late counts as lost")
{
    platform.control(R"({"delay_after_ms":5000})");
    CHECK(put("a", "x", 0) == put_result(store_error::unknown_outcome));
    platform.control(R"({"delay_after_ms":0})");
    CHECK(get("a") == get_result(stored_object{"a", 1, "x"}));
}

TEST_CASE_METHOD(client_fixture, "calls over the rate limit are reported")
{
    platform.control(R"({"write_rate":1})");
    std::size_t limited = 0;
    for (int n = 0; n < 5; ++n) {
        auto result = put("o" + std::to_string(n), "x", 0);
        if (result == put_result(store_error::rate_limited))
            ++limited;
    }
    CHECK(limited > 0);
}

TEST_CASE_METHOD(client_fixture,
                 "a watch reports newer versions and goes on after an outage")
{
    std::vector<std::uint64_t> seen;
    int errors = 0;
    auto id = client.watch("a", 0, [&](auto result) {
        if (auto* object = std::get_if<stored_object>(&result))
            seen.push_back(object->version);
        else
            ++errors;
    });
    put("a", "x", 0);
    test::iterate_until([&] { return seen.size() == 1; });
    platform.control(R"({"outage":"refused"})");
    test::iterate_until([&] { return errors >= 2; });
    platform.control(R"({"outage":"none"})");
    put("a", "y", 1);
    test::iterate_until([&] { return seen.size() == 2; });
    platform.control(R"({"outage":"silent"})");
    errors = 0;
    test::iterate_until([&] { return errors >= 1; });
    platform.control(R"({"outage":"none"})");
    put("a", "z", 2);
    test::iterate_until([&] { return seen.size() == 3; });
    CHECK(seen == std::vector<std::uint64_t>{1, 2, 3});
    client.cancel(id);
    put("a", "w", 3);
    get("a");
    CHECK(seen.size() == 3);
}

// Callbacks usually refer to objects that end with the client.
TEST_CASE("an ended client calls no callback")
{
    test::platform_process platform;
    glib_event_loop loop;
    random_source random(1);
    bool called = false;
    {
        platform_client client(*parse_address(platform.address()), loop, random,
                               short_limits());
        client.get("a", [&](auto) { called = true; });
        client.watch("a", 0, [&](auto) { called = true; });
    }
    bool later = false;
    loop.call_after(milliseconds(200), [&] { later = true; });
    test::iterate_until([&] { return later; });
    CHECK_FALSE(called);
}

TEST_CASE("the stand-in rejects invalid control messages")
{
    test::platform_process platform;
    for (const auto* it :
         {"", "{", "[]", R"({"outage":"some"})", R"({"lose_answers":-1})",
          R"({"further":1})", R"({"read_rate":0})"}) {
        INFO(it);
        CHECK(platform.control(it).empty());
    }
}

TEST_CASE_METHOD(client_fixture,
                 "a watch goes on after the platform was restored from a copy")
{
    REQUIRE(put("a", "1", 0) == put_result(std::uint64_t{1}));
    REQUIRE(!platform.control(R"({"copy": true})").empty());
    REQUIRE(put("a", "2", 1) == put_result(std::uint64_t{2}));
    REQUIRE(put("a", "3", 2) == put_result(std::uint64_t{3}));
    std::vector<stored_object> seen;
    client.watch("a", 0, [&](const get_result& it) {
        if (const auto* object = std::get_if<stored_object>(&it))
            seen.push_back(*object);
    });
    test::iterate_until([&] { return !seen.empty(); });
    CHECK(client.era() == 1);
    REQUIRE(!platform.control(R"({"restore": true})").empty());
    test::iterate_until([&] { return seen.size() == 2; });
    CHECK(client.era() == 2);
    // Version 2 is given out again, below the last one of the first era.
    REQUIRE(put("a", "new", 1) == put_result(std::uint64_t{2}));
    test::iterate_until([&] { return seen.size() == 3; });
    CHECK(seen == std::vector<stored_object>{
                      {"a", 3, "3"}, {"a", 1, "1"}, {"a", 2, "new"}});
}

} // namespace shallotwood::process
