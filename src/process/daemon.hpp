// Helpers for long-running programs: a port file, and shutdown on signals.
#pragma once

#include "process/glib_event_loop.hpp"

#include <functional>
#include <string>
#include <vector>

namespace shallotwood::process
{

// Writes the ports on one line. Writes to a temporary file and renames it, so
// that a reader never sees a partial file. False if the file can't be written.
bool write_port_file(const std::string& file_name,
                     const std::vector<std::uint16_t>& ports);

// Drains the program on the first SIGTERM or SIGINT and stops the loop once
// that is done. Stops the loop immediately on a second signal, or when the
// drain limit has passed. Must live until the process exits.
class shutdown_handler
{
public:
    struct program {
        // Starts draining; calls its argument once no request is in flight.
        std::function<void(std::function<void()>)> drain;
        std::function<std::size_t()> in_flight;
    };

    shutdown_handler(glib_event_loop& loop, program managed_program,
                     duration drain_limit);
    shutdown_handler(const shutdown_handler&) = delete;
    shutdown_handler& operator=(const shutdown_handler&) = delete;

    // Exit status: 0 after a graceful shutdown, 1 if it was stopped early.
    int status() const { return status_; }

private:
    static gboolean on_signal(gpointer data);
    void shut_down();
    void stop_early(const char* reason);

    glib_event_loop& loop_;
    program program_;
    duration drain_limit_;
    bool draining_ = false;
    int status_ = 0;
};

} // namespace shallotwood::process
