// An event loop whose time advances only when a test says so.
#pragma once

#include "process/event_loop.hpp"

#include <map>

namespace shallotwood::test
{

class virtual_loop final : public process::event_loop
{
public:
    process::time_point now() const override { return now_; }

    process::timer_id call_after(process::duration delay,
                                 std::function<void()> task) override;
    void cancel(process::timer_id id) override;

    // Runs every timer due in the next `span`, in order of time, then of
    // creation, and leaves the clock at the end of the span.
    void advance(process::duration span);

private:
    using slot = std::pair<process::time_point, std::uint64_t>;

    process::time_point now_{std::chrono::hours(1)};
    std::uint64_t last_timer_ = 0;
    std::map<slot, std::function<void()>> queue_;
    std::map<std::uint64_t, process::time_point> due_;
};

} // namespace shallotwood::test
