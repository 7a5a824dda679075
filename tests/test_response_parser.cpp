// Framing of responses: guards against bodies that are read with a wrong end,
// and against input that a parser must not trust.
#include "connection/response_parser.hpp"

#include <catch2/catch.hpp>

using shallotwood::connection::response_parser;
using event = response_parser::event;

namespace
{

struct outcome {
    event last = event::need_more;
    int status = 0;
    std::string body;
    std::size_t left = 0;
};

// Feeds the text in pieces of one size.
outcome parse(std::string_view text, std::size_t size, bool head_request)
{
    response_parser parser(head_request);
    outcome it;
    for (std::size_t n = 0; n < text.size(); n += size) {
        auto input = text.substr(n, size);
        std::string_view piece;
        do {
            it.last = parser.next(input, piece);
            if (it.last == event::head)
                it.status = parser.status();
            if (it.last == event::data)
                it.body += piece;
        } while (it.last == event::head || it.last == event::data);
        it.left = input.size();
        if (it.last != event::need_more)
            return it;
    }
    return it;
}

} // namespace

TEST_CASE("responses are framed by length, chunks or status", "[connection]")
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    const struct {
        std::string name, text;
        event last;
        int status;
        std::string body;
        bool head_request = false;
    } table[] = {
        {"length", ok + "Content-Length: 3\r\n\r\nabc", event::end, 200, "abc"},
        {"no body", ok + "Content-Length: 0\r\n\r\n", event::end, 200, ""},
        {"cut short", ok + "Content-Length: 4\r\n\r\nabc", event::need_more,
         200, "abc"},
        {"chunks", chunked + "2\r\nab\r\n1;x=y\r\nc\r\n0\r\n\r\n", event::end,
         200, "abc"},
        {"trailer", chunked + "1\r\na\r\n0\r\nX: y\r\n\r\n", event::end, 200,
         "a"},
        {"chunks without end", chunked + "2\r\nab\r\n", event::need_more, 200,
         "ab"},
        {"cut in a chunk", chunked + "5\r\nab", event::need_more, 200, "ab"},
        {"interim",
         "HTTP/1.1 103 Early\r\n\r\n" + ok + "Content-Length: 1\r\n\r\na",
         event::end, 200, "a"},
        {"no content", "HTTP/1.1 204 No Content\r\n\r\n", event::end, 204, ""},
        {"head", ok + "Content-Length: 9\r\n\r\n", event::end, 200, "", true},
        {"no known end", ok + "\r\nabc", event::error, 0, ""},
        {"chunk size", chunked + "zz\r\nab\r\n", event::error, 200, ""},
        {"negative chunk", chunked + "-1\r\n", event::error, 200, ""},
        {"huge chunk", chunked + "ffffffffffffffffff\r\n", event::error, 200,
         ""},
        {"long chunk line", chunked + std::string(300, '1'), event::error, 200,
         ""},
        {"chunk end", chunked + "1\r\nabc\r\n", event::error, 200, "a"},
        {"two lengths", ok + "Content-Length: 1\r\nContent-Length: 2\r\n\r\na",
         event::error, 0, ""},
        {"length and chunks",
         ok + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
         event::error, 0, ""},
        {"coding", ok + "Transfer-Encoding: gzip\r\n\r\n", event::error, 0, ""},
        {"signed length", ok + "Content-Length: +1\r\n\r\na", event::error, 0,
         ""},
        {"not HTTP", "SSH-2.0-x\r\n\r\n", event::error, 0, ""},
        {"long head", ok + "X: " + std::string(70000, 'a'), event::error, 0,
         ""},
    };
    for (const auto& row : table) {
        for (std::size_t size :
             {std::size_t{1}, std::size_t{3}, std::size_t{1} << 20}) {
            INFO(row.name << " in pieces of " << size);
            auto it = parse(row.text, size, row.head_request);
            CHECK(it.last == row.last);
            CHECK(it.status == row.status);
            CHECK(it.body == row.body);
        }
    }
}

TEST_CASE("input after a response is left alone", "[connection]")
{
    auto it = parse("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1", 99,
                    false);
    CHECK(it.last == event::end);
    CHECK(it.left == 8);
}
