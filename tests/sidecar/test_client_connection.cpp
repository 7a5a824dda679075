#include "connection/http/fetch.hpp"
#include "sidecar/support/live_loop.hpp"
#include "sidecar/support/scripted_server.hpp"

#include <catch2/catch.hpp>
#include <unistd.h>

namespace shallotwood::test
{

using namespace connection::http;

namespace
{

class call_recorder final : public call_events
{
public:
    void on_response(response_head&& it, const message_info&) override
    {
        head = std::move(it);
    }
    void on_response_body(std::string_view bytes) override { body += bytes; }
    void on_response_end() override { ended = true; }
    void on_failure(const call_failure& why) override { failure = why; }

    bool done() const { return ended || failure.has_value(); }

    response_head head;
    std::string body;
    bool ended = false;
    std::optional<call_failure> failure;
};

client_options with_echo()
{
    client_options it;
    it.echo_header = "Id";
    return it;
}

std::string answer(const std::string& id, const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nId: " + id +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

class fixture
{
public:
    explicit fixture(scripted_connection::handler handle,
                     answer_after when = answer_after::whole_request)
        : server(loop, std::move(handle), when), pool(loop, with_echo())
    {
        pool.set_address(server.address());
    }

    // One call, from start to end.
    call_recorder call(const std::string& id)
    {
        call_recorder events;
        auto connection = pool.take(std::chrono::seconds(1));
        request_head head;
        head.method = "GET";
        head.target = "/";
        head.headers.add("Id", id);
        connection->start_call(head, {}, {}, id, events);
        REQUIRE(run_until(loop, [&] { return events.done(); }));
        pool.give_back(connection);
        return events;
    }

    process::loop::reactor loop;
    scripted_server server;
    client_pool pool;
};

} // namespace

// A late second answer to an earlier request must not reach another caller.
TEST_CASE("an answer that names another request is dropped")
{
    fixture it([](scripted_connection& from, const std::string& head,
                  const std::string&) {
        auto id = header_of(head, "Id");
        if (id == "2")
            from.send(answer("1", "late"));
        from.send(answer(id, "own " + id));
    });
    CHECK(it.call("1").body == "own 1");
    CHECK(it.call("2").body == "own 2");
    CHECK(it.server.accepted() == 1);
}

TEST_CASE("bytes after a whole answer end the connection, not the answer")
{
    fixture it([](scripted_connection& from, const std::string& head,
                  const std::string&) {
        from.send(answer(header_of(head, "Id"), "whole") + "extra");
    });
    CHECK(it.call("1").body == "whole");
    CHECK(it.call("2").body == "whole");
    CHECK(it.server.accepted() == 2);
}

TEST_CASE("an answer without a length is whole at the end of its connection")
{
    fixture it(
        [](scripted_connection& from, const std::string&, const std::string&) {
            from.send("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nto the end");
            from.finish(std::chrono::seconds(1));
        });
    auto got = it.call("1");
    CHECK(got.ended);
    CHECK(got.body == "to the end");
}

TEST_CASE("an answer that breaks off is a failure")
{
    auto text = GENERATE(
        as<std::string>{},
        "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\ncut",
        "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\ncut\r\n",
        "HTTP/1.1 200 OK\r\nId:");
    fixture it(
        [&](scripted_connection& from, const std::string&, const std::string&) {
            from.send(text);
            from.finish(std::chrono::seconds(1));
        });
    auto got = it.call("1");
    CHECK_FALSE(got.ended);
    REQUIRE(got.failure);
    CHECK_FALSE(got.failure->unsent);
}

TEST_CASE("an unframed answer that is reset is not whole")
{
    fixture it(
        [](scripted_connection& from, const std::string&, const std::string&) {
            from.send("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhalf");
            from.abort();
        });
    CHECK_FALSE(it.call("1").ended);
}

// The kernel reports a reset once, to whichever call comes first: a write of
// the request's body takes the report, and a read then sees the end of the
// stream.
TEST_CASE("an unframed answer that is reset during the upload is not whole")
{
    auto how = GENERATE(framing{framing::kind::length, 1000},
                        framing{framing::kind::chunked, 0});
    auto part = GENERATE(as<std::string>{}, "", "part");
    std::shared_ptr<client_connection> connection;
    fixture it(
        [&](scripted_connection& from, const std::string&, const std::string&) {
            from.send("HTTP/1.1 200 OK\r\nId: 1\r\n\r\n" + part);
            from.abort();
            connection->send_body("more", false);
        },
        answer_after::head);
    connection = it.pool.take(std::chrono::seconds(1));
    call_recorder events;
    request_head head;
    head.method = "POST";
    head.target = "/";
    connection->start_call(head, how, "first", "1", events);
    REQUIRE(run_until(it.loop, [&] { return events.done(); }));
    CHECK_FALSE(events.ended);
    REQUIRE(events.failure);
    CHECK_FALSE(events.failure->unsent);
}

TEST_CASE("an unframed answer that ended during the upload is whole")
{
    std::shared_ptr<client_connection> connection;
    fixture it(
        [&](scripted_connection& from, const std::string&, const std::string&) {
            from.send("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole");
            from.finish(std::chrono::seconds(0));
            from.abort();
            connection->send_body("more", false);
        },
        answer_after::head);
    connection = it.pool.take(std::chrono::seconds(1));
    call_recorder events;
    request_head head;
    head.method = "POST";
    head.target = "/";
    connection->start_call(head, {framing::kind::length, 1000}, "first", "1",
                           events);
    REQUIRE(run_until(it.loop, [&] { return events.done(); }));
    CHECK(events.ended);
    CHECK(events.body == "whole");
}

TEST_CASE("bytes that are no answer are malformed")
{
    fixture it([](scripted_connection& from, const std::string&,
                  const std::string&) { from.send("garbage\r\n\r\n"); });
    auto got = it.call("1");
    REQUIRE(got.failure);
    CHECK(got.failure->malformed);
}

// Guards against part of a body that is taken for all of it.
TEST_CASE("a fetched answer over the limit is a failure")
{
    const std::string body(max_fetched_bytes + 1, 'x');
    auto framing =
        GENERATE_COPY("Content-Length: " + std::to_string(body.size()) + "\r\n",
                      std::string());
    fixture it(
        [&](scripted_connection& from, const std::string&, const std::string&) {
            from.send("HTTP/1.1 200 OK\r\n" + framing + "\r\n" + body);
            from.finish(std::chrono::seconds(1));
        });
    std::optional<fetch_result> result;
    request_head head;
    head.method = "GET";
    head.target = "/";
    fetch::start(it.loop, it.pool, head, {}, std::chrono::seconds(30),
                 [&](fetch_result got) { result = std::move(got); });
    REQUIRE(run_until(it.loop, [&] { return result.has_value(); }));
    const auto* failure = std::get_if<fetch_failure>(&*result);
    REQUIRE(failure != nullptr);
    CHECK(failure->may_have_arrived);
}

TEST_CASE("nothing was sent to an address where nothing listens")
{
    fixture it(
        [](scripted_connection&, const std::string&, const std::string&) {});
    it.pool.set_address({"127.0.0.1", 1});
    auto got = it.call("1");
    REQUIRE(got.failure);
    CHECK(got.failure->unsent);
}

TEST_CASE("a connection is made to an IPv6 address")
{
    process::loop::reactor loop;
    int accepted = -1;
    connection::net::tcp_listener listener(loop,
                                           [&](int fd) { accepted = fd; });
    if (auto message = listener.listen({"::1", 0}); !message.empty()) {
        WARN("no IPv6 here: " + message);
        return;
    }
    auto connection = client_connection::open(loop, {"::1", listener.port()},
                                              client_options());
    CHECK(run_until(loop, [&] { return accepted >= 0; }));
    ::close(accepted);
}

// Sent on a connection that the server is closing, a request is lost without a
// word on whether it ran.
TEST_CASE("a connection is not used near the end of its announced idle time")
{
    fixture it([](scripted_connection& from, const std::string& head,
                  const std::string&) {
        from.send("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nId: " +
                  header_of(head, "Id") + "\r\nContent-Length: 0\r\n\r\n");
    });
    CHECK(it.call("1").ended);
    CHECK(it.call("2").ended);
    CHECK(it.server.accepted() == 2);
}

namespace
{

// Closes its connection at the first event, as an owner does that ends.
class closing_recorder final : public call_events
{
public:
    explicit closing_recorder(bool at_body) : at_body_(at_body) {}

