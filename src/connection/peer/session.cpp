#include "connection/peer/session.hpp"

#include "process/contain.hpp"

#include <algorithm>
#include <vector>

namespace shallotwood::connection::peer
{

namespace
{

// Bytes of one stream that may be on their way unread.
constexpr std::uint32_t stream_window = 64 * 1024;

// Of all streams together; each is bounded by its own window.
constexpr std::int32_t connection_window = 16 * 1024 * 1024;

constexpr std::uint32_t max_streams = 4096;

// Dynamic table for header compression in each direction. Requests repeat few
// values, and every pair of nodes pays for two tables.
constexpr std::uint32_t header_table_bytes = 2048;

// Bytes of a frame before its payload.
constexpr std::size_t frame_header_bytes = 9;

// Share of its length that a header with numbers and names takes after Huffman
// coding: digits and lower-case letters have 5 to 7 bits.
constexpr double huffman_share = 0.75;

// Representation and lengths of a header whose name is not indexed.
constexpr std::size_t literal_header_bytes = 3;

// A dead connection is found by pings; this is the last resort.
constexpr net::liveness alive{std::chrono::seconds(3), 0};

std::uint8_t* bytes_of(const std::string& text)
{
    // libnghttp2 takes a pointer to non-const and does not write to it.
    return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data()));
}

std::vector<nghttp2_nv> to_fields(const http::header_list& headers,
                                  index_policy& indexing)
{
    std::vector<nghttp2_nv> all;
    all.reserve(headers.size());
    for (const auto& it : headers) {
        auto flag = indexing.indexes(it.name, it.value)
                        ? NGHTTP2_NV_FLAG_NONE
                        : NGHTTP2_NV_FLAG_NO_INDEX;
        all.push_back({bytes_of(it.name), bytes_of(it.value), it.name.size(),
                       it.value.size(), static_cast<std::uint8_t>(flag)});
    }
    return all;
}

// libnghttp2 takes a pointer to non-const and does not write to it.
void* user_data_of(const stream_class* it)
{
    return const_cast<stream_class*>(it);
}

// Exceptions must not pass through libnghttp2, which is in C. The error ends
// the connection.
template <typename Task>
int call_contained(Task&& task)
{
    return process::contain("peer connection", task)
               ? 0
               : NGHTTP2_ERR_CALLBACK_FAILURE;
}

} // namespace

std::size_t estimated_header_bytes(std::size_t name_size,
                                   std::size_t value_size)
{
    return literal_header_bytes +
           static_cast<std::size_t>(
               huffman_share * static_cast<double>(name_size + value_size));
}

std::shared_ptr<session> session::connect(process::loop::reactor& loop,
                                          const process::peer_address& to,
                                          end_handler on_lost, meter_ptr meter)
{
    auto it = std::make_shared<session>(loop, to, std::move(on_lost),
                                        std::move(meter));
    it->start();
    it->flush_later();
    return it;
}

std::shared_ptr<session> session::accept(process::loop::reactor& loop, int fd,
                                         request_handler on_request,
                                         end_handler on_lost, meter_ptr meter)
{
    auto it = std::make_shared<session>(loop, fd, std::move(on_request),
                                        std::move(on_lost), std::move(meter));
    it->start();
    it->flush_later();
    return it;
}

session::session(process::loop::reactor& loop, const process::peer_address& to,
                 end_handler on_lost, meter_ptr meter)
    : byte_stream(loop, to, alive), on_lost_(std::move(on_lost)),
      meter_(std::move(meter)), heard_(loop.now())
{
    make_session(true);
}

session::session(process::loop::reactor& loop, int fd,
                 request_handler on_request, end_handler on_lost,
                 meter_ptr meter)
    : byte_stream(loop, fd), on_request_(std::move(on_request)),
      on_lost_(std::move(on_lost)), meter_(std::move(meter)),
      heard_(loop.now()), was_connected_(true)
{
    make_session(false);
}

session::~session()
{
    nghttp2_session_del(session_);
}

