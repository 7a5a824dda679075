// One HTTP/2 connection between two nodes, by libnghttp2.
//
// A single connection carries all calls between two nodes in one direction, so
// that a ping tells whether the connection lives while a backend server works,
// a call is cancelled without ending others, and each call has a window of its
// own. Both ends of a stream are told of its end exactly once.
#pragma once

#include "connection/http/message.hpp"
#include "connection/net/byte_stream.hpp"
#include "connection/peer/frame_meter.hpp"
#include "connection/peer/index_policy.hpp"

#include <functional>
#include <map>
#include <memory>
#include <nghttp2/nghttp2.h>
#include <string>

namespace shallotwood::connection::peer
{

using stream_number = std::int32_t;

enum class stream_close {
    // Both sides have finished.
    complete,
    // The other node ended the stream early.
    reset,
    // The other node had not looked at the request.
    unprocessed,
    // The connection was lost.
    lost,
};

// Told about one stream. Nothing follows on_closed().
class stream_events
{
public:
    virtual ~stream_events() = default;
    // The response's head; at the server, the request's head is given to the
    // handler instead.
    virtual void on_head(http::header_list&& headers) { (void)headers; }
    virtual void on_data(std::string_view bytes) = 0;
    // The other side has finished sending.
    virtual void on_end() = 0;
    virtual void on_closed(stream_close how) = 0;
    // Less than max_unsent_bytes is unsent again.
    virtual void on_drained() {}
    // The other node does not answer, though the connection is not given up.
    virtual void on_silent() {}
};

class session final : public net::byte_stream
{
public:
    // A producer pauses while more than this is unsent on its stream.
    static constexpr std::size_t max_unsent_bytes = std::size_t{64} * 1024;

    // Output of all streams that is queued for the connection at once, plus one
    // frame.
    static constexpr std::size_t max_queued_bytes = std::size_t{32} * 1024;

    using request_handler = std::function<std::shared_ptr<stream_events>(
        const std::shared_ptr<session>&, stream_number,
        http::header_list&& headers)>;
    using end_handler = std::function<void(const std::shared_ptr<session>&)>;
    // Told of all frames; null if they are not counted.
    using meter_ptr = std::shared_ptr<frame_meter>;
    using round_trip_handler = std::function<void(process::duration)>;

    static std::shared_ptr<session> connect(process::loop::reactor& loop,
                                            const process::peer_address& to,
                                            end_handler on_lost,
                                            meter_ptr meter = nullptr);
    static std::shared_ptr<session> accept(process::loop::reactor& loop, int fd,
                                           request_handler on_request,
                                           end_handler on_lost,
                                           meter_ptr meter = nullptr);

    session(process::loop::reactor& loop, const process::peer_address& to,
            end_handler on_lost, meter_ptr meter);
    session(process::loop::reactor& loop, int fd, request_handler on_request,
            end_handler on_lost, meter_ptr meter);
    ~session() override;

    // At the client. Negative if the connection takes no more streams.
    stream_number request(const http::header_list& headers, bool has_body,
                          std::shared_ptr<stream_events> events);
    // At the server.
    void respond(stream_number stream, const http::header_list& headers,
                 bool has_body);

    void send_data(stream_number stream, std::string_view bytes);
    void end_data(stream_number stream);
    // Unsent on the stream.
    std::size_t unsent_on(stream_number stream) const;
    // Ends the stream; no callbacks follow. A request is not sent any more if
    // the connection has not been established yet.
    void reset(stream_number stream);
    // The receiver has passed on that many bytes of the stream.
    void consumed(stream_number stream, std::size_t bytes);

    // Ends the connection; every open stream gets on_closed(how).
    void drop(stream_close how = stream_close::lost);

    // Something may have been sent.
    bool was_connected() const { return was_connected_; }
    // The other node has answered on this connection.
    bool established() const { return established_; }

    // Calls on_silent() of every open stream.
    void tell_silent();

    void ping();
    // Gets the time of each ping from now on.
    void on_round_trip(round_trip_handler handler)
    {
        on_round_trip_ = std::move(handler);
    }
    bool ping_waiting() const { return ping_waiting_; }
    process::time_point heard() const { return heard_; }
    std::size_t streams() const { return streams_.size(); }
    // A head has left on this connection; one that was queued may have been
    // withdrawn by reset().
    bool head_sent() const { return head_sent_; }
    const meter_ptr& meter() const { return meter_; }

private:
    struct stream {
        std::shared_ptr<stream_events> events;
        http::header_list headers;
        std::string output;
        std::size_t sent = 0;
        bool output_ended = false;
        bool deferred = false;
        bool drain_wanted = false;
    };

    void make_session(bool is_client);
    void on_connected() override;
    void on_bytes(std::string_view bytes) override;
    void on_drained() override;
    void on_end(net::stream_end how) override;
    void handle_frame(const nghttp2_frame_hd& frame);
    void count(frame_direction way, const nghttp2_frame& frame);
    std::size_t separate_bytes(frame_direction way, const nghttp2_frame& frame);
    void flush_later();
    void flush();
    void close_all(stream_close how);
    stream* find(stream_number number);

    static int header_begun(nghttp2_session*, const nghttp2_frame* frame,
                            void* self);
    static int header_received(nghttp2_session*, const nghttp2_frame* frame,
                               const std::uint8_t* name, std::size_t name_size,
                               const std::uint8_t* value,
                               std::size_t value_size, std::uint8_t flags,
                               void* self);
    static int frame_received(nghttp2_session*, const nghttp2_frame* frame,
                              void* self);
    static int frame_sent(nghttp2_session*, const nghttp2_frame* frame,
                          void* self);
    static int data_received(nghttp2_session*, std::uint8_t flags,
                             std::int32_t number, const std::uint8_t* bytes,
                             std::size_t size, void* self);
    static int stream_closed(nghttp2_session*, std::int32_t number,
                             std::uint32_t error, void* self);
    static ssize_t read_output(nghttp2_session*, std::int32_t number,
                               std::uint8_t* buf, std::size_t size,
                               std::uint32_t* flags,
                               nghttp2_data_source* source, void* self);

    nghttp2_session* session_ = nullptr;
    request_handler on_request_;
    end_handler on_lost_;
    index_policy indexing_;
    meter_ptr meter_;
    round_trip_handler on_round_trip_;
    process::time_point pinged_at_{};
    std::map<stream_number, stream> streams_;
    process::time_point heard_;
    bool ping_waiting_ = false;
    bool flush_planned_ = false;
    bool lost_ = false;
    bool was_connected_ = false;
    bool established_ = false;
    bool head_sent_ = false;
};

} // namespace shallotwood::connection::peer
