// An event loop with timers and socket readiness on a GLib main loop.
//
// GLib checks every source on every iteration, at a cost proportional to the
// number of connections. Therefore all descriptors are in one epoll set and all
// timers share one ready time, so that the main loop has a single source,
// independent of the number of connections and requests.
//
// Not thread-safe: every function must be called on the loop's thread.
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

// Callback interface for a watched descriptor. `events` are epoll event flags.
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

    // Calls `task` before the loop waits for events again.
    void defer(std::function<void()> task);

    // Watches the descriptor for epoll events, or changes the events and the
    // handler of a watched one. The handler must stay valid until unwatch().
    void watch(int fd, std::uint32_t events, ready_handler& handler);
    void unwatch(int fd);

    // Runs until stop() is called.
    void run();
    void stop();

private:
    struct source;
    // A watched descriptor. The generation tells to which watch an event
    // belongs, as the system reuses a descriptor number once it is closed.
    struct slot {
        ready_handler* handler = nullptr;
        std::uint32_t generation = 0;
    };
    using timer_key = std::pair<time_point, std::uint64_t>;

    static gboolean prepare(GSource* event_source, gint* timeout);
    static gboolean check(GSource* event_source);
    static gboolean dispatch(GSource* event_source, GSourceFunc, gpointer);

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
