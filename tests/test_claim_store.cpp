// Records of requests that run at most once, in the platform's store.
#include "process/record/claim_store.hpp"
#include "support/fake_object_store.hpp"
#include "support/virtual_loop.hpp"

#include <catch2/catch.hpp>

namespace shallotwood::test
{

using namespace process;
using namespace process::record;
using request::execution;
using request::reason;
using request::recorded_response;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

// Nodes that share one store.
class fixture
{
public:
    fixture() : store(loop) { settings.window = std::chrono::hours(1); }

    claim_store& node(const std::string& name)
    {
        auto& it = nodes[name];
        if (!it)
            it = std::make_unique<claim_store>(
                loop, store, counts, name + "-" + std::to_string(++starts),
                [this] {
                    return std::chrono::duration_cast<milliseconds>(
                               loop.now().time_since_epoch())
                        .count();
                },
                settings);
        return *it;
    }

    claim_result claim(const std::string& at, const std::string& key,
                       const std::string& workspace = "w")
    {
        std::optional<claim_result> got;
        int answers = 0;
        node(at).claim(workspace, key, loop.now() + seconds(20),
                       [&](const claim_result& it) {
                           got = it;
                           ++answers;
                       });
        loop.advance(seconds(3));
        REQUIRE(answers == 1);
        return *got;
    }

    bool finish(const std::string& at, const claim_result& granted,
                claim_outcome outcome)
    {
        std::optional<bool> recorded;
        node(at).finish(std::get<claim_granted>(granted).claim,
                        std::move(outcome), [&](bool it) { recorded = it; });
        loop.advance(seconds(3));
        REQUIRE(recorded);
        return *recorded;
    }

    virtual_loop loop;
    fake_object_store store;
    counters counts;
    claim_settings settings;
    std::map<std::string, std::unique_ptr<claim_store>> nodes;
    int starts = 0;
};

recorded_response response(const std::string& body)
{
    return {201, "text/plain", body, true};
}

template <typename T>
bool is(const claim_result& it)
{
    return std::holds_alternative<T>(it);
}

reason why_refused(const claim_result& it)
{
    return std::get<claim_refused>(it).why;
}

} // namespace

TEST_CASE("a key is granted once, and a repeat gets the outcome anywhere")
{
    fixture it;
    auto granted = it.claim("a", "k");
    REQUIRE(is<claim_granted>(granted));
    CHECK(is<claim_in_progress>(it.claim("b", "k")));
    // Another workspace's key of the same name is another key.
    CHECK(is<claim_granted>(it.claim("b", "k", "other")));
    CHECK(it.finish("a", granted, response("whole")));
    for (const auto* at : {"a", "b"}) {
        auto repeat = it.claim(at, "k");
        REQUIRE(is<claim_done>(repeat));
        CHECK(std::get<claim_done>(repeat).response.body == "whole");
        CHECK(std::get<claim_done>(repeat).response.status == 201);
    }
}

TEST_CASE("two nodes that claim a key at the same time get one grant")
{
    fixture it;
    int granted = 0;
    int other = 0;
    for (const auto* at : {"a", "b", "c"})
        it.node(at).claim("w", "k", it.loop.now() + seconds(20),
                          [&](const claim_result& got) {
                              ++(is<claim_granted>(got) ? granted : other);
                          });
    it.loop.advance(seconds(3));
    CHECK(granted == 1);
    CHECK(other == 2);
}

TEST_CASE("a claim that was not run is free again, any other is not")
{
    fixture it;
    auto first = it.claim("a", "k");
    CHECK(it.finish("a", first, execution::not_run));
    auto second = it.claim("b", "k");
    REQUIRE(is<claim_granted>(second));
    CHECK(it.finish("b", second, execution::may_have_run));
    CHECK(is<claim_may_have_run>(it.claim("a", "k")));
}

TEST_CASE("a claim outlives the node that made it")
{
    fixture it;
    REQUIRE(is<claim_granted>(it.claim("a", "k")));
    it.nodes.clear();
    CHECK(is<claim_in_progress>(it.claim("b", "k")));
    it.loop.advance(it.settings.max_run_time);
    CHECK(is<claim_may_have_run>(it.claim("a", "k")));
}

