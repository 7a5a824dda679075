#include "support/fleet.hpp"

#include <catch2/catch.hpp>

namespace shallotwood::test
{

TEST_CASE("membership scenarios", "[.scenario]")
{
    for (const auto& file : scenario_files("membership_")) {
        auto it = load_scenario(file);
        DYNAMIC_SECTION(it.name)
        {
            fleet nodes(it.seed);
            auto verbs = nodes.verbs();
            // Highest incarnation seen for each member by each node.
            std::map<std::string, std::uint64_t> highest;
            int lowered = 0;
            // Which nodes took one for dead, or for alive.
            std::map<std::string, std::set<std::string>> taken_for_dead;
            std::map<std::string, std::set<std::string>> taken_for_alive;
            nodes.on_node = [&](fleet_node& node) {
                auto observer = node.members->self().instance;
                node.members->listen([&, observer](const process::member& now) {
                    auto& seen = highest[observer + "/" + now.instance];
                    lowered += now.incarnation < seen ? 1 : 0;
                    bool dead = now.state == process::member_state::dead;
                    (dead ? taken_for_dead : taken_for_alive)[now.instance]
                        .insert(observer);
                    seen = std::max(seen, now.incarnation);
                });
            };
            verbs["replay_old_entry"] = [&](const words& arguments) {
                auto& target = nodes.at(arguments.at(0));
                auto entry = nodes.at(arguments.at(1)).members->self();
                Json::Value params;
                for (int rank : {0, 2}) {
                    Json::Value old(Json::arrayValue);
                    old.append(entry.instance);
                    old.append(Json::UInt64(entry.incarnation - 1));
                    old.append(rank);
                    for (const auto* text : {"old", "10.9.9.9"})
                        old.append(text);
                    for (int value : {1, 1, 1})
                        old.append(value);
                    for (const auto* text : {"d1", "r1"})
                        old.append(text);
                    params["u"].append(old);
                }
                nodes.network.at({"10.0.0.99", 7000})
                    .send(target.address, "membership.update", params);
            };
            verbs["expect_agreed"] = [&](const words& arguments) {
                const auto& name = arguments.at(0);
                auto own = nodes.at(name).members->self();
                for (const auto& [other, node] : nodes.nodes())
                    CHECK(node->members->find(name) == own);
            };
            verbs["reset_events"] = [&](const words&) {
                taken_for_dead.clear();
                taken_for_alive.clear();
            };
            verbs["expect_never_dead"] = [&](const words& arguments) {
                CHECK(taken_for_dead[arguments.at(0)].empty());
            };
            // `expect_never_alive NAME EXCEPT_AT`
            verbs["expect_never_alive"] = [&](const words& arguments) {
                auto by = taken_for_alive[arguments.at(0)];
                by.erase(arguments.at(1));
                CHECK(by.empty());
            };
            verbs["expect_never_lowered"] = [&](const words&) {
                CHECK(lowered == 0);
            };
            verbs["expect_platform_calls_below"] = [&](const words& arguments) {
                CHECK(nodes.platform.reads + nodes.platform.writes <
                      std::stoull(arguments.at(0)));
            };
            verbs["reset_platform_calls"] = [&](const words&) {
                nodes.platform.reads = nodes.platform.writes = 0;
            };
            run_scenario(it, nodes.loop, verbs);
        }
    }
}

// A peer that sends nonsense must not end the process or change the view.
TEST_CASE("malformed membership messages are ignored")
{
    fleet nodes(1);
    nodes.grow(2);
    nodes.loop.advance(std::chrono::seconds(10));
    auto before = nodes.at("n1").members->members();
    auto& stranger = nodes.network.at({"10.0.0.99", 7000});
    const std::vector<std::string> texts{
        "[]",
        "3",
        "null",
        "{}",
        R"({"u":7})",
        R"({"u":[[]]})",
        R"({"u":[["n2",1]],"f":{}})",
        R"({"u":[["n9",-1,0]]})",
        R"({"u":[["n9",5,9,"s","h",1,1,1,"d","r"]]})",
        R"({"u":[["n9",5,0,"s","h",70000,1,1,"d","r"]]})",
        R"({"u":[["n9",5,0,"s","h",1,70000,1,"d","r"]]})",
        R"({"u":[["n9",5,0,"s","h",1,1,"x","d","r"]]})",
        R"({"u":[["",5,0,"s","h",1,1,1,"d","r"]]})",
        R"({"id":"x","i":3})",
        R"({"kind":"digest","d":"x"})",
        R"({"kind":"buckets","b":"AAAA"})",
        R"({"kind":"page","want":[999,-1,"x"],"e":{}})",
        R"({"kind":[]})"};
    for (const auto& text : texts) {
        Json::Value params;
        Json::CharReaderBuilder builder;
        std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
        REQUIRE(reader->parse(text.data(), text.data() + text.size(), &params,
                              nullptr));
        for (const auto* method :
             {"membership.probe", "membership.ack", "membership.probe_through",
              "membership.exchange", "membership.update"})
            stranger.send(nodes.at("n1").address, method, params);
    }
    nodes.loop.advance(std::chrono::milliseconds(5));
    CHECK(nodes.at("n1").members->members() == before);
}

} // namespace shallotwood::test
