// The data path in this process, with policies that the test controls: what
// the real programs can't be made to show reliably.
#include "process/glib_event_loop.hpp"
#include "process/http/data_path.hpp"
#include "process/pass_through_policy.hpp"
#include "support/child_process.hpp"
#include "support/raw_http.hpp"

#include <arpa/inet.h>
#include <atomic>
#include <catch2/catch.hpp>
#include <optional>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace shallotwood;
using request::call;
using request::execution;
using request::reason;
using request::recorded_response;
using request::refusal;

namespace
{

// Forwards to the pass-through policy, except for recording and fencing.
class controlled_policy final : public request::entry_policy,
                                public request::routing_policy
{
public:
    explicit controlled_policy(process::pass_through_policy& to) : to_(to) {}

    std::vector<recorded_response> records;
    std::vector<request::call_feedback> left;
    std::optional<refusal> record_refusal;
    execution fenced = execution::may_have_run;
    int fences = 0;

    void enter(const request::caller_request& it,
               std::function<void(request::entry_result)> done) override
    {
        to_.enter(it, std::move(done));
    }
    void record(const call& /*it*/, const recorded_response& response,
                std::function<void(std::optional<refusal>)> done) override
    {
        records.push_back(response);
        done(record_refusal);
    }
    void leave(const call& /*it*/, const request::call_feedback& it) override
    {
        left.push_back(it);
    }
    std::variant<request::target, refusal>
    choose(const call& it, const std::vector<std::string>& tried) override
    {
        return to_.choose(it, tried);
    }
    void sent(const call& /*it*/, const request::target& /*to*/) override {}
    void answered(const call& /*it*/, const request::target& /*to*/,
                  const request::call_feedback& /*feedback*/,
                  process::duration /*elapsed*/) override
    {
    }
    bool retry(call& it, const request::call_feedback& feedback) override
    {
        return to_.retry(it, feedback);
    }
    void fence(const call& /*it*/, const request::target& /*to*/,
               std::function<void(execution)> done) override
    {
        ++fences;
        done(fenced);
    }
    std::variant<call, refusal> begin_child(const std::string& token,
                                            const std::string& service,
                                            const std::string& path) override
    {
        return to_.begin_child(token, service, path);
    }
    void end_child(const std::string& /*token*/, const call& /*child*/,
                   const request::call_feedback& /*feedback*/) override
    {
    }

private:
    process::pass_through_policy& to_;
};

// A node and its backend server; requests are sent from a second thread while
// the loop runs here.
struct controlled_node {
    process::glib_event_loop loop;
    process::random_source random{1};
    process::counters counts;
    process::pass_through_policy pass_through{
        {{{"/", "alpha", false}}, {}, std::chrono::seconds(30), 1}};
    controlled_policy policy{pass_through};
    support::child_process backend{"backend_standin",
                                   {"--settings={\"latency_ms\":0}"}};
    std::optional<process::http::data_path> path;

    controlled_node()
    {
        process::http::data_path_settings settings;
        settings.caller.host = settings.peer.host = settings.local.host =
            "127.0.0.1";
        settings.fleet_secret = "secret";
        settings.head_progress_limit = std::chrono::milliseconds(200);
        path.emplace(settings, loop, random, counts, policy, policy,
                     pass_through);
        REQUIRE(path->start().empty());
        pass_through.add_member("alpha",
                                {"self", "127.0.0.1", path->peer_port()});
        pass_through.set_backend("127.0.0.1", backend.port(0));
    }

    // Serves while a second thread sends the request.
    support::raw_response get(const std::string& target)
    {
        return send("GET " + target + " HTTP/1.1\r\nHost: test\r\n\r\n");
    }
    // The text need not be a whole request.
    support::raw_response send(const std::string& text)
    {
        support::raw_response response;
        std::thread caller([&] {
            support::raw_connection it(path->caller_port());
            it.send(text);
            response = it.receive();
            g_idle_add(&controlled_node::stop, &loop);
        });
        loop.run();
        caller.join();
        return response;
    }

