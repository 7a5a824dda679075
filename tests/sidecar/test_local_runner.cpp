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
}

} // namespace shallotwood::test
