// Delivers signals on the loop's thread.
//
// Through a pipe of its own: GLib's signal sources need a second thread.
#pragma once

#include "process/loop/reactor.hpp"

#include <functional>
#include <vector>

namespace shallotwood::process
{

// At most one in a process.
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
