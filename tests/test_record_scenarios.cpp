#include "support/fleet_world.hpp"

#include <catch2/catch.hpp>

namespace shallotwood::test
{

TEST_CASE("record scenarios", "[.scenario]")
{
    run_fleet_scenarios("record_");
}

} // namespace shallotwood::test
