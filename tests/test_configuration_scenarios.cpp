// Runs tests/scenarios/configuration_*.scenario: operators who plan and confirm
// against one platform.
#include "support/fake_object_store.hpp"
#include "support/scenario.hpp"
#include "version/commit.hpp"

#include <catch2/catch.hpp>

namespace shallotwood::test
{

namespace
{

class operators
{
public:
    explicit operators(std::uint64_t seed) : random_(seed), store_(loop_) {}

    virtual_loop& loop() { return loop_; }

    verb_table verbs()
    {
        return {
            {"plan", [this](const words& it) { make_plan(it); }},
            {"confirm", [this](const words& it) { confirm(it.at(0)); }},
            {"outcome", [this](const words& it) { check_outcome(it); }},
            {"commits", [this](const words& it) { commit_next(it); }},
            {"platform", [this](const words& it) { set_platform(it); }},
            {"load", [this](const words&) { load(); }},
            {"expect", [this](const words& it) { expect(it); }},
        };
    }

private:
    // plan OPERATOR WORKSPACE RATE
    void make_plan(const words& it)
    {
        version::load_configuration(store_, [this, it](auto result) {
            REQUIRE(std::holds_alternative<version::loaded>(result));
            version::workspace value{it.at(1), std::stod(it.at(2)), 10};
            auto made =
                version::make_plan(std::get<version::loaded>(result).value,
                                   version::set_workspace{value},
                                   "op" + std::to_string(++last_operation_));
            REQUIRE(std::holds_alternative<version::plan>(made));
            plans_[it.at(0)] = std::get<version::plan>(made);
        });
    }

    void confirm(const std::string& who)
    {
        outcomes_.erase(who);
        committer_.commit(plans_.at(who), [this, who](auto result) {
            CHECK(outcomes_.emplace(who, describe(result)).second);
        });
    }

    // commits OPERATOR COUNT: one after another, each a new workspace.
    void commit_next(const words& it)
    {
        auto left = std::stoi(it.at(1));
        if (left == 0)
            return;
        make_plan({it.at(0), "w" + std::to_string(++last_workspace_), "1"});
        loop_.call_after(std::chrono::milliseconds(50), [this, it, left] {
            committer_.commit(
                plans_.at(it.at(0)), [this, it, left](auto result) {
                    CHECK(std::holds_alternative<version::committed>(result));
                    commit_next({it.at(0), std::to_string(left - 1)});
                });
        });
    }

    void set_platform(const words& it)
    {
        if (it.at(0) == "lose")
            store_.answers_to_lose = std::stoi(it.at(1));
        else if (it.at(0) == "delay")
            store_.delay = parse_time(it.at(1));
        else
            store_.down = it.at(0) == "down";
    }

    void load()
    {
        loaded_ = {};
        version::load_configuration(store_, [this](auto result) {
            REQUIRE(std::holds_alternative<version::loaded>(result));
            loaded_ = std::get<version::loaded>(result);
        });
    }

    // outcome OPERATOR WORDS...; the order of racers is not part of the test.
    void check_outcome(const words& it)
    {
        std::string expected;
        for (std::size_t n = 1; n < it.size(); ++n)
            expected += (n > 1 ? " " : "") + it[n];
        REQUIRE(outcomes_.count(it.at(0)) == 1);
        CHECK(outcomes_.at(it.at(0)) == expected);
    }

    void expect(const words& it)
    {
        const auto& workspaces = loaded_.value.workspaces;
        if (it.at(0) == "revision")
            CHECK(loaded_.value.revision == std::stoull(it.at(1)));
        else if (it.at(0) == "workspaces")
            CHECK(workspaces.size() == std::stoull(it.at(1)));
        else if (it.at(0) == "rate")
            CHECK(workspaces.at(it.at(1)).rate == Approx(std::stod(it.at(2))));
        else if (it.at(0) == "snapshot")
            CHECK(loaded_.from.snapshot.revision == std::stoull(it.at(1)));
        else if (it.at(0) == "changes")
            CHECK(loaded_.from.changes.size() == std::stoull(it.at(1)));
        else
            FAIL("unknown expectation");
    }

    static std::string describe(const version::commit_result& result)
    {
        if (const auto* it = std::get_if<version::committed>(&result))
            return "committed " + std::to_string(it->revision) +
                   (it->earlier ? " earlier" : "");
        if (const auto* it = std::get_if<version::superseded>(&result))
            return "conflict " + std::to_string(it->base_revision) + " " +
                   std::to_string(it->current_revision) +
                   (it->may_be_committed ? " uncertain" : "");
        switch (std::get<version::commit_failure>(result).fault) {
        case version::commit_fault::invalid_plan:
            return "invalid";
        case version::commit_fault::malformed_state:
            return "malformed";
        case version::commit_fault::unavailable:
            return "unavailable";
        case version::commit_fault::unknown_outcome:
            return "unknown";
        }
        return {};
    }

    virtual_loop loop_;
    process::random_source random_;
    fake_object_store store_;
    version::committer committer_{store_, loop_, random_};
    std::map<std::string, version::plan> plans_;
    std::map<std::string, std::string> outcomes_;
    version::loaded loaded_;
    int last_operation_ = 0;
    int last_workspace_ = 0;
};

} // namespace

TEST_CASE("configuration scenarios", "[.scenario]")
{
    auto files = scenario_files("configuration_");
    REQUIRE(files.size() == 6);
    for (const auto& file : files) {
        auto it = load_scenario(file);
        DYNAMIC_SECTION(it.name)
        {
            operators all(it.seed);
            run_scenario(it, all.loop(), all.verbs());
        }
    }
}

} // namespace shallotwood::test
