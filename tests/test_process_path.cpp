// The data path through the real programs: callers, nodes and backend servers
// as separate processes.
#include "process/stream_hash.hpp"
#include "support/child_process.hpp"
#include "support/raw_http.hpp"
#include "support/silent_proxy.hpp"

#include <catch2/catch.hpp>
#include <csignal>
#include <fstream>
#include <json/json.h>
#include <memory>
#include <sstream>
#include <unistd.h>

using namespace shallotwood;
using support::child_process;
using support::eventually;
using support::get;
using support::post;
using support::raw_connection;

namespace
{

constexpr std::size_t caller = 0;
constexpr std::size_t peer = 1;
constexpr std::size_t local = 2;

using arguments = std::vector<std::string>;

std::string loopback(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

// A file with the secret that the nodes of a test share.
std::string secret_file()
{
    static const std::string path = [] {
        auto it = "/tmp/shallotwood-secret-" + std::to_string(::getpid());
        std::ofstream(it) << "fleet secret of the tests\n";
        return it;
    }();
    return path;
}

arguments operator+(arguments a, const arguments& b)
{
    a.insert(a.end(), b.begin(), b.end());
    return a;
}

// A backend server with its node, ready for calls.
struct served_instance {
    child_process node;
    child_process backend;

    explicit served_instance(const std::string& service,
                             const arguments& node_arguments = {})
        : node("pass_through_node",
               arguments{"--fleet-secret-file=" + secret_file()} +
                   node_arguments),
          backend("backend_standin",
                  {"--node=" + loopback(node.port(local)),
                   "--service=" + service, "--settings={\"latency_ms\":0}"})
    {
        bool ready = eventually([this] {
            return get(node.port(local), "/metrics").body.find("announce") !=
                   std::string::npos;
        });
        if (!ready)
            throw std::runtime_error("the backend server is not announced");
    }

    std::string member(const std::string& service) const
    {
        return "--member=" + service + "=" + loopback(node.port(peer));
    }

    Json::Value log() const
    {
        Json::Value json;
        std::istringstream(get(backend.port(0), "/control/executed").body) >>
            json;
        return json;
    }
};

child_process entry_node(const arguments& more)
{
    return {"pass_through_node",
            arguments{"--fleet-secret-file=" + secret_file(), "--route=/=alpha",
                      "--retries=2"} +
                more};
}

std::string digest_of(const std::string& body)
{
    process::stream_hash hash;
    hash.add(body);
    return hash.text();
}

} // namespace

// Guards against bodies that are lost, altered or reframed on the way.
TEST_CASE("a request passes through two nodes and back", "[process]")
{
    served_instance alpha("alpha");
    auto entry = entry_node({alpha.member("alpha")});
    for (const auto* query :
         {"size=0", "size=1", "size=70000", "size=3000000",
          "size=3000000&chunked=1", "size=0&chunked=1", "status=404"}) {
        INFO(query);
        auto it = get(entry.port(caller), std::string("/x?mark=abc&") + query);
        CHECK(it.complete);
        CHECK(digest_of(it.body) == it.header("X-Body-Digest"));
        CHECK(it.header("X-Mark") == "abc");
        CHECK(it.header("Shallotwood-Feedback").empty());
    }
    CHECK(get(entry.port(caller), "/x?status=404").status == 404);
}

// Guards against request bodies that are truncated at the replay bound (32 KB)
// or sent without their length.
TEST_CASE("request bodies of all sizes arrive whole", "[process]")
{
    served_instance alpha("alpha");
    auto entry = entry_node({alpha.member("alpha")});
    for (std::size_t size : {0, 1, 32767, 32768, 32769, 2000000}) {
        INFO(size);
        std::string body(size, 'b');
        for (std::size_t n = 0; n < size; n += 997)
            body[n] = static_cast<char>('0' + n % 10);
        auto it = post(entry.port(caller), "/x?echo=1", body);
        CHECK(it.status == 200);
        CHECK(it.body == body);
    }
}

// Guards against a token that is not understood or ends too early.
TEST_CASE("a backend server calls a further service", "[process]")
{
    served_instance beta("beta");
    served_instance alpha("alpha", {beta.member("beta")});
    auto entry = entry_node({alpha.member("alpha")});
    auto it =
        get(entry.port(caller), "/x?call=beta/y%3Fmark%3Ddeep%26size%3D8");
    CHECK(it.status == 200);
    CHECK(it.body == "deepdeep");
    auto refused = get(alpha.node.port(local), "/call/beta/y",
                       "Shallotwood-Token: invented\r\n");
    CHECK(refused.status == 403);
    CHECK(refused.header("Shallotwood-Verdict") == "not-run");
    CHECK(beta.log()["executed"].size() == 1);
    CHECK(beta.log()["executed"][0]["request"] ==
          alpha.log()["executed"][0]["request"]);
}

// Guards against a partial answer that looks complete: libsoup ends a chunked
// body properly when a connection is given up.
TEST_CASE("an answer cut short is never ended cleanly", "[process]")
{
    served_instance alpha("alpha");
    auto entry = entry_node({alpha.member("alpha")});
    for (const auto* query :
         {"truncate=70000", "truncate=70000&chunked=1", "truncate=2900000",
          "truncate=2900000&chunked=1"}) {
        INFO(query);
        auto it = post(entry.port(caller),
                       std::string("/x?size=3000000&") + query, "");
        CHECK_FALSE(it.complete);
        CHECK(it.body.size() < 3000000);
    }
    CHECK(get(entry.port(caller), "/x").status == 200);
}

// Guards against answers that reach another caller when they return in
// another order than the requests.
TEST_CASE("each of many concurrent callers gets its own answer", "[process]")
{
    constexpr int count = 60;
    served_instance alpha("alpha");
    auto entry = entry_node({alpha.member("alpha")});
    std::vector<std::unique_ptr<raw_connection>> connections;
    for (int n = 0; n < count; ++n) {
        auto& it = connections.emplace_back(
            std::make_unique<raw_connection>(entry.port(caller)));
        auto delay = std::to_string((count - n) % 7);
        it->send("GET /x?size=5000&delay_ms=" + delay + "&mark=<" +
                 std::to_string(n) + "> HTTP/1.1\r\nHost: test\r\n\r\n");
    }
    for (int n = 0; n < count; ++n) {
        auto it = connections[n]->receive();
        auto mark = "<" + std::to_string(n) + ">";
        CHECK(it.complete);
        CHECK(it.body.substr(0, mark.size()) == mark);
        CHECK(digest_of(it.body) == it.header("X-Body-Digest"));
    }
}

// Guards against work that goes on for a caller that has left.
TEST_CASE("cancellation reaches the backend server", "[process]")
{
    served_instance alpha("alpha");
    auto entry = entry_node({alpha.member("alpha")});
    for (const auto* query : {"delay_ms=60000", "size=9000000&stall=1000000"}) {
        INFO(query);
        {
            raw_connection it(entry.port(caller));
            it.send(std::string("GET /x?") + query +
                    " HTTP/1.1\r\nHost: test\r\n\r\n");
            CHECK(eventually([&] { return alpha.log()["running"] == 1; }));
        }
        CHECK(eventually([&] { return alpha.log()["running"] == 0; }));
    }
    CHECK(alpha.log()["cancelled"].size() == 2);
}

// Guards against forged internal headers and against keys that leave the node.
TEST_CASE("internal headers and the key stay at the entry node", "[process]")
{
    served_instance alpha("alpha");
    auto entry = entry_node({alpha.member("alpha")});
    auto it = get(entry.port(caller), "/x?headers=1",
                  "Authorization: Bearer top-secret-key\r\n"
                  "Shallotwood-Token: forged\r\nshallotwood-token: forged\r\n"
                  "SHALLOTWOOD-WORKSPACE: forged\r\n"
                  "Shallotwood-Context: forged\r\n"
                  "Connection: keep-alive, X-Private\r\nX-Private: forged\r\n"
                  "TE: trailers\r\nX-Public: passed\r\n");
    CHECK(it.status == 200);
    CHECK(it.body.find("forged") == std::string::npos);
    CHECK(it.body.find("top-secret-key") == std::string::npos);
    CHECK(it.body.find("Shallotwood-Context") == std::string::npos);
    CHECK(it.body.find("X-Public") != std::string::npos);
    CHECK(it.body.find("Shallotwood-Token") != std::string::npos);
    for (const auto& log : {entry.log(), alpha.node.log()})
        CHECK(log.find("top-secret-key") == std::string::npos);
    CHECK(entry.log().find("event=route") != std::string::npos);
}

// Guards against input that ends or blocks the process, or that a second
// parser would read differently.
TEST_CASE("malformed and oversize input gets an error", "[process]")
{
    served_instance alpha("alpha");
    auto entry = entry_node({alpha.member("alpha")});
    const std::string host = "Host: test\r\n";
    const std::string many_headers = [] {
        std::string text;
        for (int n = 0; n < 200; ++n)
            text += "X-" + std::to_string(n) + ": 1\r\n";
        return text;
    }();
    const struct {
        std::string name, request;
        int status;
    } table[] = {
        {"garbage", std::string("\x01\x02\r\n\r\n"), 400},
        {"zero byte", std::string("GET /\0 HTTP/1.1\r\n", 17) + host + "\r\n",
         400},
        {"no version", "GET /\r\n\r\n", 400},
        {"unknown version", "GET / HTTP/9.9\r\n" + host + "\r\n", 505},
        {"no host", "GET / HTTP/1.1\r\n\r\n", 400},
        {"method", "G@T / HTTP/1.1\r\n" + host + "\r\n", 400},
        {"connect", "CONNECT a:1 HTTP/1.1\r\n" + host + "\r\n", 405},
        {"escape", "GET /%zz HTTP/1.1\r\n" + host + "\r\n", 400},
        {"long path",
         "GET /" + std::string(20000, 'a') + " HTTP/1.1\r\n" + host + "\r\n",
         414},
        {"many headers", "GET / HTTP/1.1\r\n" + host + many_headers + "\r\n",
         431},
        {"long header",
         "GET / HTTP/1.1\r\n" + host + "X: " + std::string(40000, 'a') +
             "\r\n\r\n",
         431},
        {"two lengths",
         "POST / HTTP/1.1\r\n" + host +
             "Content-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
         400},
        {"negative length",
         "POST / HTTP/1.1\r\n" + host + "Content-Length: -3\r\n\r\n", 400},
        {"huge length",
         "POST / HTTP/1.1\r\n" + host +
             "Content-Length: 99999999999999999999\r\n\r\n",
         400},
        {"length and chunks",
         "POST / HTTP/1.1\r\n" + host +
             "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
         400},
        {"unknown encoding",
         "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: zip\r\n\r\n", 501},
        {"timeout", "GET / HTTP/1.1\r\n" + host + "Request-Timeout: x\r\n\r\n",
         400},
        {"two keys",
         "GET / HTTP/1.1\r\n" + host +
             "Authorization: Bearer a\r\nAuthorization: Bearer b\r\n\r\n",
         400},
        {"scheme",
         "GET / HTTP/1.1\r\n" + host + "Authorization: Basic a\r\n\r\n", 400},
    };
    for (const auto& row : table) {
        INFO(row.name);
        raw_connection it(entry.port(caller));
        it.send(row.request);
        CHECK(it.receive().status == row.status);
    }
    // Nothing of it ran, and the peer address takes no call without a context.
    CHECK(get(entry.port(peer), "/x").status == 403);
    CHECK(
        post(entry.port(local), "/backend/announce", "{\"port\":-1}").status ==
        400);
    CHECK(alpha.log()["executed"].empty());
    // Dot segments are resolved before the route is chosen.
    CHECK(get(entry.port(caller), "/a/%2e%2e/../b").status == 200);
    CHECK(alpha.log()["executed"][0]["path"] == "/b");
}

// Guards against connections beyond the bound that starve or hang.
TEST_CASE("connections over the bound are refused", "[process]")
{
    auto entry = entry_node({"--max-connections=2"});
    raw_connection first(entry.port(caller));
    raw_connection second(entry.port(caller));
    for (auto* it : {&first, &second}) {
        it->send("GET / HTTP/1.1\r\nHost: test\r\n\r\n");
        CHECK(it->receive().status == 503);
    }
    raw_connection third(entry.port(caller));
    auto refused = third.receive();
    CHECK(refused.status == 503);
    CHECK(refused.header("Shallotwood-Reason") == "overload");
    first.send("GET / HTTP/1.1\r\nHost: test\r\n\r\n");
    CHECK(first.receive().header("Shallotwood-Reason") == "no-backend-server");
}

// Guards against a verdict that claims more than is known.
TEST_CASE("verdicts of failures are true", "[process]")
{
    served_instance alpha("alpha");
    auto entry = entry_node({alpha.member("alpha"), "--head-limit-ms=200"});
    auto port = entry.port(caller);
    auto late = get(port, "/x?delay_ms=60000", "Request-Timeout: 0.05\r\n");
    // The stand-in honours the deadline and may answer just before the node.
    CHECK(late.status == 504);
    auto silent = get(port, "/x?delay_ms=60000");
    CHECK(silent.status == 502);
    CHECK(silent.header("Shallotwood-Verdict") == "may-have-run");
    CHECK(silent.header("Shallotwood-Reason") == "connection-silent");
    post(alpha.backend.port(0), "/control/settings", "{\"draining\":true}");
    auto draining = get(port, "/x");
    CHECK(draining.status == 503);
    CHECK(draining.header("Shallotwood-Verdict") == "not-run");
    CHECK(draining.header("Shallotwood-Reason") == "draining");
    post(alpha.backend.port(0), "/control/settings", "{\"draining\":false}");
    auto crash = get(port, "/x?crash=1");
    CHECK(crash.status == 502);
    CHECK(crash.header("Shallotwood-Verdict") == "may-have-run");
    CHECK(crash.header("Shallotwood-Reason") == "backend-server-failed");
    // The connection breaks a moment before the listening socket is closed.
    constexpr int crash_status = 70;
    CHECK(alpha.backend.wait() == crash_status);
    auto refused = get(port, "/x");
    CHECK(refused.status == 502);
    CHECK(refused.header("Shallotwood-Verdict") == "not-run");
    alpha.node.signal(SIGKILL);
    alpha.node.wait();
    auto gone = get(port, "/x");
    CHECK(gone.status == 502);
    CHECK(gone.header("Shallotwood-Verdict") == "not-run");
    CHECK(gone.header("Shallotwood-Reason") == "connection-failed");
}

// Guards against a second run of a request that must run at most once.
TEST_CASE("only a request that did not run or may repeat is retried",
          "[process]")
{
    served_instance one("alpha");
    served_instance two("alpha");
    auto members =
        arguments{one.member("alpha"), two.member("alpha"), "--retries=1"};
    child_process entry("pass_through_node",
                        arguments{"--fleet-secret-file=" + secret_file(),
                                  "--route=/once=alpha!", "--route=/=alpha"} +
                            members);
    for (auto* it : {&one, &two})
        post(it->backend.port(0), "/control/settings", "{\"draining\":true}");
    CHECK(get(entry.port(caller), "/once").status == 503);
    post(two.backend.port(0), "/control/settings", "{\"draining\":false}");
    for (int n = 0; n < 4; ++n)
        CHECK(get(entry.port(caller), "/once").status == 200);
    CHECK(two.log()["executed"].size() == 4);
    post(one.backend.port(0), "/control/settings", "{\"draining\":false}");
    auto crash = get(entry.port(caller), "/once?crash=1");
    CHECK(crash.header("Shallotwood-Verdict") == "may-have-run");
    // One backend server is left.
    CHECK(get(entry.port(caller), "/x").status == 200);
}

// Guards against pooled connections that went silent being used one after
// another: one request finds out, the next ones go over new connections.
TEST_CASE("silent connections are replaced", "[process]")
{
    served_instance alpha("alpha");
    support::silent_proxy between(alpha.node.port(peer));
    auto entry = entry_node(
        {"--member=alpha=" + loopback(between.port()), "--head-limit-ms=300"});
    auto port = entry.port(caller);
    {
        std::vector<std::unique_ptr<raw_connection>> together;
        for (int n = 0; n < 4; ++n) {
            together.push_back(std::make_unique<raw_connection>(port));
            together.back()->send("GET /x?delay_ms=100 HTTP/1.1\r\n"
                                  "Host: test\r\n\r\n");
        }
        for (auto& it : together)
            CHECK(it->receive().status == 200);
    }
    REQUIRE(between.accepted() == 4);
    between.silence_open_connections();
    auto lost = get(port, "/x");
    CHECK(lost.status == 502);
    CHECK(lost.header("Shallotwood-Verdict") == "may-have-run");
    CHECK(lost.header("Shallotwood-Reason") == "connection-silent");
    for (int n = 0; n < 3; ++n)
        CHECK(get(port, "/x").status == 200);
}

// Guards against a download that stays stalled, or is joined from two
// different bodies.
TEST_CASE("a stalled download is resumed elsewhere", "[process]")
{
    served_instance one("alpha");
    served_instance two("alpha");
    auto entry = entry_node(
        {one.member("alpha"), two.member("alpha"), "--body-limit-ms=200"});
    for (const auto* how : {"stall=1000000", "truncate=1000000"}) {
        INFO(how);
        auto it = get(entry.port(caller),
                      std::string("/x?size=3000000&mark=xyz&") + how);
        CHECK(it.status == 200);
        CHECK(it.complete);
        CHECK(digest_of(it.body) == it.header("X-Body-Digest"));
    }
    CHECK(one.log()["executed"].size() == 2);
    CHECK(two.log()["executed"].size() == 2);
}

// Guards against a node that keeps all bytes of an upload that never gets past
// its framing, and runs out of memory.
TEST_CASE("uploads with endless framing hold little memory", "[process]")
{
    constexpr int pieces = 1024;
    constexpr std::size_t most_kilobytes = 16 * 1024;
    const std::string many_bytes(std::size_t{64} * 1024, '1');
    const std::string head =
        "POST /x HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n";
    served_instance alpha("alpha");
    auto entry = entry_node({alpha.member("alpha")});
    auto before = entry.peak_kilobytes();
    for (const std::string first : {"", "2;x=", "2\r\nok\r\n0\r\nX-More: "}) {
        raw_connection it(entry.port(caller));
        it.send(head + first);
        for (int n = 0; n < pieces; ++n)
            it.send(many_bytes);
        CAPTURE(first);
        CHECK(entry.peak_kilobytes() < before + most_kilobytes);
    }
    CHECK(get(entry.port(caller), "/x").status == 200);
}

// Guards against requests that a shutdown interrupts.
TEST_CASE("shutdown finishes what is in flight", "[process]")
{
    served_instance alpha("alpha");
    auto entry = entry_node({alpha.member("alpha")});
    raw_connection idle(entry.port(caller));
    idle.send("GET /x HTTP/1.1\r\nHost: test\r\n\r\n");
    CHECK(idle.receive().status == 200);
    raw_connection running(entry.port(caller));
    running.send("GET /x?delay_ms=300&size=500000 HTTP/1.1\r\n"
                 "Host: test\r\n\r\n");
    CHECK(eventually([&] { return alpha.log()["running"] == 1; }));
    entry.signal(SIGTERM);
    alpha.node.signal(SIGTERM);
    alpha.backend.signal(SIGTERM);
    auto refused = [&] {
        idle.send("GET /x HTTP/1.1\r\nHost: test\r\n\r\n");
        return idle.receive().header("Shallotwood-Reason") == "draining";
    };
    CHECK(eventually(refused));
    auto it = running.receive();
    CHECK(it.complete);
    CHECK(it.body.size() == 500000);
    CHECK(entry.wait() == 0);
    CHECK(alpha.node.wait() == 0);
    CHECK(alpha.backend.wait() == 0);
}

// Guards against a shutdown that never ends.
TEST_CASE("a second signal or the drain limit ends a shutdown", "[process]")
{
    served_instance alpha("alpha");
    for (bool second : {true, false}) {
        auto entry =
            entry_node({alpha.member("alpha"), second ? "--drain-limit-ms=60000"
                                                      : "--drain-limit-ms=50"});
        raw_connection it(entry.port(caller));
        it.send("GET /x?delay_ms=60000 HTTP/1.1\r\nHost: test\r\n\r\n");
        CHECK(eventually([&] { return alpha.log()["running"] == 1; }));
        entry.signal(SIGTERM);
        CHECK(eventually([&] {
            return entry.log().find("event=drain") != std::string::npos;
        }));
        if (second)
            entry.signal(SIGTERM);
        CHECK(entry.wait() == 1);
        CHECK(eventually([&] { return alpha.log()["running"] == 0; }));
    }
}
