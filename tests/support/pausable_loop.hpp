// The event loop of one node in a test: can be paused alone, like a process
// that the system stops, while the time of all others goes on.
#pragma once

#include "process/event_loop.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <utility>

namespace shallotwood::test
{

class pausable_loop final : public process::event_loop
{
public:
    explicit pausable_loop(process::event_loop& outer) : outer_(outer) {}

    process::time_point now() const override { return outer_.now(); }

    process::timer_id call_after(process::duration delay,
                                 std::function<void()> task) override
    {
        auto id = std::make_shared<process::timer_id>();
        *id = outer_.call_after(delay, [this, id, task = std::move(task)] {
            if (paused_)
                held_.emplace_back(*id, task);
            else
                task();
        });
        return *id;
    }

    void cancel(process::timer_id id) override
    {
        outer_.cancel(id);
        for (auto& [held, task] : held_) {
            if (held == id)
                task = [] {};
        }
    }

    void pause() { paused_ = true; }

    // Runs the timers that fell due meanwhile.
    void resume()
    {
        paused_ = false;
        // A task may cancel one that is held behind it.
        while (!held_.empty()) {
            auto task = std::move(held_.front().second);
            held_.pop_front();
            task();
        }
    }

private:
    process::event_loop& outer_;
    bool paused_ = false;
    std::deque<std::pair<process::timer_id, std::function<void()>>> held_;
};

} // namespace shallotwood::test
