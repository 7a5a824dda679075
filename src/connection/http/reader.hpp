// Reads HTTP/1.1 messages from bytes, by Boost.Beast's parser.
//
// The head is delivered whole, the body in pieces that are valid during the
// call only. What comes after the end of a message stays with the caller.
#pragma once

#include "connection/http/message.hpp"

#include <memory>
#include <string_view>

namespace shallotwood::connection::http
{

enum class read_error {
    none,
    malformed,
    header_too_large,
    body_too_large,
};

struct read_limits {
    // Of the head, and of each piece of a chunked body's framing: the line
    // before a chunk, with its extensions, and the trailers.
    std::uint32_t header_bytes = 16 * 1024;
    std::uint64_t body_bytes = std::uint64_t{64} * 1024 * 1024;
};

// What is known about a message once its head is there.
struct message_info {
    // Of the body; nothing if it is chunked or ends with the connection.
    std::optional<std::uint64_t> length;
    bool keep_alive = true;
    bool is_chunked = false;
};

class reader_events
{
public:
    virtual void on_head(const message_info& info) = 0;
    virtual void on_body(std::string_view bytes) = 0;
    virtual void on_message_end() = 0;

protected:
    ~reader_events() = default;
};

// Reads one request.
class request_reader
{
public:
    request_reader(const read_limits& limits, reader_events& events);
    ~request_reader();

    // Returns how many bytes were taken; fewer if more are needed or the
    // message has ended. Nothing may be put after an error or the end.
    std::size_t put(std::string_view bytes, read_error& ec);
    bool started() const;
    bool has_head() const;
    // Valid from on_head() on.
    request_head& head();

private:
    class parser;
    std::unique_ptr<parser> parser_;
};

// Reads one response. A 1xx response is a message of its own.
class response_reader
{
public:
    // `to_head` is set for the response to a HEAD request, which has no body.
    response_reader(const read_limits& limits, bool to_head,
                    reader_events& events);
    ~response_reader();

    std::size_t put(std::string_view bytes, read_error& ec);
    // The connection has ended. False if the message is not whole.
    bool put_end();
    bool started() const;
    bool has_head() const;
    response_head& head();

private:
    class parser;
    std::unique_ptr<parser> parser_;
};

} // namespace shallotwood::connection::http
