// What nodes send and run while failure domains are evacuated.
#include "sidecar/support/live_loop.hpp"
#include "sidecar/support/local_node.hpp"
#include "sidecar/support/run_recorder.hpp"
#include "sidecar/support/scripted_server.hpp"
#include "sidecar/support/small_fleet.hpp"

#include <catch2/catch.hpp>

namespace shallotwood::test
{

using namespace process;
using request::execution;
using request::reason;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

void serve(scripted_connection& from, const std::string& head,
           const std::string&)
{
    from.send(good_answer(head, "whole"));
}

// Callers reach `entry`; the service "s" runs in the domains "near" and "far".
struct two_domains {
    two_domains()
    {
        fleet.evacuation_limit = seconds(5);
        fleet.failure_domain = "near";
        entry = &fleet.add("front", serve);
        near = &fleet.add("s", serve);
        fleet.failure_domain = "far";
        far = &fleet.add("s", serve);
        fleet.write_policy(1, {"front", "s"}, "idempotent");
        fleet.settle(1);
    }

    void evacuate(const std::string& domain, std::size_t count)
    {
        fleet.evacuate(domain);
        fleet.settle_evacuations(count);
    }

    small_fleet fleet;
    small_fleet::instance* entry = nullptr;
    small_fleet::instance* near = nullptr;
    small_fleet::instance* far = nullptr;
};

// Asks again and again; what is asked runs the loop itself.
bool eventually(small_fleet& fleet, const std::function<bool()>& asked)
{
    for (int n = 0; n < 200; ++n) {
        if (asked())
            return true;
        run_for(fleet.loop, milliseconds(20));
    }
    return false;
}

} // namespace

TEST_CASE("an evacuated domain gets no request until it is restored")
{
    // Guards against requests, and calls of backend servers, that still go to
    // an evacuated domain, and against one that never comes back.
    two_domains it;
    REQUIRE(it.fleet.request(*it.entry, "s").status == 200);
    REQUIRE(it.near->backend->heads.size() == 1);
    it.evacuate("near", 1);
    // The entry node is in the evacuated domain, and serves its callers.
    for (int n = 0; n < 5; ++n)
        CHECK(it.fleet.request(*it.entry, "s").status == 200);
    CHECK(it.near->backend->heads.size() == 1);
    CHECK(it.far->backend->heads.size() == 5);
    CHECK(it.fleet.request(*it.near, "s").status == 200);
    CHECK(it.near->backend->heads.size() == 1);
    it.fleet.withdraw_evacuation("near");
    it.fleet.settle_evacuations(0);
    // Otherwise the other domain could be preferred, because it was faster.
    it.evacuate("far", 1);
    CHECK(it.fleet.request(*it.entry, "s").status == 200);
    CHECK(it.near->backend->heads.size() == 2);
    CHECK(it.far->backend->heads.size() == 6);
}

TEST_CASE("a call of a backend server in an evacuated domain goes elsewhere")
{
    // Guards against calls that fail, or stay in the domain, because their
    // caller runs there.
    small_fleet fleet;
    fleet.evacuation_limit = seconds(5);
    fleet.failure_domain = "near";
    std::shared_ptr<scripted_connection> waiting;
    std::string waiting_head;
    auto& entry =
        fleet.add("front", [&](scripted_connection& from,
                               const std::string& head, const std::string&) {
            waiting = std::static_pointer_cast<scripted_connection>(
                from.shared_from_this());
            waiting_head = head;
        });
    auto& near = fleet.add("s", serve);
    fleet.failure_domain = "far";
    auto& far = fleet.add("s", serve);
    fleet.open_services = {"s"};
    fleet.write_policy(1, {"front", "s"}, "idempotent");
    fleet.settle(1);
    answer_recorder events;
    auto caller = fleet.start_request(entry, "front", events);
    REQUIRE(run_until(fleet.loop, [&] { return waiting != nullptr; }));
    fleet.evacuate("near");
    fleet.settle_evacuations(1);
    auto parent = header_of(waiting_head, "X-Request-Id");
    CHECK(fleet.inner_request(entry, "s", parent).status == 200);
    CHECK(near.backend->heads.empty());
    CHECK(far.backend->heads.size() == 1);
    // What runs in the domain ends normally.
    waiting->send(good_answer(waiting_head, "kept"));
    REQUIRE(run_until(fleet.loop, [&] { return events.ended; }));
    CHECK(events.answer.status == 200);
    CHECK(events.answer.body == "kept");
    waiting.reset();
}