    void on_response(response_head&&, const message_info&) override
    {
        record(!at_body_);
    }
    void on_response_body(std::string_view) override { record(at_body_); }
    void on_response_end() override { record(false); }
    void on_failure(const call_failure&) override { record(false); }

    std::shared_ptr<client_connection> connection;
    bool closed = false;
    int events_after_close = 0;

private:
    void record(bool last)
    {
        events_after_close += closed ? 1 : 0;
        closed = closed || last;
        if (last)
            connection->close();
    }

    bool at_body_;
};

} // namespace

// Guards against use after free: the owner of a call may be destroyed from
// inside an event, once it has closed the connection.
TEST_CASE("nothing is told of a call whose connection was closed")
{
    for (bool at_body : {false, true}) {
        fixture it([](scripted_connection& from, const std::string&,
                      const std::string&) { from.send(answer("a", "body")); });
        closing_recorder events(at_body);
        events.connection = it.pool.take(std::chrono::seconds(1));
        request_head head;
        head.method = "GET";
        head.target = "/";
        events.connection->start_call(head, {}, {}, "a", events);
        REQUIRE(run_until(it.loop, [&] { return events.closed; }));
        run_for(it.loop, std::chrono::milliseconds(20));
        CAPTURE(at_body);
        CHECK(events.events_after_close == 0);
        CHECK_FALSE(events.connection->busy());
    }
}

// A caller would get a status that HTTP does not have, or wait until its
// deadline.
TEST_CASE("a final status outside 200 to 599 is a failure")
{
    for (const std::string status :
         {"000", "001", "099", "101", "600", "999"}) {
        fixture it([&](scripted_connection& from, const std::string&,
                       const std::string&) {
            from.send("HTTP/1.1 " + status +
                      " Oops\r\nId: a\r\nContent-Length: 4\r\n\r\nbody");
        });
        CAPTURE(status);
        auto got = it.call("a");
        REQUIRE(got.failure);
        CHECK(got.failure->malformed);
        CHECK(got.failure->bad_status == std::stoi(status));
        CHECK(got.head.status == 0);
        CHECK(run_until(it.loop, [&] { return it.server.all_ended(); }));
    }
}

TEST_CASE("interim responses are skipped")
{
    fixture it(
        [](scripted_connection& from, const std::string&, const std::string&) {
            from.send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\n\r\n"
                      "HTTP/1.1 199 Other\r\n\r\n" +
                      answer("a", "body"));
        });
    auto got = it.call("a");
    CHECK(got.ended);
    CHECK(got.body == "body");
}

} // namespace shallotwood::test
