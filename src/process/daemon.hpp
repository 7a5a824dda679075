// What long-running programs share: the file with their ports, and the
// shutdown by signals.
#pragma once

#include "process/glib_event_loop.hpp"

#include <functional>
#include <string>
#include <vector>

namespace shallotwood::process
{

// Writes the ports on one line, under another name first, so that a reader
// never sees a part. False if the file can't be written.
bool write_port_file(const std::string& file_name,
                     const std::vector<std::uint16_t>& ports);

// Drains on the first SIGTERM or SIGINT, and stops the loop once that is done;
// stops it at once on the second signal or at the limit. Lives as long as the
// process.
class shutdown_handler
{
public:
    struct program {
        // Calls its argument once nothing is in flight any more.
        std::function<void(std::function<void()>)> drain;
        std::function<std::size_t()> in_flight;
    };

    shutdown_handler(glib_event_loop& loop, program of, duration limit);
    shutdown_handler(const shutdown_handler&) = delete;
    shutdown_handler& operator=(const shutdown_handler&) = delete;

    // 0 after a graceful shutdown, 1 if it was ended early.
    int status() const { return status_; }

private:
    static gboolean on_signal(gpointer data);
    void shut_down();
    void stop_early(const char* why);

    glib_event_loop& loop_;
    program program_;
    duration drain_limit_;
    bool draining_ = false;
    int status_ = 0;
};

} // namespace shallotwood::process
