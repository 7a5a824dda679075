#include "connection/http/client_pool.hpp"

#include <algorithm>

namespace shallotwood::connection::http
{

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
    ++opened_;
    return client_connection::open(loop_, address_, options_);
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
