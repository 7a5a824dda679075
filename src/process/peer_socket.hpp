// The transport between nodes over sockets: UDP for messages of up to
// max_datagram_bytes, otherwise TCP with a length prefix before each message.
//
// Nodes are addressed by their peer address, as listed in the membership. The
// control port, on which they listen, may differ from the port in that address
// by an offset that is the same on all nodes of a fleet.
//
// Bounds: max_outgoing connections with max_queued_bytes waiting on each,
// max_incoming connections holding max_incoming_bytes together; a message has
// message_timeout to arrive, and an idle connection is closed after
// idle_timeout. A message that exceeds a bound, is malformed or fails
// authentication is counted and dropped. If it can't be decoded, the connection
// that it arrived on is closed.
#pragma once

#include "process/counters.hpp"
#include "process/event_loop.hpp"
#include "process/peer_message.hpp"
#include "process/peer_transport.hpp"

#include <gio/gio.h>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>

namespace shallotwood::process
{

class peer_socket final : public peer_transport
{
public:
    static constexpr std::size_t max_datagram_bytes = 1'200;
    static constexpr std::size_t max_outgoing = 64;
    static constexpr std::size_t max_queued_bytes = 2'000'000;
    static constexpr std::size_t max_incoming = 256;
    static constexpr std::size_t max_incoming_bytes = 16'000'000;
    static constexpr duration message_timeout = std::chrono::seconds(10);
    static constexpr duration idle_timeout = std::chrono::seconds(30);
    // Minimum time between log lines about dropped messages; all are counted.
    static constexpr duration warning_period = std::chrono::minutes(1);

    // Listens on the control port at the host of `self`, the peer address by
    // which other nodes reach this one. Returns an error message on failure.
    static std::variant<std::unique_ptr<peer_socket>, std::string>
    open(event_loop& loop, counters& counts, const peer_address& self,
         std::uint16_t control_port, const std::string& fleet_secret);

    ~peer_socket() override;
    peer_socket(const peer_socket&) = delete;
    peer_socket& operator=(const peer_socket&) = delete;

    void send(const peer_address& destination, const std::string& method,
              const Json::Value& params) override;
    void subscribe(const std::string& method, handler on_message) override;

private:
    struct outgoing_connection;
    struct incoming_connection;

    peer_socket(event_loop& loop, counters& counts, const peer_address& self,
                std::uint16_t control_port, const std::string& fleet_secret);
    std::string listen();
    std::string listen_udp(GSocketAddress* address);
    std::string listen_tcp(GSocketAddress* address);

    void send_datagram(GSocketAddress* destination, const std::string& encoded);
    void send_stream(const peer_address& destination, GSocketAddress* address,
                     const std::string& encoded);
    void connect(const std::shared_ptr<outgoing_connection>& it,
                 GSocketAddress* address);
    void write_next(const std::shared_ptr<outgoing_connection>& it);
    void close(const std::shared_ptr<outgoing_connection>& it);

    void read_datagrams();
    void accept(GSocketConnection* connection);
    void read_async(const std::shared_ptr<incoming_connection>& it);
    bool
    process_buffered_messages(const std::shared_ptr<incoming_connection>& it);
    void close(const std::shared_ptr<incoming_connection>& it);
    bool receive(std::string_view encoded);
    void record_dropped_message(std::string_view reason);
    void close_timed_out_connections();

    event_loop& loop_;
    counters& counts_;
    const peer_address self_;
    const int port_offset_;
    const std::string fleet_secret_;
    notification_dispatcher dispatcher_;

    GSocket* udp_ = nullptr;
    GSource* udp_source_ = nullptr;
    GSocketService* service_ = nullptr;
    GSocketClient* client_ = nullptr;
    std::map<peer_address, std::shared_ptr<outgoing_connection>> outgoing_;
    std::set<std::shared_ptr<incoming_connection>> incoming_;
    std::size_t incoming_bytes_ = 0;
    std::optional<timer_id> timeout_check_timer_;
    time_point next_warning_{};
};

} // namespace shallotwood::process
