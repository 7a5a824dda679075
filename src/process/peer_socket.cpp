#include "process/peer_socket.hpp"

#include "process/log.hpp"

#include <array>
#include <deque>
#include <sys/socket.h>

namespace shallotwood::process
{

namespace
{

constexpr std::size_t length_prefix_bytes = 4;
constexpr std::size_t read_buffer_bytes = 65'536;
// Limits the datagrams read at once, so that other events of the loop are
// handled.
constexpr int max_datagrams_per_wakeup = 64;
constexpr int udp_receive_buffer_bytes = 1'000'000;
constexpr duration timeout_check_period = std::chrono::seconds(5);

std::string take_error_text(GError* error)
{
    std::string text = error != nullptr ? error->message : "unknown error";
    g_clear_error(&error);
    return text;
}

std::string length_prefix(const std::string& encoded)
{
    std::string prefix;
    for (int shift = 24; shift >= 0; shift -= 8)
        prefix.push_back(static_cast<char>(encoded.size() >> shift & 0xff));
    return prefix;
}

std::size_t read_length(std::string_view prefix)
{
    std::size_t length = 0;
    for (auto it : prefix.substr(0, length_prefix_bytes))
        length = length << 8 | static_cast<unsigned char>(it);
    return length;
}

} // namespace

// A connection to another node. Callbacks of pending operations share ownership
// of it; `owner` is null once the connection is closed.
struct peer_socket::outgoing_connection {
    peer_socket* owner;
    peer_address destination;
    GCancellable* cancellable = g_cancellable_new();
    GSocketConnection* connection = nullptr;
    std::deque<std::string> queue;
    std::size_t queued_bytes = 0;
    bool writing = false;
    time_point last_used;

    outgoing_connection(peer_socket* socket, peer_address address,
                        time_point now)
        : owner(socket), destination(std::move(address)), last_used(now)
    {
    }
    outgoing_connection(const outgoing_connection&) = delete;
    outgoing_connection& operator=(const outgoing_connection&) = delete;
    ~outgoing_connection()
    {
        g_clear_object(&connection);
        g_clear_object(&cancellable);
    }
};

struct peer_socket::incoming_connection {
    peer_socket* owner;
    GCancellable* cancellable = g_cancellable_new();
    GSocketConnection* connection;
    // The received part of an incomplete message.
    std::string pending_input;
    std::array<char, read_buffer_bytes> buf{};
    // When the incomplete message began or, if there is none, the last one
    // ended.
    time_point last_message_boundary;

