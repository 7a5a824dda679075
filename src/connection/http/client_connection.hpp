// HTTP/1.1 connections to a server that answers one request at a time.
//
// A request is written once and never again by this class. An answer that
// names another request than the one that waits is dropped: servers may send a
// late second answer to an earlier request. Bytes that arrive while no request
// waits belong to no request, and end the connection.
#pragma once

#include "connection/http/reader.hpp"
#include "connection/net/byte_stream.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace shallotwood::connection::http
{

struct call_failure {
    // The connection could not be established.
    bool refused = false;
    // No byte of the request has been sent: refused, or the connection had
    // ended before the request was written.
    bool unsent = false;
    // The server sent bytes that are no answer in the protocol.
    bool malformed = false;
    // The answer's status, if no answer may have it; it is malformed, too.
    std::optional<int> bad_status;
    // Nothing of an answer had arrived.
    bool unanswered = true;
};

// Told about one request. Nothing is called after on_response_end(),
// on_failure() or client_connection::close().
class call_events
{
public:
    virtual void on_response(response_head&& head,
                             const message_info& info) = 0;
    virtual void on_response_body(std::string_view bytes) = 0;
    virtual void on_response_end() = 0;
    virtual void on_failure(const call_failure& why) = 0;
    // The queued part of the request's body has been sent.
    virtual void on_request_drained() {}

protected:
    ~call_events() = default;
};

struct client_options {
    net::liveness alive;
    read_limits message;
    // Header by which an answer names its request; empty if there is none.
    std::string echo_header;
};

class client_connection final : public net::byte_stream, private reader_events
{
public:
    static std::shared_ptr<client_connection>
    open(process::loop::reactor& loop, const process::peer_address& to,
         const client_options& options);

    client_connection(process::loop::reactor& loop,
                      const process::peer_address& to,
                      const client_options& options);

    // Writes the request. `echo` is the value that the answer must name. The
    // events must stay valid until the last of them or close().
    void start_call(const request_head& head, const framing& body,
                    std::string_view first_bytes, std::string echo,
                    call_events& events);
    // Closes the connection. Its owner may end from within an event of the
    // call, so none follows.
    void close();
    // More of the body; nothing follows the last piece.
    void send_body(std::string_view bytes, bool last);

    bool busy() const { return events_ != nullptr; }
    // The kernel has taken bytes of the latest request.
    bool request_begun() const { return taken() != taken_before_; }
    // True if the next request may use this connection.
    bool reusable() const;
    process::time_point idle_since() const { return idle_since_; }
    // How long the server keeps an idle connection, if it has said so.
    std::optional<process::duration> announced_idle() const { return keep_; }
    bool used() const { return calls_ > 1; }
    // Called when the connection ends, other than by this side, while it had a
    // request without a whole answer or could have taken one.
    void on_lost(std::function<void()> tell) { lost_ = std::move(tell); }

private:
    void on_connected() override;
    void on_bytes(std::string_view bytes) override;
    void on_drained() override;
    void on_end(net::stream_end how) override;
    void on_head(const message_info& info) override;
    void on_body(std::string_view bytes) override;
    void on_message_end() override;

    void new_reader();
    // The answer is whole.
    void end_call(bool more_bytes);
    void lose();
    void fail(bool malformed);
    void note_keep_alive(const header_list& headers);

    client_options options_;
    std::unique_ptr<response_reader> reader_;
    call_events* events_ = nullptr;
    std::string echo_;
    std::string pending_;
    std::function<void()> lost_;
    process::time_point idle_since_;
    std::optional<process::duration> keep_;
    int calls_ = 0;
    // Bytes that were sent on the connection before the request.
    std::uint64_t taken_before_ = 0;
    bool to_head_ = false;
    bool keep_alive_ = true;
    bool answered_ = false;
    bool dropping_ = false;
    std::optional<int> bad_status_;
    bool message_ended_ = false;
    bool body_chunked_ = false;
    bool body_sent_ = true;
    bool was_connected_ = false;
};

} // namespace shallotwood::connection::http
