// Load generator: sends HTTP requests to a node and reports their outcomes.
#include "connection/http_listener.hpp"
#include "process/experiment/load_generator.hpp"
#include "process/glib_event_loop.hpp"

#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

namespace
{

namespace options = boost::program_options;
using namespace shallotwood;

struct usage_error : std::runtime_error {
    using std::runtime_error::runtime_error;
};

options::options_description describe_options()
{
    options::options_description known("shallotwoodload");
    auto add = known.add_options();
    add("help", "print this help");
    add("version", "print the version");
    add("target", options::value<std::string>(), "ADDRESS:PORT of a node");
    add("path", options::value<std::string>()->default_value("/"),
        "path and query of the requests");
    add("method", options::value<std::string>()->default_value("GET"),
        "method of the requests");
    add("body-bytes", options::value<std::size_t>()->default_value(0),
        "size of the body of each request");
    add("workspaces", options::value<std::string>(),
        "file with lines NAME WEIGHT [KEY [PATH]]; a KEY of - is none");
    add("rate", options::value<double>()->default_value(100),
        "requests per second");
    add("arrivals", options::value<std::string>()->default_value("poisson"),
        "poisson or constant");
    add("seconds", options::value<double>()->default_value(10),
        "measured seconds, at most 3600");
    add("warm-up", options::value<double>()->default_value(0),
        "seconds of load before the measurement starts");
    add("count", options::value<std::uint64_t>()->default_value(1'000'000),
        "maximum number of requests");
    add("max-in-flight", options::value<std::size_t>()->default_value(1000),
        "maximum number of concurrent requests");
    add("timeout", options::value<double>()->default_value(10),
        "timeout of each request in seconds");
    add("retries", options::value<int>()->default_value(0),
        "retries per request, made without delay after any failure");
    add("idempotency-keys", "send a unique idempotency key with each request");
    add("marks", "check that each response belongs to its request");
    add("seed", options::value<std::uint64_t>()->default_value(1),
        "seed of the arrivals");
    add("json", "print the report as JSON");
    add("allow-remote", "permit a target that is not a loopback address");
    return known;
}

process::duration parse_seconds(const options::variables_map& values,
                                const char* name)
{
    constexpr double max_seconds = 3600;
    auto it = values[name].as<double>();
    if (!(it >= 0 && it <= max_seconds))
        throw usage_error(std::string("must be 0 to 3600 seconds: --") + name);
    return std::chrono::duration_cast<process::duration>(
        std::chrono::duration<double>(it));
}

std::vector<process::experiment::load_workspace>
read_workspaces(const options::variables_map& values)
{
    auto path = values["path"].as<std::string>();
    if (values.count("workspaces") == 0)
        return {{"all", 1, "", path}};
    std::ifstream file(values["workspaces"].as<std::string>());
    std::vector<process::experiment::load_workspace> all;
    for (std::string line; std::getline(file, line);) {
        process::experiment::load_workspace it{"", 0, "", path};
        std::istringstream words(line);
        if (!(words >> it.name >> it.weight) || !(it.weight > 0))
            throw usage_error("invalid line in the workspaces file; expected "
                              "NAME WEIGHT [KEY [PATH]]");
        words >> it.key >> it.path;
        if (it.key == "-")
            it.key.clear();
        all.push_back(it);
    }
    if (all.empty())
        throw usage_error("the workspaces file is missing or empty");
    return all;
}

void set_target(const options::variables_map& values,
                process::experiment::load_settings& it)
{
    if (values.count("target") == 0)
        throw usage_error("--target is required");
    auto target = connection::parse_address(values["target"].as<std::string>());
    if (!target)
        throw usage_error("--target is not ADDRESS:PORT");
    bool is_loopback =
        target->host == "::1" || target->host.compare(0, 4, "127.") == 0;
    if (!is_loopback && values.count("allow-remote") == 0)
        throw usage_error(
            "--target is not a loopback address; see --allow-remote");
    it.host = target->host;
    it.port = target->port;
}

process::experiment::load_settings
parse_load_settings(const options::variables_map& values)
{
    process::experiment::load_settings it;
    set_target(values, it);
    it.method = values["method"].as<std::string>();
    it.body_bytes = values["body-bytes"].as<std::size_t>();
    it.workspaces = read_workspaces(values);
    it.rate = values["rate"].as<double>();
    if (!(it.rate > 0))
        throw usage_error("--rate must be positive");
    auto arrivals = values["arrivals"].as<std::string>();
    if (arrivals != "poisson" && arrivals != "constant")
        throw usage_error("--arrivals must be poisson or constant, not " +
                          arrivals);
    it.poisson = arrivals == "poisson";
    it.length = parse_seconds(values, "seconds");
    it.warm_up = parse_seconds(values, "warm-up");
    it.max_requests = values["count"].as<std::uint64_t>();
    it.max_in_flight = values["max-in-flight"].as<std::size_t>();
    it.timeout = parse_seconds(values, "timeout");
    it.hard_retries = values["retries"].as<int>();
    it.idempotency_keys = values.count("idempotency-keys") > 0;
    it.marks = values.count("marks") > 0;
    it.seed = values["seed"].as<std::uint64_t>();
    return it;
}

void print(const Json::Value& json, const std::string& indent)
{
    for (const auto& name : json.getMemberNames()) {
        if (json[name].isObject()) {
            std::cout << indent << name << '\n';
            print(json[name], indent + "  ");
        } else {
            std::cout << indent << name << ' ' << json[name].asString() << '\n';
        }
    }
}

int run(const options::variables_map& values)
{
    process::glib_event_loop loop;
    connection::http_client client;
    process::experiment::load_generator load(parse_load_settings(values), loop,
                                             client);
    load.start([&loop] { loop.stop(); });
    loop.run();
    auto json = to_json(load.report());
    if (values.count("json"))
        std::cout << json.toStyledString();
    else
        print(json, "");
    const auto& total = load.report().total;
    // Only responses that belong to another request or caller, or have a wrong
    // body, fail the run. Error statuses can be expected, so they don't.
    return total.wrong_body + total.wrong_caller > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        auto known = describe_options();
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, known), values);
        options::notify(values);
        if (values.count("help")) {
            std::cout << known;
            return 0;
        }
        if (values.count("version")) {
            std::cout << "shallotwoodload " << SHALLOTWOOD_VERSION << '\n';
            return 0;
        }
        return run(values);
    } catch (const std::exception& error) {
        std::cerr << "shallotwoodload: " << error.what() << '\n';
        return 2;
    }
}
