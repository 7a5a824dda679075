#include "connection/http/server_connection.hpp"
#include "sidecar/support/live_loop.hpp"

#include <catch2/catch.hpp>

namespace shallotwood::test
{

using namespace connection::http;

namespace
{

// Sends raw bytes and collects what comes back.
class raw_caller final : public connection::net::byte_stream
{
public:
    raw_caller(process::loop::reactor& loop, const process::peer_address& to)
        : byte_stream(loop, to, {})
    {
    }
    void open() { start(); }

    std::string got;
    bool ended = false;

private:
    void on_bytes(std::string_view bytes) override { got += bytes; }
    void on_end(connection::net::stream_end) override { ended = true; }
};

class echo final : public exchange
{
public:
    echo(std::shared_ptr<server_connection> to, std::string target)
        : to_(std::move(to)), target_(std::move(target))
    {
    }
    void on_body(std::string_view bytes) override { body_ += bytes; }
    void on_body_end() override
    {
        response_head head;
        head.status = 200;
        to_->respond(std::move(head), target_ + ' ' + body_);
    }
    void on_left() override {}

private:
    std::shared_ptr<server_connection> to_;
    std::string target_;
    std::string body_;
};

// Pauses the body at its first bytes and refuses the request.
class refuse_upload final : public exchange
{
public:
    explicit refuse_upload(std::shared_ptr<server_connection> to)
        : to_(std::move(to))
    {
    }
    void on_body(std::string_view) override
    {
        to_->pause_body();
        response_head head;
        head.status = 429;
        to_->respond(std::move(head), "refused");
    }
    void on_body_end() override {}
    void on_left() override {}

private:
    std::shared_ptr<server_connection> to_;
};

class fixture
{
public:
    fixture()
        : listener(loop,
                   [this](const std::shared_ptr<server_connection>& from,
                          request_head&& head,
                          const message_info&) -> std::shared_ptr<exchange> {
                       ++requests;
                       last = from;
                       if (head.target == "/early") {
                           response_head answer;
                           answer.status = 413;
                           from->respond(std::move(answer), {});
                           return nullptr;
                       }
                       if (head.target == "/refused")
                           return std::make_shared<refuse_upload>(from);
                       return std::make_shared<echo>(from, head.target);
                   })
    {
        REQUIRE(listener.listen({"127.0.0.1", 0}).empty());
        caller = std::make_shared<raw_caller>(
            loop, process::peer_address{"127.0.0.1", listener.port()});
        caller->open();
    }

    bool gets(const std::string& text)
    {
        return run_until(loop,
                         [&] {
                             return caller->got.find(text) !=
                                        std::string::npos ||
                                    caller->ended;
                         }) &&
               caller->got.find(text) != std::string::npos;
    }

