// Which nodes watch the store, and how a route's traffic is split.
#include "process/fleet/watcher_election.hpp"
#include "process/routing/service_split.hpp"
#include "support/virtual_loop.hpp"

#include <catch2/catch.hpp>
#include <memory>

namespace shallotwood::test
{

using namespace process;
using namespace process::fleet;

namespace
{

instance node(std::size_t n)
{
    instance it;
    it.peer = {"10.0.0." + std::to_string(n), 1};
    it.incarnation = 1;
    return it;
}

// Nodes that all know one another.
class fixture
{
public:
    explicit fixture(std::size_t count)
    {
        for (std::size_t n = 0; n < count; ++n) {
            views.push_back(std::make_unique<fleet_view>(node(n)));
            for (std::size_t other = 0; other < count; ++other)
                views.back()->learn(node(other));
            duties.push_back(std::make_unique<watcher_election>(
                loop, *views.back(), "config/main",
                [](const std::string&) { return true; }));
        }
    }

    std::vector<std::size_t> is_watcher() const
    {
        std::vector<std::size_t> all;
        for (std::size_t n = 0; n < duties.size(); ++n)
            if (duties[n]->is_watcher())
                all.push_back(n);
        return all;
    }

    // Watchers report to all nodes meanwhile.
    void advance(duration span)
    {
        for (auto end = loop.now() + span; loop.now() < end;) {
            for (auto n : is_watcher())
                for (auto& it : duties)
                    it->record_watcher(views[n]->self().name());
            loop.advance(std::chrono::milliseconds(500));
        }
    }

    // All nodes hear that the store does not answer this one.
    void lose_store(std::size_t n)
    {
        for (auto& it : duties)
            it->store_unreachable(views[n]->self().name());
    }

    virtual_loop loop;
    std::vector<std::unique_ptr<fleet_view>> views;
    std::vector<std::unique_ptr<watcher_election>> duties;
};

} // namespace

TEST_CASE("a fixed number of nodes watches the store, without agreement")
{
    CHECK(fixture(3).is_watcher().size() == 3);
    CHECK(fixture(15).is_watcher().size() == 5);
    CHECK(fixture(80).is_watcher().size() == 5);
}

TEST_CASE("a node that the store does not answer is passed over for a while")
{
    fixture it(20);
    auto before = it.is_watcher();
    it.lose_store(before.front());
    auto after = it.is_watcher();
    CHECK(after.size() == before.size());
    CHECK(after != before);
    it.advance(std::chrono::seconds(6));
    CHECK(it.is_watcher() == before);
}

TEST_CASE("while the store answers nobody, the usual nodes go on asking")
{
    fixture it(20);
    auto before = it.is_watcher();
    for (std::size_t n = 0; n < 20; ++n)
        it.lose_store(n);
    CHECK(it.is_watcher() == before);
}

TEST_CASE("a route's traffic is split by its weights over any stretch")
{
    random_source random(1);
    routing::service_split split(random);
    version::route route;
    route.name = "r";
    route.services = {{"a", 7}, {"b", 2}, {"c", 1}};
    for (int stretch = 0; stretch < 5; ++stretch) {
        std::map<std::string, int> counts;
        for (int n = 0; n < 100; ++n)
            ++counts[split.choose(route)];
        CHECK(std::abs(counts["a"] - 70) <= 1);
        CHECK(std::abs(counts["b"] - 20) <= 1);
        CHECK(std::abs(counts["c"] - 10) <= 1);
    }
    // New weights hold at once.
    route.services = {{"a", 1}, {"c", 1}};
    std::map<std::string, int> counts;
    for (int n = 0; n < 10; ++n)
        ++counts[split.choose(route)];
    CHECK(counts["a"] == 5);
    CHECK(counts["b"] == 0);
}

} // namespace shallotwood::test
