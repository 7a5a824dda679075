#include "support/node_fleet.hpp"

#include <catch2/catch.hpp>

namespace shallotwood::test
{

// Whole nodes under the faults of the design: each scenario names the promise
// that it guards. CMakeLists.txt makes a test of each file.
TEST_CASE("node scenarios", "[.scenario]")
{
    for (const auto& file : scenario_files("node_")) {
        auto it = load_scenario(file);
        DYNAMIC_SECTION(it.name)
        {
            node_fleet fleet(it.seed);
            run_scenario(it, fleet.loop, fleet.verbs());
            fleet.check_promises();
        }
    }
}

} // namespace shallotwood::test
