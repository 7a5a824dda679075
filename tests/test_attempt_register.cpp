#include "process/attempt_register.hpp"
#include "support/fleet.hpp"

#include <catch2/catch.hpp>

namespace shallotwood::test
{

namespace
{

using process::attempt_register;
using request::execution;

struct attempt_test {
    explicit attempt_test(std::uint64_t seed) : nodes(seed)
    {
        nodes.on_node = [this](fleet_node& node) {
            auto made = std::make_shared<attempt_register>(
                node.loop, nodes.network.at(node.address), node.counts,
                process::attempt_register_settings{},
                [members = node.members.get()] {
                    return members->first_incarnation();
                });
            registers[node.members->self().instance] = made.get();
            node.extra = made;
        };
    }

    attempt_register& at(const std::string& name)
    {
        return *registers.at(name);
    }

    verb_table verbs();

    fleet nodes;
    std::map<std::string, attempt_register*> registers;
    std::map<std::string, std::uint64_t> incarnations;
    std::map<std::string, std::vector<execution>> answers;
};

verb_table attempt_test::verbs()
{
    auto table = nodes.verbs();
    // `deliver ID NODE RESULT`: the attempt arrives and may start.
    table["deliver"] = [this](const words& it) {
        static const std::map<std::string, attempt_register::admission> names{
            {"started", attempt_register::admission::started},
            {"fenced", attempt_register::admission::fenced},
            {"duplicate", attempt_register::admission::duplicate}};
        CHECK(at(it.at(1)).start(it.at(0)) == names.at(it.at(2)));
    };
    table["finish"] = [this](const words& it) {
        execution outcome{};
        REQUIRE(request::parse_execution(it.at(2), outcome));
        at(it.at(1)).finish(it.at(0), outcome);
    };
    // `send ID FROM TO`: notes what the sender knows; nothing arrives.
    table["send"] = [this](const words& it) {
        auto to = nodes.at(it.at(1)).members->find(it.at(2));
        REQUIRE(to);
        incarnations[it.at(0)] = to->incarnation;
    };
    // `ask ID FROM TO SENT_AGO`
    table["ask"] = [this](const words& it) {
        const auto& id = it.at(0);
        at(it.at(1)).request_fence(
            nodes.at(it.at(2)).address, id, incarnations.at(id),
            parse_time(it.at(3)),
            [this, id](execution outcome) { answers[id].push_back(outcome); });
    };
    // Exactly one answer must have come.
    table["expect_answer"] = [this](const words& it) {
        const auto& given = answers[it.at(0)];
        REQUIRE(given.size() == 1);
        CHECK(std::string(request::name_of(given[0])) == it.at(1));
    };
    return table;
}

} // namespace

TEST_CASE("attempt scenarios", "[.scenario]")
{
    for (const auto& file : scenario_files("attempt_")) {
        auto it = load_scenario(file);
        DYNAMIC_SECTION(it.name)
        {
            attempt_test test(it.seed);
            run_scenario(it, test.nodes.loop, test.verbs());
        }
    }
}

// Forgetting an attempt at the bound would turn "may have run" into "not run".
TEST_CASE("at the bound attempts are refused and none is forgotten")
{
    virtual_loop loop;
    fake_network network(loop, 1);
    process::counters counts;
    process::attempt_register_settings settings;
    settings.max_attempts = 3;
    attempt_register it(loop, network.at({"h", 1}), counts, settings,
                        [] { return 5; });
    using admission = attempt_register::admission;
    CHECK(it.start("a") == admission::started);
    CHECK(it.start("b") == admission::started);
    CHECK(it.fence("c", 5, {}) == execution::not_run);
    CHECK(it.start("d") == admission::full);
    CHECK(it.fence("e", 5, {}) == execution::may_have_run);
    it.finish("a", execution::ran);
    CHECK(it.start("d") == admission::full);
    CHECK(it.fence("a", 5, {}) == execution::ran);
    loop.advance(settings.finished_retention + std::chrono::seconds(2));
    // The finished one has had its time; the running and the fenced stay.
    CHECK(it.start("d") == admission::started);
    CHECK(it.fence("b", 5, {}) == execution::may_have_run);
    CHECK(it.start("c") == admission::fenced);
}

TEST_CASE("malformed fence messages are ignored")
{
    virtual_loop loop;
    fake_network network(loop, 1);
    process::counters counts;
    attempt_register it(loop, network.at({"h", 1}), counts, {},
                        [] { return 1; });
    for (const auto* text :
         {"[]", "{}", R"({"id":1,"attempt":3,"incarnation":1,"sent_ago_us":1})",
          R"({"id":1,"attempt":"","incarnation":1,"sent_ago_us":1})",
          R"({"id":1,"attempt":"a","incarnation":-1,"sent_ago_us":1})",
          R"({"id":1,"attempt":"a","incarnation":1,"sent_ago_us":"x"})",
          R"({"id":1,"attempt":"a","run":"x"})"}) {
        Json::Value params;
        std::istringstream(text) >> params;
        network.at({"i", 1}).send({"h", 1}, "attempt.fence", params);
        network.at({"i", 1}).send({"h", 1}, "attempt.fenced", params);
    }
    loop.advance(std::chrono::seconds(1));
    CHECK(it.size() == 0);
}

} // namespace shallotwood::test
