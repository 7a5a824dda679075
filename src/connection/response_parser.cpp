#include "connection/response_parser.hpp"

#include <algorithm>
#include <charconv>

namespace shallotwood::connection
{

namespace
{

constexpr std::size_t max_head_bytes = 64 * 1024;
constexpr std::size_t max_line_bytes = 256;
constexpr std::uint64_t max_chunk_bytes = std::uint64_t{1} << 40;
constexpr std::string_view end_of_head = "\r\n\r\n";
constexpr int first_final_status = 200;

template <typename Number>
bool parse(std::string_view text, Number& number, int base)
{
    auto [end, ec] =
        std::from_chars(text.data(), text.data() + text.size(), number, base);
    return ec == std::errc() && end == text.data() + text.size();
}

} // namespace

response_parser::event response_parser::next(std::string_view& input,
                                             std::string_view& piece)
{
    for (;;) {
        auto before = state_;
        event it = event::need_more;
        switch (state_) {
        case state::head:
            it = read_head(input);
            break;
        case state::body:
        case state::chunk:
            it = read_body(input, piece);
            break;
        case state::chunk_size:
            it = read_chunk_size(input);
            break;
        case state::chunk_end:
            it = read_chunk_end(input);
            break;
        case state::trailer:
            it = read_trailer(input);
            break;
        }
        // Input is left after an interim response.
        if (it != event::need_more || (state_ == before && input.empty()))
            return it;
    }
}

response_parser::event response_parser::read_head(std::string_view& input)
{
    // The end may be split between two inputs.
    auto searched = line_.size() < 3 ? 0 : line_.size() - 3;
    line_ += input;
    auto n = line_.find(end_of_head, searched);
    if (n == std::string::npos) {
        input = {};
        return line_.size() > max_head_bytes ? event::error : event::need_more;
    }
    auto used = n + end_of_head.size();
    input = input.substr(input.size() - (line_.size() - used));
    line_.resize(n + 2);
    bool valid = line_.size() <= max_head_bytes && parse_head();
    line_.clear();
    if (!valid)
        return event::error;
    // Interim responses have no body; the final one follows.
    return status() < first_final_status ? event::need_more : event::head;
}

bool response_parser::parse_head()
{
    headers_.reset(soup_message_headers_new(SOUP_MESSAGE_HEADERS_RESPONSE));
    SoupHTTPVersion version = SOUP_HTTP_1_0;
    if (!soup_headers_parse_response(
            line_.data(), static_cast<int>(line_.size()), headers_.get(),
            &version, &status_, nullptr))
        return false;
    keeps_connection_ =
        version == SOUP_HTTP_1_1 && !soup_message_headers_header_contains(
                                        headers_.get(), "Connection", "close");
    return status() < first_final_status || parse_framing();
}

bool response_parser::parse_framing()
{
    auto* headers = headers_.get();
    const auto* coding =
        soup_message_headers_get_list(headers, "Transfer-Encoding");
    bool has_length = soup_message_headers_get_list(headers, "Content-Length");
    chunked_ = coding && g_ascii_strcasecmp(coding, "chunked") == 0;
    if ((coding && !chunked_) || (chunked_ && has_length))
        return false;
    if (has_length) {
        auto text = single_header(headers, "Content-Length");
        std::uint64_t length = 0;
        if (!text || !parse(*text, length, 10))
            return false;
        length_ = length;
    }
    bool empty = head_request_ || status_ == SOUP_STATUS_NO_CONTENT ||
                 status_ == SOUP_STATUS_NOT_MODIFIED;
    if (!empty && !chunked_ && !has_length)
        return false;
    chunked_ = chunked_ && !empty;
    left_ = empty ? 0 : length_.value_or(0);
    state_ = chunked_ ? state::chunk_size : state::body;
    return true;
}

response_parser::event response_parser::read_body(std::string_view& input,
                                                  std::string_view& piece)
{
    if (left_ == 0 && state_ == state::body)
        return event::end;
    if (left_ == 0) {
        state_ = state::chunk_end;
        return event::need_more;
    }
    if (input.empty())
        return event::need_more;
    piece = input.substr(0, std::min<std::uint64_t>(left_, input.size()));
    input.remove_prefix(piece.size());
    left_ -= piece.size();
    return event::data;
}

bool response_parser::take_line(std::string_view& input)
{
    auto n = input.find('\n');
    bool whole = n != std::string_view::npos;
    line_ += input.substr(0, whole ? n + 1 : n);
    input.remove_prefix(whole ? n + 1 : input.size());
    return whole;
}

response_parser::event response_parser::read_chunk_size(std::string_view& input)
{
    bool whole = take_line(input);
    if (line_.size() > max_line_bytes)
        return event::error;
    if (!whole)
        return event::need_more;
    auto size = std::string_view(line_);
    size = size.substr(0, size.find_first_of("; \t\r\n"));
    std::uint64_t bytes = 0;
    if (!parse(size, bytes, 16) || bytes > max_chunk_bytes)
        return event::error;
    line_.clear();
    left_ = bytes;
    state_ = bytes == 0 ? state::trailer : state::chunk;
    return event::need_more;
}

response_parser::event response_parser::read_chunk_end(std::string_view& input)
{
    bool whole = take_line(input);
    if (line_.size() > 2 || (whole && line_ != "\r\n"))
        return event::error;
    if (!whole)
        return event::need_more;
    line_.clear();
    state_ = state::chunk_size;
    return event::need_more;
}

response_parser::event response_parser::read_trailer(std::string_view& input)
{
    while (!input.empty()) {
        auto before = input.size();
        bool whole = take_line(input);
        trailer_bytes_ += before - input.size();
        if (trailer_bytes_ > max_head_bytes)
            return event::error;
        if (whole && line_ == "\r\n")
            return event::end;
        if (whole)
            line_.clear();
    }
    return event::need_more;
}

} // namespace shallotwood::connection