    incoming_connection(peer_socket* socket, GSocketConnection* it,
                        time_point now)
        : owner(socket),
          connection(static_cast<GSocketConnection*>(g_object_ref(it))),
          last_message_boundary(now)
    {
    }
    incoming_connection(const incoming_connection&) = delete;
    incoming_connection& operator=(const incoming_connection&) = delete;
    ~incoming_connection()
    {
        g_clear_object(&connection);
        g_clear_object(&cancellable);
    }
};

std::variant<std::unique_ptr<peer_socket>, std::string>
peer_socket::open(event_loop& loop, counters& counts, const peer_address& self,
                  std::uint16_t control_port, const std::string& fleet_secret)
{
    std::unique_ptr<peer_socket> made(
        new peer_socket(loop, counts, self, control_port, fleet_secret));
    if (auto error = made->listen(); !error.empty())
        return "control address " + self.host + ':' +
               std::to_string(control_port) + ": " + error;
    return made;
}

peer_socket::peer_socket(event_loop& loop, counters& counts,
                         const peer_address& self, std::uint16_t control_port,
                         const std::string& fleet_secret)
    : loop_(loop), counts_(counts), self_(self),
      port_offset_(control_port - self.port), fleet_secret_(fleet_secret)
{
}

peer_socket::~peer_socket()
{
    if (timeout_check_timer_)
        loop_.cancel(*timeout_check_timer_);
    while (!outgoing_.empty())
        close(outgoing_.begin()->second);
    while (!incoming_.empty())
        close(*incoming_.begin());
    if (udp_source_ != nullptr) {
        g_source_destroy(udp_source_);
        g_source_unref(udp_source_);
    }
    if (service_ != nullptr) {
        g_signal_handlers_disconnect_by_data(service_, this);
        g_socket_service_stop(service_);
        g_socket_listener_close(G_SOCKET_LISTENER(service_));
    }
    g_clear_object(&service_);
    g_clear_object(&client_);
    g_clear_object(&udp_);
}

std::string peer_socket::listen()
{
    auto port = self_.port + port_offset_;
    auto* address = g_inet_socket_address_new_from_string(
        self_.host.c_str(), static_cast<guint>(port));
    if (address == nullptr)
        return "not an IP address";
    auto error = listen_udp(address);
    if (error.empty())
        error = listen_tcp(address);
    g_object_unref(address);
    if (!error.empty())
        return error;
    client_ = g_socket_client_new();
    // Connections between nodes never use a proxy, and looking one up may
    // block.
    g_socket_client_set_enable_proxy(client_, FALSE);
    timeout_check_timer_ = loop_.call_after(
        timeout_check_period, [this] { close_timed_out_connections(); });
    return "";
}

std::string peer_socket::listen_udp(GSocketAddress* address)
{
    GError* error = nullptr;
    udp_ = g_socket_new(g_socket_address_get_family(address),
                        G_SOCKET_TYPE_DATAGRAM, G_SOCKET_PROTOCOL_UDP, &error);
    if (udp_ == nullptr)
        return take_error_text(error);
    g_socket_set_blocking(udp_, FALSE);
    g_socket_set_option(udp_, SOL_SOCKET, SO_RCVBUF, udp_receive_buffer_bytes,
                        nullptr);
    if (!g_socket_bind(udp_, address, FALSE, &error))
        return take_error_text(error);
    udp_source_ = g_socket_create_source(udp_, G_IO_IN, nullptr);
    GSocketSourceFunc ready = [](GSocket*, GIOCondition, gpointer data) {
        static_cast<peer_socket*>(data)->read_datagrams();
        return gboolean(G_SOURCE_CONTINUE);
    };
    g_source_set_callback(udp_source_, G_SOURCE_FUNC(ready), this, nullptr);
    g_source_attach(udp_source_, nullptr);
    return "";
}

std::string peer_socket::listen_tcp(GSocketAddress* address)
{
    GError* error = nullptr;
    service_ = g_socket_service_new();
    if (!g_socket_listener_add_address(
            G_SOCKET_LISTENER(service_), address, G_SOCKET_TYPE_STREAM,
            G_SOCKET_PROTOCOL_TCP, nullptr, nullptr, &error))
        return take_error_text(error);
    auto on_incoming = +[](GSocketService*, GSocketConnection* connection,
                           GObject*, gpointer data) {
        static_cast<peer_socket*>(data)->accept(connection);
        return gboolean(TRUE);
    };
    g_signal_connect(service_, "incoming", G_CALLBACK(on_incoming), this);
    g_socket_service_start(service_);
    return "";
}

void peer_socket::send(const peer_address& destination,
                       const std::string& method, const Json::Value& params)
{
    auto encoded =
        encode_message({self_, destination, method, params}, fleet_secret_);
    if (const auto* error = std::get_if<message_error>(&encoded)) {
        record_dropped_message(name_of(*error));
        return;
    }
    auto port = destination.port + port_offset_;
    auto* address =
        port > 0 && port <= 65'535
            ? g_inet_socket_address_new_from_string(destination.host.c_str(),
                                                    static_cast<guint>(port))
            : nullptr;
    if (address == nullptr) {
        record_dropped_message("bad-address");
        return;
    }
    const auto& bytes = std::get<std::string>(encoded);
    if (bytes.size() <= max_datagram_bytes)
        send_datagram(address, bytes);
    else
        send_stream(destination, address, bytes);
    g_object_unref(address);
}

void peer_socket::subscribe(const std::string& method, handler on_message)
{
    dispatcher_.subscribe(method, std::move(on_message));
}

void peer_socket::send_datagram(GSocketAddress* destination,
                                const std::string& encoded)
{
    auto sent = g_socket_send_to(udp_, destination, encoded.data(),
                                 encoded.size(), nullptr, nullptr);
    if (sent < 0) {
        record_dropped_message("not-sent");
        return;
    }
    ++counts_.at("peer_messages_sent");
    counts_.at("peer_bytes_sent") += encoded.size();
}

void peer_socket::send_stream(const peer_address& destination,
                              GSocketAddress* address,
                              const std::string& encoded)
{
    auto found = outgoing_.find(destination);
    if (found == outgoing_.end() && outgoing_.size() >= max_outgoing) {
        record_dropped_message("connections-full");
        return;
    }
    bool is_new = found == outgoing_.end();
    auto it = is_new ? std::make_shared<outgoing_connection>(this, destination,
                                                             loop_.now())
                     : found->second;
    if (it->queued_bytes + encoded.size() > max_queued_bytes) {
        record_dropped_message("queue-full");
        return;
    }
    it->queue.push_back(length_prefix(encoded) + encoded);
    it->queued_bytes += encoded.size();
    if (is_new) {
        outgoing_[destination] = it;
        connect(it, address);
    } else if (it->connection != nullptr) {
        write_next(it);
    }
}

void peer_socket::connect(const std::shared_ptr<outgoing_connection>& it,
                          GSocketAddress* address)
{
    auto done = [](GObject* source, GAsyncResult* result, gpointer data) {
        std::unique_ptr<std::shared_ptr<outgoing_connection>> held(
            static_cast<std::shared_ptr<outgoing_connection>*>(data));
        auto& target = **held;
        GError* error = nullptr;
        auto* connection = g_socket_client_connect_finish(
            G_SOCKET_CLIENT(source), result, &error);
        if (target.owner == nullptr) {
            g_clear_object(&connection);
            g_clear_error(&error);
        } else if (connection == nullptr) {
            g_clear_error(&error);
            target.owner->record_dropped_message("not-sent");
            target.owner->close(*held);
        } else {
            target.connection = connection;
            target.owner->write_next(*held);
        }
    };
    g_socket_client_connect_async(client_, G_SOCKET_CONNECTABLE(address),
                                  it->cancellable, done,
                                  new std::shared_ptr<outgoing_connection>(it));
}

void peer_socket::write_next(const std::shared_ptr<outgoing_connection>& it)
{
    if (it->writing || it->queue.empty())
        return;
    it->writing = true;
    it->last_used = loop_.now();
    auto done = [](GObject* source, GAsyncResult* result, gpointer data) {
        std::unique_ptr<std::shared_ptr<outgoing_connection>> held(
            static_cast<std::shared_ptr<outgoing_connection>*>(data));
        auto& target = **held;
        bool complete = g_output_stream_write_all_finish(
            G_OUTPUT_STREAM(source), result, nullptr, nullptr);
        if (target.owner == nullptr)
            return;
        auto& owner = *target.owner;
        if (!complete) {
            owner.record_dropped_message("not-sent");
            owner.close(*held);
            return;
        }
        auto bytes = target.queue.front().size();
        ++owner.counts_.at("peer_messages_sent");
        owner.counts_.at("peer_bytes_sent") += bytes;
        target.queued_bytes -= bytes - length_prefix_bytes;
        target.queue.pop_front();
        target.writing = false;
        owner.write_next(*held);
    };
    const auto& next = it->queue.front();
    g_output_stream_write_all_async(
        g_io_stream_get_output_stream(G_IO_STREAM(it->connection)), next.data(),
        next.size(), G_PRIORITY_DEFAULT, it->cancellable, done,
        new std::shared_ptr<outgoing_connection>(it));
}

void peer_socket::close(const std::shared_ptr<outgoing_connection>& it)
{
    it->owner = nullptr;
    // `it` may refer to the map entry, which the node handle keeps alive.
    auto node = outgoing_.extract(it->destination);
    g_cancellable_cancel(it->cancellable);
}

void peer_socket::read_datagrams()
{
    // One byte more than allowed, to detect oversize datagrams.
    std::array<char, max_datagram_bytes + 1> buf{};
    for (int n = 0; n < max_datagrams_per_wakeup; ++n) {
        auto size =
            g_socket_receive(udp_, buf.data(), buf.size(), nullptr, nullptr);
        if (size < 0)
            return;
        auto length = static_cast<std::size_t>(size);
        if (length > max_datagram_bytes)
            record_dropped_message("too-large");
        else
            receive({buf.data(), length});
    }
}

void peer_socket::accept(GSocketConnection* connection)
{
    if (incoming_.size() >= max_incoming) {
        record_dropped_message("connections-full");
        return;
    }
    auto it =
        std::make_shared<incoming_connection>(this, connection, loop_.now());
    incoming_.insert(it);
    read_async(it);
}

void peer_socket::read_async(const std::shared_ptr<incoming_connection>& it)
{
    auto done = [](GObject* source, GAsyncResult* result, gpointer data) {
        std::unique_ptr<std::shared_ptr<incoming_connection>> held(
            static_cast<std::shared_ptr<incoming_connection>*>(data));
        auto& target = **held;
        auto size =
            g_input_stream_read_finish(G_INPUT_STREAM(source), result, nullptr);
        if (target.owner == nullptr)
            return;
        if (size <= 0) {
            target.owner->close(*held);
            return;
        }
        auto n = static_cast<std::size_t>(size);
        if (target.pending_input.empty())
            target.last_message_boundary = target.owner->loop_.now();
        target.pending_input.append(target.buf.data(), n);
        target.owner->incoming_bytes_ += n;
        if (target.owner->process_buffered_messages(*held))
            target.owner->read_async(*held);
        else if (target.owner != nullptr)
            target.owner->close(*held);
    };
    g_input_stream_read_async(
        g_io_stream_get_input_stream(G_IO_STREAM(it->connection)),
        it->buf.data(), it->buf.size(), G_PRIORITY_DEFAULT, it->cancellable,
        done, new std::shared_ptr<incoming_connection>(it));
}

// Returns false if the connection must be closed.
bool peer_socket::process_buffered_messages(
    const std::shared_ptr<incoming_connection>& it)
{
    std::size_t start = 0;
    std::string_view input = it->pending_input;
    while (input.size() - start >= length_prefix_bytes) {
        auto length = read_length(input.substr(start));
        if (length > max_message_bytes) {
            record_dropped_message("too-large");
            return false;
        }
        if (input.size() - start - length_prefix_bytes < length)
            break;
        auto encoded = input.substr(start + length_prefix_bytes, length);
        start += length_prefix_bytes + length;
        if (!receive(encoded))
            return false;
    }
    if (start > 0) {
        it->pending_input.erase(0, start);
        it->last_message_boundary = loop_.now();
        incoming_bytes_ -= start;
    }
    if (incoming_bytes_ > max_incoming_bytes) {
        record_dropped_message("memory-full");
        return false;
    }
    return true;
}

void peer_socket::close(const std::shared_ptr<incoming_connection>& it)
{
    it->owner = nullptr;
    incoming_bytes_ -= it->pending_input.size();
    auto node = incoming_.extract(it);
    g_cancellable_cancel(it->cancellable);
}

// Returns false if the message can't be decoded, for example because it does
// not come from a node of this fleet.
bool peer_socket::receive(std::string_view encoded)
{
    counts_.at("peer_bytes_received") += encoded.size();
    auto opened = decode_message(encoded, self_, fleet_secret_);
    if (const auto* error = std::get_if<message_error>(&opened)) {
        record_dropped_message(name_of(*error));
        return false;
    }
    ++counts_.at("peer_messages_received");
    if (auto error = dispatcher_.dispatch(std::get<std::string>(opened)))
        record_dropped_message(name_of(*error));
    return true;
}

void peer_socket::record_dropped_message(std::string_view reason)
{
    if (loop_.now() >= next_warning_) {
        next_warning_ = loop_.now() + warning_period;
        SHALLOTWOOD_LOG(warning)
            << "event=peer-message-dropped" << field("reason", reason);
    }
    ++counts_.at("peer_messages_dropped",
                 "reason=\"" + std::string(reason) + "\"");
}

// Closes connections that are idle or whose message exceeds message_timeout.
void peer_socket::close_timed_out_connections()
{
    timeout_check_timer_ = loop_.call_after(
        timeout_check_period, [this] { close_timed_out_connections(); });
    auto now = loop_.now();
    auto all_outgoing = outgoing_;
    for (const auto& [destination, it] : all_outgoing) {
        auto limit = it->queue.empty() ? idle_timeout : message_timeout;
        if (now - it->last_used > limit)
            close(it);
    }
    auto all_incoming = incoming_;
    for (const auto& it : all_incoming) {
        auto limit =
            it->pending_input.empty() ? 2 * idle_timeout : message_timeout;
        if (now - it->last_message_boundary > limit)
            close(it);
    }
}

} // namespace shallotwood::process
