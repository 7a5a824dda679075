#include "process/loop/reactor.hpp"

#include "process/contain.hpp"

#include <algorithm>
#include <array>
#include <sys/epoll.h>
#include <unistd.h>

namespace shallotwood::process::loop
{

namespace
{

// Further ready descriptors are handled in the next iteration.
constexpr int max_events_per_iteration = 64;

// Limits the timers run in one iteration, so that many due timers don't delay
// socket events.
constexpr int max_timers_per_iteration = 256;

} // namespace

struct reactor::source {
    GSource base;
    reactor* owner;
};

reactor::reactor()
    : main_loop_(g_main_loop_new(nullptr, FALSE)),
      epoll_fd_(epoll_create1(EPOLL_CLOEXEC))
{
    static GSourceFuncs functions = {prepare, check,   dispatch,
                                     nullptr, nullptr, nullptr};
    source_ = g_source_new(&functions, sizeof(source));
    reinterpret_cast<source*>(source_)->owner = this;
    g_source_add_unix_fd(source_, epoll_fd_, G_IO_IN);
    g_source_set_can_recurse(source_, FALSE);
    g_source_attach(source_, nullptr);
}

reactor::~reactor()
{
    g_source_destroy(source_);
    g_source_unref(source_);
    g_main_loop_unref(main_loop_);
    close(epoll_fd_);
}

time_point reactor::now() const
{
    return time_point(duration(g_get_monotonic_time()));
}

timer_id reactor::call_after(duration delay, std::function<void()> task)
{
    auto due = now() + std::max(delay, duration(0));
    auto id = ++last_timer_;
    auto [it, inserted] = timers_.emplace(timer_key{due, id}, std::move(task));
    due_times_.emplace(id, due);
    if (it == timers_.begin())
        set_ready_time();
    return timer_id(id);
}

void reactor::cancel(timer_id id)
{
    auto number = static_cast<std::uint64_t>(id);
    if (auto it = due_times_.find(number); it != due_times_.end()) {
        timers_.erase({it->second, number});
        due_times_.erase(it);
    }
}

void reactor::defer(std::function<void()> task)
{
    deferred_.push_back(std::move(task));
    if (deferred_.size() == 1)
        g_source_set_ready_time(source_, 0);
}

void reactor::watch(int fd, std::uint32_t events, ready_handler& handler)
{
    auto index = static_cast<std::size_t>(fd);
    if (index >= slots_.size())
        slots_.resize(index + 1);
    auto& it = slots_[index];
    bool known = it.handler != nullptr;
    if (!known)
        it.generation = ++last_generation_;
    it.handler = &handler;
    epoll_event event{};
    event.events = events;
    event.data.u64 =
        (std::uint64_t{it.generation} << 32) | static_cast<std::uint32_t>(fd);
    epoll_ctl(epoll_fd_, known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, fd, &event);
}

void reactor::unwatch(int fd)
{
    auto index = static_cast<std::size_t>(fd);
    if (index >= slots_.size() || slots_[index].handler == nullptr)
        return;
    slots_[index].handler = nullptr;
    epoll_event event{};
    epoll_ctl(epoll_fd_, EPOLL_CTL_DEL, fd, &event);
}

void reactor::run()
{
    set_ready_time();
    g_main_loop_run(main_loop_);
}

void reactor::stop()
{
    g_main_loop_quit(main_loop_);
}

gboolean reactor::prepare(GSource*, gint* timeout)
{
    *timeout = -1;
    return FALSE;
}

gboolean reactor::check(GSource*)
{
    // GLib itself checks the descriptor's events and the ready time.
    return FALSE;
}

gboolean reactor::dispatch(GSource* event_source, GSourceFunc, gpointer)
{
    reinterpret_cast<source*>(event_source)->owner->run_iteration();
    return G_SOURCE_CONTINUE;
}

void reactor::run_iteration()
{
    run_ready_handlers();
    run_timers();
    run_deferred();
    set_ready_time();
}

void reactor::run_ready_handlers()
{
    std::array<epoll_event, max_events_per_iteration> events{};
    int n = epoll_wait(epoll_fd_, events.data(), max_events_per_iteration, 0);
    for (int i = 0; i < n; ++i) {
        auto data = events.at(static_cast<std::size_t>(i)).data.u64;
        auto index = static_cast<std::size_t>(data & 0xffffffffU);
        auto generation = static_cast<std::uint32_t>(data >> 32);
        // An earlier handler in this loop may have closed the descriptor, and a
        // new one may have the same number.
        if (index >= slots_.size() || slots_[index].handler == nullptr ||
            slots_[index].generation != generation)
            continue;
        contain("descriptor", [&] {
            slots_[index].handler->on_ready(
                events.at(static_cast<std::size_t>(i)).events);
        });
    }
}

void reactor::run_timers()
{
    auto limit = now();
    for (int n = 0; n < max_timers_per_iteration && !timers_.empty(); ++n) {
        auto it = timers_.begin();
        if (it->first.first > limit)
            return;
        auto task = std::move(it->second);
        due_times_.erase(it->first.second);
        timers_.erase(it);
        contain("timer", task);
    }
}

void reactor::run_deferred()
{
    // Tasks may defer further tasks, which run in the same iteration.
    while (!deferred_.empty()) {
        auto tasks = std::move(deferred_);
        deferred_.clear();
        for (auto& it : tasks)
            contain("deferred task", it);
    }
}

void reactor::set_ready_time()
{
    gint64 ready = -1;
    if (!deferred_.empty())
        ready = 0;
    else if (!timers_.empty())
        ready = timers_.begin()->first.first.time_since_epoch().count();
    g_source_set_ready_time(source_, ready);
}

} // namespace shallotwood::process::loop
