#include "process/backend_presence.hpp"

namespace shallotwood::process
{

namespace
{

// Announcements still in transit when the backend server left arrive within
// this time.
constexpr duration late_announcement_window = std::chrono::milliseconds(1500);

} // namespace

backend_presence::backend_presence(event_loop& loop, listener on_change)
    : loop_(loop), on_change_(std::move(on_change))
{
}

backend_presence::~backend_presence()
{
    if (timeout_)
        loop_.cancel(*timeout_);
}

void backend_presence::announced(const http::backend_announcement& it)
{
    if (loop_.now() < ignore_until_)
        return;
    restart_timeout();
    if (current_ == it)
        return;
    current_ = it;
    on_change_.present(it);
}

void backend_presence::restart_timeout()
{
    if (timeout_)
        loop_.cancel(*timeout_);
    timeout_ = loop_.call_after(announcement_timeout, [this] {
        timeout_.reset();
        become_absent(true);
    });
}

void backend_presence::connection_refused()
{
    become_absent(true);
}

void backend_presence::left()
{
    ignore_until_ = loop_.now() + late_announcement_window;
    become_absent(false);
}

void backend_presence::become_absent(bool lost)
{
    if (!current_)
        return;
    current_.reset();
    if (timeout_) {
        loop_.cancel(*timeout_);
        timeout_.reset();
    }
    on_change_.absent(lost);
}

} // namespace shallotwood::process
