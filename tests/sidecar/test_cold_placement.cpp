#include "process/load/admission_controller.hpp"
#include "process/load/cold_start.hpp"
#include "process/routing/load_balancer.hpp"
#include "support/virtual_loop.hpp"

#include <catch2/catch.hpp>
#include <memory>
#include <vector>

namespace shallotwood::test
{

using namespace process;
using load::admission_decision;
using routing::attempt_outcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr int slots = 10;
constexpr double rate = 12;
constexpr duration call_time = milliseconds(50);

fleet::instance entry(int number, double cold_rate)
{
    fleet::instance it;
    it.peer = {"10.0.0." + std::to_string(number), 1};
    it.failure_domain = "d" + std::to_string(number % 3);
    it.incarnation = 1;
    it.service = "s";
    it.state = fleet::backend_state::ready;
    it.slots = slots;
    it.cold_rate = cold_rate;
    return it;
}

fleet::instance outsider()
{
    fleet::instance it;
    it.peer = {"10.1.0.1", 1};
    it.service = "other";
    return it;
}

// One entry node.
struct entry_node {
    entry_node(const clock& time, std::uint64_t seed)
        : random(seed), view(outsider()),
          balancer(time, random, view, "d" + std::to_string(seed % 3))
    {
    }

    random_source random;
    fleet::fleet_view view;
    routing::load_balancer balancer;
};

// Entry nodes and instances, of which the first `cold` are cold. Calls go as an
// entry call sends them: to further instances after a refusal.
class site
{
public:
    site(int entries, int instances, int cold) : cold_(cold), random_(7)
    {
        for (int n = 0; n < instances; ++n) {
            auto it = std::make_unique<load::admission_controller>(loop, loop);
            it->set_slots(slots);
            if (n < cold)
                it->set_cold_limit(load::start_limit{rate, 4});
            servers_.push_back(std::move(it));
        }
        for (int n = 0; n < entries; ++n) {
            entries_.push_back(std::make_unique<entry_node>(
                loop, static_cast<std::uint64_t>(n)));
            for (int k = 0; k < instances; ++k)
                entries_.back()->view.learn(entry(k, k < cold ? rate : 0));
        }
    }

    void load(double per_second, duration time)
    {
        auto step = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(1 / per_second));
        for (duration gone{}; gone < time; gone += step) {
            send(*entries_[random_.below(entries_.size())], {});
            loop.advance(step);
        }
        loop.advance(seconds(1));
    }

    virtual_loop loop;
    int cold_starts = 0;
    int cold_refusals = 0;
    int served = 0;
    int failed = 0;

private:
    void send(entry_node& from, std::vector<std::string> tried)
    {
        const auto* it = from.balancer.choose("s", "r", tried);
        if (it == nullptr || tried.size() == 3) {
            ++failed;
            return;
        }
        auto name = it->name();
        auto number = std::stoul(it->peer.host.substr(7));
        bool cold = static_cast<int>(number) < cold_;
        auto& at = *servers_[number];
        auto sent = loop.now();
        from.balancer.sent(name);
        at.arrive(
            {++last_, false, 1, sent + milliseconds(250)},
            [this, &from, &at, name, cold, sent,
             tried](admission_decision decided) mutable {
                if (decided == admission_decision::run) {
                    cold_starts += cold ? 1 : 0;
                    loop.call_after(call_time, [this, &from, &at, name, sent] {
                        at.finished(call_time);
                        ++served;
                        from.balancer.ended(name, "r", attempt_outcome::served,
                                            loop.now() - sent);
                    });
                    return;
                }
                cold_refusals += cold ? 1 : 0;
                from.balancer.ended(name, "r",
                                    attempt_outcome::refused_overload,
                                    loop.now() - sent, at.retry_after());
                tried.push_back(name);
                send(from, tried);
            });
    }

    int cold_;
    random_source random_;
    std::uint64_t last_ = 0;
    std::vector<std::unique_ptr<load::admission_controller>> servers_;
    std::vector<std::unique_ptr<entry_node>> entries_;
};

} // namespace

