// The public functions: checks the settings, and runs a node until it exits.
#include "shallotwood/shallotwood.hpp"

#include "process/daemon.hpp"
#include "process/log.hpp"
#include "process/node.hpp"

#include <ostream>

namespace shallotwood
{

namespace
{

int run(const node_options& options, const process::settings& settings,
        const std::string& secret, std::ostream& errors)
{
    process::start_log(settings.log_level);
    process::glib_event_loop loop;
    auto opened =
        process::node::open(loop, settings, secret, options.ephemeral_ports);
    if (const auto* error = std::get_if<std::string>(&opened)) {
        errors << "shallotwoodd: " << *error << '\n';
        return 1;
    }
    auto& it = *std::get<std::unique_ptr<process::node>>(opened);
    process::shutdown_handler shutdown(
        loop,
        {[&it](auto done) { it.drain(std::move(done)); },
         [&it] { return it.in_flight(); }},
        settings.drain_limit);
    auto ports = it.ports();
    if (!options.port_file.empty() &&
        !process::write_port_file(
            options.port_file,
            {ports.caller, ports.peer, ports.local, ports.control})) {
        errors << "shallotwoodd: can't write " << options.port_file << '\n';
        return 1;
    }
    SHALLOTWOOD_LOG(info) << "event=start"
                          << process::field("instance", settings.instance)
                          << process::field("caller", ports.caller)
                          << process::field("peer", ports.peer)
                          << process::field("local", ports.local)
                          << process::field("control", ports.control);
    loop.run();
    return shutdown.status();
}

} // namespace

std::string_view version_text()
{
    return SHALLOTWOOD_VERSION;
}

std::vector<std::string> check_settings(const std::string& file_name)
{
    std::vector<std::string> texts;
    for (const auto& it : process::check_settings(file_name))
        texts.push_back(process::to_text(it, file_name));
    return texts;
}

int run_node(const node_options& options, std::ostream& errors)
{
    auto loaded = process::load_settings(options.settings_file);
    if (const auto* errors_found =
            std::get_if<process::setting_errors>(&loaded)) {
        for (const auto& it : *errors_found)
            errors << process::to_text(it, options.settings_file) << '\n';
        return 2;
    }
    const auto& settings = std::get<process::settings>(loaded);
    auto secret = process::load_fleet_secret(settings);
    if (const auto* error = std::get_if<process::setting_error>(&secret)) {
        errors << process::to_text(*error, options.settings_file) << '\n';
        return 2;
    }
    return run(options, settings, std::get<std::string>(secret), errors);
}

} // namespace shallotwood
