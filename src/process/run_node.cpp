// The public functions: a node from its settings to its exit status.
#include "shallotwood/shallotwood.hpp"

#include "process/log.hpp"
#include "process/node.hpp"

#include <cstdio>
#include <fstream>
#include <glib-unix.h>
#include <ostream>

namespace shallotwood
{

namespace
{

using process::node;

// Written under another name first, so that a reader never sees a part.
bool write_ports(const std::string& file_name, const process::node_ports& it)
{
    auto part = file_name + ".new";
    {
        std::ofstream out(part);
        out << it.caller << ' ' << it.peer << ' ' << it.local << ' '
            << it.control << '\n';
        if (!out)
            return false;
    }
    return std::rename(part.c_str(), file_name.c_str()) == 0;
}

// Drains on the first signal; ends on the second or at the drain limit.
class shutdown_handler
{
public:
    shutdown_handler(process::glib_event_loop& loop, node& of,
                     process::duration limit)
        : loop_(loop), node_(of), limit_(limit)
    {
        g_unix_signal_add(SIGTERM, &shutdown_handler::signalled, this);
        g_unix_signal_add(SIGINT, &shutdown_handler::signalled, this);
    }

    int status() const { return status_; }

private:
    static gboolean signalled(gpointer data)
    {
        static_cast<shutdown_handler*>(data)->shut_down();
        return G_SOURCE_CONTINUE;
    }

    void shut_down()
    {
        if (draining_) {
            end("second signal");
            return;
        }
        draining_ = true;
        SHALLOTWOOD_LOG(info)
            << "event=drain" << process::field("in_flight", node_.in_flight());
        node_.drain([this] { loop_.stop(); });
        loop_.call_after(limit_, [this] { end("drain limit"); });
    }

    void end(const char* why)
    {
        SHALLOTWOOD_LOG(warning)
            << "event=end" << process::field("why", why)
            << process::field("in_flight", node_.in_flight());
        status_ = 1;
        loop_.stop();
    }

    process::glib_event_loop& loop_;
    node& node_;
    process::duration limit_;
    bool draining_ = false;
    int status_ = 0;
};

int run(const node_options& options, const process::settings& from,
        const std::string& secret, std::ostream& errors)
{
    process::start_log(from.log_level);
    process::glib_event_loop loop;
    auto opened = node::open(loop, from, secret, options.ephemeral_ports);
    if (const auto* error = std::get_if<std::string>(&opened)) {
        errors << "shallotwoodd: " << *error << '\n';
        return 1;
    }
    auto& it = *std::get<std::unique_ptr<node>>(opened);
    shutdown_handler shutdown(loop, it, from.drain_limit);
    if (!options.port_file.empty() &&
        !write_ports(options.port_file, it.ports())) {
        errors << "shallotwoodd: can't write " << options.port_file << '\n';
        return 1;
    }
    auto ports = it.ports();
    SHALLOTWOOD_LOG(info) << "event=start"
                          << process::field("instance", from.instance)
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
    if (const auto* faults = std::get_if<process::settings_faults>(&loaded)) {
        for (const auto& it : *faults)
            errors << process::to_text(it, options.settings_file) << '\n';
        return 2;
    }
    const auto& from = std::get<process::settings>(loaded);
    auto secret = process::load_fleet_secret(from);
    if (const auto* fault = std::get_if<process::settings_fault>(&secret)) {
        errors << process::to_text(*fault, options.settings_file) << '\n';
        return 2;
    }
    return run(options, from, std::get<std::string>(secret), errors);
}

} // namespace shallotwood
