#include "process/daemon.hpp"

#include "process/log.hpp"

#include <csignal>
#include <cstdio>
#include <fstream>
#include <glib-unix.h>

namespace shallotwood::process
{

bool write_port_file(const std::string& file_name,
                     const std::vector<std::uint16_t>& ports)
{
    auto temporary_name = file_name + ".new";
    {
        std::ofstream out(temporary_name);
        const char* separator = "";
        for (auto it : ports) {
            out << separator << it;
            separator = " ";
        }
        out << '\n';
        if (!out)
            return false;
    }
    return std::rename(temporary_name.c_str(), file_name.c_str()) == 0;
}

shutdown_handler::shutdown_handler(glib_event_loop& loop,
                                   program managed_program,
                                   duration drain_limit)
    : loop_(loop), program_(std::move(managed_program)),
      drain_limit_(drain_limit)
{
    g_unix_signal_add(SIGTERM, &shutdown_handler::on_signal, this);
    g_unix_signal_add(SIGINT, &shutdown_handler::on_signal, this);
}

gboolean shutdown_handler::on_signal(gpointer data)
{
    static_cast<shutdown_handler*>(data)->shut_down();
    return G_SOURCE_CONTINUE;
}

void shutdown_handler::shut_down()
{
    if (draining_) {
        stop_early("second signal");
        return;
    }
    draining_ = true;
    SHALLOTWOOD_LOG(info) << "event=drain"
                          << field("in_flight", program_.in_flight());
    program_.drain([this] { loop_.stop(); });
    loop_.call_after(drain_limit_, [this] { stop_early("drain limit"); });
}

void shutdown_handler::stop_early(const char* reason)
{
    SHALLOTWOOD_LOG(warning) << "event=end" << field("why", reason)
                             << field("in_flight", program_.in_flight());
    status_ = 1;
    loop_.stop();
}

} // namespace shallotwood::process