TEST_CASE("a claim whose answer was lost is granted once")
{
    fixture it;
    it.store.answers_to_lose = 1;
    auto granted = it.claim("a", "k");
    REQUIRE(is<claim_granted>(granted));
    it.store.answers_to_lose = 1;
    CHECK(it.finish("a", granted, response("once")));
    CHECK(is<claim_done>(it.claim("b", "k")));
}

// Nothing of a refused claim may keep the key from a later request.
TEST_CASE("without the store a claim is refused as not run, and free later")
{
    fixture it;
    it.store.down = true;
    auto refused = it.claim("a", "k");
    REQUIRE(is<claim_refused>(refused));
    CHECK(why_refused(refused) == reason::record_store_unreachable);
    it.store.down = false;
    // Written, but its answer came after the request was refused.
    it.store.delay = it.settings.store_timeout + milliseconds(500);
    std::optional<claim_result> late;
    it.node("a").claim("w", "late", it.loop.now() + seconds(20),
                       [&](const claim_result& got) { late = got; });
    it.loop.advance(seconds(3));
    REQUIRE(late);
    CHECK(is<claim_refused>(*late));
    it.store.delay = milliseconds(2);
    it.loop.advance(seconds(10));
    CHECK(is<claim_granted>(it.claim("b", "late")));
    CHECK(is<claim_granted>(it.claim("b", "k")));
    CHECK(it.node("a").open_claims() == 0);
}

TEST_CASE("an outcome is written once the store is back")
{
    fixture it;
    auto granted = it.claim("a", "k");
    it.store.down = true;
    CHECK_FALSE(it.finish("a", granted, response("kept")));
    it.loop.advance(seconds(10));
    it.store.down = false;
    it.loop.advance(seconds(1));
    CHECK(is<claim_done>(it.claim("b", "k")));
    CHECK(it.node("a").open_claims() == 0);
}

TEST_CASE("records are bounded in size and removed after their window")
{
    fixture it;
    CHECK(why_refused(it.claim("a", std::string(300, 'k'))) ==
          reason::malformed);
    auto granted = it.claim("a", "k");
    CHECK(
        it.finish("a", granted,
                  response(std::string(it.settings.max_body_bytes + 1, 'b'))));
    auto repeat = it.claim("b", "k");
    REQUIRE(is<claim_done>(repeat));
    CHECK_FALSE(std::get<claim_done>(repeat).response.body_recorded);
    it.loop.advance(it.settings.window + seconds(20));
    std::size_t left = 1;
    it.store.list(object_prefix, [&](const list_result& got) {
        left = std::get<std::vector<stored_object>>(got).size();
    });
    it.loop.advance(seconds(1));
    CHECK(left == 0);
    CHECK(is<claim_granted>(it.claim("b", "k")));
}

TEST_CASE("claims in progress are bounded")
{
    fixture it;
    it.settings.max_open_claims = 2;
    CHECK(is<claim_granted>(it.claim("a", "1")));
    CHECK(is<claim_granted>(it.claim("a", "2")));
    CHECK(why_refused(it.claim("a", "3")) == reason::record_capacity);
}

TEST_CASE("a record that can't be read grants nothing")
{
    fixture it;
    auto granted = it.claim("a", "k");
    std::string name;
    it.store.list(object_prefix, [&](const list_result& got) {
        name = std::get<std::vector<stored_object>>(got).front().name;
    });
    it.loop.advance(seconds(1));
    for (const auto* text : {"", "[]", "{\"claim\":7}",
                             "{\"claim\":\"x\",\"state\":\"done\","
                             "\"written_at\":1,\"response\":[]}"}) {
        it.store.put(name, text, any_version, [](const put_result&) {});
        it.loop.advance(seconds(1));
        CHECK(is<claim_may_have_run>(it.claim("b", "k")));
    }
}

} // namespace shallotwood::test
