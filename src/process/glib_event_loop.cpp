#include "process/glib_event_loop.hpp"

#include "process/contain.hpp"

#include <utility>

namespace shallotwood::process
{

struct glib_event_loop::timer {
    glib_event_loop* loop;
    std::uint64_t id;
    std::function<void()> task;
};

glib_event_loop::glib_event_loop() : main_loop_(g_main_loop_new(nullptr, FALSE))
{
}

glib_event_loop::~glib_event_loop()
{
    for (auto& [id, source] : sources_) {
        g_source_destroy(source);
        g_source_unref(source);
    }
    g_main_loop_unref(main_loop_);
}

time_point glib_event_loop::now() const
{
    return time_point(duration(g_get_monotonic_time()));
}

timer_id glib_event_loop::call_after(duration delay, std::function<void()> task)
{
    auto id = ++last_timer_;
    // Sets a ready time in microseconds, because GLib timeouts have millisecond
    // resolution.
    auto* source = g_timeout_source_new(0);
    g_source_set_ready_time(source, g_get_monotonic_time() + delay.count());
    g_source_set_callback(source, &glib_event_loop::fire,
                          new timer{this, id, std::move(task)},
                          &glib_event_loop::release);
    sources_.emplace(id, source);
    g_source_attach(source, nullptr);
    return timer_id{id};
}

void glib_event_loop::cancel(timer_id id)
{
    auto it = sources_.find(static_cast<std::uint64_t>(id));
    if (it == sources_.end())
        return;
    auto* source = it->second;
    sources_.erase(it);
    g_source_destroy(source);
    g_source_unref(source);
}

void glib_event_loop::run()
{
    g_main_loop_run(main_loop_);
}

void glib_event_loop::stop()
{
    g_main_loop_quit(main_loop_);
}

gboolean glib_event_loop::fire(gpointer data)
{
    auto* it = static_cast<timer*>(data);
    auto task = std::move(it->task);
    it->loop->cancel(timer_id{it->id});
    contain("timer", task);
    return G_SOURCE_REMOVE;
}

void glib_event_loop::release(gpointer data)
{
    delete static_cast<timer*>(data);
}

} // namespace shallotwood::process
