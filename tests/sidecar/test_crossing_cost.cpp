#include "process/routing/crossing_cost.hpp"
#include "process/routing/load_balancer.hpp"
#include "support/virtual_loop.hpp"

#include <catch2/catch.hpp>

namespace shallotwood::test
{

using namespace process;
using routing::attempt_outcome;
using routing::crossing_cost;
using routing::remoteness;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("the cost of a crossing rises with the round trip")
{
    virtual_loop loop;
    crossing_cost it(loop, "own");
    CHECK(it.to("own") == 0);
    CHECK(it.to("unknown") == crossing_cost::near_cost);
    it.record("near", milliseconds(2));
    CHECK(it.to("near") == crossing_cost::near_cost);
    it.record("middle", microseconds(3750));
    CHECK(it.to("middle") == Approx(0.55));
    it.record("far", microseconds(7800));
    CHECK(it.to("far") == crossing_cost::far_cost);
}

// One late reply of a busy process must not make a near domain distant.
TEST_CASE("delays of a process do not count as distance")
{
    virtual_loop loop;
    crossing_cost it(loop, "own");
    for (int n = 0; n < 100; ++n) {
        it.record("near", milliseconds(n % 10 == 0 ? 1 : 30));
        loop.advance(seconds(1));
    }
    CHECK(it.round_trip("near") == milliseconds(1));
}

TEST_CASE("a domain that moves is known at its new distance")
{
    virtual_loop loop;
    crossing_cost it(loop, "own");
    it.record("d", milliseconds(1));
    auto far_from = loop.now();
    while (it.round_trip("d") < milliseconds(8)) {
        loop.advance(seconds(1));
        it.record("d", milliseconds(8));
    }
    CHECK(loop.now() - far_from <= 2 * crossing_cost::window);
    // Silence says nothing about the distance.
    loop.advance(seconds(1000));
    CHECK(it.round_trip("d") == milliseconds(8));
    it.record("d", milliseconds(1));
    CHECK(it.to("d") == crossing_cost::near_cost);
}

TEST_CASE("the terms for distant domains are zero for near ones")
{
    remoteness near(crossing_cost::near_cost);
    CHECK(near.is_near());
    CHECK(near.crowding(1) == 0);
    CHECK(near.failure_factor() == 1);
    remoteness far(crossing_cost::far_cost);
    CHECK(far.crowding(0.5) == 0);
    // Otherwise calls queue in a full domain before they leave it.
    CHECK(far.crowding(1) + crossing_cost::far_cost < 1 + far.crowding(1));
}

namespace
{

class fixture
{
public:
    fixture() : view(self()), balancer(loop, random, view, "own")
    {
        add("a", "own");
        add("b", "own");
        add("c", "far");
        balancer.record_round_trip("c:1", microseconds(7800));
    }

    static fleet::instance self()
    {
        fleet::instance it;
        it.peer = {"self", 1};
        it.service = "other";
        return it;
    }

    void add(const std::string& host, const std::string& domain)
    {
        fleet::instance it;
        it.peer = {host, 1};
        it.failure_domain = domain;
        it.incarnation = 1;
        it.service = "s";
        it.state = fleet::backend_state::ready;
        it.slots = 10;
        view.learn(it);
    }

    std::string choose(const std::vector<std::string>& tried = {},
                       duration in_objective = seconds(1))
    {
        return balancer.choose("s", "r", tried, seconds(5), in_objective)
            ->peer.host;
    }

    void answer(const std::string& name, attempt_outcome how, duration took)
    {
        balancer.sent(name);
        balancer.ended(name, "r", how, took);
    }

    virtual_loop loop;
    random_source random{1};
    fleet::fleet_view view;
    routing::load_balancer balancer;
};

} // namespace

// Three refusals in the own domain would use up the attempts of a call.
TEST_CASE("after a refusal in the own domain the next attempt may leave it")
{
    fixture it;
    for (int n = 0; n < 8; ++n) {
        it.balancer.sent("a:1");
        it.balancer.sent("b:1");
    }
    CHECK(it.choose() != "c");
    it.balancer.ended("a:1", "r", attempt_outcome::refused_overload, {});
    CHECK(it.choose({"a:1"}) == "c");
}

TEST_CASE("a failing instance in the own domain is left for a distant one")
{
    fixture it;
    for (const char* name : {"a:1", "b:1"})
        for (int n = 0; n < 2; ++n)
            it.answer(name, attempt_outcome::failed, milliseconds(1));
    CHECK(it.choose() == "c");
}

TEST_CASE("a slow domain is left if it would miss the latency objective")
{
    fixture it;
    it.answer("a:1", attempt_outcome::served, milliseconds(250));
    it.answer("b:1", attempt_outcome::served, milliseconds(250));
    it.answer("c:1", attempt_outcome::served, milliseconds(50));
    CHECK(it.choose() != "c");
    CHECK(it.choose({}, milliseconds(300)) == "c");
}

} // namespace shallotwood::test
