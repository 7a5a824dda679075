// Calls a function on the event loop's thread when a signal arrives.
//
// The signal handler writes to a pipe that the loop watches (self-pipe trick).
// GLib's signal sources would start a second thread.
#pragma once

#include "process/loop/reactor.hpp"

#include <functional>
#include <vector>

namespace shallotwood::process
{

// At most one object may exist in a process.
class signal_watch final : private loop::ready_handler
{
public:
    signal_watch(loop::reactor& loop, const std::vector<int>& signals,
                 std::function<void(int)> on_signal);
    ~signal_watch();
    signal_watch(const signal_watch&) = delete;
    signal_watch& operator=(const signal_watch&) = delete;

private:
    void on_ready(std::uint32_t events) override;

    loop::reactor& loop_;
    std::vector<int> signals_;
    std::function<void(int)> on_signal_;
    int read_fd_ = -1;
};

} // namespace shallotwood::process
