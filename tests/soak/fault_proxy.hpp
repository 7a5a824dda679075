// A loopback proxy for TCP whose connections misbehave on demand.
#pragma once

#include "connection/net/byte_stream.hpp"

#include <memory>
#include <set>

namespace shallotwood::soak
{

enum class line {
    clear,
    // Nothing passes, in either direction, and nothing is closed.
    silent,
    // Only what the connecting side sends passes.
    one_way,
    // Every byte comes late.
    delayed,
};

class fault_proxy
{
public:
    fault_proxy(process::loop::reactor& loop, process::peer_address target);
    ~fault_proxy();
    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;

    process::peer_address address() const;
    void set_target(const process::peer_address& to) { target_ = to; }
    // Holds for open connections and for new ones.
    void set_line(line how) { line_ = how; }
    // For the connections that are open now, for good; new ones work.
    void silence_open();
    void reset_open();
    // New connections are refused from now on; open ones stay.
    void stop_listening() { listener_.stop(); }

private:
    class side;
    struct pair;

    void accepted(int fd);

    process::loop::reactor& loop_;
    process::peer_address target_;
    line line_ = line::clear;
    connection::net::tcp_listener listener_;
    std::set<std::shared_ptr<pair>> pairs_;
};

} // namespace shallotwood::soak
