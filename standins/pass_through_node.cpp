// A node with the pass-through policy: nothing is protected. The baseline for
// measurements, and the data path alone for tests.
#include "process/daemon.hpp"
#include "process/glib_event_loop.hpp"
#include "process/http/data_path.hpp"
#include "process/keyed_hash.hpp"
#include "process/log.hpp"
#include "process/pass_through_policy.hpp"

#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>

namespace
{

namespace options = boost::program_options;
using namespace shallotwood;

struct usage_error : std::runtime_error {
    using std::runtime_error::runtime_error;
};

options::options_description described_options()
{
    options::options_description all("pass_through_node");
    auto add = all.add_options();
    add("help", "print this help");
    add("version", "print the version");
    add("caller", options::value<std::string>()->default_value("127.0.0.1:0"),
        "address for callers");
    add("peer", options::value<std::string>()->default_value("127.0.0.1:0"),
        "address for other nodes");
    add("local", options::value<std::string>()->default_value("127.0.0.1:0"),
        "loopback address for the backend server and the operator");
    add("port-file", options::value<std::string>(),
        "write the ports in use to this file: caller, peer, local");
    add("fleet-secret-file", options::value<std::string>(),
        "file with the fleet secret");
    add("route", options::value<std::vector<std::string>>()->composing(),
        "PREFIX=SERVICE; PREFIX=SERVICE! if requests run at most once");
    add("member", options::value<std::vector<std::string>>()->composing(),
        "SERVICE=ADDRESS:PORT of a node's peer address, or SERVICE=self");
    add("retries", options::value<int>()->default_value(0),
        "retries for each request");
    add("head-limit-ms", options::value<int>()->default_value(10000),
        "longest wait for the head of a response from another node");
    add("body-limit-ms", options::value<int>()->default_value(5000),
        "longest wait for the next bytes of a body");
    add("max-connections", options::value<std::size_t>()->default_value(4096),
        "connections at a time on each address");
    add("drain-limit-ms", options::value<int>()->default_value(30000),
        "longest time that shutdown waits for requests in flight");
    add("log-level", options::value<std::string>()->default_value("info"),
        "lowest level that is logged");
    return all;
}

connection::listen_address address_of(const std::string& text)
{
    auto it = connection::parse_address(text);
    if (!it)
        throw usage_error("not an address and port: " + text);
    return *it;
}

std::pair<std::string, std::string> split_pair(const std::string& text)
{
    auto n = text.find('=');
    if (n == std::string::npos || n == 0 || n + 1 == text.size())
        throw usage_error("expected NAME=VALUE: " + text);
    return {text.substr(0, n), text.substr(n + 1)};
}

std::vector<std::string> list_of(const options::variables_map& values,
                                 const char* name)
{
    if (values.count(name) == 0)
        return {};
    return values[name].as<std::vector<std::string>>();
}

std::string read_secret(const options::variables_map& values)
{
    if (values.count("fleet-secret-file") == 0)
        return process::random_token(process::hash_bytes);
    std::ifstream file(values["fleet-secret-file"].as<std::string>());
    std::string secret;
    if (!std::getline(file, secret) || secret.empty())
        throw usage_error("the fleet secret file is not readable or empty");
    return secret;
}

process::duration milliseconds_of(const options::variables_map& values,
                                  const char* name)
{
    return std::chrono::milliseconds(values[name].as<int>());
}

process::http::data_path_settings
settings_of(const options::variables_map& values)
{
    process::http::data_path_settings it;
    it.caller = address_of(values["caller"].as<std::string>());
    it.peer = address_of(values["peer"].as<std::string>());
    it.local = address_of(values["local"].as<std::string>());
    it.fleet_secret = read_secret(values);
    it.head_progress_limit = milliseconds_of(values, "head-limit-ms");
    it.body_progress_limit = milliseconds_of(values, "body-limit-ms");
    it.listener_limits.connections =
        values["max-connections"].as<std::size_t>();
    return it;
}

process::pass_through_settings
policy_settings_of(const options::variables_map& values)
{
    process::pass_through_settings it;
    it.retries = values["retries"].as<int>();
    for (const auto& text : list_of(values, "route")) {
        auto [prefix, service] = split_pair(text);
        bool once = service.back() == '!';
        if (once)
            service.pop_back();
        it.routes.push_back({prefix, service, !once});
    }
    return it;
}

void add_members(process::pass_through_policy& policy,
                 const options::variables_map& values, std::uint16_t own_port)
{
    for (const auto& text : list_of(values, "member")) {
        auto [service, where] = split_pair(text);
        auto address = where == "self"
                           ? connection::listen_address{"127.0.0.1", own_port}
                           : address_of(where);
        policy.add_member(service, {where, address.host, address.port});
    }
}

int run(const options::variables_map& values)
{
    process::glib_event_loop loop;
    process::random_source random(
        process::stable_hash(process::random_token(process::hash_bytes)));
    process::counters counts;
    process::pass_through_policy policy(policy_settings_of(values));
    process::http::data_path node(settings_of(values), loop, random, counts,
                                  policy, policy, policy);
    node.on_announce(
        [&](const auto& it) { policy.set_backend(it.host, it.port); });
    node.on_leave([&] { policy.clear_backend(); });
    if (auto error = node.start(); !error.empty()) {
        std::cerr << "pass_through_node: " << error << '\n';
        return 1;
    }
    add_members(policy, values, node.peer_port());
    process::shutdown_handler shutdown(
        loop,
        {[&node](auto done) { node.drain(std::move(done)); },
         [&node] { return node.in_flight(); }},
        milliseconds_of(values, "drain-limit-ms"));
    if (values.count("port-file") &&
        !process::write_port_file(
            values["port-file"].as<std::string>(),
            {node.caller_port(), node.peer_port(), node.local_port()}))
        throw usage_error("can't write the port file");
    SHALLOTWOOD_LOG(info) << "event=start"
                          << process::field("caller", node.caller_port())
                          << process::field("peer", node.peer_port())
                          << process::field("local", node.local_port());
    loop.run();
    return shutdown.status();
}

} // namespace

int main(int argc, char** argv)
{
    try {
        auto known = described_options();
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, known), values);
        options::notify(values);
        if (values.count("help")) {
            std::cout << known;
            return 0;
        }
        if (values.count("version")) {
            std::cout << "pass_through_node " << SHALLOTWOOD_VERSION << '\n';
            return 0;
        }
        auto level = boost::log::trivial::info;
        if (!process::parse_log_level(values["log-level"].as<std::string>(),
                                      level))
            throw usage_error("unknown log level");
        process::start_log(level);
        return run(values);
    } catch (const std::exception& error) {
        std::cerr << "pass_through_node: " << error.what() << '\n';
        return 2;
    }
}
