#include "connection/http/reader.hpp"

#include <catch2/catch.hpp>

namespace shallotwood::test
{

using namespace connection::http;

namespace
{

class recorder final : public reader_events
{
public:
    void on_head(const message_info& it) override { info = it; }
    void on_body(std::string_view bytes) override { body += bytes; }
    void on_message_end() override { ended = true; }

    message_info info;
    std::string body;
    bool ended = false;
};

template <typename Reader>
read_error read_by(Reader& reader, std::string_view text,
                   const recorder& events)
{
    read_error ec = read_error::none;
    while (!text.empty() && ec == read_error::none && !events.ended) {
        auto n = reader.put(text, ec);
        if (n == 0)
            break;
        text.remove_prefix(n);
    }
    return ec;
}

read_error read(std::string_view text, recorder& events)
{
    request_reader reader({1024, 4096}, events);
    return read_by(reader, text, events);
}

// The connection ends after the text.
bool reads_response(std::string_view text, recorder& events)
{
    response_reader reader({1024, 4096}, false, events);
    return read_by(reader, text, events) == read_error::none &&
           (events.ended || reader.put_end());
}

} // namespace

// What two servers read differently lets a request hide inside another one.
TEST_CASE("ambiguous requests are malformed")
{
    auto text = GENERATE(
        as<std::string>{}, "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length : 5\r\n\r\nhello",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n"
        "Content-Length: 6\r\n\r\nhello",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5, 6\r\n\r\nhello",
        "POST / HTTP/1.1\r\nHost: a\r\n"
        "Content-Length: 99999999999999999999\r\n\r\n",
        "GET / HTTP/1.1\r\n Host: a\r\n\r\n", "GET /\r\n\r\n", "\x16\x03\x01");
    recorder events;
    CAPTURE(text);
    auto ec = read(text, events);
    bool accepted = ec == read_error::none && events.ended;
    CHECK_FALSE(accepted);
}

// Guards against a body that is not the one that its sender meant.
TEST_CASE("responses with an ambiguous body are malformed")
{
    auto fields = GENERATE(
        as<std::string>{}, "Content-Length: 5\r\nContent-Length: 6\r\n",
        "Content-Length: 5, 6\r\n", "Content-Length: -5\r\n",
        "Content-Length: 5x\r\n", "Content-Length: \r\n",
        "Content-Length: 99999999999999999999\r\n",
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
        "Transfer-Encoding: gzip\r\n", "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked, gzip\r\n",
        "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n",
        "Transfer-Encoding: chunked, chunked\r\n",
        "Transfer-Encoding: identity\r\n", "Transfer-Encoding: \r\n",
        "Content-Length: 5\r\nTransfer-Encoding: gzip\r\n");
    recorder events;
    CAPTURE(fields);
    CHECK_FALSE(reads_response("HTTP/1.1 200 OK\r\n" + fields +
                                   "\r\n5\r\nhello\r\n0\r\n\r\n",
                               events));
}

TEST_CASE("responses are read by each framing")
{
    auto text = GENERATE(as<std::string>{}, "Content-Length: 5\r\n\r\nhello",
                         "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
                         "Transfer-Encoding: chunked\r\n\r\n"
                         "5\r\nhello\r\n0\r\n\r\n",
                         "transfer-encoding: Chunked\r\n\r\n"
                         "5\r\nhello\r\n0\r\n\r\n",
                         "\r\nhello");
    recorder events;
    CAPTURE(text);
    CHECK(reads_response("HTTP/1.1 200 OK\r\n" + text, events));
    CHECK(events.body == "hello");
}

TEST_CASE("limits of a message are told apart")
{
    recorder events;
    CHECK(read("GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(2000, 'x') +
                   "\r\n\r\n",
               events) == read_error::header_too_large);
    CHECK(read("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n",
               events) == read_error::body_too_large);
}

TEST_CASE("a request is read byte by byte")
{
    std::string text = "POST /a?b HTTP/1.1\r\nHost: h\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n"
                       "3\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: x\r\n\r\n";
    recorder events;
    request_reader reader({1024, 4096}, events);
    std::string pending;
    for (char c : text) {
        pending += c;
        read_error ec = read_error::none;
        pending.erase(0, reader.put(pending, ec));
        REQUIRE(ec == read_error::none);
    }
    CHECK(events.ended);
    CHECK(events.body == "abcde");
    CHECK(events.info.is_chunked);
    CHECK(reader.head().target == "/a?b");
    CHECK(reader.head().headers.find("trailer") == nullptr);
}

// Beast asserts that a last chunk of which it was given a part has 5 bytes.
TEST_CASE("a chunked response is read byte by byte")
{
    auto body = GENERATE(as<std::string>{}, "0\r\n\r\n", "2\r\n0a\r\n0\r\n\r\n",
                         "00\r\n\r\n", "0;x\r\nTrailer: x\r\n\r\n");
    const std::string head =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    recorder events;
    response_reader reader({1024, 4096}, false, events);
    std::string pending;
    for (char c : head + body) {
        pending += c;
        // Until nothing more is taken, as a connection does.
        for (std::size_t n = 1; n > 0 && !pending.empty() && !events.ended;) {
            read_error ec = read_error::none;
            n = reader.put(pending, ec);
            REQUIRE(ec == read_error::none);
            pending.erase(0, n);
        }
        if (!events.ended) {
            read_error ec = read_error::none;
            if (!pending.empty())
                pending.erase(0, reader.put(pending, ec));
        }
    }
    CHECK(events.ended);
    CHECK(pending.empty());
    CHECK(events.body == (body.front() == '2' ? "0a" : ""));
}

TEST_CASE("hop-by-hop headers and those that Connection names go")
{
    header_list headers;
    headers.add("Connection", "close, X-One");
    headers.add("x-one", "1");
    headers.add("Keep-Alive", "timeout=5");
    headers.add("X-Two", "2");
    headers.remove_hop_by_hop();
    CHECK(headers.size() == 1);
    CHECK(*headers.find("x-two") == "2");
}

} // namespace shallotwood::test
