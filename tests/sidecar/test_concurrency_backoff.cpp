#include "sidecar/support/scarce_service.hpp"

#include <catch2/catch.hpp>

namespace shallotwood::test
{

using namespace process;
using load::concurrency_backoff;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr duration shedding_time = milliseconds(8500);

// Half of the work are trees, half are reads. `load` is relative to the
// capacity of all servers.
scarce_service::result play(scarce_service& world, double load, duration span)
{
    constexpr double slots = scarce_service::servers * scarce_service::slots;
    double half = load * slots / 2;
    double tree =
        scarce_service::calls_in_tree *
        std::chrono::duration<double>(scarce_service::check_time).count();
    double read =
        std::chrono::duration<double>(scarce_service::read_time).count();
    return world.play(half / tree, half / read, span);
}

std::string text_of(const scarce_service::result& it)
{
    std::string text = "whole " + std::to_string(it.whole()) + " of " +
                       std::to_string(it.sent()) + ", rejected " +
                       std::to_string(it.rejected) + ", refused " +
                       std::to_string(it.refused) + "; trees, reads by class";
    for (int n = 0; n < scarce_service::classes; ++n)
        text += " " + std::to_string(it.trees[n].served()) + " " +
                std::to_string(it.reads[n].served());
    return text;
}

} // namespace

// Guards against nodes that go on admitting to the slots of a server that sheds
// by itself: its rejections cost whole trees, of important requests too.
TEST_CASE("scarce servers that shed by themselves serve more whole requests")
{
    constexpr double load = 0.9;
    constexpr double tolerance = 0.05;
    auto how = GENERATE(shedding::fixed_share, shedding::above_part);
    int whole_with = 0;
    int whole_without = 0;
    for (std::uint64_t seed : {1, 2, 3}) {
        scarce_service without(false, seed);
        play(without, load, seconds(2));
        without.set_shedding(how);
        whole_without += play(without, load, shedding_time).whole();
        scarce_service with(true, seed);
        play(with, load, seconds(2));
        with.set_shedding(how);
        auto got = play(with, load, shedding_time);
        whole_with += got.whole();
        INFO(static_cast<int>(how) << ": " << text_of(got));
        for (std::size_t n = 1; n < scarce_service::classes; ++n) {
            CHECK(got.trees[n - 1].served() >=
                  got.trees[n].served() - tolerance);
            CHECK(got.reads[n - 1].served() >=
                  got.reads[n].served() - tolerance);
        }
    }
    INFO(whole_with << " whole with, " << whole_without << " without");
    CHECK(whole_with > whole_without);
}

TEST_CASE("a server that sheds above a part of its slots is kept below it")
{
    constexpr int bound =
        static_cast<int>(scarce_service::slots * scarce_service::slots_part);
    scarce_service world(true, 1);
    play(world, 0.9, seconds(2));
    CHECK(world.limit_of(1) == world.limit_of(0));
    world.set_shedding(shedding::above_part);
    play(world, 0.9, seconds(3));
    auto got = play(world, 0.9, seconds(5));
    CHECK(world.limit_of(1) >= bound - 2);
    CHECK(world.limit_of(1) <= bound + 2);
    INFO(text_of(got));
    int runs = 0;
    for (std::size_t n = 1; n < scarce_service::servers; n += 2)
        runs += got.runs[n];
    CHECK(got.rejected < 0.05 * runs);
    // It is used in full soon after it has recovered.
    world.set_shedding(shedding::none);
    play(world, 0.9, seconds(3));
    CHECK(world.limit_of(1) == world.limit_of(0));
}

// Guards against a limit of one at a server whose rejections it can't prevent,
// and against a server that gets nothing once it has recovered.
TEST_CASE("a server that rejects whatever it runs is avoided, but not starved")
{
    scarce_service world(true, 2);
    play(world, 0.5, seconds(2));
    auto full = world.limit_of(0);
    world.set_shedding(shedding::fixed_share);
    play(world, 0.5, seconds(4));
    auto got = play(world, 0.5, seconds(4));
    int odd = 0;
    int even = 0;
    for (std::size_t n = 0; n < scarce_service::servers; ++n)
        (n % 2 == 1 ? odd : even) += got.runs[n];
    INFO(text_of(got) << ", runs " << odd << " and " << even);
    for (int n = 1; n < scarce_service::servers; n += 2)
        CHECK((world.limit_of(n) == full ||
               world.state_of(n) == concurrency_backoff::state::reduced));
    CHECK(odd < 0.5 * even);
    CHECK(odd > 0);
    world.set_shedding(shedding::none);
    play(world, 0.5, seconds(5));
    got = play(world, 0.5, seconds(3));
    odd = even = 0;
    for (std::size_t n = 0; n < scarce_service::servers; ++n)
        (n % 2 == 1 ? odd : even) += got.runs[n];
    INFO("later runs " << odd << " and " << even);
    CHECK(odd > 0.8 * even);
    CHECK(got.rejected == 0);
    CHECK(world.limit_of(1) == full);
}

TEST_CASE("a few rejections, and those of a server before, lower no limit")
{
    virtual_loop loop;
    concurrency_backoff backoff(loop, loop);
    backoff.set_maximum(33);
    auto answer = [&](int others, bool rejected) {
        concurrency_backoff::sent_call call{loop.now(), others};
        loop.advance(milliseconds(1));
        backoff.record(call, rejected, others);
    };
    for (int n = 0; n < 1000; ++n)
        answer(20, n % 50 == 0);
    CHECK(backoff.limit() == 33);
    concurrency_backoff::sent_call earlier{loop.now(), 20};
    for (int n = 0; n < 20; ++n)
        answer(20, true);
    CHECK(backoff.limit() < 33);
    loop.advance(milliseconds(1));
    backoff.reset();
    CHECK(backoff.limit() == 33);
    for (int n = 0; n < 20; ++n)
        backoff.record(earlier, true, 20);
    CHECK(backoff.limit() == 33);
}

TEST_CASE("the limit never falls below one")
{
    virtual_loop loop;
    concurrency_backoff backoff(loop, loop);
    backoff.set_maximum(2);
    for (int n = 0; n < 200; ++n) {
        concurrency_backoff::sent_call call{loop.now(), n % 2};
        loop.advance(milliseconds(1));
        backoff.record(call, n % 2 == 1, 0);
        REQUIRE(backoff.limit() >= 1);
    }
}

} // namespace shallotwood::test
