// Entry point of the node, which runs as one process beside each backend
// server.
#include "shallotwood/shallotwood.hpp"

#include <boost/program_options.hpp>
#include <iostream>

namespace
{

namespace options = boost::program_options;

options::options_description describe_options()
{
    options::options_description all("Options");
    auto add = all.add_options();
    add("help", "print this text and exit");
    add("version", "print the version and exit");
    add("config", options::value<std::string>(), "settings file of the node");
    add("check-config", options::value<std::string>(),
        "check a settings file: exit 0 if it is valid, or print each fault "
        "with its line and exit 2");
    add("port-file", options::value<std::string>(),
        "write the ports in use to this file: caller, peer, local, control");
    add("ephemeral-ports",
        "let the system choose all ports, whatever the settings say; for "
        "tests");
    return all;
}

void print_usage(std::ostream& out, const options::options_description& all)
{
    out << "Usage: shallotwoodd --config FILE [OPTION]...\n"
           "Runs the node beside a backend server until SIGTERM, which lets\n"
           "what is in flight finish; a second SIGTERM ends it at once.\n\n"
        << all
        << "\nExit status: 0 after a graceful shutdown; 1 if it could not\n"
           "start or was ended early; 2 for invalid arguments or settings.\n";
}

int check(const std::string& file)
{
    auto faults = shallotwood::check_settings(file);
    for (const auto& it : faults)
        std::cerr << it << '\n';
    return faults.empty() ? 0 : 2;
}

int run(int argc, char** argv)
{
    auto all = describe_options();
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, all), values);
    options::notify(values);
    if (values.count("help") != 0) {
        print_usage(std::cout, all);
        return 0;
    }
    if (values.count("version") != 0) {
        std::cout << "shallotwoodd " << shallotwood::version_text() << '\n';
        return 0;
    }
    if (values.count("check-config") != 0)
        return check(values["check-config"].as<std::string>());
    if (values.count("config") == 0) {
        print_usage(std::cerr, all);
        return 2;
    }
    shallotwood::node_options it;
    it.settings_file = values["config"].as<std::string>();
    it.ephemeral_ports = values.count("ephemeral-ports") != 0;
    if (values.count("port-file") != 0)
        it.port_file = values["port-file"].as<std::string>();
    return shallotwood::run_node(it, std::cerr);
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    } catch (const options::error& error) {
        std::cerr << "shallotwoodd: " << error.what() << '\n';
        return 2;
    } catch (const std::exception& error) {
        std::cerr << "shallotwoodd: " << error.what() << '\n';
        return 1;
    }
}
