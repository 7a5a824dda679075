// One request received by a listener, and its response.
//
// Bodies are never accumulated: the body of the request is read one chunk at a
// time on request, and the response takes the next piece once the last one is
// written. Callbacks are dropped when the exchange ends, so they may own what
// they need.
#pragma once

#include "connection/glib_handle.hpp"
#include "connection/http_headers.hpp"

#include <functional>
#include <libsoup/soup.h>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace shallotwood::connection
{

struct response_head {
    int status = 0;
    header_list headers;
    // Of the body; nothing for a chunked one.
    std::optional<std::uint64_t> length;
};

class server_exchange : public std::enable_shared_from_this<server_exchange>
{
public:
    // Bytes of a request body that are read and discarded after an early
    // response, so that the caller gets it; then the connection is broken.
    static constexpr std::uint64_t max_discarded_bytes = std::uint64_t{16}
                                                         << 20;

    static std::shared_ptr<server_exchange> create(SoupServerMessage* message);
    ~server_exchange();
    server_exchange(const server_exchange&) = delete;
    server_exchange& operator=(const server_exchange&) = delete;

    std::string method() const;
    // With query, still encoded.
    std::string path() const;
    // Valid while is_open().
    SoupMessageHeaders* request_headers() const;
    // From `Content-Length`; nothing for a chunked body.
    std::optional<std::uint64_t> request_length() const;

    // False once the response is written or the connection is lost.
    bool is_open() const { return message_ != nullptr; }
    bool response_started() const { return response_started_; }

    // Reads the body: `on_chunk` for each piece, then `on_end`. Each piece
    // must be asked for with read_more().
    void read_body(std::function<void(std::string_view)> on_chunk,
                   std::function<void()> on_end);
    void read_more();

    // Called once if the peer leaves before the response is complete.
    void on_lost(std::function<void()> lost);

    // Released when the exchange ends, that is, after the last byte of the
    // response is written.
    void hold(std::shared_ptr<void> it);

    void start_response(const response_head& head);
    // Takes a copy; `drained` is called once it is written.
    void write(std::string_view bytes, std::function<void()> drained);
    void finish();
    // A whole response at once.
    void respond(int status, header_list headers, std::string_view body);

    // Breaks the connection, so that the peer sees an incomplete response.
    void abort();

    // Called by the listener.
    void body_received();

private:
    explicit server_exchange(SoupServerMessage* message);
    static void got_chunk(SoupServerMessage* message, GBytes* chunk,
                          gpointer data);
    static void wrote_chunk(SoupServerMessage* message, gpointer data);
    static void finished(SoupServerMessage* message, gpointer data);
    static gboolean socket_ready(GSocket* socket, GIOCondition condition,
                                 gpointer data);
    static void release(gpointer data, GClosure* closure);
    template <typename Handler>
    void connect(const char* signal, Handler handler);
    void respond_and_close(int status, const header_list& headers,
                           std::string_view body);
    void watch_socket();
    bool is_cut_off() const;
    void break_off(bool lost);
    void close(bool lost);
    GSocket* socket() const;

    SoupServerMessage* message_;
    std::function<void(std::string_view)> on_chunk_;
    std::function<void()> on_end_;
    std::function<void()> on_lost_;
    std::function<void()> drained_;
    std::shared_ptr<void> held_;
    source_handle socket_watch_;
    bool body_received_ = false;
    bool response_started_ = false;
    bool response_complete_ = false;
    std::uint64_t discarded_bytes_ = 0;
};

} // namespace shallotwood::connection
