// Command-line tool for operators: plan, confirm, status and keys.
#include "process/address.hpp"
#include "process/glib_event_loop.hpp"
#include "process/http/node_status.hpp"
#include "process/operator_command.hpp"
#include "process/platform_client.hpp"

#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>
#include <set>

namespace
{

using namespace shallotwood;
namespace options = boost::program_options;

constexpr const char* platform_address_variable = "SHALLOTWOOD_PLATFORM";
constexpr std::size_t max_nodes = 1000;

constexpr const char* usage = R"(Usage: shallotwoodctl [OPTION]... COMMAND

Commands:
  plan INTENT...          show what the intent would change; changes nothing
  confirm FILE            commit the plan in the file, or - for standard input
  status                  show the committed revision, and those of the nodes
                          given by --node
  keys issue WORKSPACE    plan a new key, which is shown once
  keys withdraw HASH      plan to withdraw the key whose hash begins with these
                          8 or more digits; - reads the key from standard input
  keys list [WORKSPACE]   list the hashes of keys

Intents:
  set-route NAME [prefix=PATH] [service=NAME] [repeatable=yes|no]
            [importance=critical|high|normal|low] [open=yes|no] [timeout=10s]
  remove-route NAME
  set-workspace NAME [rate=REQUESTS_PER_SECOND] [burst=REQUESTS]
  remove-workspace NAME   withdraws its keys too
  join INSTANCE           let the backend server of this instance serve again
  leave INSTANCE          give it no new work
Fields that are not given keep their values.

Nothing changes until a plan is confirmed: save it with --save and confirm it,
or plan with --yes. A plan whose base revision was superseded is refused.

Exit status:
  0  done
  1  the platform was not available or is malformed; nothing was changed
  2  invalid arguments, intent or plan; nothing was changed
  3  conflict: the plan's base revision was superseded; nothing was changed
  4  the change may have been made; confirm the same plan again to find out
  5  status: a node is behind or did not answer
)";

options::options_description describe_options()
{
    options::options_description all("Options");
    all.add_options()("platform", options::value<std::string>(),
                      "IP:PORT of the platform; by default the value of "
                      "SHALLOTWOOD_PLATFORM")(
        "save", options::value<std::string>()->default_value(""),
        "file to write the plan to")(
        "yes",
        "confirm the plan at once; saves no plan unless --save is given")(
        "json", "write one JSON object")(
        "node", options::value<std::vector<std::string>>()->composing(),
        "IP:PORT of a node's local address for status; may be repeated")(
        "timeout", options::value<unsigned>()->default_value(15),
        "seconds to wait for the platform, 1 to 600")(
        "help", "print this text and exit")("version",
                                            "print the version and exit");
    return all;
}

options::variables_map parse(int argc, char** argv,
                             const options::options_description& visible)
{
    options::options_description all(visible);
    all.add_options()("words", options::value<std::vector<std::string>>());
    options::positional_options_description positional;
    positional.add("words", -1);
    options::variables_map values;
    // An abbreviation of --yes must not confirm a plan.
    auto style = options::command_line_style::default_style &
                 ~options::command_line_style::allow_guessing;
    options::store(options::command_line_parser(argc, argv)
                       .options(all)
                       .style(style)
                       .positional(positional)
                       .run(),
                   values);
    return values;
}

process::peer_address read_address(const std::string& text)
{
    auto address = process::parse_address(text);
    if (!address)
        throw options::error("'" + text + "' is not IP:PORT");
    return *address;
}

process::peer_address platform_address(const options::variables_map& values)
{
    if (values.count("platform") != 0)
        return read_address(values["platform"].as<std::string>());
    const auto* text = std::getenv(platform_address_variable);
    if (!text)
        throw options::error(
            "give the platform's address with --platform IP:PORT");
    return read_address(text);
}

std::vector<process::peer_address>
node_addresses(const options::variables_map& values)
{
    std::set<process::peer_address> found;
    if (values.count("node") != 0) {
        for (const auto& it : values["node"].as<std::vector<std::string>>())
            found.insert(read_address(it));
    }
    if (found.size() > max_nodes)
        throw options::error("at most 1000 nodes can be given");
    return {found.begin(), found.end()};
}

process::operator_options read_options(const options::variables_map& values)
{
    process::operator_options it;
    if (values.count("words") != 0)
        it.words = values["words"].as<std::vector<std::string>>();
    it.json = values.count("json") != 0;
    it.yes = values.count("yes") != 0;
    it.save_file = values["save"].as<std::string>();
    it.nodes = node_addresses(values);
    auto timeout = values["timeout"].as<unsigned>();
    if (timeout < 1 || timeout > 600)
        throw options::error("the timeout must be 1 to 600 seconds");
    it.time_limit = std::chrono::seconds(timeout);
    return it;
}

int run(const options::variables_map& values)
{
    auto command_options = read_options(values);
    process::glib_event_loop loop;
    process::random_source random(std::random_device{}());
    process::platform_client platform(platform_address(values), loop, random);
    process::http::http_node_status_reader nodes(loop);
    process::operator_command command(platform, loop, random, nodes,
                                      {std::cin, std::cout, std::cerr});
    auto result = process::exit_code::failed;
    bool ended = false;
    command.run(command_options, [&](process::exit_code code) {
        result = code;
        ended = true;
        loop.stop();
    });
    // A command with invalid arguments ends before the loop starts.
    if (!ended)
        loop.run();
    return static_cast<int>(result);
}

} // namespace

int main(int argc, char** argv)
{
    auto all = describe_options();
    try {
        auto values = parse(argc, argv, all);
        if (values.count("help") != 0) {
            std::cout << usage << '\n' << all;
            return 0;
        }
        if (values.count("version") != 0) {
            std::cout << "shallotwoodctl " << SHALLOTWOOD_VERSION << '\n';
            return 0;
        }
        return run(values);
    } catch (const options::error& e) {
        std::cerr << "shallotwoodctl: " << e.what() << "; see --help\n";
        return static_cast<int>(process::exit_code::invalid);
    }
}
