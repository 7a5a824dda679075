#include "process/experiment/precise_timer.hpp"

#include <algorithm>
#include <glib-unix.h>
#include <sys/timerfd.h>
#include <unistd.h>
#include <utility>

namespace shallotwood::process::experiment
{

precise_timer::precise_timer(std::function<void()> task)
    : task_(std::move(task)),
      fd_(::timerfd_create(CLOCK_MONOTONIC, TFD_CLOEXEC | TFD_NONBLOCK)),
      source_(g_unix_fd_source_new(fd_, G_IO_IN))
{
    g_source_set_callback(source_.get(), G_SOURCE_FUNC(&precise_timer::fire),
                          this, nullptr);
    g_source_attach(source_.get(), nullptr);
}

precise_timer::~precise_timer()
{
    source_.reset();
    ::close(fd_);
}

void precise_timer::start(duration delay)
{
    // A zero time would disarm the timer.
    auto wait =
        std::max<std::chrono::nanoseconds>(delay, std::chrono::nanoseconds(1));
    auto seconds = std::chrono::duration_cast<std::chrono::seconds>(wait);
    ::itimerspec at{};
    at.it_value.tv_sec = seconds.count();
    at.it_value.tv_nsec = (wait - seconds).count();
    ::timerfd_settime(fd_, 0, &at, nullptr);
}

int precise_timer::fire(int fd, GIOCondition /*unused*/, void* data)
{
    std::uint64_t expirations = 0;
    if (::read(fd, &expirations, sizeof expirations) > 0)
        static_cast<precise_timer*>(data)->task_();
    return G_SOURCE_CONTINUE;
}

} // namespace shallotwood::process::experiment
