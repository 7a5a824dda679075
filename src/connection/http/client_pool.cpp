#include "connection/http/client_pool.hpp"

#include <algorithm>

namespace shallotwood::connection::http
{

namespace
{

// A server closes connections that have been idle for long; this says nothing
// of the server.
constexpr process::duration idle_end_limit = std::chrono::seconds(1);

// Two connections that break together are no coincidence.
constexpr std::size_t min_losses = 2;

} // namespace

client_pool::client_pool(process::loop::reactor& loop, client_options options,
                         const pool_settings& settings)
    : loop_(loop), options_(std::move(options)), settings_(settings)
{
}

client_pool::~client_pool()
{
    close_idle();
}

void client_pool::set_address(const process::peer_address& address)
{
    if (address == address_)
        return;
    close_idle();
    address_ = address;
}

bool client_pool::is_fresh(const client_connection& it,
                           process::duration newest) const
{
    auto limit = std::min(newest, settings_.idle_limit);
    if (auto announced = it.announced_idle())
        limit = std::min(limit, std::chrono::duration_cast<process::duration>(
                                    *announced * settings_.announced_share));
    return it.reusable() && loop_.now() - it.idle_since() < limit;
}

std::shared_ptr<client_connection> client_pool::take(process::duration newest)
{
    while (!idle_.empty()) {
        auto& last = idle_.back();
        // Its end may have arrived since the loop last read.
        if (!last->reusable() || last->has_input()) {
            last->close();
            idle_.pop_back();
            continue;
        }
        if (!is_fresh(*last, newest))
            break;
        auto it = std::move(last);
        idle_.pop_back();
        return it;
    }
    return open();
}

std::shared_ptr<client_connection> client_pool::open()
{
    ++opened_;
    forget_closed();
    auto it = client_connection::open(loop_, address_, options_);
    it->on_lost(guard_.wrap([this, raw = it.get()] { handle_loss(*raw); }));
    open_.push_back({it, loop_.now()});
    return it;
}

void client_pool::forget_closed()
{
    open_.erase(std::remove_if(open_.begin(), open_.end(),
                               [](const open_connection& one) {
                                   auto it = one.it.lock();
                                   return !it || !it->is_open();
                               }),
                open_.end());
}

std::size_t client_pool::recent_losses()
{
    while (!losses_.empty() && loop_.now() - losses_.front() > loss_window)
        losses_.pop_front();
    return losses_.size();
}

void client_pool::handle_loss(const client_connection& it)
{
    auto now = loop_.now();
    if (!it.busy() && now - it.idle_since() > idle_end_limit)
        return;
    losses_.push_back(now);
    if (recent_losses() < min_losses)
        return;
    forget_closed();
    bool older_left = std::any_of(open_.begin(), open_.end(),
                                  [this](const open_connection& one) {
                                      return one.opened_at < losses_.front();
                                  });
    if (!older_left && all_lost_)
        all_lost_();
}

void client_pool::give_back(std::shared_ptr<client_connection> it)
{
    if (!it->reusable()) {
        it->close();
        return;
    }
    // Its last response may have ended while its receiver had paused it.
    it->resume_reading();
    // The front is the one that has been idle longest.
    auto old = std::find_if(idle_.begin(), idle_.end(), [&](const auto& one) {
        return is_fresh(*one, settings_.idle_limit);
    });
    for (auto one = idle_.begin(); one != old; ++one)
        (*one)->close();
    idle_.erase(idle_.begin(), old);
    idle_.push_back(std::move(it));
}

void client_pool::close_idle()
{
    for (const auto& it : idle_)
        it->close();
    idle_.clear();
}

} // namespace shallotwood::connection::http
