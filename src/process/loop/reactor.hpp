// The event loop of a process: timers and socket readiness on a GLib main loop.
//
// GLib polls every source on every iteration, which costs time in proportion
// to the number of connections. So all descriptors are behind one epoll
// descriptor and all timers behind one ready time: the main loop has a single
// source however many connections and requests there are.
//
// Single-threaded: every function must be called on the loop's thread.
#pragma once

#include "process/event_loop.hpp"

#include <cstdint>
#include <functional>
#include <glib.h>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace shallotwood::process::loop
{

// Told when a watched descriptor is ready. `events` are those of epoll.
class ready_handler
{
public:
    virtual void on_ready(std::uint32_t events) = 0;

protected:
    ~ready_handler() = default;
};

class reactor final : public event_loop
{
public:
    reactor();
    ~reactor() override;
    reactor(const reactor&) = delete;
    reactor& operator=(const reactor&) = delete;

    time_point now() const override;
    timer_id call_after(duration delay, std::function<void()> task) override;
    void cancel(timer_id id) override;

    // Calls `task` before the loop waits again.
    void defer(std::function<void()> task);

    // Watches the descriptor, or changes the events it is watched for. The
    // handler must stay valid until unwatch().
    void watch(int fd, std::uint32_t events, ready_handler& handler);
    void unwatch(int fd);

    // Runs until stop() is called.
    void run();
    void stop();

private:
    struct source;
    // Which watch of a descriptor number an event belongs to: a number is used
    // again as soon as it is closed.
    struct slot {
        ready_handler* handler = nullptr;
        std::uint32_t generation = 0;
    };
    using timer_key = std::pair<time_point, std::uint64_t>;

    static gboolean prepare(GSource* of, gint* timeout);
    static gboolean check(GSource* of);
    static gboolean dispatch(GSource* of, GSourceFunc, gpointer);

    void run_iteration();
    void run_timers();
    void run_ready_handlers();
    void run_deferred();
    void set_ready_time();

    GMainLoop* main_loop_;
    GSource* source_;
    int epoll_fd_;
    std::vector<slot> slots_;
    std::uint32_t last_generation_ = 0;
    std::uint64_t last_timer_ = 0;
    std::map<timer_key, std::function<void()>> timers_;
    std::unordered_map<std::uint64_t, time_point> due_times_;
    std::vector<std::function<void()>> deferred_;
};

} // namespace shallotwood::process::loop
