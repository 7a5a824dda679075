#include "support/scenario.hpp"

#include <catch2/catch.hpp>

namespace shallotwood::test
{

// A step that ran at the wrong time or was skipped would make every scenario
// that follows meaningless.
TEST_CASE("steps of a scenario run in order at their times")
{
    virtual_loop loop;
    auto start = loop.now();
    std::vector<std::pair<process::duration, std::string>> seen;
    auto files = scenario_files("language_example");
    REQUIRE(files.size() == 1);
    auto it = load_scenario(files[0]);
    CHECK(it.seed == 7);
    run_scenario(it, loop, {{"note", [&](const words& arguments) {
                                 seen.emplace_back(loop.now() - start,
                                                   arguments.at(0));
                             }}});
    using std::chrono::milliseconds;
    CHECK(seen == decltype(seen){{milliseconds(0), "first"},
                                 {milliseconds(1500), "second word"},
                                 {milliseconds(1500), "third"}});
}

TEST_CASE("malformed times are rejected")
{
    for (const auto* it : {"", "s", "1", "1 s", "1x", "-"})
        CHECK_THROWS_AS(parse_time(it), std::runtime_error);
}

} // namespace shallotwood::test
