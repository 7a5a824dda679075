// The backend server beside this node, as it announces itself.
//
// It announces itself every second. Without an announcement for
// announcement_timeout, or when a connection to it is refused, it is lost:
// what was in flight there may have run. One that leaves is given time to
// notice before a new announcement counts.
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
        // It asked to leave, or fell silent (`lost` is then true).
        std::function<void(bool lost)> absent;
    };

    backend_presence(event_loop& loop, listener on_change);
    ~backend_presence();
    backend_presence(const backend_presence&) = delete;
    backend_presence& operator=(const backend_presence&) = delete;

    void announced(const http::backend_announcement& it);
    // A connection to the backend server was refused.
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
