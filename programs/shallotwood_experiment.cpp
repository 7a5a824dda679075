// Simulates overload in virtual time and compares overload control policies.
#include "process/experiment/load_experiment.hpp"

#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdio>
#include <fstream>
#include <iostream>

namespace
{

namespace options = boost::program_options;
using namespace shallotwood::process;

constexpr double demand_factors[] = {1, 2, 5, 10};
constexpr experiment::load_policy policies[] = {
    experiment::load_policy::shallotwood, experiment::load_policy::pass_through,
    experiment::load_policy::static_limits};

void print_heading()
{
    std::printf("%-10s %-13s %7s %8s %9s %7s %9s %10s %9s\n", "deployment",
                "policy", "demand", "goodput", "recovery", "worst", "inside",
                "important", "attempts");
    std::printf("%-10s %-13s %7s %8s %9s %7s %9s %10s %9s\n", "", "", "x cap.",
                "% cap.", "ms", "% fair", "% refused", "refused", "at last");
}

void print(const std::string& deployment, experiment::load_policy policy,
           const experiment::experiment_result& it)
{
    std::printf("%-10s %-13s %7.2f %8.1f %9.0f %7.1f %9.2f %10llu %9.3f\n",
                deployment.c_str(),
                std::string(experiment::name_of(policy)).c_str(), it.demand,
                100 * it.goodput,
                static_cast<double>(it.recovery.count()) / 1000,
                100 * it.worst_share, 100 * it.refused_inside_rate,
                static_cast<unsigned long long>(it.important_refused),
                it.attempts_at_last);
    std::fflush(stdout);
}

Json::Value run_deployment(const std::string& name, std::uint64_t seed,
                           const std::string& only)
{
    Json::Value runs(Json::arrayValue);
    for (auto demand : demand_factors) {
        for (auto policy : policies) {
            if (!only.empty() && only != experiment::name_of(policy))
                continue;
            auto settings = name == "A" ? experiment::deployment_a(demand)
                                        : experiment::deployment_b(demand);
            settings.policy = policy;
            settings.seed = seed;
            auto result = experiment::run_experiment(settings);
            print(name, policy, result);
            auto json = to_json(result);
            json["deployment"] = name;
            json["policy"] = std::string(experiment::name_of(policy));
            json["nominal_demand"] = demand;
            json["seed"] = Json::UInt64(seed);
            runs.append(json);
        }
    }
    return runs;
}

// Returns an error message, or an empty string if the deployment and policy
// are known.
std::string check(const options::variables_map& given)
{
    auto policy = given["policy"].as<std::string>();
    auto known =
        std::any_of(std::begin(policies), std::end(policies),
                    [&](auto it) { return policy == experiment::name_of(it); });
    if (!policy.empty() && !known)
        return "unknown policy: " + policy;
    if (given.count("deployment") == 0)
        return "";
    auto deployment = given["deployment"].as<std::string>();
    bool exists = deployment == "A" || deployment == "B";
    return exists ? "" : "unknown deployment: " + deployment;
}

int run(const options::variables_map& given)
{
    Json::Value all(Json::arrayValue);
    print_heading();
    for (const std::string name : {"A", "B"}) {
        if (given.count("deployment") != 0 &&
            given["deployment"].as<std::string>() != name)
            continue;
        for (const auto& it :
             run_deployment(name, given["seed"].as<std::uint64_t>(),
                            given["policy"].as<std::string>()))
            all.append(it);
    }
    if (given.count("json") == 0)
        return 0;
    std::ofstream out(given["json"].as<std::string>());
    out << all << '\n';
    out.close();
    if (out)
        return 0;
    std::cerr << "can't write " << given["json"].as<std::string>() << '\n';
    return 1;
}

} // namespace

int main(int argc, char** argv)
{
    options::options_description known("Options");
    known.add_options()("help", "print this text and exit")(
        "version", "print the version and exit")(
        "json", options::value<std::string>(),
        "also write the results to this file as JSON")(
        "seed", options::value<std::uint64_t>()->default_value(1),
        "random seed of the requests; the same for all policies")(
        "deployment", options::value<std::string>(), "A or B; both by default")(
        "policy", options::value<std::string>()->default_value(""),
        "only this policy: shallotwood, pass-through or \"static limits\"");
    options::variables_map given;
    try {
        options::store(options::parse_command_line(argc, argv, known), given);
        options::notify(given);
    } catch (const options::error& e) {
        std::cerr << e.what() << '\n';
        return 2;
    }
    if (given.count("help") != 0) {
        std::cout << "Usage: shallotwood_experiment [options]\n"
                  << "Runs the call graphs of deployments A and B in virtual "
                     "time at 1, 2, 5 and 10\ntimes their capacity under three "
                     "policies and prints the results.\n"
                  << known;
        return 0;
    }
    if (given.count("version") != 0) {
        std::cout << "shallotwood_experiment " << SHALLOTWOOD_VERSION << '\n';
        return 0;
    }
    if (auto argument_error = check(given); !argument_error.empty()) {
        std::cerr << argument_error << '\n';
        return 2;
    }
    return run(given);
}
