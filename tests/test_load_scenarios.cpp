// Runs tests/scenarios/load_*.scenario. Verbs for one admission object:
//     admission SLOTS              with a warm backend server
//     cold-admission SLOTS
//     arrive ID LEVEL WORKSPACE [depth=N] [deadline=TIME]
//     finish ID, cancel ID
//     expect ID running|queued|overload|deadline|draining
//     expect queued|running NUMBER
// and for an experiment with a call graph:
//     deployment A|B DEMAND
//     chain SERVICES SERVERS SLOTS DEMAND    the last service has a third of
//                                            the slots that the chain needs
//     workspace NUMBER PEAK        demand over rate during the trigger
//     spans BEFORE TRIGGER AFTER
//     fault SERVICE SERVER refuses|slowness=X|announced=X|cold=TIME
//     slow-trigger FACTOR          of the last service
//     run
//     check FIGURE at-most|at-least NUMBER
#include "process/admission_controller.hpp"
#include "process/experiment/load_experiment.hpp"
#include "process/shed_key.hpp"
#include "support/scenario.hpp"

#include <catch2/catch.hpp>

namespace shallotwood::test
{

using namespace process;

namespace
{

std::string option(const words& in, const std::string& name)
{
    for (const auto& it : in) {
        if (it.compare(0, name.size() + 1, name + "=") == 0)
            return it.substr(name.size() + 1);
    }
    return "";
}

struct one_gate {
    explicit one_gate(virtual_loop& on) : loop(on) {}

    virtual_loop& loop;
    std::unique_ptr<admission_controller> gate;
    std::map<std::string, std::string> state;

    void open_cold(const words& in)
    {
        gate = std::make_unique<admission_controller>(loop, loop,
                                                      std::stoi(in.at(0)));
    }

    void open(const words& in)
    {
        open_cold(in);
        while (gate->limit() < std::stoi(in.at(0))) {
            arrive({"warm-up", "normal", "w"});
            gate->finished("warm-up", true);
        }
    }

    void arrive(const words& in)
    {
        request::call_context it;
        it.attempt_id = in.at(0);
        REQUIRE(request::parse_importance(in.at(1), it.level));
        it.workspace = in.at(2);
        it.key = make_shed_key(it.level, it.attempt_id, 1);
        if (auto depth = option(in, "depth"); !depth.empty())
            it.depth = std::stoi(depth);
        auto left = option(in, "deadline");
        auto deadline = loop.now() + parse_time(left.empty() ? "10s" : left);
        state[in.at(0)] = "queued";
        gate->arrive(it, deadline, [this, id = in.at(0)](auto refusal) {
            state[id] = refusal ? name_of(refusal->why) : "running";
        });
    }

    void expect(const words& in)
    {
        if (in.at(0) == "queued")
            CHECK(gate->queued() == std::stoul(in.at(1)));
        else if (in.at(0) == "running")
            CHECK(gate->running() == std::stoi(in.at(1)));
        else
            CHECK(state.at(in.at(0)) == in.at(1));
    }
};

struct one_experiment {
    experiment::experiment_settings settings;
    experiment::experiment_result result;

    void deployment(const words& in)
    {
        auto demand = std::stod(in.at(1));
        settings = in.at(0) == "A" ? experiment::deployment_a(demand)
                                   : experiment::deployment_b(demand);
    }

    void chain(const words& in)
    {
        settings = experiment::deployment_a(std::stod(in.at(3)));
        settings.services.clear();
        auto count = std::stoi(in.at(0));
        auto slots = std::stoi(in.at(2));
        for (int n = 0; n < count; ++n)
            settings.services.push_back(
                {"service-" + std::to_string(n), std::stoi(in.at(1)),
                 n + 1 < count ? slots * count : slots, slots * count * 6});
        settings.failure_domains = 2;
        // 14 services of 50 ms would use up most of the caller's timeout.
        if (count > 5)
            settings.mean_service = std::chrono::milliseconds(10);
    }

    void fault(const words& in)
    {
        experiment::server_fault it;
        it.service = std::stoul(in.at(0));
        it.server = std::stoul(in.at(1));
        it.refuses = in.at(2) == "refuses";
        if (auto x = option(in, "slowness"); !x.empty())
            it.slowness = std::stod(x);
        if (auto x = option(in, "announced"); !x.empty())
            it.announced = std::stod(x);
        if (auto x = option(in, "cold"); !x.empty())
            it.cold = parse_time(x);
        settings.faults.push_back(it);
    }

