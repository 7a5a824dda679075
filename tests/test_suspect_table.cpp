#include "process/crash_suspects.hpp"
#include "support/fleet.hpp"

#include <catch2/catch.hpp>

namespace shallotwood::test
{

namespace
{

using process::crash_suspects;
using placement_decision = crash_suspects::placement_decision;

struct suspect_test {
    explicit suspect_test(std::uint64_t seed) : nodes(seed), random(seed)
    {
        nodes.on_node = [this](fleet_node& node) {
            auto made = std::make_shared<crash_suspects>(
                node.loop, nodes.network.at(node.address), *node.members,
                node.counts, process::crash_suspects_settings{});
            tables[node.members->self().instance] = made.get();
            node.extra = made;
        };
    }

    // A caller that sends the request again after each crash. It runs for a
    // while and then takes its backend server with it.
    void resend(const std::string& print, int times)
    {
        if (times == 0)
            return;
        auto name =
            std::next(nodes.nodes().begin(), random.below(nodes.size()))->first;
        auto placed = tables.at(name)->decide_placement(print);
        if (placed.what == placement_decision::elsewhere) {
            name = placed.where->instance;
            placed = tables.at(name)->decide_placement(print);
        }
        if (placed.what == placement_decision::run ||
            placed.what == placement_decision::run_alone) {
            runs[name] = tables.at(name)->record_start(print);
            nodes.loop.call_after(std::chrono::milliseconds(5), [this, name] {
                ++lost;
                tables.at(name)->record_crash();
            });
        }
        nodes.loop.call_after(
            std::chrono::milliseconds(8),
            [this, print, times] { resend(print, times - 1); });
    }

    int count(const std::string& print, placement_decision what)
    {
        int n = 0;
        for (const auto& [name, it] : nodes.nodes())
            n += tables.at(name)->decide_placement(print).what == what ? 1 : 0;
        return n;
    }

    verb_table verbs();

    fleet nodes;
    process::random_source random;
    std::map<std::string, crash_suspects*> tables;
    std::map<std::string, crash_suspects::run_id> runs;
    int lost = 0;
};

verb_table suspect_test::verbs()
{
    auto table = nodes.verbs();
    table["begin"] = [this](const words& it) {
        runs[it.at(0) + it.at(1)] = tables.at(it.at(1))->record_start(it.at(0));
    };
    table["complete"] = [this](const words& it) {
        tables.at(it.at(1))->completed(runs.at(it.at(0) + it.at(1)));
    };
    table["end"] = [this](const words& it) {
        tables.at(it.at(1))->ended(runs.at(it.at(0) + it.at(1)));
    };
    table["crash"] = [this](const words& it) {
        tables.at(it.at(0))->record_crash();
    };
    // Runs the suspect where the nodes agree to run it.
    table["begin_placed"] = [this](const words& it) {
        for (const auto& [name, node] : nodes.nodes()) {
            if (tables.at(name)->decide_placement(it.at(0)).what ==
                placement_decision::run_alone) {
                runs[it.at(0)] = tables.at(name)->record_start(it.at(0));
                return;
            }
        }
        FAIL("no node runs " << it.at(0));
    };
    table["complete_placed"] = [this](const words& it) {
        for (const auto& [name, suspects] : tables)
            suspects->completed(runs.at(it.at(0)));
    };
    table["resend"] = [this](const words& it) {
        resend(it.at(0), number(it.at(1)));
    };
    table["expect_lost"] = [this](const words& it) {
        CHECK(lost == number(it.at(0)));
    };
    // `expect_advice PRINT RUN ALONE BUSY ELSEWHERE REFUSE`: numbers of nodes.
    table["expect_advice"] = [this](const words& it) {
        const placement_decision all[] = {
            placement_decision::run, placement_decision::run_alone,
            placement_decision::busy, placement_decision::elsewhere,
            placement_decision::refuse};
        for (std::size_t n = 0; n < 5; ++n)
            CHECK(count(it.at(0), all[n]) == number(it.at(n + 1)));
    };
    return table;
}

} // namespace

TEST_CASE("suspect scenarios", "[.scenario]")
{
    for (const auto& file : scenario_files("suspect_")) {
        auto it = load_scenario(file);
        DYNAMIC_SECTION(it.name)
        {
            suspect_test test(it.seed);
            run_scenario(it, test.nodes.loop, test.verbs());
        }
    }
}

TEST_CASE("the suspects are bounded")
{
    fleet nodes(1);
    nodes.grow(1);
    process::crash_suspects_settings settings;
    settings.max_suspects = 10;
    auto& node = nodes.at("n1");
    crash_suspects table(node.loop, nodes.network.at(node.address),
                         *node.members, node.counts, settings);
    for (int n = 0; n < 25; ++n)
        table.record_start("print " + std::to_string(n));
    table.record_crash();
    CHECK(table.size() == 10);
    for (const auto* text :
         {"[]", R"({"crash":3,"suspects":[1]})",
          R"({"crash":"x","suspects":["a"],"cleared":{}})"}) {
        Json::Value params;
        std::istringstream(text) >> params;
        nodes.network.at(node.address)
            .send(node.address, "suspect.report", params);
    }
    nodes.loop.advance(std::chrono::seconds(1));
    CHECK(table.size() == 10);
}

} // namespace shallotwood::test
