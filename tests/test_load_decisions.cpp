#include "process/admission_controller.hpp"
#include "process/concurrency_limit.hpp"
#include "process/load_balancer.hpp"
#include "process/shed_key.hpp"
#include "process/shed_threshold_table.hpp"
#include "process/success_retry_budget.hpp"
#include "request/retry_allowance.hpp"
#include "support/virtual_loop.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

namespace shallotwood::test
{

using namespace process;
using request::importance;
using std::chrono::milliseconds;
using std::chrono::seconds;

// A child that could multiply the allowance makes retries exponential in depth.
TEST_CASE("a retry allowance is moved and never copied")
{
    request::retry_allowance parent(3);
    int lent = parent.lend();
    CHECK(lent == 2);
    CHECK(parent.left() == 1);
    parent.take_back(lent, 9);
    CHECK(parent.left() == 3);
    parent.take_back(0, 1);
    CHECK(parent.left() == 3);
    for (int n = 0; n < 3; ++n)
        CHECK(parent.spend());
    CHECK_FALSE(parent.spend());
    CHECK(request::retry_allowance(-1).left() == 0);
}

// A node that retries without successes feeds an outage.
TEST_CASE("retries of a node stay under a tenth of its successes")
{
    success_retry_budget ratio;
    int made = 0;
    for (int n = 0; n < 1000; ++n) {
        ratio.succeeded();
        made += ratio.spend() + ratio.spend();
    }
    CHECK(made <= 100 + success_retry_budget::reserve);
    while (ratio.spend())
        ;
    for (int n = 0; n < 1000; ++n)
        CHECK_FALSE(ratio.spend());
}

// Another order at one hop would shed requests that other hops have paid for.
TEST_CASE("shed keys order by importance, then by demand")
{
    auto key = [](importance level, double demand) {
        return make_shed_key(level, "request", demand);
    };
    CHECK(key(importance::critical, 1e9) < key(importance::high, 1e-9));
    CHECK(key(importance::normal, 1) < key(importance::normal, 5));
    CHECK(key(importance::low, 1e9) < above_all_keys);
    CHECK(shift_key(request::no_shed_threshold, -1) ==
          request::no_shed_threshold);
    CHECK(shift_key(above_all_keys - 1, 1) == request::no_shed_threshold);
    CHECK(shift_key(5, -1) == 0);
}

// With plain random shedding, a workspace with five times the demand gets five
// times the service.
TEST_CASE("one threshold passes equal rates of unequal workspaces")
{
    auto shed_threshold =
        make_shed_key(importance::normal, "", 0) + 10 * ranks_per_octave;
    std::map<double, int> passed;
    for (int n = 0; n < 20000; ++n) {
        for (double demand : {0.5, 2.0, 10.0}) {
            auto id = std::to_string(n) + "/" + std::to_string(demand);
            passed[demand] +=
                make_shed_key(importance::normal, id, demand) < shed_threshold;
        }
    }
    // The threshold is 1: demand below it passes in full.
    CHECK(passed[0.5] == 20000);
    CHECK(passed[2.0] == Approx(10000).epsilon(0.05));
    CHECK(passed[10.0] == Approx(2000).epsilon(0.1));
}

// Callers choose workspace names on open routes; memory must not follow them.
TEST_CASE("the demand estimator is bounded and follows the rate")
{
    virtual_loop loop;
    demand_estimator demand(loop);
    double seen = 0;
    for (int n = 0; n < 1000; ++n) {
        loop.advance(milliseconds(5));
        seen = demand.count("a", 100);
    }
    CHECK(seen == Approx(2).epsilon(0.05));
    for (std::size_t n = 0; n < 2 * demand_estimator::max_workspaces; ++n)
        demand.count(std::to_string(n));
    CHECK(demand.size() <= demand_estimator::max_workspaces + 1);
    loop.advance(seconds(20));
    demand.count("b");
    CHECK(demand.size() == 1);
}

struct simulated_server {
    virtual_loop loop;
    concurrency_limit limit{loop, 100};