    static gboolean stop(gpointer loop)
    {
        static_cast<process::glib_event_loop*>(loop)->stop();
        return G_SOURCE_REMOVE;
    }
};

// What a server does after its answers.
enum class server_end {
    close,
    reset,
    // Goes on sending the last answer until the other end closes.
    send_on,
};

// A backend server that answers each request on one connection, once it has
// read the head, with the next of the given texts.
class raw_backend
{
public:
    explicit raw_backend(std::vector<std::string> answers,
                         server_end end = server_end::close)
        : listener_(socket(AF_INET, SOCK_STREAM, 0)),
          answers_(std::move(answers)), end_(end)
    {
        sockaddr_in any{};
        any.sin_family = AF_INET;
        any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof any;
        auto* address = reinterpret_cast<sockaddr*>(&any);
        REQUIRE(bind(listener_, address, size) == 0);
        REQUIRE(listen(listener_, 8) == 0);
        REQUIRE(getsockname(listener_, address, &size) == 0);
        port_ = ntohs(any.sin_port);
        thread_ = std::thread([this] { serve(); });
    }
    ~raw_backend()
    {
        shutdown(listener_, SHUT_RDWR);
        thread_.join();
        close(listener_);
    }
    raw_backend(const raw_backend&) = delete;
    raw_backend& operator=(const raw_backend&) = delete;

    std::uint16_t port() const { return port_; }
    int requests() const { return requests_; }
    // The other end has closed the connection.
    bool was_closed() const { return was_closed_; }

private:
    // More than this is taken for reading without end.
    static constexpr std::size_t max_sent_bytes = std::size_t{1} << 30;

    void send_on(int fd)
    {
        const auto& text = answers_.back();
        for (std::size_t sent = 0; sent < max_sent_bytes && !was_closed_;
             sent += text.size())
            was_closed_ = send(fd, text.data(), text.size(), MSG_NOSIGNAL) < 0;
    }

    void serve()
    {
        int fd = accept(listener_, nullptr, nullptr);
        if (fd < 0)
            return;
        std::string input;
        for (const auto& answer : answers_) {
            char buf[4096];
            ssize_t n = 1;
            while (input.find("\r\n\r\n") == std::string::npos && n > 0) {
                n = recv(fd, buf, sizeof buf, 0);
                input.append(buf, n > 0 ? static_cast<std::size_t>(n) : 0);
            }
            if (n <= 0)
                break;
            ++requests_;
            input.clear();
            send(fd, answer.data(), answer.size(), MSG_NOSIGNAL);
            if (end_ == server_end::send_on)
                break;
        }
        if (end_ == server_end::send_on)
            send_on(fd);
        if (end_ == server_end::reset) {
            linger how{1, 0};
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &how, sizeof how);
        }
        close(fd);
    }

    int listener_;
    std::uint16_t port_ = 0;
    std::vector<std::string> answers_;
    server_end end_;
    std::atomic<int> requests_{0};
    std::atomic<bool> was_closed_{false};
    std::thread thread_;
};

} // namespace

// Guards against a caller that has a response of which no record exists: its
// repeat would run again.
TEST_CASE("a response is recorded before its first byte is sent", "[process]")
{
    controlled_node node;
    auto it = node.get("/x?mark=abc&size=6");
    CHECK(it.body == "abcabc");
    REQUIRE(node.policy.records.size() == 1);
    CHECK(node.policy.records[0].status == 200);
    CHECK(node.policy.records[0].content_type == "application/octet-stream");
    CHECK(node.policy.records[0].body == "abcabc");
    CHECK(node.policy.records[0].body_recorded);

    for (const auto* query : {"size=300000", "size=300000&chunked=1"}) {
        INFO(query);
        auto large = node.get(std::string("/x?") + query);
        CHECK(large.complete);
        CHECK(large.body.size() == 300000);
        CHECK_FALSE(node.policy.records.back().body_recorded);
        CHECK(node.policy.records.back().body.empty());
    }

    node.policy.record_refusal = refusal{
        {execution::ran, reason::record_store_unreachable}, 503, std::nullopt};
    for (const auto* query :
         {"size=6", "size=300000", "size=300000&chunked=1"}) {
        INFO(query);
        auto refused = node.get(std::string("/x?") + query);
        CHECK(refused.status == 503);
        CHECK(refused.header("Shallotwood-Verdict") == "ran");
    }
    CHECK(node.policy.records.size() == 6);
    CHECK(node.policy.left.size() == 6);
}