void session::make_session(bool is_client)
{
    nghttp2_session_callbacks* calls = nullptr;
    nghttp2_session_callbacks_new(&calls);
    nghttp2_session_callbacks_set_on_begin_headers_callback(calls,
                                                            header_begun);
    nghttp2_session_callbacks_set_on_header_callback(calls, header_received);
    nghttp2_session_callbacks_set_on_frame_recv_callback(calls, frame_received);
    nghttp2_session_callbacks_set_on_frame_send_callback(calls, frame_sent);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(calls,
                                                              data_received);
    nghttp2_session_callbacks_set_on_stream_close_callback(calls,
                                                           stream_closed);
    nghttp2_option* options = nullptr;
    nghttp2_option_new(&options);
    nghttp2_option_set_no_auto_window_update(options, 1);
    // Header values pass as they came; both ends are nodes.
    nghttp2_option_set_no_http_messaging(options, 1);
    nghttp2_option_set_peer_max_concurrent_streams(options, max_streams);
    nghttp2_option_set_max_deflate_dynamic_table_size(options,
                                                      header_table_bytes);
    if (is_client)
        nghttp2_session_client_new2(&session_, calls, this, options);
    else
        nghttp2_session_server_new2(&session_, calls, this, options);
    nghttp2_option_del(options);
    nghttp2_session_callbacks_del(calls);
    nghttp2_settings_entry entries[] = {
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, max_streams},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, stream_window},
        {NGHTTP2_SETTINGS_HEADER_TABLE_SIZE, header_table_bytes}};
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, entries, 3);
    nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0,
                                          connection_window);
}

session::stream* session::find(stream_number number)
{
    auto it = streams_.find(number);
    return it == streams_.end() ? nullptr : &it->second;
}

stream_number session::request(const http::header_list& headers, bool has_body,
                               std::shared_ptr<stream_events> events)
{
    if (lost_ || !is_open())
        return -1;
    auto fields = to_fields(headers, indexing_);
    nghttp2_data_provider body{};
    body.read_callback = read_output;
    const auto* path = meter_ ? headers.find(":path") : nullptr;
    const auto* kind = path != nullptr ? meter_->class_of(*path) : nullptr;
    auto number =
        nghttp2_submit_request(session_, nullptr, fields.data(), fields.size(),
                               has_body ? &body : nullptr, user_data_of(kind));
    if (number < 0)
        return number;
    auto& it = streams_[number];
    it.events = std::move(events);
    it.output_ended = !has_body;
    flush_later();
    return number;
}

void session::respond(stream_number number, const http::header_list& headers,
                      bool has_body)
{
    auto* it = find(number);
    if (it == nullptr || lost_)
        return;
    it->output_ended = !has_body;
    auto fields = to_fields(headers, indexing_);
    nghttp2_data_provider body{};
    body.read_callback = read_output;
    nghttp2_submit_response(session_, number, fields.data(), fields.size(),
                            has_body ? &body : nullptr);
    flush_later();
}

void session::send_data(stream_number number, std::string_view bytes)
{
    auto* it = find(number);
    if (it == nullptr || lost_)
        return;
    it->output.append(bytes);
    if (it->output.size() - it->sent > max_unsent_bytes)
        it->drain_wanted = true;
    if (it->deferred) {
        it->deferred = false;
        nghttp2_session_resume_data(session_, number);
    }
    flush_later();
}

void session::end_data(stream_number number)
{
    auto* it = find(number);
    if (it == nullptr || lost_)
        return;
    it->output_ended = true;
    if (it->deferred) {
        it->deferred = false;
        nghttp2_session_resume_data(session_, number);
    }
    flush_later();
}

std::size_t session::unsent_on(stream_number number) const
{
    auto it = streams_.find(number);
    return it == streams_.end() ? 0
                                : it->second.output.size() - it->second.sent;
}

void session::reset(stream_number number)
{
    if (streams_.erase(number) == 0 || lost_)
        return;
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, number,
                              NGHTTP2_CANCEL);
    flush_later();
}

void session::consumed(stream_number number, std::size_t bytes)
{
    if (lost_ || bytes == 0)
        return;
    nghttp2_session_consume_stream(session_, number, bytes);
    flush_later();
}

void session::tell_silent()
{
    std::vector<std::shared_ptr<stream_events>> all;
    for (const auto& [number, it] : streams_)
        if (it.events)
            all.push_back(it.events);
    for (const auto& it : all)
        it->on_silent();
}

void session::ping()
{
    ping_waiting_ = true;
    pinged_at_ = loop().now();
    nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
    flush_later();
}

void session::drop(stream_close how)
{
    if (lost_)
        return;
    lost_ = true;
    auto self = std::static_pointer_cast<session>(shared_from_this());
    close();
    close_all(how);
    if (on_lost_)
        on_lost_(self);
}

