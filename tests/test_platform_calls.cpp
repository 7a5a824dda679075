#include "support/owner_fleet.hpp"

#include <catch2/catch.hpp>

namespace shallotwood::test
{

namespace
{

constexpr std::uint64_t shards = 4;

struct call_counts {
    std::uint64_t start = 0;
    std::uint64_t quiet = 0;
    std::uint64_t takeover = 0;
};

call_counts count_calls(int nodes)
{
    owner_fleet it(1);
    it.shard_settings.shards = static_cast<std::uint32_t>(shards);
    it.add_nodes(nodes);
    auto calls = [&] { return it.platform.reads + it.platform.writes; };
    call_counts counts;
    it.loop.advance(std::chrono::minutes(1));
    counts.start = calls();
    it.loop.advance(std::chrono::minutes(5));
    counts.quiet = calls() - counts.start;
    auto before = calls();
    auto owners = it.owners_of(0);
    REQUIRE(owners.size() == 1);
    it.kill(owners.front());
    it.loop.advance(std::chrono::minutes(5));
    CHECK(it.owners_of(0).size() == 1);
    counts.takeover = calls() - before;
    return counts;
}

} // namespace

// The platform's limits grow more slowly than the fleet, so the calls must
// depend on the shards alone.
TEST_CASE("platform calls are constant in the number of nodes")
{
    auto small = count_calls(10);
    for (int n : {10, 50}) {
        auto it = n == 10 ? small : count_calls(n);
        WARN(n << " nodes: " << it.start << " calls at the start, " << it.quiet
               << " in 5 quiet minutes, " << it.takeover
               << " in 5 minutes with a takeover");
        // Of each of 4 shards, three candidates read the object and write it;
        // the two whose write conflicts read it again.
        CHECK(it.start <= shards * 8);
        CHECK(it.quiet == 0);
        // The dead owner may have had all shards; a takeover is two writes, a
        // read, and reads by the other candidates.
        CHECK(it.takeover <= shards * 8);
    }
}

} // namespace shallotwood::test
