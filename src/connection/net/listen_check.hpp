// Finds out whether a server still listens at its address.
//
// A server whose process has ended refuses connections. One that accepts a
// connection may be ending at this moment, so the connection has to stay open
// for settle_time; if it ends, another one is tried.
#pragma once

#include "connection/net/byte_stream.hpp"

#include <functional>
#include <memory>

namespace shallotwood::connection::net
{

class listen_check
{
public:
    // How long an accepted connection must stay open.
    static constexpr process::duration settle_time =
        std::chrono::milliseconds(100);
    // Pause before another connection is tried.
    static constexpr process::duration retry_pause =
        std::chrono::milliseconds(20);
    // A server that ends this many connections, and refuses none, listens.
    static constexpr int max_connections = 4;

    // Called at the end of each check.
    using handler = std::function<void(bool listens)>;

    listen_check(process::loop::reactor& loop, const liveness& how,
                 handler done);
    ~listen_check();
    listen_check(const listen_check&) = delete;
    listen_check& operator=(const listen_check&) = delete;

    // Has no effect while a check is in progress.
    void start(const process::peer_address& to);

private:
    class probe;

    void connect();
    void handle_connected();
    void handle_end(stream_end how);
    void finish(bool listens);

    process::loop::reactor& loop_;
    liveness liveness_;
    handler done_;
    process::peer_address to_;
    std::shared_ptr<probe> probe_;
    process::timer_id timer_{};
    int connections_ = 0;
    bool checking_ = false;
};

} // namespace shallotwood::connection::net