// Guards against a record of a response that is not whole.
TEST_CASE("a response cut short before its record is not recorded", "[process]")
{
    controlled_node node;
    auto it = node.get("/x?size=60000&truncate=30000");
    CHECK(it.status == 502);
    CHECK(it.header("Shallotwood-Verdict") == "may-have-run");
    CHECK(node.policy.records.empty());
    REQUIRE(node.policy.left.size() == 1);
    CHECK(node.policy.left[0].what.run == execution::may_have_run);
}

// Guards against "not run" for a silent attempt that was not fenced.
TEST_CASE("a silent attempt gets the verdict of its fence", "[process]")
{
    controlled_node node;
    support::post(node.backend.port(0), "/control/settings",
                  "{\"silent\":true}");
    auto unknown = node.get("/x");
    CHECK(unknown.status == 502);
    CHECK(unknown.header("Shallotwood-Verdict") == "may-have-run");
    CHECK(unknown.header("Shallotwood-Reason") == "connection-silent");
    node.policy.fenced = execution::not_run;
    auto fenced = node.get("/x");
    CHECK(fenced.header("Shallotwood-Verdict") == "not-run");
    CHECK(fenced.header("Shallotwood-Reason") == "fenced");
    CHECK(node.policy.fences == 2);
}

// Guards against lost work: a request that runs at most once and is cancelled
// half-way could neither be completed nor sent again.
TEST_CASE("a request that runs once goes on when its caller leaves",
          "[process]")
{
    controlled_node node;
    std::thread caller([&] {
        support::raw_connection it(node.path->caller_port());
        it.send("GET /x?delay_ms=120&size=6 HTTP/1.1\r\nHost: test\r\n\r\n");
        support::eventually([&] {
            return support::get(node.backend.port(0), "/control/executed")
                       .body.find("\"running\":1") != std::string::npos;
        });
    });
    g_timeout_add_seconds(5, &controlled_node::stop, &node.loop);
    std::function<void()> poll = [&] {
        if (node.policy.left.empty())
            node.loop.call_after(std::chrono::milliseconds(5), poll);
        else
            node.loop.stop();
    };
    poll();
    node.loop.run();
    caller.join();
    REQUIRE(node.policy.records.size() == 1);
    CHECK(node.policy.records[0].status == 200);
    REQUIRE(node.policy.left.size() == 1);
    CHECK(node.policy.left[0].what.run == execution::ran);
}

// The server reads one connection only.
TEST_CASE("requests over the limit of connections wait for one", "[process]")
{
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    raw_backend backend({answer, answer});
    process::glib_event_loop loop;
    connection::http_client client({1, std::chrono::seconds(10)});
    std::vector<std::shared_ptr<connection::client_call>> calls(2);
    std::vector<std::string> bodies(calls.size());
    std::size_t ended = 0;
    for (std::size_t n = 0; n < calls.size(); ++n) {
        connection::client_handlers it;
        it.on_head = [&, n](const auto&, const auto&) { calls[n]->read(); };
        it.on_data = [&, n](std::string_view bytes) {
            bodies[n] += bytes;
            calls[n]->read();
        };
        it.on_end = [&] {
            if (++ended == calls.size())
                loop.stop();
        };
        it.on_failure = [&](const auto&) { loop.stop(); };
        calls[n] = client.start(
            {"GET", "127.0.0.1", backend.port(), "/x", {}, nullptr},
            std::move(it));
    }
    CHECK_FALSE(calls.back()->written());
    loop.run();
    CHECK(ended == calls.size());
    for (const auto& it : bodies)
        CHECK(it == "ok");
    CHECK(backend.requests() == 2);
}

