#include "support/fleet_world.hpp"

#include <catch2/catch.hpp>

namespace shallotwood::test
{

TEST_CASE("rate scenarios", "[.scenario]")
{
    run_fleet_scenarios("rate_");
}

} // namespace shallotwood::test
