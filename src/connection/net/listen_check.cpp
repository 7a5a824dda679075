#include "connection/net/listen_check.hpp"

#include <utility>

namespace shallotwood::connection::net
{

class listen_check::probe final : public byte_stream
{
public:
    probe(listen_check& owner, const process::peer_address& to)
        : byte_stream(owner.loop_, to, owner.liveness_), owner_(owner)
    {
    }

    void open() { start(); }

private:
    void on_connected() override { owner_.handle_connected(); }
    void on_bytes(std::string_view) override {}
    void on_end(stream_end how) override { owner_.handle_end(how); }

    listen_check& owner_;
};

listen_check::listen_check(process::loop::reactor& loop, const liveness& how,
                           handler done)
    : loop_(loop), liveness_(how), done_(std::move(done))
{
}

listen_check::~listen_check()
{
    loop_.cancel(timer_);
    if (probe_)
        probe_->close();
}

void listen_check::start(const process::peer_address& to)
{
    if (checking_)
        return;
    checking_ = true;
    connections_ = 0;
    to_ = to;
    connect();
}

void listen_check::connect()
{
    ++connections_;
    probe_ = std::make_shared<probe>(*this, to_);
    probe_->open();
}

void listen_check::handle_connected()
{
    timer_ = loop_.call_after(settle_time, [this] { finish(true); });
}

void listen_check::handle_end(stream_end how)
{
    loop_.cancel(timer_);
    if (how == stream_end::refused)
        finish(false);
    else if (connections_ >= max_connections)
        finish(true);
    else
        timer_ = loop_.call_after(retry_pause, [this] { connect(); });
}

void listen_check::finish(bool listens)
{
    checking_ = false;
    if (auto it = std::exchange(probe_, nullptr))
        it->close();
    done_(listens);
}

} // namespace shallotwood::connection::net