TEST_CASE("a late refusal is not the answer to the next request", "[process]")
{
    const std::string refusal = "HTTP/1.1 503 Busy\r\nShallotwood-Verdict: "
                                "not-run\r\nContent-Length: 0\r\n\r\n";
    raw_backend backend({refusal, refusal});
    controlled_node node;
    node.pass_through.set_backend("127.0.0.1", backend.port());
    CHECK(node.get("/x").header("Shallotwood-Verdict") == "not-run");
    // The server runs this one, but first writes the earlier refusal again.
    auto it = node.get("/x");
    REQUIRE(backend.requests() == 2);
    CHECK(it.header("Shallotwood-Verdict") == "may-have-run");
}

TEST_CASE("a response that breaks off in its head is no success", "[process]")
{
    for (const std::string part :
         {"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n",
          "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Le"}) {
        raw_backend backend({part});
        controlled_node node;
        node.pass_through.set_backend("127.0.0.1", backend.port());
        auto it = node.get("/x");
        CAPTURE(part);
        CHECK(it.status == 502);
        CHECK(it.header("Shallotwood-Verdict") == "may-have-run");
    }
}

// Guards against part of a body that is taken for all of it, in each state of
// the upload: none, half written, written.
TEST_CASE("part of a body is no whole answer", "[process]")
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string post = "POST /x HTTP/1.1\r\nHost: test\r\n"
                             "Content-Length: 200000\r\n\r\n";
    auto answer =
        GENERATE_COPY(head + "\r\npart", head + "Content-Length: 9\r\n\r\npart",
                      head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n");
    auto end = GENERATE(server_end::close, server_end::reset);
    auto request = GENERATE_COPY(
        std::string("GET /x HTTP/1.1\r\nHost: test\r\n\r\n"),
        post + std::string(100'000, 'u'), post + std::string(200'000, 'u'));
    CAPTURE(answer, end, request.size());
    raw_backend backend({answer}, end);
    controlled_node node;
    node.pass_through.set_backend("127.0.0.1", backend.port());
    auto it = node.send(request);
    REQUIRE(backend.requests() == 1);
    bool whole_success = it.complete && it.status == 200;
    CHECK_FALSE(whole_success);
}

// Guards against part of an upload that runs as the whole one.
TEST_CASE("an upload that is cut off between two chunks does not run",
          "[process]")
{
    raw_backend backend({"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"});
    controlled_node node;
    node.pass_through.set_backend("127.0.0.1", backend.port());
    const std::string head = "POST /x HTTP/1.1\r\nHost: test\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n";
    support::raw_response response;
    std::thread caller([&] {
        std::optional<support::raw_connection> cut(node.path->caller_port());
        cut->send(head + "4\r\npart\r\n");
        cut.reset();
        // Read after the end of the other one.
        support::raw_connection whole(node.path->caller_port());
        whole.send(head + "5\r\nwhole\r\n0\r\n\r\n");
        response = whole.receive();
        g_idle_add(&controlled_node::stop, &node.loop);
    });
    node.loop.run();
    caller.join();
    CHECK(response.body == "ok");
    CHECK(backend.requests() == 1);
}