    double figure(const std::string& name) const
    {
        auto json = to_json(result);
        REQUIRE(json.isMember(name));
        return json[name].asDouble();
    }

    void check(const words& in) const
    {
        auto value = figure(in.at(0));
        INFO(to_json(result).toStyledString());
        REQUIRE((in.at(1) == "at-most" || in.at(1) == "at-least"));
        if (in.at(1) == "at-most")
            CHECK(value <= std::stod(in.at(2)));
        else
            CHECK(value >= std::stod(in.at(2)));
    }
};

} // namespace

namespace
{

void run_load_scenario(const std::string& name)
{
    auto files = scenario_files("load_" + name + ".scenario");
    REQUIRE(files.size() == 1);
    auto it = load_scenario(files[0]);
    virtual_loop loop;
    one_gate one(loop);
    one_experiment two;
    two.settings.seed = it.seed;
    auto spans = [&](const words& in) {
        two.settings.before = parse_time(in.at(0));
        two.settings.trigger = parse_time(in.at(1));
        two.settings.after = parse_time(in.at(2));
    };
    run_scenario(
        it, loop,
        {{"admission", [&](const words& in) { one.open(in); }},
         {"cold-admission", [&](const words& in) { one.open_cold(in); }},
         {"arrive", [&](const words& in) { one.arrive(in); }},
         {"finish", [&](const words& in) { one.gate->finished(in[0], true); }},
         {"cancel", [&](const words& in) { CHECK(one.gate->cancel(in[0])); }},
         {"expect", [&](const words& in) { one.expect(in); }},
         {"deployment", [&](const words& in) { two.deployment(in); }},
         {"chain", [&](const words& in) { two.chain(in); }},
         {"workspace",
          [&](const words& in) {
              two.settings.workspaces.at(std::stoul(in.at(0))).peak =
                  std::stod(in.at(1));
          }},
         {"spans", spans},
         {"fault", [&](const words& in) { two.fault(in); }},
         {"slow-trigger",
          [&](const words& in) {
              two.settings.trigger_slowness = std::stod(in.at(0));
          }},
         {"run",
          [&](const words&) {
              two.settings.seed = it.seed;
              two.result = experiment::run_experiment(two.settings);
          }},
         {"check", [&](const words& in) { two.check(in); }}});
}

const std::vector<std::string> names{
    "retries_in_a_chain", "one_workspace_surges",
    "ten_times_demand",   "important_last",
    "low_load",           "slow_last_service",
    "cold_start",         "cold_backend",
    "misleading_figures", "slow_server",
    "queue_order",        "queue_turns",
    "queue_bounds",
};

} // namespace

// A scenario that no test case runs guards against nothing.
TEST_CASE("every load scenario has a test case")
{
    CHECK(scenario_files("load_").size() == names.size());
}

// One test case for each, so that they run in parallel.
TEST_CASE("load scenario retries in a chain")
{
    run_load_scenario("retries_in_a_chain");
}

TEST_CASE("load scenario one workspace surges")
{
    run_load_scenario("one_workspace_surges");
}

TEST_CASE("load scenario ten times demand")
{
    run_load_scenario("ten_times_demand");
}

TEST_CASE("load scenario important last")
{
    run_load_scenario("important_last");
}

TEST_CASE("load scenario low load")
{
    run_load_scenario("low_load");
}

TEST_CASE("load scenario slow last service")
{
    run_load_scenario("slow_last_service");
}

TEST_CASE("load scenario cold start")
{
    run_load_scenario("cold_start");
}

TEST_CASE("load scenario cold backend")
{
    run_load_scenario("cold_backend");
}

TEST_CASE("load scenario misleading figures")
{
    run_load_scenario("misleading_figures");
}

TEST_CASE("load scenario slow server")
{
    run_load_scenario("slow_server");
}

TEST_CASE("load scenario queue order")
{
    run_load_scenario("queue_order");
}

TEST_CASE("load scenario queue turns")
{
    run_load_scenario("queue_turns");
}

TEST_CASE("load scenario queue bounds")
{
    run_load_scenario("queue_bounds");
}

} // namespace shallotwood::test
