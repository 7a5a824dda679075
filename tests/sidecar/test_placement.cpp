#include "process/routing/load_balancer.hpp"
#include "support/virtual_loop.hpp"

#include <catch2/catch.hpp>
#include <map>
#include <set>

namespace shallotwood::test
{

using namespace process;
using routing::attempt_outcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

class fixture
{
public:
    fixture()
        : random(1), view(self()), load_balancer(loop, random, view, "near")
    {
    }

    static fleet::instance self()
    {
        fleet::instance it;
        it.peer = {"10.0.0.1", 1};
        it.service = "other";
        return it;
    }

    fleet::instance add(const std::string& host, const std::string& domain)
    {
        fleet::instance it;
        it.peer = {host, 1};
        it.failure_domain = domain;
        it.incarnation = 1;
        it.service = "s";
        it.state = fleet::backend_state::ready;
        it.slots = 10;
        view.learn(it);
        return it;
    }

    std::string choose(const std::vector<std::string>& tried = {})
    {
        const auto* it = load_balancer.choose("s", "r", tried);
        return it == nullptr ? std::string() : it->peer.host;
    }

    // How often each host is chosen when calls stay in flight.
    std::map<std::string, int> fill(int calls)
    {
        std::map<std::string, int> chosen;
        for (int n = 0; n < calls; ++n) {
            const auto* it = load_balancer.choose("s", "r", {});
            load_balancer.sent(it->name());
            ++chosen[it->peer.host];
        }
        return chosen;
    }

    virtual_loop loop;
    random_source random;
    fleet::fleet_view view;
    routing::load_balancer load_balancer;
};

} // namespace

TEST_CASE("only instances that take calls are chosen")
{
    fixture it;
    CHECK(it.choose().empty());
    auto draining = it.add("a", "near");
    draining.sequence = 1;
    draining.state = fleet::backend_state::draining;
    it.view.learn(draining);
    auto leaving = it.add("b", "near");
    leaving.sequence = 1;
    leaving.leaving = true;
    it.view.learn(leaving);
    CHECK(it.choose().empty());
    it.add("c", "far");
    CHECK(it.choose() == "c");
    CHECK(it.choose({"c:1"}).empty());
}

TEST_CASE("the own failure domain goes first, but not at the price of a queue")
{
    fixture it;
    it.add("a", "near");
    it.add("b", "far");
    CHECK(it.choose() == "a");
    auto chosen = it.fill(18);
    CHECK(chosen["b"] >= 4);
    CHECK(chosen["a"] >= chosen["b"]);
}

TEST_CASE("a backend server that is slow on a route is left, and tried again")
{
    fixture it;
    it.add("fast", "near");
    it.add("slow", "near");
    auto answer = [&](const std::string& name, duration took) {
        it.load_balancer.sent(name);
        it.load_balancer.ended(name, "r", attempt_outcome::served, took);
    };
    answer("fast:1", milliseconds(20));
    answer("slow:1", milliseconds(200));
    for (int n = 0; n < 20; ++n)
        CHECK(it.choose() == "fast");
    it.loop.advance(seconds(5));
    std::set<std::string> chosen;
    for (int n = 0; n < 50; ++n)
        chosen.insert(it.choose());
    CHECK(chosen.size() == 2);
}

TEST_CASE("a backend server that does not answer in time is slow")
{
    fixture it;
    it.add("a", "near");
    it.add("b", "far");
    it.load_balancer.sent("b:1");
    it.load_balancer.ended("b:1", "r", attempt_outcome::served,
                           milliseconds(20));
    it.load_balancer.sent("a:1");
    it.load_balancer.ended("a:1", "r", attempt_outcome::timed_out,
                           milliseconds(300));
    CHECK(it.choose() == "b");
}

// Two of four backend servers stayed idle in an overload, because the others
// had shorter work and so seemed faster.
TEST_CASE("long work of another route does not make a backend server slow")
{
    fixture it;
    it.add("a", "near");
    it.add("b", "near");
    it.load_balancer.report("a:1", {0, 0, 10, milliseconds(20)});
    it.load_balancer.report("b:1", {0, 0, 10, milliseconds(130)});
    it.load_balancer.sent("b:1");
    it.load_balancer.ended("b:1", "long", attempt_outcome::served,
                           milliseconds(130));
    auto chosen = it.fill(20);
    CHECK(chosen["a"] <= 12);
    CHECK(chosen["b"] <= 12);
}

// A caller that is refused at once finds another node; one whose request waits
// for a silent connection has no time left for that.
TEST_CASE("an unreachable instance is not chosen")
{
    fixture it;
    it.add("a", "near");
    it.add("b", "far");
    it.load_balancer.set_reachable("a:1", false);
    for (int n = 0; n < 20; ++n)
        CHECK(it.choose() == "b");
    CHECK(it.choose({"b:1"}).empty());
    it.load_balancer.set_reachable("a:1", true);
    CHECK(it.choose() == "a");
}

// Its health looks good, and no three calls in a row fail.
TEST_CASE("a backend server that fails a third of its calls gets few")
{
    fixture it;
    it.add("good", "far");
    it.add("grey", "near");
    int to_grey = 0;
    for (int n = 0; n < 300; ++n) {
        auto host = it.choose();
        auto name = host + ":1";
        to_grey += host == "grey";
        it.load_balancer.sent(name);
        bool fails = host == "grey" && to_grey % 3 == 0;
        it.load_balancer.ended(name, "r",
                               fails ? attempt_outcome::failed
                                     : attempt_outcome::served,
                               milliseconds(10));
        it.loop.advance(milliseconds(10));
    }
    CHECK(to_grey < 60);
    CHECK(to_grey > 0);
}

TEST_CASE("an instance that keeps failing is left for a time")
{
    fixture it;
    it.add("a", "near");
    it.add("b", "far");
    for (int n = 0; n < 3; ++n) {
        it.load_balancer.sent("a:1");
        it.load_balancer.ended("a:1", "r", attempt_outcome::failed,
                               milliseconds(1));
    }
    CHECK(it.choose() == "b");
    it.loop.advance(seconds(5));
    CHECK(it.choose() == "a");
}

TEST_CASE("no instance of an evacuated domain is chosen")
{
    // Guards against evacuated instances that are only avoided.
    fixture it;
    it.add("a", "near");
    it.add("b", "far");
    CHECK(it.choose() == "a");
    it.load_balancer.set_evacuated({"near", "unknown"});
    CHECK(it.choose() == "b");
    CHECK(it.choose({"b:1"}).empty());
    CHECK_FALSE(it.load_balancer.is_evacuated("s"));
    it.load_balancer.set_evacuated({"near", "far"});
    CHECK(it.choose().empty());
    CHECK(it.load_balancer.is_evacuated("s"));
    CHECK_FALSE(it.load_balancer.is_evacuated("none"));
    it.load_balancer.set_evacuated({});
    CHECK(it.choose() == "a");
}

TEST_CASE("a refusal because of an evacuation is valid for its domain, briefly")
{
    // Guards against tries at one evacuated instance after the other, and
    // against an ejection that outlasts the evacuation.
    fixture it;
    auto first = it.add("a", "near");
    it.add("b", "near");
    it.add("c", "far");
    it.load_balancer.sent(first.name());
    it.load_balancer.ended(first.name(), "r",
                           attempt_outcome::refused_evacuated, milliseconds(1));
    CHECK(it.choose() == "c");
    CHECK_FALSE(it.choose({"10.0.0.1:1", "c:1"}).empty());
    it.loop.advance(milliseconds(400));
    CHECK(it.choose() != "c");
}

} // namespace shallotwood::test