TEST_CASE("bytes without end do not keep a connection open", "[process]")
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string many_bytes(std::size_t{16} * 1024, 'x');
    const std::string digits(std::size_t{16} * 1024, '1');
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    const std::vector<std::vector<std::string>> streams = {
        {head, "X-More: " + many_bytes + "\r\n"},
        {head + "X-More: ", many_bytes},
        {head + "\r\n", many_bytes},
        {head + "Content-Length: 2\r\n\r\nok", many_bytes},
        {head + chunked, digits},
        {head + chunked + "5;x=", many_bytes},
        {head + chunked + "2\r\nok\r\n0\r\n", "X-More: " + many_bytes + "\r\n"},
        {head + chunked + "2\r\nok\r\n0\r\nX-More: ", many_bytes},
        {"HTTP/1.1 100 Continue\r\n\r\n"},
        {many_bytes}};
    for (const auto& texts : streams) {
        raw_backend backend(texts, server_end::send_on);
        controlled_node node;
        node.pass_through.set_backend("127.0.0.1", backend.port());
        auto it = node.get("/x");
        CAPTURE(texts.front());
        if (it.status == 200)
            CHECK(it.body == "ok");
        else
            CHECK(it.header("Shallotwood-Verdict") == "may-have-run");
        node.get("/y");
        CHECK(support::eventually([&] { return backend.was_closed(); }));
    }
}

// Guards against a node that ends because the JSON parser throws beyond its
// nesting limit.
TEST_CASE("a deeply nested announcement gets an error", "[process]")
{
    support::child_process node("pass_through_node", {});
    auto response = support::post(node.port(2), "/backend/announce",
                                  std::string(5000, '['));
    CHECK(response.status == 400);
    CHECK(support::get(node.port(2), "/metrics").status == 200);
}

// Guards against a status that a caller can't read, and against a 101 that
// holds it until its timeout.
TEST_CASE("a final status outside 200 to 599 is a failure", "[process]")
{
    for (const std::string status :
         {"000", "001", "099", "101", "600", "999"}) {
        raw_backend backend(
            {"HTTP/1.1 " + status + " Oops\r\nContent-Length: 2\r\n\r\nok"});
        controlled_node node;
        node.pass_through.set_backend("127.0.0.1", backend.port());
        auto it = node.get("/x");
        CAPTURE(status);
        CHECK(it.status == 502);
        CHECK(it.header("Shallotwood-Verdict") == "may-have-run");
        CHECK(node.counts.at("backend_bad_status") == 1);
    }
}

// Guards against a line of a head that is passed on or left out although it is
// no field: the body would have another length than its server meant.
TEST_CASE("a head with a name that no field may have is a failure", "[process]")
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string length = "Content-Length: 5\r\n";
    const std::vector<std::string> heads = {
        length + "X Bad: x\r\n",
        length + "X-Bad : x\r\n",
        length + "X-Bad\t: x\r\n",
        length + " X-Bad: x\r\n",
        length + "X-\x01"
                 "Bad: x\r\n",
        length + "X-\x7f"
                 "Bad: x\r\n",
        length + std::string("X-\0Bad: x\r\n", 11),
        length + ": x\r\n",
        length + "no colon\r\n",
        "X-Bad : x\r\n" + length,
        length + "Transfer-Encoding : chunked\r\n",
        length + "Content-Length : 9\r\n",
        std::string("Content-\0Length: 5\r\n", 20),
        "Transfer-Encoding: chunked\r\nContent-Length : 5\r\n"};
    for (const auto& fields : heads) {
        raw_backend backend({head + fields + "\r\n5\r\nhello\r\n0\r\n\r\n"});
        controlled_node node;
        node.pass_through.set_backend("127.0.0.1", backend.port());
        auto it = node.get("/x");
        CAPTURE(fields, it.head, it.body);
        CHECK(it.status == 502);
        CHECK(it.header("Shallotwood-Verdict") == "may-have-run");
    }
}

TEST_CASE("a refusal whose body does not end is passed on", "[process]")
{
    const std::string head = "HTTP/1.1 503 Busy\r\nShallotwood-Verdict: "
                             "not-run\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string bytes = "4000\r\n" + std::string(0x4000, 'x') + "\r\n";
    raw_backend backend({head, bytes}, server_end::send_on);
    controlled_node node;
    node.pass_through.set_backend("127.0.0.1", backend.port());
    auto it = node.get("/x");
    CHECK(it.status == 503);
    CHECK(it.header("Shallotwood-Verdict") == "not-run");
    CHECK(support::eventually([&] { return backend.was_closed(); }));
}
