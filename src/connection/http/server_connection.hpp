// HTTP/1.1 connections of callers.
//
// One request is served at a time; what a caller sends beyond it waits. A
// caller that closes its connection or its side of it has left: the exchange is
// told at once. Bodies stream in both directions; the memory held for one
// connection is bounded by max_unsent_bytes and max_waiting_bytes.
#pragma once

#include "connection/http/reader.hpp"
#include "connection/net/byte_stream.hpp"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace shallotwood::connection::http
{

// One request on a connection, as its handler sees it. Nothing is called after
// on_left() or after the response was ended.
class exchange
{
public:
    virtual ~exchange() = default;
    virtual void on_body(std::string_view bytes) = 0;
    virtual void on_body_end() = 0;
    // The caller has closed the connection.
    virtual void on_left() = 0;
    // Output that exceeded max_unsent_bytes has been sent.
    virtual void on_drained() {}
};

struct server_limits {
    read_limits message;
    // For the head of a request, from its first byte.
    process::duration head_time = std::chrono::seconds(10);
    // Without a request, or without progress of a request's body.
    process::duration idle_time = std::chrono::seconds(60);
    std::size_t connections = 4096;
};

class server;

class server_connection final : public net::byte_stream, private reader_events
{
public:
    // A producer of a response pauses while more than this is unsent.
    static constexpr std::size_t max_unsent_bytes = std::size_t{64} * 1024;
    // Input read while a request is being served.
    static constexpr std::size_t max_waiting_bytes = std::size_t{16} * 1024;
    // A response before the end of the request's body ends the connection,
    // unless the rest has at most this length and comes within rest_time.
    static constexpr std::uint64_t max_rest_bytes = std::uint64_t{256} * 1024;
    static constexpr process::duration rest_time = std::chrono::seconds(2);
    // How long a connection stays after its last response, for a caller that
    // is still sending.
    static constexpr process::duration linger = std::chrono::seconds(1);

    server_connection(server& owner, process::loop::reactor& loop, int fd);

    // The response, whole. The framing header is added.
    void respond(response_head head, std::string_view body);
    // Or in pieces; without a length it is sent in chunks.
    void respond_head(response_head head, std::optional<std::uint64_t> length);
    void respond_body(std::string_view bytes);
    void respond_end();
    // Ends the connection so that what was sent can't be taken as whole.
    void respond_abort();
    bool response_started() const { return responding_; }

    // Backpressure on the body of the request, until its end or that of the
    // response.
    void pause_body() { pause_reading(); }
    void resume_body() { resume_reading(); }

private:
    friend class server;
    enum class state { idle, head, body, waiting, closed };

    void on_bytes(std::string_view bytes) override;
    void on_drained() override;
    void on_end(net::stream_end how) override;
    void on_head(const message_info& info) override;
    void on_body(std::string_view bytes) override;
    void on_message_end() override;

    void consume(std::string_view bytes);
    void reject(read_error why);
    void request_done();
    void check_time(process::time_point now);
    void close_when_idle();
    // Ends the connection because its server ends.
    void drop();
    bool must_close() const;
    // Whether the rest of the request's body can be read and discarded.
    bool can_skip_rest() const;

    server& owner_;
    state state_ = state::idle;
    std::unique_ptr<request_reader> reader_;
    std::shared_ptr<exchange> exchange_;
    // A head that is not complete, or input after the current request.
    std::string waiting_;
    process::time_point since_;
    // Of the request's body, not read yet; nothing if unknown.
    std::optional<std::uint64_t> rest_;
    // The caller waits for it before it sends the body.
    bool continue_due_ = false;
    bool keep_alive_ = true;
    bool body_ended_ = false;
    bool responding_ = false;
    bool response_ended_ = false;
    bool chunked_ = false;
    bool to_head_ = false;
    bool closing_ = false;
    bool consuming_ = false;
    bool drain_wanted_ = false;
};

// Serves one address.
class server
{
public:
    // Called with each request head. The handler answers at once through the
    // connection, or returns an exchange that does so later.
    using handler = std::function<std::shared_ptr<exchange>(
        const std::shared_ptr<server_connection>&, request_head&&,
        const message_info&)>;

    server(process::loop::reactor& loop, handler on_request);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    // Returns an error message, empty on success.
    std::string listen(const process::peer_address& address);
    std::uint16_t port() const { return listener_.port(); }

    void set_limits(const server_limits& limits) { limits_ = limits; }
    const server_limits& limits() const { return limits_; }

    // Ends all connections at once; their exchanges are told that the callers
    // have left.
    void close();

    // Answers what is being served, ends each connection after its response,
    // and closes idle ones.
    void drain();
    bool draining() const { return draining_; }
    // A caller has not taken all of a response yet.
    bool has_unsent();
    std::size_t connections() const { return connections_.size(); }

private:
    friend class server_connection;
    void accepted(int fd);
    void sweep();

    process::loop::reactor& loop_;
    handler on_request_;
    server_limits limits_;
    net::tcp_listener listener_;
    std::set<std::shared_ptr<server_connection>> connections_;
    // Those that end once their last response has been sent.
    std::set<std::shared_ptr<server_connection>> finishing_;
    process::timer_id sweep_timer_{};
    bool draining_ = false;
};

} // namespace shallotwood::connection::http
