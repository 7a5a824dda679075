// Which changes reach the nodes in time while the store or its watchers fail.
#include "sidecar/support/watch_fleet.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

namespace shallotwood::test
{

using namespace process;
using std::chrono::milliseconds;
using std::chrono::seconds;
using fault = watch_fleet::fault;

namespace
{

// The shortest time that a deployment allows a change to take.
constexpr duration apply_limit = seconds(2);

constexpr std::uint64_t seeds = 40;

// Refuses the nodes that read the store last, and others, a third of all.
std::vector<std::size_t> refuse_readers(watch_fleet& of, fault how,
                                        std::uint64_t seed)
{
    auto all = of.readers();
    std::mt19937_64 random(seed);
    std::shuffle(all.begin() + 5, all.end(), random);
    all.resize(of.size() * 35 / 100);
    for (auto n : all)
        of.set_store(n, how);
    return all;
}

void change_each(watch_fleet& of, duration gap, duration span)
{
    for (auto end = of.loop.now() + span; of.loop.now() < end;) {
        of.change();
        of.advance(gap);
    }
}

} // namespace

TEST_CASE("a change is in force in time while the store refuses its watchers")
{
    auto size = GENERATE(std::size_t{15}, std::size_t{76});
    auto how = GENERATE(fault::refuse, fault::silent);
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(size, seed, how == fault::silent);
        watch_fleet fleet(size, seed);
        refuse_readers(fleet, how, seed);
        change_each(fleet, milliseconds(700), seconds(6));
        fleet.advance(apply_limit);
        CHECK(fleet.slowest().count() < apply_limit.count());
    }
}

TEST_CASE("a change is in force in time if the store refuses nodes soon after "
          "an outage")
{
    auto size = GENERATE(std::size_t{15}, std::size_t{76});
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(size, seed);
        watch_fleet fleet(size, seed);
        fleet.set_store(fault::refuse);
        fleet.advance(milliseconds(3000 + 37 * seed));
        fleet.heal_store();
        fleet.advance(milliseconds(500));
        refuse_readers(fleet, fault::refuse, seed);
        change_each(fleet, milliseconds(700), seconds(6));
        fleet.advance(apply_limit);
        CHECK(fleet.slowest().count() < apply_limit.count());
    }
}

TEST_CASE("a change is in force in time after all watchers have vanished")
{
    auto size = GENERATE(std::size_t{15}, std::size_t{76});
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(size, seed);
        watch_fleet fleet(size, seed);
        fleet.advance(milliseconds(seed * 41));
        for (auto n : fleet.watchers())
            fleet.vanish(n);
        change_each(fleet, milliseconds(700), seconds(4));
        fleet.advance(apply_limit);
        CHECK(fleet.slowest().count() < apply_limit.count());
    }
}

TEST_CASE("a change is in force in time while watchers freeze in turn")
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        watch_fleet fleet(30, seed);
        for (int round = 0; round < 3; ++round) {
            auto frozen = fleet.watchers();
            for (auto n : frozen)
                fleet.freeze(n);
            change_each(fleet, milliseconds(700), seconds(3));
            for (auto n : frozen)
                fleet.thaw(n);
            change_each(fleet, milliseconds(700), seconds(2));
        }
        fleet.advance(apply_limit);
        CHECK(fleet.slowest().count() < apply_limit.count());
    }
}

TEST_CASE("few nodes watch the store, however large the fleet is")
{
    for (auto size : {std::size_t{15}, std::size_t{76}, std::size_t{300}}) {
        CAPTURE(size);
        watch_fleet fleet(size, 1);
        fleet.advance(seconds(10));
        CHECK(fleet.watchers().size() == 5);
        auto calls = fleet.calls();
        fleet.advance(seconds(20));
        CHECK(fleet.watchers().size() == 5);
        CHECK(fleet.calls() - calls <= 5 * 20 + 5);
    }
}

TEST_CASE("calls to a store that is away don't grow with the fleet")
{
    auto how = GENERATE(fault::refuse, fault::silent);
    std::vector<std::size_t> calls;
    for (auto size : {std::size_t{30}, std::size_t{300}}) {
        watch_fleet fleet(size, 1);
        fleet.advance(seconds(5));
        auto before = fleet.calls();
        fleet.set_store(how);
        fleet.advance(seconds(60));
        calls.push_back(fleet.calls() - before);
    }
    CAPTURE(calls[0]);
    CHECK(calls[1] <= calls[0] * 5 / 4);
    CHECK(calls[0] <= 60 * 25);
}

} // namespace shallotwood::test
