// An event loop on GLib's default main context, run by the calling thread.
#pragma once

#include "process/event_loop.hpp"

#include <glib.h>
#include <unordered_map>

namespace shallotwood::process
{

class glib_event_loop final : public event_loop
{
public:
    glib_event_loop();
    ~glib_event_loop() override;
    glib_event_loop(const glib_event_loop&) = delete;
    glib_event_loop& operator=(const glib_event_loop&) = delete;

    time_point now() const override;
    timer_id call_after(duration delay, std::function<void()> task) override;
    void cancel(timer_id id) override;

    // Runs until stop() is called.
    void run();
    void stop();

private:
    struct timer;
    static gboolean fire(gpointer data);
    static void release(gpointer data);

    GMainLoop* main_loop_;
    std::uint64_t last_timer_ = 0;
    // Pending timers only: each entry is removed when it fires or is cancelled.
    std::unordered_map<std::uint64_t, GSource*> sources_;
};

} // namespace shallotwood::process
