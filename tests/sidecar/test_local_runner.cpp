#include "sidecar/support/live_loop.hpp"
#include "sidecar/support/local_node.hpp"
#include "sidecar/support/run_recorder.hpp"
#include "sidecar/support/scripted_server.hpp"
#include "sidecar/support/small_fleet.hpp"

#include <catch2/catch.hpp>

namespace shallotwood::test
{

using namespace process;
using namespace process::sidecar;
using request::execution;

namespace
{

class fixture
{
public:
    explicit fixture(scripted_connection::handler handle)
        : server(loop, std::move(handle)), node(loop, server.address()),
          executor(node.executor)
    {
    }

    static request::attempt_request once(const std::string& attempt)
    {
        return run_on_s(attempt, false);
    }

    loop::reactor loop;
    scripted_server server;
    local_node node;
    local_executor& executor;
};

} // namespace

// Otherwise an answer that a lost connection took along would be lost work.
TEST_CASE("a sender that lost its connection gets the outcome of its run")
{
    std::shared_ptr<scripted_connection> waiting;
    std::string waiting_head;
    fixture it([&](scripted_connection& from, const std::string& head,
                   const std::string&) {
        waiting = std::static_pointer_cast<scripted_connection>(
            from.shared_from_this());
        waiting_head = head;
    });
    auto first = std::make_shared<run_recorder>();
    auto run = std::static_pointer_cast<local_attempt>(
        it.executor.start(it.once("a"), first));
    REQUIRE(run_until(it.loop, [&] { return waiting != nullptr; }));
    run->detach();
    auto second = std::make_shared<run_recorder>();
    REQUIRE(it.executor.attach("a", second));
    waiting->send(good_answer(waiting_head, "kept"));
    REQUIRE(run_until(it.loop, [&] { return second->done(); }));
    CHECK(second->body == "kept");
    CHECK_FALSE(first->done());
    // And again, after the run has ended.
    auto third = std::make_shared<run_recorder>();
    REQUIRE(it.executor.attach("a", third));
    CHECK(third->ended);
    CHECK(third->body == "kept");
    CHECK(it.server.heads.size() == 1);
    // It must not outlive the loop.
    waiting.reset();
}

TEST_CASE("an attempt that was asked for before it came never starts")
{
    fixture it([](scripted_connection& from, const std::string& head,
                  const std::string&) { from.send(good_answer(head, "")); });
    CHECK_FALSE(it.executor.attach("a", std::make_shared<run_recorder>()));
    auto late = std::make_shared<run_recorder>();
    it.executor.start(it.once("a"), late);
    REQUIRE(late->failure);
    CHECK(late->failure->what.run == execution::not_run);
    CHECK(it.server.heads.empty());
}

TEST_CASE("a backend server's word that it did not run a request is believed")
{
    fixture it([](scripted_connection& from, const std::string& head,
                  const std::string&) {
        from.send("HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nX-Request-Id: " +
                  header_of(head, "X-Request-Id") +
                  "\r\nContent-Length: 0\r\n\r\n");
    });
    auto got = std::make_shared<run_recorder>();
    it.executor.start(it.once("a"), got);
    REQUIRE(run_until(it.loop, [&] { return got->done(); }));
    REQUIRE(got->failure);
    CHECK(got->failure->what.run == execution::not_run);
}

// Guards against entry nodes that go on placing calls by the announced slots of
// a backend server that sheds by itself.
TEST_CASE("the load report shows how many calls a backend server takes")
{
    fixture it([](scripted_connection& from, const std::string& head,
                  const std::string&) {
        auto id = header_of(head, "X-Request-Id");
        if (id != "held")
            from.send(
                "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nX-Request-Id: " +
                id + "\r\nContent-Length: 0\r\n\r\n");
    });
    auto start = [&](const std::string& id) {
        auto got = std::make_shared<run_recorder>();
        auto what = run_on_s(id, true);
        what.request_id = id;
        it.executor.start(what, got);
        return got;
    };
    auto full = it.executor.load("route").limit;
    REQUIRE(full > 1);
    auto held = start("held");
    for (int n = 0; n < 8; ++n) {
        auto got = start("rejected-" + std::to_string(n));
        REQUIRE(run_until(it.loop, [&] { return got->done(); }));
        REQUIRE(got->failure);
    }
    CHECK(it.executor.load("route").limit == 1);
    CHECK(it.node.counts.at("backend_rejections") == 8);
    // A new start of the backend server is not judged by the former one.
    announcement next;
    next.backend_id = "another";
    next.started_at_ms = 10;
    next.service = "s";
    next.address = it.server.address();
    next.slots = 4;
    it.node.backend.handle_announcement(next);
    it.executor.backend_changed();
    CHECK(it.executor.load("route").limit == full);
}

// Guards against work for requests that a service further down sheds, while
// their entry node does not know it yet.
TEST_CASE("a new request whose calls would be shed is refused before it runs")
{
    fixture it([](scripted_connection& from, const std::string& head,
                  const std::string&) { from.send(good_answer(head, "ran")); });
    constexpr load::shed_key threshold = 1000;
    auto& thresholds = it.node.shed_thresholds;
    thresholds.record_call("route", "middle");
    thresholds.record_call("route", "other");
    // The response on `middle` reports what its own calls get.
    for (int n = 0; n < 100; ++n)
        thresholds.record_threshold("middle", threshold);
    auto run = [&](load::shed_key key, bool is_child_call) {
        auto got = std::make_shared<run_recorder>();
        auto what = run_on_s(
            "a-" + std::to_string(key) + (is_child_call ? "-child" : ""), true);
        what.key = key;
        what.is_child_call = is_child_call;
        it.executor.start(what, got);
        REQUIRE(run_until(it.loop, [&] { return got->done(); }));
        return got;
    };
    auto refused = run(2 * threshold, false);
    REQUIRE(refused->failure);
    CHECK(refused->failure->what.run == execution::not_run);
    CHECK(refused->failure->what.why == request::reason::overload);
    CHECK(refused->failure->retry_after);
    CHECK(it.server.heads.empty());
    CHECK(run(threshold / 2, false)->body == "ran");
    // The work that was done for its request would be lost.
    CHECK(run(2 * threshold, true)->body == "ran");
}

TEST_CASE("a success that names no request is nobody's")
{
    fixture it(
        [](scripted_connection& from, const std::string&, const std::string&) {
            from.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        });
    auto got = std::make_shared<run_recorder>();
    it.executor.start(it.once("a"), got);
    REQUIRE(run_until(it.loop, [&] { return got->done(); }));
    REQUIRE(got->failure);
    CHECK(got->failure->what.run == execution::may_have_run);
}

TEST_CASE("work under way counts until the backend server has ended it")
{
    fixture it(
        [](scripted_connection&, const std::string&, const std::string&) {});
    auto got = std::make_shared<run_recorder>();
    auto run = it.executor.start(it.once("a"), got);
    CHECK(it.executor.running_attempts() == 1);
    // It must not run again, so it goes on without its caller.
    run->cancel();
    CHECK(it.executor.running_attempts() == 1);
}

} // namespace shallotwood::test
