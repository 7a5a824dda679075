// Connections to one server, kept open between requests.
//
// The one that was used last is taken first, so that few stay warm and the rest
// close by themselves. A connection that the server may be about to close is
// not used: what is sent on it would be lost without a word on whether it ran.
#pragma once

#include "connection/http/client_connection.hpp"

#include "process/callback_guard.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace shallotwood::connection::http
{

struct pool_settings {
    // Idle time after which a connection is closed.
    process::duration idle_limit = std::chrono::seconds(5);
    // Part of the idle time that the server announces.
    double announced_share = 0.6;
};

class client_pool
{
public:
    client_pool(process::loop::reactor& loop, client_options options,
                const pool_settings& settings = {});
    ~client_pool();
    client_pool(const client_pool&) = delete;
    client_pool& operator=(const client_pool&) = delete;

    // Connections to another address are of no use any more.
    void set_address(const process::peer_address& address);
    const process::peer_address& address() const { return address_; }

    // An idle connection used within `newest`, or a new one.
    std::shared_ptr<client_connection> take(process::duration newest);
    // After a call; closes the connection if it can't be used again.
    void give_back(std::shared_ptr<client_connection> it);
    void close_idle();

    // Called when all connections have broken within `loss_window` although
    // several were open: the server may have restarted. Connections opened
    // after the first one broke may be open.
    void on_all_lost(std::function<void()> tell)
    {
        all_lost_ = std::move(tell);
    }
    // Connections that broke within `loss_window`.
    std::size_t recent_losses();
    static constexpr process::duration loss_window =
        std::chrono::milliseconds(100);

    std::uint64_t opened() const { return opened_; }

private:
    struct open_connection {
        std::weak_ptr<client_connection> it;
        process::time_point opened_at;
    };
    std::shared_ptr<client_connection> open();
    void handle_loss(const client_connection& it);
    void forget_closed();
    bool is_fresh(const client_connection& it, process::duration newest) const;

    process::loop::reactor& loop_;
    client_options options_;
    pool_settings settings_;
    process::peer_address address_;
    // Used last at the end.
    std::vector<std::shared_ptr<client_connection>> idle_;
    std::uint64_t opened_ = 0;
    // Busy ones and idle ones.
    std::vector<open_connection> open_;
    // Times of the latest losses, oldest first.
    std::deque<process::time_point> losses_;
    std::function<void()> all_lost_;
    process::callback_guard guard_;
};

} // namespace shallotwood::connection::http
