#include "process/signal_watch.hpp"

#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <sys/epoll.h>
#include <unistd.h>

namespace shallotwood::process
{

namespace
{

// Write end of the pipe; the only state that the signal handler uses.
volatile std::sig_atomic_t write_fd = -1;

void handle(int number)
{
    int saved = errno;
    auto byte = static_cast<unsigned char>(number);
    // If the pipe is full, signals are pending already and this one is dropped.
    [[maybe_unused]] auto n = ::write(write_fd, &byte, 1);
    errno = saved;
}

void set_handler(int number, void (*handler)(int))
{
    struct sigaction action = {};
    action.sa_handler = handler;
    action.sa_flags = SA_RESTART;
    sigaction(number, &action, nullptr);
}

} // namespace

signal_watch::signal_watch(loop::reactor& loop, const std::vector<int>& signals,
                           std::function<void(int)> on_signal)
    : loop_(loop), signals_(signals), on_signal_(std::move(on_signal))
{
    int fds[2] = {-1, -1};
    if (pipe2(fds, O_NONBLOCK | O_CLOEXEC) != 0)
        return;
    read_fd_ = fds[0];
    write_fd = fds[1];
    loop_.watch(read_fd_, EPOLLIN, *this);
    for (int number : signals_)
        set_handler(number, handle);
}

signal_watch::~signal_watch()
{
    for (int number : signals_)
        set_handler(number, SIG_DFL);
    if (read_fd_ < 0)
        return;
    loop_.unwatch(read_fd_);
    ::close(read_fd_);
    ::close(write_fd);
    write_fd = -1;
}

void signal_watch::on_ready(std::uint32_t)
{
    unsigned char byte = 0;
    while (::read(read_fd_, &byte, 1) == 1)
        on_signal_(byte);
}

} // namespace shallotwood::process
