// Tracks the local backend server by its announcements.
//
// The backend server announces itself every second. Without an announcement for
// announcement_timeout, or when a connection to it is refused, it counts as
// lost: calls in flight on it may have run. After it leaves, announcements are
// ignored for a while, because the last ones may still be in transit.
#pragma once

#include "process/event_loop.hpp"
#include "process/http/data_path.hpp"

#include <functional>
#include <optional>

namespace shallotwood::process
{

// Three announcements may be lost before a backend server is absent.
constexpr duration announcement_timeout = std::chrono::milliseconds(3500);

class backend_presence
{
public:
    struct listener {
        // First announcement, or one that differs from the last.
        std::function<void(const http::backend_announcement&)> present;
        // It asked to leave, or was lost (`lost` is then true).
        std::function<void(bool lost)> absent;
    };

    backend_presence(event_loop& loop, listener on_change);
    ~backend_presence();
    backend_presence(const backend_presence&) = delete;
    backend_presence& operator=(const backend_presence&) = delete;

    void announced(const http::backend_announcement& it);
    void connection_refused();
    void left();

    const std::optional<http::backend_announcement>& current() const
    {
        return current_;
    }

private:
    void restart_timeout();
    void become_absent(bool lost);

    event_loop& loop_;
    listener on_change_;
    std::optional<http::backend_announcement> current_;
    std::optional<timer_id> timeout_;
    // After leaving, announcements are ignored until one is missing: the
    // backend server may announce once more before it notices.
    time_point ignore_until_{};
};

} // namespace shallotwood::process
