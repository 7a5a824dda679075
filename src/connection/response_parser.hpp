// The framing of HTTP/1.1 responses (RFC 9112), without any socket.
//
// Reads a head with libsoup's parser, then the body by its length or its
// chunks. A body that ends with its connection is an error, because it can't
// be told from a truncated one. Bounds: the head and the trailer are 64 KB at
// most, a line with the size of a chunk 256 bytes.
#pragma once

#include "connection/glib_handle.hpp"
#include "connection/server_exchange.hpp"

#include <cstdint>
#include <libsoup/soup.h>
#include <string>
#include <string_view>

namespace shallotwood::connection
{

struct headers_release {
    void operator()(SoupMessageHeaders* it) const
    {
        soup_message_headers_unref(it);
    }
};

using headers_handle = std::unique_ptr<SoupMessageHeaders, headers_release>;

class response_parser
{
public:
    enum class event { need_more, head, data, end, error };

    // Responses to HEAD have no body.
    explicit response_parser(bool head_request) : head_request_(head_request) {}

    // Consumes from the front of `input`. After `data`, `piece` is a part of
    // the body within the input. After `end` or `error`, no more calls.
    event next(std::string_view& input, std::string_view& piece);

    // After `head`. The headers are all of them.
    int status() const { return static_cast<int>(status_); }
    SoupMessageHeaders* headers() const { return headers_.get(); }
    // Nothing for a chunked body.
    std::optional<std::uint64_t> length() const { return length_; }
    // False if the connection can't take another request after the end.
    bool keeps_connection() const { return keeps_connection_; }

private:
    enum class state { head, body, chunk_size, chunk, chunk_end, trailer };

    event read_head(std::string_view& input);
    bool parse_head();
    bool parse_framing();
    event read_body(std::string_view& input, std::string_view& piece);
    event read_chunk_size(std::string_view& input);
    event read_chunk_end(std::string_view& input);
    event read_trailer(std::string_view& input);
    // Moves a line without its end into line_; false if it is not whole.
    bool take_line(std::string_view& input);

    bool head_request_;
    state state_ = state::head;
    // Partial head or line.
    std::string line_;
    std::size_t trailer_bytes_ = 0;
    guint status_ = 0;
    headers_handle headers_;
    std::optional<std::uint64_t> length_;
    std::uint64_t left_ = 0;
    bool chunked_ = false;
    bool keeps_connection_ = false;
};

} // namespace shallotwood::connection