void session::close_all(stream_close how)
{
    while (!streams_.empty()) {
        auto events = std::move(streams_.begin()->second.events);
        streams_.erase(streams_.begin());
        if (events)
            events->on_closed(how);
    }
}

void session::on_connected()
{
    was_connected_ = true;
    heard_ = loop().now();
    flush();
}

void session::on_bytes(std::string_view bytes)
{
    heard_ = loop().now();
    established_ = true;
    auto n = nghttp2_session_mem_recv(
        session_, reinterpret_cast<const std::uint8_t*>(bytes.data()),
        bytes.size());
    if (n < 0) {
        drop();
        return;
    }
    flush_later();
}

void session::on_drained()
{
    flush_later();
}

void session::on_end(net::stream_end)
{
    drop();
}

void session::flush_later()
{
    if (flush_planned_ || lost_)
        return;
    flush_planned_ = true;
    loop().defer([weak = weak_from_this()] {
        if (auto it = weak.lock())
            static_cast<session&>(*it).flush();
    });
}

void session::flush()
{
    flush_planned_ = false;
    // Until the connection is established, all frames stay with libnghttp2, so
    // that reset() withdraws a request that may be reported as not run.
    if (lost_ || !is_open() || !was_connected_)
        return;
    // One write for all frames of a turn. What the connection can't take yet
    // stays with libnghttp2, which sends the frames of all streams in turn and
    // control frames first: a large body on a slow link delays no ping and
    // little of a short response.
    std::string output;
    while (unsent() + output.size() < max_queued_bytes) {
        const std::uint8_t* bytes = nullptr;
        auto n = nghttp2_session_mem_send(session_, &bytes);
        if (n <= 0)
            break;
        output.append(reinterpret_cast<const char*>(bytes),
                      static_cast<std::size_t>(n));
    }
    if (!output.empty())
        send(output);
    // Otherwise on_drained() continues.
    if (output.size() >= max_queued_bytes && unsent() == 0)
        flush_later();
    if (nghttp2_session_want_read(session_) == 0 &&
        nghttp2_session_want_write(session_) == 0)
        drop();
}

int session::header_begun(nghttp2_session*, const nghttp2_frame* frame,
                          void* self)
{
    auto& it = *static_cast<session*>(self);
    if (frame->hd.type == NGHTTP2_HEADERS && it.on_request_)
        it.streams_[frame->hd.stream_id];
    return 0;
}

int session::header_received(nghttp2_session*, const nghttp2_frame* frame,
                             const std::uint8_t* name, std::size_t name_size,
                             const std::uint8_t* value, std::size_t value_size,
                             std::uint8_t, void* self)
{
    return call_contained([&] {
        if (auto* it = static_cast<session*>(self)->find(frame->hd.stream_id))
            it->headers.add({reinterpret_cast<const char*>(name), name_size},
                            {reinterpret_cast<const char*>(value), value_size});
    });
}

int session::frame_received(nghttp2_session*, const nghttp2_frame* frame,
                            void* self)
{
    return call_contained([&] {
        auto& it = *static_cast<session*>(self);
        if (it.meter_)
            it.count(frame_direction::received, *frame);
        it.handle_frame(frame->hd);
    });
}

int session::frame_sent(nghttp2_session*, const nghttp2_frame* frame,
                        void* self)
{
    auto& it = *static_cast<session*>(self);
    if (frame->hd.type == NGHTTP2_HEADERS)
        it.head_sent_ = true;
    if (it.meter_)
        it.count(frame_direction::sent, *frame);
    return 0;
}

void session::count(frame_direction way, const nghttp2_frame& frame)
{
    metered_frame it;
    it.direction = way;
    it.type = frame.hd.type;
    it.bytes = frame.hd.length + frame_header_bytes;
    auto number = frame.hd.stream_id;
    if (frame.hd.type == NGHTTP2_HEADERS) {
        // The path of a request is known only with its head.
        auto* of = find(number);
        const auto* path =
            way == frame_direction::received && on_request_ && of != nullptr
                ? of->headers.find(":path")
                : nullptr;
        if (path != nullptr)
            nghttp2_session_set_stream_user_data(
                session_, number, user_data_of(meter_->class_of(*path)));
        it.separate_bytes = separate_bytes(way, frame);
    }
    // Kept by libnghttp2 until the last frame of the stream, also of one that
    // this end has reset.
    if (number != 0)
        it.stream = static_cast<const stream_class*>(
            nghttp2_session_get_stream_user_data(session_, number));
    meter_->on_frame(it);
}