    process::loop::reactor loop;
    server listener;
    std::shared_ptr<raw_caller> caller;
    std::weak_ptr<server_connection> last;
    int requests = 0;
};

} // namespace

TEST_CASE("requests that come together are answered in order")
{
    fixture it;
    it.caller->send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                    "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n"
                    "abcGET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(it.gets("/3 "));
    CHECK(it.caller->got.find("/1 ") < it.caller->got.find("/2 abc"));
    CHECK(it.caller->got.find("/2 abc") < it.caller->got.find("/3 "));
    CHECK(it.requests == 3);
}

TEST_CASE("the rest of a body that was answered early is no request")
{
    fixture it;
    const std::string rest = "GET /inside HTTP/1.1\r\nHost: h\r\n\r\n";
    it.caller->send("POST /early HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                    std::to_string(rest.size()) + "\r\n\r\n");
    REQUIRE(it.gets("413"));
    it.caller->send(rest + "GET /next HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(it.gets("/next "));
    CHECK(it.caller->got.find("/inside") == std::string::npos);
    CHECK(it.requests == 2);
}

TEST_CASE("a broken request ends its connection, not the listener")
{
    fixture it;
    it.caller->send("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n");
    CHECK(it.gets("400"));
    CHECK(run_until(it.loop, [&] { return it.caller->ended; }));
    it.caller = std::make_shared<raw_caller>(
        it.loop, process::peer_address{"127.0.0.1", it.listener.port()});
    it.caller->open();
    it.caller->send("GET /again HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(it.gets("/again "));
    CHECK(it.requests == 1);
}

// Guards against a node that keeps all bytes of an upload that never gets past
// its framing, and runs out of memory.
TEST_CASE("a request with endless framing ends its connection")
{
    const std::string head =
        "POST /e HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string many_bytes(std::size_t{64} * 1024, '1');
    for (const std::string first :
         {"", "5;x=", "5\r\nwhole\r\n0\r\n", "5\r\nwhole\r\n0\r\nX-More: "}) {
        fixture it;
        CAPTURE(first);
        it.caller->send(head + first);
        for (int n = 0; n < 4; ++n)
            it.caller->send(many_bytes);
        CHECK(it.gets("400"));
        CHECK(run_until(it.loop, [&] { return it.caller->ended; }));
        CHECK(it.caller->got.find("200") == std::string::npos);
    }
}

TEST_CASE("chunk extensions and trailers within the limit are skipped")
{
    fixture it;
    it.caller->send("POST /e HTTP/1.1\r\nHost: h\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n5;x=" +
                    std::string(4000, 'y') + "\r\nwhole\r\n0\r\nX-More: " +
                    std::string(4000, 'z') + "\r\n\r\n");
    CHECK(it.gets("/e whole"));
}

TEST_CASE("a caller is told to go on before it sends a body that it announced")
{
    fixture it;
    it.caller->send("POST /e HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
                    "Expect: 100-continue\r\n\r\n");
    REQUIRE(it.gets("100 Continue"));
    it.caller->send("ok");
    CHECK(it.gets("/e ok"));
}

TEST_CASE("a draining listener ends idle connections")
{
    fixture it;
    it.caller->send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(it.gets("/1 "));
    it.listener.drain();
    CHECK(run_until(it.loop, [&] { return it.caller->ended; }));
}

TEST_CASE("a listener that ends lets go of the requests that it was serving")
{
    std::weak_ptr<server_connection> serving;
    {
        fixture it;
        it.caller->send("POST /e HTTP/1.1\r\nHost: h\r\n"
                        "Content-Length: 2\r\n\r\n");
        REQUIRE(run_until(it.loop, [&] { return it.requests == 1; }));
        serving = it.last;
    }
    CHECK(serving.expired());
}

// Larger than what the kernel holds for a connection on loopback.
constexpr std::size_t large_body_bytes = std::size_t{32} * 1024 * 1024;

TEST_CASE("a caller that reads slowly gets the end of its last response")
{
    process::loop::reactor loop;
    server listener(loop, [](const std::shared_ptr<server_connection>& from,
                             request_head&&, const message_info&) {
        response_head head;
        head.status = 200;
        from->respond(std::move(head), std::string(large_body_bytes, 'x'));
        return std::shared_ptr<exchange>();
    });
    REQUIRE(listener.listen({"127.0.0.1", 0}).empty());
    auto caller = std::make_shared<raw_caller>(
        loop, process::peer_address{"127.0.0.1", listener.port()});
    caller->open();
    caller->send("GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    REQUIRE(run_until(loop, [&] { return !caller->got.empty(); }));
    caller->pause_reading();
    CHECK(listener.has_unsent());
    // Longer than a connection stays after its last response.
    run_for(loop, server_connection::linger * 3 / 2);
    CHECK(listener.has_unsent());
    caller->resume_reading();
    REQUIRE(run_until(loop, [&] { return caller->ended; }));
    CHECK(caller->got.size() > large_body_bytes);
    CHECK_FALSE(listener.has_unsent());
}

TEST_CASE("an exception in a callback does not end the loop")
{
    process::loop::reactor loop;
    int done = 0;
    loop.call_after(std::chrono::milliseconds(1),
                    [] { throw std::runtime_error("timer"); });
    loop.call_after(std::chrono::milliseconds(2), [&] { ++done; });
    loop.defer([] { throw std::out_of_range("task"); });
    loop.defer([&] { ++done; });
    CHECK(run_until(loop, [&] { return done == 2; }));
}

TEST_CASE("an exception in a handler ends its request, not the listener")
{
    process::loop::reactor loop;
    server listener(loop, [](const std::shared_ptr<server_connection>& from,
                             request_head&& head, const message_info&) {
        if (head.target == "/throw")
            throw std::runtime_error("handler");
        response_head answer;
        answer.status = 200;
        from->respond(std::move(answer), "ok");
        return std::shared_ptr<exchange>();
    });
    REQUIRE(listener.listen({"127.0.0.1", 0}).empty());
    auto open = [&](const std::string& target) {
        auto it = std::make_shared<raw_caller>(
            loop, process::peer_address{"127.0.0.1", listener.port()});
        it->open();
        it->send("GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n");
        return it;
    };
    auto bad = open("/throw");
    auto good = open("/x");
    REQUIRE(run_until(loop, [&] { return !good->got.empty(); }));
    CHECK(good->got.find("200") != std::string::npos);
    CHECK(bad->got.empty());
}

// Otherwise the next request on the connection gets no answer.
TEST_CASE("a connection is read on after an upload was answered early")
{
    fixture it;
    const std::string body(200'000, 'u');
    it.caller->send("POST /refused HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body);
    REQUIRE(it.gets("refused"));
    CHECK(it.caller->got.find("Connection: close") == std::string::npos);
    it.caller->send("GET /next HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(it.gets("/next "));
}

// The rest of these can't be read within the bound, or may never be sent.
TEST_CASE("a connection ends after an early answer to an unbounded upload")
{
    const std::string body(100'000, 'u');
    for (const std::string rest :
         {"POST /refused HTTP/1.1\r\nHost: h\r\nContent-Length: "
          "50000000\r\n\r\n",
          "POST /refused HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
          "chunked\r\n\r\n186A0\r\n",
          "POST /early HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\nExpect: "
          "100-continue\r\n\r\n"}) {
        fixture it;
        CAPTURE(rest);
        it.caller->send(rest);
        if (rest.find("/early") == std::string::npos)
            it.caller->send(body);
        REQUIRE(run_until(it.loop, [&] { return it.caller->ended; }));
        CHECK(it.caller->got.find("Connection: close") != std::string::npos);
        // The answer is whole in any case.
        CHECK(it.caller->got.find("\r\n\r\n") != std::string::npos);
        CHECK(it.requests == 1);
    }
}

TEST_CASE("the rest of an upload that was answered is awaited for some time")
{
    fixture it;
    it.caller->send("POST /early HTTP/1.1\r\nHost: h\r\nContent-Length: "
                    "100\r\n\r\nfirst bytes");
    REQUIRE(it.gets("413"));
    auto begun = it.loop.now();
    CHECK(run_until(it.loop, [&] { return it.caller->ended; }));
    CHECK(it.loop.now() - begun < std::chrono::seconds(10));
}

} // namespace shallotwood::test