// Guards against entry nodes that together send a cold server many times its
// rate, because each sees an idle one, and against a server that stays unused.
TEST_CASE("a cold server among many gets its rate and hardly a refusal")
{
    constexpr double demand = 0.6;
    constexpr int entries = 82;
    // One server, and a whole failure domain that returns at once.
    for (int cold : {1, 13}) {
        INFO(cold);
        constexpr int instances = 41;
        site it(entries, instances, cold);
        double capacity = (instances - cold) * slots / 0.05;
        it.load(demand * capacity, seconds(8));
        auto expected = demand * rate * cold * 8;
        CHECK(it.cold_starts >= 0.7 * expected);
        CHECK(it.cold_starts <= rate * cold * 8);
        CHECK(it.cold_refusals <= 0.05 * expected);
        CHECK(it.failed == 0);
    }
}

// Guards against callers that get nothing, or wait, when a whole service is
// cold.
TEST_CASE("if all instances are cold each gets its rate")
{
    site it(20, 4, 4);
    it.load(500, seconds(5));
    CHECK(it.cold_starts >= 0.9 * 4 * rate * 5);
    CHECK(it.cold_starts <= 1.2 * 4 * rate * 5);
    CHECK(it.served + it.failed >= 2500);
}

// Guards against seeds that lose their meaning, on deployments without cold
// servers.
TEST_CASE("without cold instances no further random number is drawn")
{
    virtual_loop loop;
    entry_node it(loop, 5);
    for (int n = 0; n < 3; ++n)
        it.view.learn(entry(n, 0));
    random_source same(5);
    it.balancer.choose("s", "r", {});
    for (int n = 0; n < 3; ++n)
        same.unit();
    CHECK(it.random.unit() == same.unit());
}

// Guards against a server that stays unused since its last report was of the
// limit that it had while it was cold.
TEST_CASE("an instance that has become warm is used like the others")
{
    virtual_loop loop;
    entry_node it(loop, 0);
    auto cold = entry(0, rate);
    it.view.learn(cold);
    it.view.learn(entry(3, 0));
    it.balancer.choose("s", "r", {});
    it.balancer.report(cold.name(), {1, 2, 1, milliseconds(50)});
    CHECK(it.balancer.is_cold_among_warm(cold.name()));
    cold.cold_rate = 0;
    ++cold.sequence;
    it.view.learn(cold);
    loop.advance(seconds(1));
    int chosen = 0;
    for (int n = 0; n < 10; ++n) {
        const auto* at = it.balancer.choose("s", "r", {});
        it.balancer.sent(at->name());
        chosen += at->name() == cold.name() ? 1 : 0;
    }
    CHECK(chosen >= 4);
    CHECK_FALSE(it.balancer.is_cold_among_warm(cold.name()));
}

// Guards against calls that all entry nodes send to a cold server in turn.
TEST_CASE("a cold instance that refuses is left for the time that it names")
{
    virtual_loop loop;
    entry_node it(loop, 0);
    it.view.learn(entry(0, 1e6));
    it.view.learn(entry(3, 0));
    auto name = entry(0, 1e6).name();
    REQUIRE(it.balancer.choose("s", "r", {})->name() == name);
    it.balancer.sent(name);
    it.balancer.ended(name, "r", attempt_outcome::refused_overload,
                      milliseconds(1), milliseconds(300));
    loop.advance(milliseconds(299));
    CHECK(it.balancer.choose("s", "r", {})->name() != name);
    loop.advance(milliseconds(2));
    CHECK(it.balancer.choose("s", "r", {})->name() == name);
}

// Guards against entries that nodes of earlier versions send or can't read.
TEST_CASE("the cold rate of an entry is optional")
{
    auto cold = entry(0, rate);
    auto warm = entry(0, 0);
    CHECK_FALSE(cold == warm);
    CHECK(fleet::instance_from_json(to_json(cold)) == cold);
    CHECK_FALSE(to_json(warm).isMember("cold_rate"));
    CHECK(fleet::instance_from_json(to_json(warm)) == warm);
    auto bad = to_json(warm);
    for (const auto& value : {Json::Value("12"), Json::Value(-1.0)}) {
        bad["cold_rate"] = value;
        CHECK_FALSE(fleet::instance_from_json(bad));
    }
}

} // namespace shallotwood::test
