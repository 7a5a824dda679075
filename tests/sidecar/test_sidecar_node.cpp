#include "sidecar/support/small_fleet.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <utility>

namespace shallotwood::test
{

namespace
{

void serve(scripted_connection& from, const std::string& head,
           const std::string&)
{
    from.send(good_answer(head, "whole"));
}

void break_off(scripted_connection& from, const std::string&,
               const std::string&)
{
    from.abort();
}

void stay_silent(scripted_connection&, const std::string&, const std::string&)
{
}

class silent_events final : public connection::http::call_events
{
public:
    void on_response(connection::http::response_head&& head,
                     const connection::http::message_info&) override
    {
        status = head.status;
    }
    void on_response_body(std::string_view) override {}
    void on_response_end() override { ended = true; }
    void on_failure(const connection::http::call_failure&) override
    {
        ended = true;
    }

    int status = 0;
    bool ended = false;
};

void shut_down_within(small_fleet::instance& at, process::duration limit,
                      bool& stopped)
{
    at.settings.shutdown_limit = limit;
    at.node->reload(at.settings);
    at.node->shut_down([&] { stopped = true; });
}

} // namespace

TEST_CASE("a request reaches the backend server beside another node")
{
    small_fleet fleet;
    auto& entry = fleet.add("front", serve);
    auto& beside = fleet.add("s", serve);
    fleet.write_policy(1, {"front", "s"}, "idempotent");
    fleet.settle(1);
    auto answer = fleet.request(entry, "s", "key", "POST");
    CHECK(answer.status == 200);
    CHECK(answer.body == "whole");
    CHECK(*answer.headers.find("X-Server-Seal") == "seal");
    REQUIRE(beside.backend->heads.size() == 1);
    const auto& head = beside.backend->heads.front();
    CHECK(head.find("POST /path?q=1 HTTP/1.1") == 0);
    CHECK(beside.backend->bodies.front() == "body");
    CHECK(header_of(head, "X-Tenant") == "w");
    CHECK(header_of(head, "X-Caller-Service") == "front");
    CHECK(header_of(head, "X-Expect-Instance") == "i-" + beside.settings.name);
    CHECK(header_of(head, "Authorization").empty());
    CHECK(entry.backend->heads.empty());
}

TEST_CASE("a request that must not run twice is sent once")
{
    small_fleet fleet;
    auto& entry = fleet.add("front", serve);
    auto& one = fleet.add("s", break_off);
    auto& two = fleet.add("s", break_off);
    fleet.write_policy(1, {"front", "s"}, "non_idempotent");
    fleet.settle(1);
    auto answer = fleet.request(entry, "s", "key", "DELETE");
    CHECK(answer.status == 502);
    CHECK(one.backend->heads.size() + two.backend->heads.size() == 1);
}

TEST_CASE("a repeatable request goes on to a second backend server")
{
    small_fleet fleet;
    auto& entry = fleet.add("s", break_off);
    fleet.add("s", serve);
    fleet.write_policy(1, {"s"}, "idempotent");
    fleet.settle(1);
    for (int n = 0; n < 5; ++n)
        CHECK(fleet.request(entry, "s").status == 200);
}

TEST_CASE("a request that may have run is not refused as unrun")
{
    small_fleet fleet;
    auto& entry = fleet.add("front", serve);
    auto& only = fleet.add("s", break_off);
    fleet.write_policy(1, {"front", "s"}, "idempotent");
    fleet.settle(1);
    // There is no second backend server to send it to.
    CHECK(fleet.request(entry, "s").status == 502);
    CHECK(only.backend->heads.size() == 1);
}

TEST_CASE("a draining backend server gets nothing new")
{
    small_fleet fleet;
    auto& entry = fleet.add("front", serve);
    auto& draining = fleet.add("s", serve);
    fleet.write_policy(1, {"front", "s"}, "idempotent");
    fleet.settle(1);
    fleet.announce(draining, "draining");
    // In force at once, whether or not the other nodes have heard of it.
    auto answer = fleet.request(entry, "s");
    CHECK(answer.status == 503);
    CHECK(answer.headers.find("Retry-After") != nullptr);
    CHECK(draining.backend->heads.empty());
}

TEST_CASE("a backend server that is away refuses unrun, and comes back")
{
    small_fleet fleet;
    auto& entry = fleet.add("front", serve);
    auto& beside = fleet.add("s", serve);
    fleet.write_policy(1, {"front", "s"}, "non_idempotent");
    fleet.settle(1);
    auto address = beside.settings.backend_address;
    beside.settings.backend_address = {"127.0.0.1", 1};
    fleet.announce(beside, "ready");
    CHECK(fleet.request(entry, "s").status == 503);
    beside.settings.backend_address = address;
    fleet.announce(beside, "ready");
    fleet.settle(1);
    CHECK(fleet.request(entry, "s").status == 200);
}

TEST_CASE("a policy reaches a node that the store turns away")
{
    small_fleet fleet;
    auto& entry = fleet.add("s", serve);
    auto& cut = fleet.add("s", serve, true);
    cut.store->down = true;
    CHECK_FALSE(fleet.ready(cut));
    fleet.write_policy(1, {"s"}, "idempotent");
    fleet.settle(1);
    CHECK(fleet.ready(cut));
    CHECK(fleet.request(cut, "s").status == 200);
    // A key that was taken away stops at that node, too.
    fleet.write_policy(2, {"s"}, "idempotent", "other");
    fleet.settle(2);
    CHECK(fleet.request(cut, "s").status == 401);
    CHECK(fleet.request(cut, "s", "other").status == 200);
    CHECK(fleet.request(entry, "s").status == 401);
}

TEST_CASE("a request over its workspace's rate is told when to come back")
{
    small_fleet fleet;
    auto& entry = fleet.add("s", serve);
    fleet.write_policy(1, {"s"}, "idempotent", "key", 1);
    fleet.settle(1);
    CHECK(fleet.request(entry, "s").status == 200);
    auto answer = fleet.request(entry, "s");
    CHECK(answer.status == 429);
    CHECK(answer.headers.find("Retry-After") != nullptr);
    CHECK(entry.backend->heads.size() == 1);
}

TEST_CASE("work for a caller that has left is dropped")
{
    small_fleet fleet;
    auto& entry = fleet.add("front", serve);
    auto& beside = fleet.add("s", stay_silent);
    fleet.write_policy(1, {"front", "s"}, "idempotent");
    fleet.settle(1);
    silent_events events;
    auto caller = fleet.start_request(entry, "s", events);
    REQUIRE(run_until(fleet.loop,
                      [&] { return beside.backend->heads.size() == 1; }));
    caller->close();
    CHECK(run_until(fleet.loop, [&] { return beside.backend->all_ended(); }));
}

// Guards against a caller's connection that stays paused after its upload: at
// 65,536 bytes the upload is full and whole at the same time.
TEST_CASE("work for a caller that has left after its upload is dropped")
{
    for (std::size_t size : {1000U, 65'535U, 65'536U, 80'000U}) {
        small_fleet fleet;
        auto& entry = fleet.add("s", stay_silent);
        fleet.write_policy(1, {"s"}, "idempotent");
        fleet.settle(1);
        silent_events events;
        auto caller = fleet.start_upload(entry, "s", size,
                                         std::string(size, 'u'), events);
        REQUIRE(run_until(fleet.loop,
                          [&] { return entry.backend->heads.size() == 1; }));
        caller->close();
        run_for(fleet.loop, std::chrono::milliseconds(500));
        CAPTURE(size);
        CHECK(entry.backend->all_ended());
    }
}

// Guards against streams between nodes that stay open after an upload was
// answered early: the node could take no further calls, or not end.
TEST_CASE("an upload that was refused early leaves no call in flight")
{
    small_fleet fleet;
    auto& entry = fleet.add("front", serve);
    auto& beside = fleet.add("s", serve);
    fleet.write_policy(1, {"front", "s"}, "non_idempotent");
    fleet.settle(1);
    // Refused by the node itself, which has no backend server.
    beside.backend->stop();
    answer_recorder answer;
    const std::string first(100'000, 'u');
    auto caller = fleet.start_upload(entry, "s", 1'000'000, first, answer);
    REQUIRE(run_until(fleet.loop, [&] { return answer.ended; }));
    CHECK(answer.answer.status == 503);
    bool stopped = false;
    auto begun = fleet.loop.now();
    shut_down_within(beside, std::chrono::seconds(20), stopped);
    REQUIRE(run_until(fleet.loop, [&] { return stopped; }));
    CHECK(fleet.loop.now() - begun < std::chrono::seconds(10));
}

TEST_CASE("a graceful shutdown finishes what is in flight")
{
    small_fleet fleet;
    std::shared_ptr<scripted_connection> waiting;
    std::string waiting_head;
    auto& entry =
        fleet.add("s", [&](scripted_connection& from, const std::string& head,
                           const std::string&) {
            waiting = std::static_pointer_cast<scripted_connection>(
                from.shared_from_this());
            waiting_head = head;
        });
    fleet.write_policy(1, {"s"}, "non_idempotent");
    fleet.settle(1);
    silent_events events;
    auto caller = fleet.start_request(entry, "s", events);
    REQUIRE(run_until(fleet.loop, [&] { return waiting != nullptr; }));
    bool stopped = false;
    entry.node->shut_down([&] { stopped = true; });
    CHECK_FALSE(fleet.ready(entry));
    CHECK_FALSE(stopped);
    waiting->send(good_answer(waiting_head, "late"));
    REQUIRE(run_until(fleet.loop, [&] { return stopped; }));
    CHECK(events.status == 200);
    CHECK(events.ended);
}

TEST_CASE("a request late in a shutdown is refused instead of cut")
{
    small_fleet fleet;
    auto& entry = fleet.add("front", serve);
    auto& beside = fleet.add("s", stay_silent);
    fleet.write_policy(1, {"front", "s"}, "non_idempotent");
    fleet.settle(1);
    silent_events events;
    auto caller = fleet.start_request(entry, "s", events);
    REQUIRE(run_until(fleet.loop,
                      [&] { return beside.backend->heads.size() == 1; }));
    bool stopped = false;
    entry.node->shut_down([&] { stopped = true; });
    run_for(fleet.loop,
            entry.settings.shutdown_limit / 2 + std::chrono::milliseconds(100));
    REQUIRE_FALSE(stopped);
    auto answer = fleet.request(entry, "s");
    CHECK(answer.status == 503);
    CHECK(answer.headers.find("Retry-After") != nullptr);
    CHECK(beside.backend->heads.size() == 1);
}

// The route's timeout is longer than what is left of the shutdown.
TEST_CASE("a call that a shutdown might cut is refused as not run")
{
    small_fleet fleet;
    auto& entry = fleet.add("front", serve);
    auto& beside = fleet.add("s", stay_silent);
    fleet.write_policy(1, {"front", "s"}, "non_idempotent");
    fleet.settle(1);
    silent_events events;
    auto caller = fleet.start_request(entry, "s", events);
    REQUIRE(run_until(fleet.loop,
                      [&] { return beside.backend->heads.size() == 1; }));
    bool stopped = false;
    entry.node->shut_down([&] { stopped = true; });
    run_for(fleet.loop, entry.settings.shutdown_limit * 3 / 10);
    REQUIRE_FALSE(stopped);
    auto answer = fleet.request(entry, "s");
    CHECK(answer.status == 503);
    CHECK(answer.headers.find("Retry-After") != nullptr);
    CHECK(beside.backend->heads.size() == 1);
}

// Guards against calls that a node accepts late in its shutdown and then cuts,
// though they have run.
TEST_CASE("a call without a key late in a shutdown is refused instead of cut")
{
    small_fleet fleet;
    std::string running;
    auto& entry =
        fleet.add("front", [&](scripted_connection&, const std::string& head,
                               const std::string&) {
            running = header_of(head, "X-Request-Id");
        });
    auto& beside = fleet.add("t", stay_silent);
    fleet.open_services = {"t"};
    fleet.write_policy(1, {"front", "t"}, "non_idempotent");
    fleet.settle(1);
    silent_events events;
    auto caller = fleet.start_request(entry, "front", events);
    REQUIRE(run_until(fleet.loop, [&] { return !running.empty(); }));
    bool stopped = false;
    shut_down_within(entry, std::chrono::seconds(2), stopped);
    run_for(fleet.loop, entry.settings.shutdown_limit * 6 / 10);
    REQUIRE_FALSE(stopped);
    CHECK(fleet.inner_request(entry, "t", running).status == 503);
    auto answer = fleet.request(entry, "t");
    CHECK(answer.status == 503);
    CHECK(answer.headers.find("Retry-After") != nullptr);
    CHECK(beside.backend->heads.empty());
}

// Guards against refusing child calls that end before the process does.
TEST_CASE("a short call of a run is served late in a shutdown")
{
    small_fleet fleet;
    std::string running;
    auto& entry =
        fleet.add("front", [&](scripted_connection&, const std::string& head,
                               const std::string&) {
            running = header_of(head, "X-Request-Id");
        });
    fleet.add("t", serve);
    fleet.open_services = {"t"};
    fleet.write_policy(1, {"front", "t"}, "non_idempotent");
    fleet.settle(1);
    silent_events events;
    auto caller = fleet.start_request(entry, "front", events);
    REQUIRE(run_until(fleet.loop, [&] { return !running.empty(); }));
    bool stopped = false;
    shut_down_within(entry, std::chrono::seconds(4), stopped);
    run_for(fleet.loop, entry.settings.shutdown_limit * 6 / 10);
    REQUIRE_FALSE(stopped);
    answer_recorder recorder;
    auto child = fleet.open_connection(entry);
    fleet.send_request(*child, "t", std::chrono::milliseconds(200), recorder);
    REQUIRE(run_until(fleet.loop, [&] { return recorder.ended; }));
    CHECK(recorder.answer.status == 200);
}

// Guards against sending on a request whose body ends late in a shutdown.
TEST_CASE("an upload that ends late in a shutdown is refused instead of cut")
{
    small_fleet fleet;
    auto& entry = fleet.add("front", serve);
    auto& beside = fleet.add("s", stay_silent);
    fleet.write_policy(1, {"front", "s"}, "non_idempotent");
    fleet.settle(1);
    answer_recorder recorder;
    auto caller = fleet.start_upload(entry, "s", 8, "half", recorder);
    bool stopped = false;
    run_for(fleet.loop, std::chrono::milliseconds(100));
    shut_down_within(entry, std::chrono::seconds(2), stopped);
    run_for(fleet.loop, entry.settings.shutdown_limit * 6 / 10);
    REQUIRE_FALSE(stopped);
    caller->send_body("rest", true);
    REQUIRE(run_until(fleet.loop, [&] { return recorder.ended; }));
    CHECK(recorder.answer.status == 503);
    CHECK(recorder.answer.headers.find("Retry-After") != nullptr);
    CHECK(beside.backend->heads.empty());
}

// Guards against starting a queued request late in a shutdown.
TEST_CASE("a queued request is refused late in a shutdown")
{
    small_fleet fleet;
    std::shared_ptr<scripted_connection> first;
    std::string first_head;
    auto& entry =
        fleet.add("s", [&](scripted_connection& from, const std::string& head,
                           const std::string&) {
            if (first)
                return;
            first = std::static_pointer_cast<scripted_connection>(
                from.shared_from_this());
            first_head = head;
        });
    fleet.write_policy(1, {"s"}, "non_idempotent");
    fleet.settle(1);
    std::vector<answer_recorder> recorders(small_fleet::slots + 1);
    std::vector<std::shared_ptr<connection::http::client_connection>> callers;
    callers.reserve(recorders.size());
    for (auto& it : recorders)
        callers.push_back(fleet.start_request(entry, "s", it));
    run_for(fleet.loop, std::chrono::milliseconds(200));
    auto started = entry.backend->heads.size();
    REQUIRE(started > 0);
    REQUIRE(started < recorders.size());
    bool stopped = false;
    shut_down_within(entry, std::chrono::seconds(2), stopped);
    run_for(fleet.loop, entry.settings.shutdown_limit * 6 / 10);
    REQUIRE_FALSE(stopped);
    first->send(good_answer(first_head, "late"));
    auto ended = [&](int status) {
        return std::count_if(
            recorders.begin(), recorders.end(),
            [&](const auto& it) { return it.answer.status == status; });
    };
    REQUIRE(run_until(fleet.loop, [&] { return ended(200) == 1; }));
    run_for(fleet.loop, std::chrono::milliseconds(50));
    CHECK(ended(503) >= 1);
    CHECK(entry.backend->heads.size() == started);
}

// The caller's connection is in use again when the first request's response
// comes.
TEST_CASE("a response after its request has failed answers no later request")
{
    for (const auto* kind : {"idempotent", "non_idempotent"}) {
        small_fleet fleet;
        std::vector<std::shared_ptr<scripted_connection>> calls;
        std::vector<std::string> heads;
        auto& entry = fleet.add("front", serve);
        auto& beside =
            fleet.add("s", [&](scripted_connection& from,
                               const std::string& head, const std::string&) {
                calls.push_back(std::static_pointer_cast<scripted_connection>(
                    from.shared_from_this()));
                heads.push_back(head);
            });
        fleet.write_policy(1, {"front", "s"}, kind);
        fleet.settle(1);
        for (auto* at : {&entry, &beside}) {
            calls.clear();
            heads.clear();
            answer_recorder first;
            answer_recorder second;
            auto caller = fleet.open_connection(*at);
            fleet.send_request(*caller, "s", std::chrono::milliseconds(200),
                               first);
            REQUIRE(run_until(fleet.loop, [&] { return first.ended; }));
            CHECK(first.answer.status == 504);
            fleet.send_request(*caller, "s", std::chrono::seconds(10), second);
            REQUIRE(run_until(fleet.loop, [&] { return calls.size() == 2; }));
            calls[0]->send(good_answer(heads[0], "first"));
            run_for(fleet.loop, std::chrono::milliseconds(50));
            CHECK_FALSE(second.ended);
            calls[1]->send(good_answer(heads[1], "second"));
            REQUIRE(run_until(fleet.loop, [&] { return second.ended; }));
            CHECK(second.answer.status == 200);
            CHECK(second.answer.body == "second");
            caller->close();
        }
    }
}

// Its backend server is needed until the callers of the node have left it.
TEST_CASE("a node that is told to end goes on taking calls of others at first")
{
    small_fleet fleet;
    auto& entry = fleet.add("front", serve);
    auto& beside = fleet.add("s", serve);
    fleet.write_policy(1, {"front", "s"}, "non_idempotent");
    fleet.settle(1);
    bool stopped = false;
    beside.node->shut_down([&] { stopped = true; });
    CHECK_FALSE(fleet.ready(beside));
    CHECK(fleet.request(entry, "s").status == 200);
    CHECK(fleet.request(beside, "s").status == 200);
    // Later it refuses them, unrun.
    auto refused = [&] { return fleet.request(entry, "s").status != 200; };
    while (!refused())
        run_for(fleet.loop, std::chrono::milliseconds(50));
    CHECK(fleet.request(entry, "s").status == 503);
    CHECK(run_until(fleet.loop, [&] { return stopped; }));
}

// The leak checker is what judges this one.
TEST_CASE("nodes that end at once let go of what is in flight")
{
    for (const auto* kind : {"idempotent", "non_idempotent"}) {
        small_fleet fleet;
        auto& entry = fleet.add("front", serve);
        auto& beside = fleet.add("s", stay_silent);
        fleet.write_policy(1, {"front", "s"}, kind);
        fleet.settle(1);
        silent_events events;
        auto caller = fleet.start_request(entry, "s", events);
        REQUIRE(run_until(fleet.loop,
                          [&] { return beside.backend->heads.size() == 1; }));
        // News is on its way between the nodes, too.
        fleet.announce(beside, "draining");
        caller->close();
    }
}

TEST_CASE("unknown hosts and keys are refused before anything runs")
{
    small_fleet fleet;
    auto& entry = fleet.add("s", serve);
    CHECK(fleet.request(entry, "s").status == 503);
    fleet.write_policy(1, {"s"}, "idempotent");
    fleet.settle(1);
    CHECK(fleet.request(entry, "s", "wrong").status == 401);
    CHECK(fleet.request(entry, "nowhere").status == 404);
    CHECK(entry.backend->heads.empty());
}

// Longer than what a node holds for one request or response.
TEST_CASE("long bodies pass whole in both directions")
{
    small_fleet fleet;
    const std::string response(1'000'000, 'r');
    auto& entry = fleet.add("front", serve);
    auto& beside =
        fleet.add("s", [&](scripted_connection& from, const std::string& head,
                           const std::string&) {
            from.send(good_answer(head, response));
        });
    fleet.write_policy(1, {"front", "s"}, "idempotent");
    fleet.settle(1);
    const std::string body(1'000'000, 'b');
    for (auto* at : {&entry, &beside}) {
        auto answer = fleet.request(*at, "s", "key", "POST", body);
        CHECK(answer.status == 200);
        CHECK(answer.whole);
        CHECK(answer.body == response);
        REQUIRE_FALSE(beside.backend->bodies.empty());
        CHECK(beside.backend->bodies.back() == body);
    }
}

// A store that is away spoils nothing as long as another node answers.
TEST_CASE("a node without any contact refuses what needs a key")
{
    small_fleet fleet;
    fleet.isolation_limit = std::chrono::milliseconds(1500);
    auto& entry = fleet.add("s", serve);
    auto& other = fleet.add("s", serve);
    fleet.open_services = {"open"};
    fleet.write_policy(1, {"s", "open"}, "idempotent");
    fleet.settle(1);
    auto pass = [&](process::duration time) {
        auto until = fleet.loop.now() + time;
        run_until(fleet.loop, [&] { return fleet.loop.now() > until; });
    };
    fleet.all.front()->store->fail_watches(process::store_error::unavailable);
    pass(std::chrono::milliseconds(3000));
    CHECK(fleet.request(entry, "s").status == 200);
    other.node.reset();
    auto refused = [&] { return fleet.request(entry, "s").status == 503; };
    bool reached = false;
    for (int n = 0; n < 100 && !reached; ++n) {
        reached = refused();
        pass(std::chrono::milliseconds(100));
    }
    CHECK(reached);
    auto answer = fleet.request(entry, "s");
    CHECK(answer.headers.find("Retry-After") != nullptr);
    // No key, so nothing that could have been withdrawn.
    CHECK(fleet.request(entry, "open").status == 503);
    CHECK(fleet.request(entry, "nowhere").status == 404);
    CHECK(fleet.metrics(entry).find("reason=\"isolated\"") !=
          std::string::npos);
}

// Otherwise each level of a call chain would multiply the repeats.
TEST_CASE("no call of a repeated run is repeated")
{
    small_fleet fleet;
    int arrivals = 0;
    bool break_next = false;
    std::string running;
    std::size_t running_at = 0;
    auto work = [&](std::size_t instance) {
        return [&, instance](scripted_connection& from, const std::string& head,
                             const std::string&) {
            if (std::exchange(break_next, false)) {
                from.abort();
                return;
            }
            // Runs until its caller leaves.
            running = header_of(head, "X-Request-Id");
            running_at = instance;
        };
    };
    auto fail = [&](scripted_connection& from, const std::string&,
                    const std::string&) {
        ++arrivals;
        from.abort();
    };
    auto& entry = fleet.add("front", serve);
    fleet.add("s", work(1));
    fleet.add("s", work(2));
    fleet.add("t", fail);
    fleet.add("t", fail);
    fleet.open_services = {"t"};
    fleet.write_policy(1, {"front", "s", "t"}, "idempotent");
    fleet.settle(1);
    for (bool repeat : {false, true}) {
        INFO(repeat);
        break_next = repeat;
        running.clear();
        arrivals = 0;
        silent_events events;
        auto caller = fleet.start_request(entry, "s", events);
        REQUIRE(run_until(fleet.loop, [&] { return !running.empty(); }));
        fleet.inner_request(*fleet.all[running_at], "t", running);
        CHECK(arrivals == (repeat ? 1 : 2));
        caller->close();
    }
}

// The work done for it would be lost.
TEST_CASE("a call of a run waits for a backend server that comes back")
{
    small_fleet fleet;
    auto& entry = fleet.add("s", serve);
    auto& beside = fleet.add("t", serve);
    fleet.open_services = {"t"};
    fleet.write_policy(1, {"s", "t"}, "idempotent");
    fleet.settle(1);
    fleet.announce(beside, "draining");
    run_for(fleet.loop, std::chrono::milliseconds(100));
    silent_events events;
    auto caller = fleet.start_request(entry, "t", events);
    run_for(fleet.loop, std::chrono::milliseconds(300));
    CHECK_FALSE(events.ended);
    ++beside.born;
    fleet.announce(beside, "ready");
    CHECK(run_until(fleet.loop, [&] { return events.ended; }));
    CHECK(events.status == 200);
}

// Its backend server would do its part of the work for nothing.
TEST_CASE("a node that is cut off refuses what would make calls")
{
    small_fleet fleet;
    std::string running;
    auto& entry =
        fleet.add("s", [&](scripted_connection& from, const std::string& head,
                           const std::string&) {
            running = header_of(head, "X-Request-Id");
            if (head.find("POST ") == 0)
                from.send(good_answer(head, ""));
        });
    for (int n = 0; n < 4; ++n)
        fleet.add("t", serve);
    fleet.open_services = {"t"};
    fleet.write_policy(1, {"s", "t"}, "idempotent");
    fleet.settle(1);
    silent_events events;
    auto caller = fleet.start_request(entry, "s", events);
    REQUIRE(run_until(fleet.loop, [&] { return !running.empty(); }));
    for (int n = 0; n < 40; ++n)
        CHECK(fleet.inner_request(entry, "t", running).status == 200);
    caller->close();
    CHECK(fleet.request(entry, "s", "key", "POST").status == 200);
    CHECK(fleet.ready(entry));
    for (std::size_t n = 1; n < fleet.all.size(); ++n)
        fleet.all[n]->node.reset();
    // The store still answers: the others are gone.
    run_for(fleet.loop, std::chrono::milliseconds(200));
    CHECK(fleet.ready(entry));
    entry.store->down = true;
    entry.store->fail_watches(process::store_error::unavailable);
    while (fleet.ready(entry))
        run_for(fleet.loop, std::chrono::milliseconds(50));
    CHECK(fleet.request(entry, "s", "key", "POST").status == 503);
}

TEST_CASE("a request that crashed three backend servers is refused")
{
    small_fleet fleet;
    std::vector<small_fleet::instance*> crashed;
    auto serve_or_crash = [](scripted_connection& from, const std::string& head,
                             const std::string& body) {
        if (head.find("POST") == 0)
            from.abort();
        else
            serve(from, head, body);
    };
    auto& entry = fleet.add("front", serve);
    for (int n = 0; n < 4; ++n)
        fleet.add("s", serve_or_crash);
    fleet.write_policy(1, {"front", "s"}, "non_idempotent");
    fleet.settle(1);
    auto arrivals = [&] {
        std::size_t n = 0;
        for (const auto& it : fleet.all)
            n += it->backend->bodies.size();
        return n;
    };
    for (int n = 0; n < 3; ++n) {
        CHECK(fleet.request(entry, "s", "key", "POST").status == 502);
        for (auto& it : fleet.all) {
            bool hit = !it->backend->heads.empty() &&
                       it->backend->heads.back().find("POST") == 0;
            if (!hit)
                continue;
            it->backend->heads.clear();
            ++it->born;
            fleet.announce(*it, "ready");
        }
        fleet.settle(1);
    }
    auto before = arrivals();
    auto answer = fleet.request(entry, "s", "key", "POST");
    CHECK(answer.status == 503);
    CHECK(answer.headers.find("Retry-After") != nullptr);
    CHECK(arrivals() == before);
    // Others pass, also with the same path.
    CHECK(fleet.request(entry, "s", "key", "POST", "other body").status == 502);
    CHECK(fleet.request(entry, "s").status == 200);
    // Nodes that restart learn of it from those that have not.
    for (std::size_t n = 1; n + 1 < fleet.all.size(); ++n) {
        fleet.restart(*fleet.all[n]);
        fleet.announce(*fleet.all[n], "ready");
    }
    fleet.settle(1);
    before = arrivals();
    for (int n = 0; n < 10; ++n)
        CHECK(fleet.request(entry, "s", "key", "POST").status == 503);
    CHECK(arrivals() == before);
}

} // namespace shallotwood::test
