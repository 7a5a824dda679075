#include "support/fleet_world.hpp"

#include <catch2/catch.hpp>

namespace shallotwood::test
{

TEST_CASE("ownership scenarios", "[.scenario]")
{
    run_fleet_scenarios("ownership_");
}

} // namespace shallotwood::test
