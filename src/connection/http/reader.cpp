#include "connection/http/reader.hpp"

#include <boost/beast/http/basic_parser.hpp>

namespace shallotwood::connection::http
{

namespace
{

namespace beast = boost::beast;
using beast_error = beast::error_code;
using beast_view = beast::string_view;

std::string_view view(beast_view from)
{
    return {from.data(), from.size()};
}

read_error translate(const beast_error& ec)
{
    using beast::http::error;
    if (!ec || ec == error::need_more)
        return read_error::none;
    if (ec == error::header_limit)
        return read_error::header_too_large;
    if (ec == error::body_limit)
        return read_error::body_too_large;
    return read_error::malformed;
}

// What requests and responses have in common.
template <bool IsRequest, typename Head>
class message_parser : public beast::http::basic_parser<IsRequest>
{
public:
    message_parser(const read_limits& limits, reader_events& events)
        : framing_bytes_(limits.header_bytes), events_(events)
    {
        this->header_limit(limits.header_bytes);
        this->body_limit(limits.body_bytes);
        this->eager(true);
    }

    std::size_t put_bytes(std::string_view bytes, read_error& ec)
    {
        // Beast asserts that what it was given of a last chunk has these bytes.
        if (this->is_header_done() && this->chunked() &&
            bytes.size() < last_chunk.size() && bytes.front() == '0') {
            ec = read_error::none;
            return 0;
        }
        beast_error error;
        auto n = this->put(
            boost::asio::const_buffer(bytes.data(), bytes.size()), error);
        ec = translate(error);
        // Beast limits the head only. What it leaves after the head is framing
        // that is not complete, which the caller has to keep.
        if (ec == read_error::none && this->is_header_done() &&
            !this->is_done() && bytes.size() - n > framing_bytes_)
            ec = read_error::malformed;
        return n;
    }

    Head& head() { return head_; }
    const Head& head() const { return head_; }

protected:
    // True if the head must not be passed on.
    virtual bool is_ambiguous() const { return false; }

private:
    void on_field_impl(beast::http::field, beast_view name, beast_view value,
                       beast_error&) override
    {
        // Fields after the body are trailers, which are not passed on.
        if (!this->is_header_done())
            head_.headers.add(view(name), view(value));
    }

    void on_header_impl(beast_error& ec) override
    {
        if (is_ambiguous())
            ec = beast::http::error::bad_field;
        else
            announce();
    }

    void on_body_init_impl(const boost::optional<std::uint64_t>&,
                           beast_error&) override
    {
    }

    std::size_t on_body_impl(beast_view body, beast_error&) override
    {
        if (!body.empty())
            events_.on_body(view(body));
        return body.size();
    }

    void on_chunk_header_impl(std::uint64_t, beast_view, beast_error&) override
    {
    }

    std::size_t on_chunk_body_impl(std::uint64_t, beast_view body,
                                   beast_error& ec) override
    {
        return on_body_impl(body, ec);
    }

    void on_finish_impl(beast_error&) override { events_.on_message_end(); }

    void announce()
    {
        message_info info;
        info.keep_alive = this->keep_alive();
        info.is_chunked = this->chunked();
        if (!info.is_chunked)
            if (auto n = this->content_length())
                info.length = *n;
        events_.on_head(info);
    }

    std::size_t framing_bytes_;
    reader_events& events_;

    Head head_;
};

} // namespace

class request_reader::parser final : public message_parser<true, request_head>
{
public:
    using message_parser::message_parser;

private:
    void on_request_impl(beast::http::verb, beast_view method,
                         beast_view target, int, beast_error&) override
    {
        head().method = view(method);
        head().target = view(target);
    }

    void on_response_impl(int, beast_view, int, beast_error&) override {}

    // A transfer coding other than chunked has no end that all agree on.
    bool is_ambiguous() const override
    {
        return head().headers.count("Host") > 1 ||
               (head().headers.count("Transfer-Encoding") > 0 && !chunked());
    }
};

request_reader::request_reader(const read_limits& limits, reader_events& events)
    : parser_(std::make_unique<parser>(limits, events))
{
}

request_reader::~request_reader() = default;

std::size_t request_reader::put(std::string_view bytes, read_error& ec)
{
    return parser_->put_bytes(bytes, ec);
}

bool request_reader::started() const
{
    return parser_->got_some();
}

bool request_reader::has_head() const
{
    return parser_->is_header_done();
}

request_head& request_reader::head()
{
    return parser_->head();
}

class response_reader::parser final
    : public message_parser<false, response_head>
{
public:
    using message_parser::message_parser;

    bool put_end()
    {
        if (!got_some())
            return false;
        beast_error ec;
        put_eof(ec);
        return !ec;
    }

private:
    void on_request_impl(beast::http::verb, beast_view, beast_view, int,
                         beast_error&) override
    {
    }

    void on_response_impl(int status, beast_view, int, beast_error&) override
    {
        head().status = status;
    }

    // Transfer codings concern one connection, and no other one is decoded.
    bool is_ambiguous() const override
    {
        constexpr const char* name = "Transfer-Encoding";
        const auto* coding = head().headers.find(name);
        return coding != nullptr && (head().headers.count(name) > 1 ||
                                     !same_name(*coding, "chunked"));
    }
};

response_reader::response_reader(const read_limits& limits, bool to_head,
                                 reader_events& events)
    : parser_(std::make_unique<parser>(limits, events))
{
    parser_->skip(to_head);
}

response_reader::~response_reader() = default;

std::size_t response_reader::put(std::string_view bytes, read_error& ec)
{
    return parser_->put_bytes(bytes, ec);
}

bool response_reader::put_end()
{
    return parser_->put_end();
}

bool response_reader::started() const
{
    return parser_->got_some();
}

bool response_reader::has_head() const
{
    return parser_->is_header_done();
}

response_head& response_reader::head()
{
    return parser_->head();
}

} // namespace shallotwood::connection::http
