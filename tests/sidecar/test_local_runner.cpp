#include "sidecar/support/live_loop.hpp"
#include "sidecar/support/local_node.hpp"
#include "sidecar/support/run_recorder.hpp"
#include "sidecar/support/scripted_server.hpp"
#include "sidecar/support/small_fleet.hpp"

#include <catch2/catch.hpp>
#include <set>

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

// Guards against a request that runs twice because its node has kept no copy of
// a long response, or has forgotten the response by now.
TEST_CASE(
    "an outcome that is no longer held is not taken for a run that was not")
{
    bool is_long = GENERATE(false, true);
    INFO(is_long);
    std::string body(is_long ? 100'000 : 10, 'x');
    fixture it([&](scripted_connection& from, const std::string& head,
                   const std::string&) { from.send(good_answer(head, body)); });
    auto first = std::make_shared<run_recorder>();
    auto run = std::static_pointer_cast<local_attempt>(
        it.executor.start(it.once("node/7/3"), first));
    REQUIRE(run_until(it.loop, [&] { return first->ended; }));
    if (!is_long)
        run_for(it.loop, std::chrono::milliseconds(5100));
    auto second = std::make_shared<run_recorder>();
    CHECK_FALSE(it.executor.attach("node/7/3", second));
    REQUIRE(second->failure);
    CHECK(second->failure->what.run == execution::may_have_run);
    // Never came here, and won't start any more.
    auto third = std::make_shared<run_recorder>();
    CHECK_FALSE(it.executor.attach("node/7/4", third));
    REQUIRE(third->failure);
    CHECK(third->failure->what.run == execution::not_run);
    auto late = std::make_shared<run_recorder>();
    it.executor.start(it.once("node/7/4"), late);
    CHECK(late->failure);
    CHECK(it.server.heads.size() == 1);
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

// Otherwise a request that crashes backend servers of a quiet service is never
// known as their cause: no later call shows that the server is gone.
TEST_CASE("a crash of the backend server is noticed without another call")
{
    fixture it(
        [](scripted_connection&, const std::string&, const std::string&) {});
    std::vector<std::size_t> suspects;
    it.executor.on_crash(
        [&](const auto& in_flight) { suspects.push_back(in_flight.size()); });
    auto got = std::make_shared<run_recorder>();
    it.executor.start(it.once("a"), got);
    REQUIRE(run_until(it.loop, [&] { return !it.server.heads.empty(); }));
    it.server.stop();
    CHECK(run_until(it.loop, [&] { return !suspects.empty(); }));
    CHECK(suspects == std::vector<std::size_t>{1});
    CHECK(got->done());
    CHECK_FALSE(it.node.backend.takes_calls());
}

// Otherwise innocent requests are blamed for crashes that did not happen.
TEST_CASE("a lost response is no crash")
{
    fixture it([](scripted_connection& from, const std::string&,
                  const std::string&) { from.abort(); });
    bool crashed = false;
    it.executor.on_crash([&](const auto&) { crashed = true; });
    for (const auto* attempt : {"a", "b", "c"}) {
        auto got = std::make_shared<run_recorder>();
        it.executor.start(it.once(attempt), got);
        REQUIRE(run_until(it.loop, [&] { return got->done(); }));
    }
    run_for(it.loop, std::chrono::milliseconds(300));
    CHECK_FALSE(crashed);
    CHECK(it.node.backend.takes_calls());
}

// Otherwise a request fails, or is sent twice, because a server closed an idle
// connection in time.
TEST_CASE("a connection whose end has arrived is not used")
{
    for (bool repeatable : {true, false}) {
        std::shared_ptr<scripted_connection> kept;
        fixture it([&](scripted_connection& from, const std::string& head,
                       const std::string&) {
            if (!kept)
                kept = std::static_pointer_cast<scripted_connection>(
                    from.shared_from_this());
            from.send(good_answer(head, "whole"));
        });
        auto first = std::make_shared<run_recorder>();
        it.executor.start(run_on_s("a", repeatable), first);
        REQUIRE(run_until(it.loop, [&] { return first->done(); }));
        // The loop doesn't run in between, so that the node has not read it.
        kept->abort();
        auto second = std::make_shared<run_recorder>();
        it.executor.start(run_on_s("b", repeatable), second);
        REQUIRE(run_until(it.loop, [&] { return second->done(); }));
        CAPTURE(repeatable);
        CHECK(second->ended);
        CHECK(it.server.heads.size() == 2);
        CHECK(it.node.counts.at("backend_idle_closes") == 0);
        kept.reset();
    }
}

// Guards against repeats outside the retry budget: a response that is lost
// looks like a connection that was closed while idle.
TEST_CASE("a request on a reused connection is sent again within the budget")
{
    constexpr std::size_t requests = 200;
    for (bool repeatable : {true, false}) {
        std::set<scripted_connection*> used;
        fixture it([&](scripted_connection& from, const std::string& head,
                       const std::string&) {
            if (used.insert(&from).second)
                from.send(good_answer(head, "whole"));
            else
                from.abort();
        });
        std::size_t failed = 0;
        for (std::size_t n = 0; n < requests; ++n) {
            auto got = std::make_shared<run_recorder>();
            it.executor.start(run_on_s(std::to_string(n), repeatable), got);
            REQUIRE(run_until(it.loop, [&] { return got->done(); }));
            if (!got->failure)
                continue;
            ++failed;
            CHECK(got->failure->what.run == execution::may_have_run);
        }
        auto repeats = it.server.heads.size() - requests;
        CAPTURE(repeatable, failed, repeats);
        CHECK(failed > 0);
        if (repeatable) {
            CHECK(repeats > 0);
            CHECK(repeats <= requests / 10);
        } else {
            CHECK(repeats == 0);
        }
    }
}

// Otherwise a caller repeats what has run, and the request that crashed its
// backend server is not suspected.
TEST_CASE("a request that was sent before a crash is not reported as not run")
{
    scripted_server* server = nullptr;
    int requests = 0;
    fixture it([&](scripted_connection& from, const std::string& head,
                   const std::string&) {
        if (++requests == 1)
            from.send(good_answer(head, "whole"));
        else
            server->stop();
    });
    server = &it.server;
    std::size_t suspects = 0;
    it.executor.on_crash(
        [&](const auto& in_flight) { suspects += in_flight.size(); });
    auto first = std::make_shared<run_recorder>();
    it.executor.start(run_on_s("a", true), first);
    REQUIRE(run_until(it.loop, [&] { return first->ended; }));
    auto second = std::make_shared<run_recorder>();
    it.executor.start(run_on_s("b", true), second);
    REQUIRE(run_until(it.loop, [&] { return second->done(); }));
    REQUIRE(second->failure);
    CHECK(second->failure->what.run == execution::may_have_run);
    CHECK(run_until(it.loop, [&] { return suspects > 0; }));
}

// Guards against calls that are never taken out of the work left, and against
// short refusals and cancelled calls that are learned as cheap ones.
TEST_CASE("only what the backend server has run is learned as a cost")
{
    std::shared_ptr<scripted_connection> waiting;
    std::string waiting_head;
    fixture it([&](scripted_connection& from, const std::string& head,
                   const std::string&) {
        waiting = std::static_pointer_cast<scripted_connection>(
            from.shared_from_this());
        waiting_head = head;
    });
    auto start = [&](const std::string& attempt) {
        waiting.reset();
        auto got = std::make_shared<run_recorder>();
        auto run = it.executor.start(run_on_s(attempt, true), got);
        REQUIRE(run_until(it.loop, [&] { return waiting != nullptr; }));
        return std::pair(got, run);
    };
    {
        auto [got, run] = start("refused");
        waiting->send("HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n"
                      "X-Request-Id: " +
                      header_of(waiting_head, "X-Request-Id") +
                      "\r\nContent-Length: 0\r\n\r\n");
        REQUIRE(run_until(it.loop, [&, to = got] { return to->done(); }));
    }
    start("cancelled").second->cancel();
    CHECK(it.executor.costs().routes().empty());
    {
        auto [got, run] = start("served");
        waiting->send(good_answer(waiting_head, "kept"));
        REQUIRE(run_until(it.loop, [&, to = got] { return to->done(); }));
    }
    CHECK(it.executor.costs().routes() == std::vector<std::string>{"route"});
    CHECK(it.executor.load("route").work_left == duration(0));
    auto running = start("running").second;
    CHECK(it.executor.work_left() > duration(0));
    running->cancel();
    CHECK(it.executor.work_left() == duration(0));
    // The connection uses the loop, which ends with the fixture.
    waiting.reset();
}

} // namespace shallotwood::test