    // Completes `count` requests whose latency is `base` up to `parallel`
    // requests at once, and in proportion to the concurrency beyond.
    void complete(int count, duration base, int parallel)
    {
        for (int n = 0; n < count; ++n) {
            int running = limit.current();
            double stretch = std::max(1.0, double(running) / parallel);
            auto own = duration(static_cast<std::int64_t>(
                static_cast<double>(base.count()) * stretch));
            loop.advance(own / running);
            limit.finished(true, own, running);
        }
    }
};

// A cold backend server that gets its full load at once times out on all of it.
TEST_CASE("the limit starts low and reaches the slots with successes")
{
    simulated_server it;
    CHECK(it.limit.current() == 25);
    it.limit.finished(false, milliseconds(1), 1);
    CHECK(it.limit.current() == 25);
    it.complete(75, milliseconds(50), 1000);
    CHECK(it.limit.current() == 100);
    it.limit.restart();
    CHECK(it.limit.current() == 25);
}

// Announced slots that the backend server does not have only add latency.
TEST_CASE("the limit falls to what a backend server really runs at once")
{
    simulated_server it;
    it.complete(100, milliseconds(50), 1000);
    it.complete(2000, milliseconds(50), 1000);
    REQUIRE(it.limit.current() == 100);
    it.complete(20000, milliseconds(50), 30);
    CHECK(it.limit.current() <= 75);
    CHECK(it.limit.current() >= 30);
}

// A lower limit for a backend server that is slow at any concurrency would
// lose throughput for nothing.
TEST_CASE("the limit of a uniformly slow backend server is restored")
{
    simulated_server it;
    it.complete(3000, milliseconds(50), 1000);
    it.complete(20000, milliseconds(500), 1000);
    CHECK(it.limit.current() == 100);
}

// The lowest of several cuts would refuse work that others have slots for, and
// a cut kept for ever would refuse after the overload.
TEST_CASE("the cut table averages recent cuts and forgets")
{
    virtual_loop loop;
    shed_threshold_table shed_thresholds(loop);
    CHECK(shed_thresholds.service_threshold("s") == request::no_shed_threshold);
    for (int n = 0; n < 200; ++n) {
        loop.advance(milliseconds(5));
        shed_thresholds.update_service("s", n % 2 == 0 ? 1000000 : 3000000);
        shed_thresholds.update_route("r", request::no_shed_threshold);
    }
    CHECK(shed_thresholds.service_threshold("s") > 1500000);
    CHECK(shed_thresholds.service_threshold("s") < 2500000);
    CHECK(shed_thresholds.route_threshold("r") == request::no_shed_threshold);
    CHECK(shed_thresholds.route_threshold("s") == request::no_shed_threshold);
    loop.advance(shed_threshold_table::lifetime);
    CHECK(shed_thresholds.service_threshold("s") == request::no_shed_threshold);
}

int lesser_queued(const std::map<std::string, importance>& queued,
                  importance level)
{
    return static_cast<int>(
        std::count_if(queued.begin(), queued.end(),
                      [=](const auto& it) { return it.second > level; }));
}

// The promises of admission under arbitrary traffic.
TEST_CASE("admission keeps its promises under random traffic")
{
    virtual_loop loop;
    random_source random(5);
    admission_controller gate(loop, loop, 8);
    std::map<std::string, importance> queued;
    std::set<std::string> running;
    int decided = 0;
    int overloads = 0;
    const int count = 20000;
    for (int n = 0; n < count; ++n) {
        loop.advance(duration(random.below(2000)));
        // Load alternates between a third and three times the capacity.
        bool busy = (n / 2000) % 2 == 1;
        for (unsigned it = 0; it < (busy ? 1 : 3) && !running.empty(); ++it) {
            if (random.below(3) != 0)
                continue;
            auto id = *running.begin();
            running.erase(id);
            gate.finished(id, true);
        }
        request::call_context it;
        it.attempt_id = std::to_string(n);
        it.workspace = std::to_string(random.below(3));
        it.level = static_cast<importance>(random.below(4));
        it.key = make_shed_key(it.level, it.attempt_id, 1);
        it.depth = static_cast<int>(random.below(2));
        auto deadline = loop.now() + milliseconds(random.below(300));
        queued[it.attempt_id] = it.level;
        gate.arrive(it, deadline,
                    [&, id = it.attempt_id, deadline](auto refusal) {
                        ++decided;
                        auto level = queued.at(id);
                        queued.erase(id);
                        if (!refusal) {
                            CHECK(loop.now() < deadline);
                            running.insert(id);
                            return;
                        }
                        CHECK(refusal->run == request::execution::not_run);
                        if (refusal->why != request::reason::overload)
                            return;
                        ++overloads;
                        CHECK(gate.running() >= gate.limit());
                        if (level <= importance::high)
                            CHECK(lesser_queued(queued, level) == 0);
                    });
        CHECK(gate.queued() <= 8);
        CHECK(gate.running() == static_cast<int>(running.size()));
    }
    CHECK(overloads > 100);
    bool idle = false;
    gate.drain([&] { idle = true; });
    CHECK(decided == count);
    CHECK(queued.empty());
    CHECK_FALSE(idle);
    while (!running.empty()) {
        auto id = *running.begin();
        running.erase(id);
        gate.finished(id, true);
    }
    CHECK(idle);
}

class late_timers final : public scheduler
{
public:
    timer_id call_after(duration, std::function<void()>) override
    {
        return timer_id{1};
    }
    void cancel(timer_id) override {}
};

// The timer of the queue can be late on a busy loop; a request that runs after
// its deadline wastes a slot.
TEST_CASE("the deadline is checked again before running")
{
    virtual_loop loop;
    late_timers timers;
    admission_controller gate(loop, timers, 1);
    request::call_context it;
    it.attempt_id = "first";
    gate.arrive(it, loop.now() + seconds(1), [](auto) {});
    it.attempt_id = "second";
    std::optional<request::verdict> refusal;
    gate.arrive(it, loop.now() + seconds(1), [&](auto got) { refusal = got; });
    loop.advance(seconds(2));
    gate.finished("first", true);
    REQUIRE(refusal);
    CHECK(refusal->why == request::reason::deadline);
    CHECK(gate.running() == 0);
}

struct balanced {
    virtual_loop loop;
    random_source random{3};
    load_balancer routes{
        loop, random, {"here", milliseconds(2), seconds(5), 5}};
    std::map<std::string, int> chosen;