TEST_CASE("all domains at once are obeyed, and refused at once")
{
    // Guards against a call that waits for an instance until its timeout.
    two_domains it;
    it.fleet.evacuate("far");
    it.evacuate("near", 2);
    auto runs = it.near->backend->heads.size() + it.far->backend->heads.size();
    auto from = it.fleet.loop.now();
    auto answer = it.fleet.request(*it.entry, "s");
    CHECK(answer.status == 503);
    CHECK(answer.headers.find("Retry-After") != nullptr);
    CHECK(it.fleet.loop.now() - from < seconds(2));
    CHECK(it.near->backend->heads.size() + it.far->backend->heads.size() ==
          runs);
}

TEST_CASE("an unknown domain has no effect")
{
    // Guards against a name that the fleet does not know.
    two_domains it;
    it.evacuate("nowhere", 1);
    CHECK(it.fleet.request(*it.entry, "s").status == 200);
    CHECK(it.near->backend->heads.size() == 1);
}

TEST_CASE("nodes that start in an evacuated fleet do not send there")
{
    // Guards against requests between the start of a node and its first set.
    two_domains it;
    it.evacuate("near", 1);
    SECTION("one node restarts alone")
    {
        it.fleet.restart(*it.entry);
    }
    SECTION("one node restarts while the store is away")
    {
        it.entry->settings.seeds = {it.near->settings.announce_address,
                                    it.far->settings.announce_address};
        it.entry->store->down = true;
        it.fleet.restart(*it.entry);
    }
    SECTION("all nodes restart at once")
    {
        it.fleet.restart_all();
        for (auto& at : it.fleet.all)
            it.fleet.announce(*at, "ready");
    }
    auto answer = it.fleet.request(*it.entry, "s");
    REQUIRE(eventually(it.fleet, [&] {
        return it.fleet.request(*it.entry, "s").status == 200;
    }));
    CHECK((answer.status == 200 || answer.status == 503));
    CHECK(it.near->backend->heads.empty());
}

TEST_CASE("a node whose evacuations cannot be read serves after a while")
{
    // Guards against a fleet that a part of the store keeps from serving.
    small_fleet fleet;
    fleet.evacuation_limit = seconds(5);
    auto& only = fleet.add("s", serve);
    only.store->names_down = true;
    fleet.restart(only);
    fleet.announce(only, "ready");
    fleet.write_policy(1, {"s"}, "idempotent");
    auto from = fleet.loop.now();
    CHECK_FALSE(fleet.ready(only));
    CHECK(fleet.request(only, "s").status == 503);
    CHECK(eventually(fleet, [&] { return fleet.ready(only); }));
    CHECK(fleet.loop.now() - from < seconds(3));
    CHECK(fleet.request(only, "s").status == 200);
}

TEST_CASE("a sender that does not know of an evacuation tries other instances")
{
    // Guards against a request that fails because each instance that a late
    // node tries is evacuated, and against a long ejection for it.
    small_fleet fleet;
    fleet.failure_domain = "near";
    auto& late = fleet.add("front", serve);
    fleet.evacuation_limit = seconds(5);
    std::vector<small_fleet::instance*> evacuated;
    evacuated.reserve(4);
    for (int n = 0; n < 4; ++n)
        evacuated.push_back(&fleet.add("s", serve));
    fleet.failure_domain = "far";
    auto& far = fleet.add("s", serve);
    fleet.write_policy(1, {"front", "s"}, "non_idempotent");
    fleet.settle(1);
    // The entry node is one without the setting.
    fleet.evacuate("near");
    REQUIRE(eventually(fleet, [&] {
        return fleet.metrics(*evacuated.back())
                   .find("shallotwood_domains_evacuated 1") !=
               std::string::npos;
    }));
    run_for(fleet.loop, milliseconds(300));
    CHECK(fleet.request(late, "s", "key", "DELETE").status == 200);
    CHECK(far.backend->heads.size() == 1);
    fleet.withdraw_evacuation("near");
    run_for(fleet.loop, milliseconds(900));
    CHECK(fleet.request(late, "s", "key", "DELETE").status == 200);
    std::size_t runs = 0;
    for (const auto* it : evacuated)
        runs += it->backend->heads.size();
    CHECK(runs == 1);
}