std::size_t session::separate_bytes(frame_direction way,
                                    const nghttp2_frame& frame)
{
    auto name = meter_->separate_header();
    if (way == frame_direction::received) {
        auto* of = find(frame.hd.stream_id);
        if (of == nullptr)
            return 0;
        for (const auto& it : of->headers)
            if (it.name == name)
                return estimated_header_bytes(name.size(), it.value.size());
        return 0;
    }
    const auto* fields = frame.headers.nva;
    for (std::size_t n = 0; n < frame.headers.nvlen; ++n)
        if (fields[n].namelen == name.size() &&
            std::equal(name.begin(), name.end(), fields[n].name))
            return estimated_header_bytes(name.size(), fields[n].valuelen);
    return 0;
}

void session::handle_frame(const nghttp2_frame_hd& frame)
{
    if (frame.type == NGHTTP2_PING && (frame.flags & NGHTTP2_FLAG_ACK) != 0) {
        ping_waiting_ = false;
        if (on_round_trip_)
            on_round_trip_(loop().now() - pinged_at_);
    }
    if (frame.type != NGHTTP2_HEADERS && frame.type != NGHTTP2_DATA)
        return;
    auto number = frame.stream_id;
    auto* it = find(number);
    if (it == nullptr)
        return;
    if (frame.type == NGHTTP2_HEADERS) {
        auto headers = std::move(it->headers);
        it->headers.clear();
        if (on_request_) {
            auto shared = std::static_pointer_cast<session>(shared_from_this());
            auto events = on_request_(shared, number, std::move(headers));
            it = find(number);
            if (it == nullptr)
                return;
            it->events = std::move(events);
        } else if (auto events = it->events) {
            events->on_head(std::move(headers));
        }
    }
    if ((frame.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
        it = find(number);
        if (it != nullptr)
            if (auto events = it->events)
                events->on_end();
    }
}

int session::data_received(nghttp2_session* of, std::uint8_t,
                           std::int32_t number, const std::uint8_t* bytes,
                           std::size_t size, void* self)
{
    auto& owner = *static_cast<session*>(self);
    nghttp2_session_consume_connection(of, size);
    auto* it = owner.find(number);
    if (it == nullptr) {
        nghttp2_session_consume_stream(of, number, size);
        return 0;
    }
    auto events = it->events;
    if (!events)
        return 0;
    return call_contained([&] {
        events->on_data({reinterpret_cast<const char*>(bytes), size});
    });
}

int session::stream_closed(nghttp2_session*, std::int32_t number,
                           std::uint32_t error, void* self)
{
    auto& owner = *static_cast<session*>(self);
    auto* it = owner.find(number);
    if (it == nullptr)
        return 0;
    auto events = std::move(it->events);
    owner.streams_.erase(number);
    if (!events)
        return 0;
    auto how = error == NGHTTP2_NO_ERROR         ? stream_close::complete
               : error == NGHTTP2_REFUSED_STREAM ? stream_close::unprocessed
                                                 : stream_close::reset;
    return call_contained([&] { events->on_closed(how); });
}

ssize_t session::read_output(nghttp2_session*, std::int32_t number,
                             std::uint8_t* buf, std::size_t size,
                             std::uint32_t* flags, nghttp2_data_source*,
                             void* self)
{
    auto& owner = *static_cast<session*>(self);
    auto* it = owner.find(number);
    if (it == nullptr)
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    auto n = std::min(size, it->output.size() - it->sent);
    if (n == 0 && !it->output_ended) {
        it->deferred = true;
        return NGHTTP2_ERR_DEFERRED;
    }
    it->output.copy(reinterpret_cast<char*>(buf), n, it->sent);
    it->sent += n;
    if (it->sent == it->output.size()) {
        it->output.clear();
        it->sent = 0;
        if (it->output_ended)
            *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    if (it->drain_wanted && it->output.size() - it->sent <= max_unsent_bytes) {
        it->drain_wanted = false;
        // Not from inside libnghttp2's send, which must not be entered again.
        owner.loop().defer([events = it->events] {
            if (events)
                events->on_drained();
        });
    }
    return static_cast<ssize_t>(n);
}

} // namespace shallotwood::connection::peer