    static member server(const std::string& name, const std::string& domain,
                         member_state state = member_state::active)
    {
        member it;
        it.instance = name;
        it.service = "s";
        it.slots = 10;
        it.failure_domain = domain;
        it.state = state;
        return it;
    }

    // Each call is answered at once.
    void call(int count, std::map<std::string, duration> latency,
              const std::string& failing = "")
    {
        for (int n = 0; n < count; ++n) {
            const auto* it = routes.choose("s");
            REQUIRE(it != nullptr);
            auto name = it->instance;
            ++chosen[name];
            routes.sent("s", name);
            loop.advance(milliseconds(5));
            routes.answered("s", name,
                            name == failing ? attempt_outcome::failed
                                            : attempt_outcome::success,
                            latency[name]);
        }
    }
};

// New work on a leaving backend server is cut short by its end.
TEST_CASE("a leaving backend server is not chosen")
{
    balanced it;
    it.routes.assign("s", {balanced::server("a", "here"),
                           balanced::server("b", "here", member_state::leaving),
                           balanced::server("c", "here", member_state::dead)});
    it.call(100, {});
    CHECK(it.chosen["a"] == 100);
    CHECK(it.routes.choose("s", {"a"}) == nullptr);
    it.routes.assign("s",
                     {balanced::server("a", "here", member_state::leaving)});
    CHECK(it.routes.choose("s") == nullptr);
}

// A trip costs more than it saves while the own failure domain is not slower.
TEST_CASE("calls stay in the failure domain until it is slower than the trip")
{
    balanced it;
    it.routes.assign("s", {balanced::server("near", "here"),
                           balanced::server("far", "there")});
    it.call(500, {{"near", milliseconds(10)}, {"far", milliseconds(12)}});
    CHECK(it.chosen["far"] == 0);
    it.call(500, {{"near", milliseconds(60)}, {"far", milliseconds(12)}});
    CHECK(it.chosen["far"] > 300);
}

// A failing backend server that answers at once attracts all calls; ejecting
// too many overloads the rest.
TEST_CASE("failing backend servers are ejected, at most half of them")
{
    balanced it;
    it.routes.assign("s", {balanced::server("a", "here"),
                           balanced::server("b", "here"),
                           balanced::server("c", "here")});
    it.call(200, {}, "a");
    CHECK(it.routes.ejected("s", "a"));
    CHECK(it.chosen["a"] < 20);
    for (int n = 0; n < 10; ++n)
        it.routes.answered("s", "b", attempt_outcome::failed, milliseconds(1));
    CHECK_FALSE(it.routes.ejected("s", "b"));
    it.loop.advance(seconds(6));
    CHECK_FALSE(it.routes.ejected("s", "a"));
}

// All nodes that follow one stale figure send to the same backend server.
TEST_CASE("many senders without feedback spread evenly")
{
    std::map<std::string, int> total;
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
        balanced it;
        it.random = random_source(seed);
        it.routes.assign("s", {balanced::server("a", "here"),
                               balanced::server("b", "here"),
                               balanced::server("c", "here"),
                               balanced::server("d", "here")});
        for (int n = 0; n < 4; ++n)
            ++total[it.routes.choose("s")->instance];
    }
    for (const auto& [name, count] : total)
        CHECK(count < 90);
    CHECK(total.size() == 4);
}

// A request in flight on a busy backend server waits behind the others.
TEST_CASE("calls avoid the backend server with most of them in flight")
{
    balanced it;
    it.routes.assign(
        "s", {balanced::server("a", "here"), balanced::server("b", "here")});
    for (int n = 0; n < 5; ++n)
        it.routes.sent("s", "a");
    for (int n = 0; n < 20; ++n)
        CHECK(it.routes.choose("s")->instance == "b");
}

} // namespace shallotwood::test