TEST_CASE("queued work is refused as not run, and running work ends")
{
    // Guards against queued attempts that start after the evacuation, and
    // against running ones that are cut.
    loop::reactor loop;
    std::vector<std::pair<std::shared_ptr<scripted_connection>, std::string>>
        waiting;
    scripted_server server(loop, [&](scripted_connection& from,
                                     const std::string& head,
                                     const std::string&) {
        waiting.emplace_back(std::static_pointer_cast<scripted_connection>(
                                 from.shared_from_this()),
                             head);
    });
    local_node node(loop, server.address());
    std::vector<std::shared_ptr<run_recorder>> runs;
    auto start = [&](bool repeatable) {
        runs.push_back(std::make_shared<run_recorder>());
        node.executor.start(
            run_on_s("a" + std::to_string(runs.size()), repeatable),
            runs.back());
    };
    for (int n = 0; n < 6; ++n)
        start(false);
    auto running = node.executor.running_attempts();
    REQUIRE(running < runs.size());
    REQUIRE(run_until(loop, [&] { return waiting.size() == running; }));
    node.executor.set_evacuated(true);
    start(true);
    for (std::size_t n = running; n < runs.size(); ++n) {
        REQUIRE(runs[n]->failure);
        CHECK(runs[n]->failure->what ==
              request::verdict{execution::not_run, reason::evacuated});
    }
    CHECK(node.counts.at("runs_refused_evacuated") == runs.size() - running);
    for (auto& [to, head] : waiting)
        to->send(good_answer(head, "kept"));
    for (std::size_t n = 0; n < running; ++n) {
        REQUIRE(run_until(loop, [&] { return runs[n]->done(); }));
        CHECK(runs[n]->ended);
    }
    CHECK(server.heads.size() == running);
    node.executor.set_evacuated(false);
    start(true);
    CHECK(run_until(loop, [&] { return server.heads.size() > running; }));
    waiting.clear();
}

TEST_CASE("a request is not sent once more into an evacuated domain")
{
    // Guards against the repeat on a new connection, which the server gets
    // without a decision by the admission control.
    loop::reactor loop;
    std::shared_ptr<scripted_connection> waiting;
    scripted_server server(loop, [&](scripted_connection& from,
                                     const std::string& head,
                                     const std::string&) {
        if (waiting == nullptr && header_of(head, "X-Request-Id") == "first") {
            from.send(good_answer(head, ""));
            return;
        }
        waiting = std::static_pointer_cast<scripted_connection>(
            from.shared_from_this());
    });
    local_node node(loop, server.address());
    auto what = run_on_s("a", true);
    what.request_id = "first";
    auto first = std::make_shared<run_recorder>();
    node.executor.start(what, first);
    REQUIRE(run_until(loop, [&] { return first->ended; }));
    auto second = std::make_shared<run_recorder>();
    node.executor.start(run_on_s("b", true), second);
    REQUIRE(run_until(loop, [&] { return waiting != nullptr; }));
    bool evacuated = GENERATE(false, true);
    CAPTURE(evacuated);
    node.executor.set_evacuated(evacuated);
    waiting->abort();
    // The connection looks as if it was closed while idle.
    if (evacuated) {
        REQUIRE(run_until(loop, [&] { return second->done(); }));
        REQUIRE(second->failure);
        CHECK(second->failure->what.run == execution::may_have_run);
        CHECK(server.heads.size() == 2);
    } else {
        CHECK(run_until(loop, [&] { return server.heads.size() == 3; }));
    }
    waiting.reset();
}

TEST_CASE("a node without the setting neither watches nor waits")
{
    // Guards against changes on deployments without evacuations.
    small_fleet fleet;
    auto& only = fleet.add("s", serve);
    fleet.write_policy(1, {"s"}, "idempotent");
    fleet.settle(1);
    fleet.evacuate("d");
    run_for(fleet.loop, milliseconds(100));
    CHECK(only.store->names_watches() == 0);
    CHECK(fleet.request(only, "s").status == 200);
    CHECK(fleet.metrics(only).find("evacuated") == std::string::npos);
}

} // namespace shallotwood::test
