#include "support/fleet_world.hpp"

#include <boost/algorithm/string.hpp>
#include <catch2/catch.hpp>

namespace shallotwood::test
{

std::string fleet_world::resolve(const std::string& role)
{
    if (auto alias = aliases_.find(role); alias != aliases_.end())
        return alias->second;
    auto owners = it.owners_of(0);
    if (role == "owner") {
        REQUIRE(owners.size() == 1);
        return owners.front();
    }
    if (role.rfind("witness", 0) == 0) {
        auto witnesses = it.witnesses_of(0);
        auto n = std::stoul(role.substr(7));
        REQUIRE(n < witnesses.size());
        return witnesses[n];
    }
    if (role == "other") {
        auto taken = it.witnesses_of(0);
        taken.insert(taken.end(), owners.begin(), owners.end());
        for (const auto& [name, node] : it.nodes) {
            if (node->acting() &&
                std::find(taken.begin(), taken.end(), name) == taken.end())
                return name;
        }
        FAIL("no other node");
    }
    REQUIRE(it.nodes.count(role) == 1);
    return role;
}

std::vector<std::string> fleet_world::node_list(const std::string& text)
{
    if (text == "all")
        return it.names();
    std::vector<std::string> parts;
    boost::split(parts, text, boost::is_any_of(","));
    for (auto& part : parts)
        part = resolve(part);
    return parts;
}

void fleet_world::charge(const std::string& workspace, const std::string& node)
{
    // Holds the process, which may have been replaced by the answer.
    auto process = it.nodes.at(node);
    if (!process->acting())
        return;
    auto deadline = it.loop.now() + std::chrono::seconds(10);
    process->rates.charge(
        workspace, deadline, [this, workspace](const auto& result) {
            auto& sum = tallies[workspace];
            if (auto refusal = std::get_if<process::charge_refusal>(&result)) {
                ++sum.refused[refusal->why];
                ++sum.total_refused;
                return;
            }
            ++sum.granted;
            sum.spends.push_back(it.loop.now());
        });
}

void fleet_world::load(const std::string& workspace, double per_second,
                       process::duration span,
                       const std::vector<std::string>& at)
{
    process::duration gap(
        static_cast<process::duration::rep>(1e6 / per_second));
    auto count = span / gap;
    for (long n = 0; n < count; ++n) {
        // Uneven arrivals, at least 7/8 of the mean distance apart, on a
        // different node each time.
        auto when =
            gap * n + process::duration(it.random.below(gap.count() / 8 + 1));
        const auto& node = at[it.random.below(at.size())];
        it.loop.call_after(
            when, [this, workspace, node] { charge(workspace, node); });
    }
}

void fleet_world::claim(const std::string& node, const std::string& key,
                        const std::string& tag)
{
    auto process = it.nodes.at(node);
    auto& entry = claims[tag];
    entry.node = node;
    entry.key = key;
    entry.process = process;
    if (!process->acting())
        return;
    process->records.claim(
        "ws", key, it.loop.now() + std::chrono::seconds(10),
        [this, key, tag](const process::claim_result& result) {
            CHECK_FALSE(claims[tag].result);
            claims[tag].result = result;
            if (std::holds_alternative<process::claim_granted>(result))
                ++runs[key];
        });
}

void fleet_world::finish(const std::string& tag, const std::string& how)
{
    auto& entry = claims.at(tag);
    REQUIRE(entry.result);
    auto granted = std::get_if<process::claim_granted>(&*entry.result);
    REQUIRE(granted);
    process::claim_outcome outcome = request::execution::may_have_run;
    if (how == "not-run") {
        outcome = request::execution::not_run;
        // The run that was counted did not take place.
        --runs[entry.key];
    } else if (how != "may-have-run") {
        request::recorded_response response;
        response.status = std::stoi(how);
        response.content_type = "text/plain";
        response.body = entry.key + "\xff";
        outcome = response;
    }
    if (!entry.process->acting())
        return;
    entry.process->records.finish(
        granted->claim, outcome,
        [this, tag](bool recorded) { claims[tag].finished = recorded; });
}

void fleet_world::expect_claim(const std::string& tag,
                               const std::string& expected)
{
    std::string seen = "none";
    if (const auto& result = claims.at(tag).result) {
        static const char* const names[] = {"granted", "in-progress",
                                            "may-have-run", "done", "refused"};
        seen = names[result->index()];
        if (auto done = std::get_if<process::claim_done>(&*result)) {
            seen = std::to_string(done->response.status);
            CHECK(done->response.body == claims.at(tag).key + "\xff");
        }
    }
    CHECK(seen == expected);
}

void fleet_world::expect(const words& arguments)
{
    const auto& what = arguments.at(0);
    if (what == "owners") {
        std::size_t owned = 0;
        for (process::shard_id n = 0; n < it.shard_settings.shards; ++n)
            owned += it.owners_of(n).size();
        CHECK(owned == std::stoul(arguments.at(1)));
    } else if (what == "terms-of") {
        CHECK(resolve("owner") == resolve(arguments.at(1)));
    } else if (what == "refused") {
        const auto& sum = tallies[arguments.at(1)];
        auto total = static_cast<double>(sum.granted + sum.total_refused);
        CAPTURE(sum.granted, sum.total_refused);
        CHECK(static_cast<double>(sum.total_refused) <=
              total * std::stod(arguments.at(2)) / 100);
    } else if (what == "granted") {
        CHECK(tallies[arguments.at(1)].granted >= std::stoul(arguments.at(2)));
    } else if (what == "claim") {
        expect_claim(arguments.at(1), arguments.at(2));
    } else if (what == "runs") {
        CHECK(runs[arguments.at(1)] == std::stoi(arguments.at(2)));
    } else {
        FAIL("unknown expectation " << what);
    }
}

void fleet_world::check()
{
    CHECK(most_owners <= 1);
    for (const auto& [workspace, sum] : tallies) {
        INFO(workspace);
        CHECK(worst_excess(sum.spends, it.limits.at(workspace)) <= 1e-6);
    }
    for (const auto& [key, count] : runs) {
        INFO(key);
        CHECK(count <= 1);
    }
}

verb_table fleet_world::verbs()
{
    verb_table table;
    auto one = [&](const char* verb, auto act) {
        table[verb] = [act](const words& a) { act(a.at(0)); };
    };
    auto node = [&](const char* verb,
                    void (owner_fleet::*act)(const std::string&)) {
        table[verb] = [this, act](const words& a) {
            (it.*act)(resolve(a.at(0)));
        };
    };
    node("kill", &owner_fleet::kill);
    node("restart", &owner_fleet::restart);
    node("freeze", &owner_fleet::freeze);
    table["thaw"] = [this](const words& a) {
        it.thaw(resolve(a.at(0)), a.size() > 1 && a[1] == "timers-first");
    };
    table["charge"] = [this](const words& a) {
        for (int n = std::stoi(a.at(2)); n > 0; --n)
            charge(a.at(1), resolve(a.at(0)));
    };
    node("leave", &owner_fleet::leave);
    one("shards", [this](const std::string& n) {
        it.shard_settings.shards = static_cast<std::uint32_t>(std::stoul(n));
    });
    one("nodes", [this](const std::string& n) { it.add_nodes(std::stoi(n)); });
    one("detection",
        [this](const std::string& t) { it.detection = parse_time(t); });
    one("window", [this](const std::string& t) {
        it.record_settings.window = parse_time(t);
    });
    one("records", [this](const std::string& n) {
        it.record_settings.max_records = std::stoul(n);
    });
    one("platform",
        [this](const std::string& s) { it.platform.down = s == "down"; });
    one("lose-answers", [this](const std::string& n) {
        it.platform.answers_to_lose = std::stoi(n);
    });
    one("loss",
        [this](const std::string& p) { it.network.loss = std::stod(p); });
    one("duplication", [this](const std::string& p) {
        it.network.duplication = std::stod(p);
        it.network.jitter = std::chrono::milliseconds(3);
    });
    one("cut-platform",
        [this](const std::string& n) { it.at(resolve(n)).store.cut = true; });
    table["heal-platform"] = [this](const words&) {
        for (auto& [name, node_it] : it.nodes)
            node_it->store.cut = false;
    };
    table["alias"] = [this](const words& a) {
        aliases_[a.at(0)] = resolve(a.at(1));
    };
    table["cut"] = [this](const words& a) {
        it.cut(node_list(a.at(0)), node_list(a.at(1)));
    };
    table["heal"] = [this](const words&) { it.network.heal(); };
    table["believe-dead"] = [this](const words& a) {
        auto entry = it.at(resolve(a.at(1))).entry;
        entry.state = process::member_state::dead;
        it.at(resolve(a.at(0))).view.set(entry);
    };
    table["workspace"] = [this](const words& a) {
        it.limits[a.at(0)] = {std::stod(a.at(1)), std::stod(a.at(2))};
    };
    table["load"] = [this](const words& a) {
        load(a.at(0), std::stod(a.at(1)), parse_time(a.at(2)),
             node_list(a.at(3)));
    };
    table["forget"] = [this](const words&) {
        check();
        tallies.clear();
    };
    table["claim"] = [this](const words& a) {
        claim(resolve(a.at(0)), a.at(1), a.at(2));
    };
    table["finish"] = [this](const words& a) { finish(a.at(0), a.at(1)); };
    table["expect"] = [this](const words& a) { expect(a); };
    return table;
}

void fleet_world::run(const scenario& steps)
{
    // Between the steps time passes in slices, so that a moment with two
    // owners is seen.
    auto table = verbs();
    auto start = it.loop.now();
    for (const auto& next : steps.steps) {
        most_owners =
            std::max(most_owners, it.advance(start + next.at - it.loop.now()));
        auto now = it.loop.now() - start;
        scenario one{steps.name, steps.seed, {next}};
        one.steps.front().at = std::max(next.at - now, process::duration(0));
        run_scenario(one, it.loop, table);
        INFO(steps.name << ".scenario:" << next.line);
        check();
    }
}

void run_fleet_scenarios(const std::string& prefix)
{
    auto files = scenario_files(prefix);
    REQUIRE_FALSE(files.empty());
    for (const auto& file : files) {
        auto steps = load_scenario(file);
        DYNAMIC_SECTION(steps.name)
        {
            fleet_world world(steps.seed);
            world.run(steps);
        }
    }
}

} // namespace shallotwood::test
