#include "process/sidecar/peer_links.hpp"
#include "process/sidecar/peer_server.hpp"
#include "sidecar/support/live_loop.hpp"
#include "sidecar/support/local_node.hpp"
#include "sidecar/support/run_recorder.hpp"
#include "sidecar/support/scripted_server.hpp"
#include "sidecar/support/small_fleet.hpp"
#include "soak/fault_proxy.hpp"

#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace shallotwood::test
{

using namespace process;
using namespace process::sidecar;
using soak::fault_proxy;

namespace
{

void serve(scripted_connection& from, const std::string& head,
           const std::string&)
{
    from.send(good_answer(head, ""));
}

void stay_silent(scripted_connection&, const std::string&, const std::string&)
{
}

// A node with its backend server, behind a line that can be cut.
class other_node
{
public:
    other_node(loop::reactor& loop, scripted_connection::handler handle)
        : server(loop, std::move(handle)), node(loop, server.address()),
          peers(
              loop, node.executor,
              [] {
                  return peer_server::identity{1, 1};
              },
              [](std::string_view, const std::string&) {
                  return std::string("{}");
              },
              [](std::uint64_t) {}),
          listens(peers.listen({"127.0.0.1", 0}).empty()),
          line(loop, {"127.0.0.1", peers.port()})
    {
    }

    fleet::instance entry() const
    {
        fleet::instance it;
        it.peer = line.address();
        it.failure_domain = "d";
        it.incarnation = 1;
        it.service = "s";
        it.state = fleet::backend_state::ready;
        it.slots = 4;
        return it;
    }

    scripted_server server;
    local_node node;
    peer_server peers;
    bool listens;
    fault_proxy line;
};

struct no_events final : connection::peer::stream_events {
    void on_data(std::string_view) override {}
    void on_end() override {}
    void on_closed(connection::peer::stream_close) override {}
};

// A listening socket whose queue of new connections is full, so that further
// ones stay in the middle of being established.
class crowded_listener
{
public:
    crowded_listener()
    {
        auto* generic = reinterpret_cast<sockaddr*>(&address_);
        socklen_t size = sizeof address_;
        address_.sin_family = AF_INET;
        address_.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(bind(listener_, generic, size) == 0);
        REQUIRE(listen(listener_, 0) == 0);
        REQUIRE(getsockname(listener_, generic, &size) == 0);
        REQUIRE(connect(crowd_, generic, size) == 0);
    }
    ~crowded_listener()
    {
        close(crowd_);
        close(listener_);
    }
    crowded_listener(const crowded_listener&) = delete;
    crowded_listener& operator=(const crowded_listener&) = delete;

    peer_address address() const
    {
        return {"127.0.0.1", ntohs(address_.sin_port)};
    }
    void make_room() { close(accept()); }
    int accept() { return ::accept(listener_, nullptr, nullptr); }

private:
    sockaddr_in address_{};
    int listener_ = socket(AF_INET, SOCK_STREAM, 0);
    int crowd_ = socket(AF_INET, SOCK_STREAM, 0);
};

fleet::instance self()
{
    fleet::instance it;
    it.peer = {"127.0.0.1", 1};
    it.service = "front";
    return it;
}

class fixture
{
public:
    fixture()
        : view(self()), load_balancer(loop, random, view, "d"),
          links(loop, counts, view, load_balancer)
    {
    }
    ~fixture() { links.close(); }

    // What the run gives is in the recorder.
    std::shared_ptr<request::attempt>
    start(const other_node& at, const std::shared_ptr<run_recorder>& to,
          bool repeatable)
    {
        view.learn(at.entry());
        auto what = run_on_s("a" + std::to_string(++last_), repeatable);
        return links.start(at.entry(), what, to);
    }

    void serve_one(const other_node& at)
    {
        auto it = std::make_shared<run_recorder>();
        auto attempt = start(at, it, true);
        REQUIRE(run_until(loop, [&] { return it->done(); }));
        REQUIRE(it->ended);
    }

    loop::reactor loop;
    counters counts;
    random_source random{1};
    fleet::fleet_view view;
    routing::load_balancer load_balancer;
    peer_links links;

private:
    int last_ = 0;
};

} // namespace

TEST_CASE("a repeatable run is told of a silent link before it is given up")
{
    fixture it;
    other_node at(it.loop, serve);
    REQUIRE(at.listens);
    it.serve_one(at);
    at.line.set_line(soak::line::silent);
    auto repeatable = std::make_shared<run_recorder>();
    auto once = std::make_shared<run_recorder>();
    auto runs = {it.start(at, once, false), it.start(at, repeatable, true)};
    REQUIRE(run_until(it.loop, [&] { return repeatable->silent; }));
    CHECK_FALSE(it.links.reachable(at.entry().name()));
    CHECK_FALSE(repeatable->done());
    // The other one must hear what has become of it, over this connection or
    // the next.
    CHECK_FALSE(once->silent);
    CHECK_FALSE(once->done());
    for (const auto& attempt : runs)
        attempt->cancel();
}

TEST_CASE("a node that nobody answers is cut off, until one does")
{
    fixture it;
    std::vector<std::unique_ptr<other_node>> all;
    for (int n = 0; n < 4; ++n) {
        all.push_back(std::make_unique<other_node>(it.loop, serve));
        it.serve_one(*all.back());
    }
    CHECK_FALSE(it.links.is_partitioned());
    for (const auto& at : all)
        at->line.set_line(soak::line::silent);
    auto waiting = std::make_shared<run_recorder>();
    auto attempt = it.start(*all.front(), waiting, true);
    REQUIRE(run_until(it.loop, [&] { return it.links.is_partitioned(); }));
    all.back()->line.set_line(soak::line::clear);
    all.back()->line.reset_open();
    CHECK(run_until(it.loop, [&] { return !it.links.is_partitioned(); }));
}

TEST_CASE("one silent link has the idle ones checked")
{
    fixture it;
    other_node first(it.loop, serve);
    other_node second(it.loop, serve);
    it.serve_one(first);
    it.serve_one(second);
    first.line.set_line(soak::line::silent);
    second.line.set_line(soak::line::silent);
    auto waiting = std::make_shared<run_recorder>();
    auto attempt = it.start(first, waiting, true);
    CHECK(run_until(
        it.loop, [&] { return !it.links.reachable(second.entry().name()); }));
}

// Otherwise a node that starts late is left out until the pause has passed.
TEST_CASE("an unreachable node is tried again when there is news from it")
{
    fixture it;
    other_node at(it.loop, serve);
    it.serve_one(at);
    at.line.set_line(soak::line::silent);
    at.line.reset_open();
    auto name = at.entry().name();
    REQUIRE(run_until(it.loop, [&] { return !it.links.reachable(name); }));
    // Until the pauses are long.
    REQUIRE(run_until(
        it.loop, [&] { return it.counts.at("peer_connections_opened") == 5; }));
    run_for(it.loop, std::chrono::milliseconds(500));
    at.line.set_line(soak::line::clear);
    it.links.reconnect_now(name);
    CHECK(it.counts.at("peer_connections_opened") == 6);
    CHECK(run_until(it.loop, [&] { return it.links.reachable(name); }));
    CHECK(it.counts.at("peer_connections_opened") == 6);
}

TEST_CASE("a connection without an answer is replaced when there is news")
{
    fixture it;
    other_node at(it.loop, serve);
    at.line.set_line(soak::line::silent);
    auto waiting = std::make_shared<run_recorder>();
    auto attempt = it.start(at, waiting, true);
    run_for(it.loop, std::chrono::milliseconds(100));
    at.line.set_line(soak::line::clear);
    it.links.reconnect_now(at.entry().name());
    CHECK(it.counts.at("peer_connections_opened") == 2);
    CHECK(it.links.reachable(at.entry().name()));
    it.serve_one(at);
}

TEST_CASE("a run that was never sent is known not to have run")
{
    fixture it;
    other_node at(it.loop, stay_silent);
    auto to = std::make_shared<run_recorder>();
    auto attempt = it.start(at, to, false);
    CHECK_FALSE(attempt->may_have_run());
    REQUIRE(run_until(it.loop, [&] { return at.server.heads.size() == 1; }));
    CHECK(attempt->may_have_run());
    attempt->cancel();
}

// Guards against a request that runs twice: the connection on which it was sent
// is dropped, and the one on which its result is asked for is refused.
TEST_CASE("a refused second connection does not unsay that a run was sent")
{
    fixture it;
    other_node at(it.loop, stay_silent);
    at.line.set_line(soak::line::one_way);
    auto once = std::make_shared<run_recorder>();
    auto attempt = it.start(at, once, false);
    REQUIRE(run_until(it.loop, [&] { return at.server.heads.size() == 1; }));
    at.line.stop_listening();
    // A connection that is younger than this is not dropped on news.
    run_for(it.loop, std::chrono::milliseconds(30));
    it.links.reconnect_now(at.entry().name());
    REQUIRE(run_until(it.loop, [&] { return once->done(); }));
    REQUIRE(once->failure);
    CHECK(once->failure->what.run == request::execution::may_have_run);
}

// Guards against a request that runs twice because the node that ran it has
// given up its copy of a long response.
TEST_CASE("a run whose response was not kept is not reported as not run")
{
    bool is_long = GENERATE(false, true);
    INFO(is_long);
    fixture it;
    other_node at(it.loop, [&](scripted_connection& from,
                               const std::string& head, const std::string&) {
        from.send(good_answer(head, std::string(is_long ? 100'000 : 10, 'x')));
    });
    at.line.set_line(soak::line::one_way);
    auto once = std::make_shared<run_recorder>();
    auto attempt = it.start(at, once, false);
    REQUIRE(run_until(it.loop, [&] { return at.server.heads.size() == 1; }));
    run_for(it.loop, std::chrono::milliseconds(50));
    at.line.set_line(soak::line::clear);
    it.links.reconnect_now(at.entry().name());
    REQUIRE(run_until(it.loop, [&] { return once->done(); }));
    CHECK(once->ended != is_long);
    if (is_long) {
        REQUIRE(once->failure);
        CHECK(once->failure->what.run != request::execution::not_run);
    }
}

// The executing node is sure of what never came to it.
TEST_CASE("a run that was lost on its way is known not to have run")
{
    fixture it;
    other_node at(it.loop, serve);
    at.line.set_line(soak::line::silent);
    auto once = std::make_shared<run_recorder>();
    auto attempt = it.start(at, once, false);
    run_for(it.loop, std::chrono::milliseconds(50));
    CHECK(attempt->may_have_run());
    at.line.set_line(soak::line::clear);
    it.links.reconnect_now(at.entry().name());
    REQUIRE(run_until(it.loop, [&] { return once->done(); }));
    REQUIRE(once->failure);
    CHECK(once->failure->what.run == request::execution::not_run);
    CHECK(at.server.heads.empty());
}

// Guards against a request that is refused as not run and runs afterwards: its
// deadline ends while the node has not yet seen that its connection is there.
TEST_CASE("a request that is withdrawn while connecting is never sent")
{
    using connection::peer::session;
    loop::reactor loop;
    crowded_listener listener;
    auto client = session::connect(loop, listener.address(),
                                   [](const std::shared_ptr<session>&) {});
    auto request = [&](const std::string& path) {
        connection::http::header_list head;
        head.add(":method", "GET");
        head.add(":path", path);
        return client->request(head, false, std::make_shared<no_events>());
    };
    auto early = {request("/early"), request("/early")};
    run_for(loop, std::chrono::milliseconds(20));
    REQUIRE_FALSE(client->was_connected());
    for (auto stream : early)
        client->reset(stream);
    request("/late");
    listener.make_room();
    REQUIRE(run_until(loop, [&] { return client->was_connected(); }));
    std::vector<std::string> paths;
    auto server = session::accept(
        loop, listener.accept(),
        [&](const std::shared_ptr<session>&, std::int32_t,
            connection::http::header_list&& head) {
            paths.push_back(*head.find(":path"));
            return std::make_shared<no_events>();
        },
        [](const std::shared_ptr<session>&) {});
    REQUIRE(run_until(loop, [&] { return !paths.empty(); }));
    run_for(loop, std::chrono::milliseconds(20));
    CHECK(paths == std::vector<std::string>{"/late"});
    client->drop();
    server->drop();
}

TEST_CASE("an exception in the handler of a message ends its connection only")
{
    loop::reactor loop;
    scripted_server server(loop, serve);
    local_node node(loop, server.address());
    peer_server peers(
        loop, node.executor,
        [] {
            return peer_server::identity{1, 1};
        },
        [](std::string_view, const std::string& body) -> std::string {
            if (body == "bad")
                throw std::runtime_error("unexpected");
            return "good";
        },
        [](std::uint64_t) {});
    REQUIRE(peers.listen({"127.0.0.1", 0}).empty());
    peer_address to{"127.0.0.1", peers.port()};
    fixture bad;
    std::optional<std::string> reply = "unset";
    bool done = false;
    auto send = [&](const std::string& body) {
        done = false;
        // Each message over a connection of its own.
        peer_links links(loop, bad.counts, bad.view, bad.load_balancer);
        links.call(to, peer_path::crash, body, std::chrono::seconds(5),
                   [&](const std::optional<std::string>& it) {
                       reply = it;
                       done = true;
                   });
        REQUIRE(run_until(loop, [&] { return done; }));
        links.close();
    };
    send("bad");
    CHECK_FALSE(reply);
    send("fine");
    CHECK(reply == std::string("good"));
}

// Guards against part of a reply that is taken for all of it.
TEST_CASE("a reply over the limit is no reply")
{
    // The limit is 4 MB. What is left out must not be a piece in the middle,
    // either.
    constexpr std::size_t size = std::size_t{4} * 1024 * 1024 + 1;
    fixture it;
    scripted_server server(it.loop, serve);
    local_node node(it.loop, server.address());
    peer_server peers(
        it.loop, node.executor,
        [] {
            return peer_server::identity{1, 1};
        },
        [](std::string_view, const std::string&) {
            return std::string(size, 'x');
        },
        [](std::uint64_t) {});
    REQUIRE(peers.listen({"127.0.0.1", 0}).empty());
    std::optional<std::string> got = "unset";
    bool done = false;
    it.links.call({"127.0.0.1", peers.port()}, peer_path::crash, "",
                  std::chrono::seconds(30),
                  [&](const std::optional<std::string>& text) {
                      got = text;
                      done = true;
                  });
    REQUIRE(run_until(it.loop, [&] { return done; }));
    bool has_reply = got.has_value();
    CHECK_FALSE(has_reply);
    it.links.close();
}

// What the connection can't take stays in the streams, so that the end of a
// long body does not delay what other streams send.
TEST_CASE("long bodies fill the queue of a connection only in part")
{
    using connection::peer::session;
    using connection::peer::stream_close;
    using connection::peer::stream_events;
    struct collector final : stream_events {
        void on_data(std::string_view bytes) override { got += bytes.size(); }
        void on_end() override { ended = true; }
        void on_closed(stream_close) override {}
        std::size_t got = 0;
        bool ended = false;
    };
    loop::reactor loop;
    std::shared_ptr<session> server_side;
    auto long_body = std::string(60'000, 'x');
    connection::net::tcp_listener listener(loop, [&](int fd) {
        server_side = session::accept(
            loop, fd,
            [&](const std::shared_ptr<session>& from, std::int32_t stream,
                connection::http::header_list&&) {
                connection::http::header_list head;
                head.add(":status", "200");
                from->respond(stream, head, true);
                from->send_data(stream, long_body);
                from->end_data(stream);
                return std::make_shared<collector>();
            },
            [](const std::shared_ptr<session>&) {});
    });
    REQUIRE(listener.listen({"127.0.0.1", 0}).empty());
    auto client = session::connect(loop, {"127.0.0.1", listener.port()},
                                   [](const std::shared_ptr<session>&) {});
    // More than the kernel holds for a connection on loopback.
    constexpr int streams = 400;
    std::vector<std::shared_ptr<collector>> all;
    for (int n = 0; n < streams; ++n) {
        all.push_back(std::make_shared<collector>());
        connection::http::header_list head;
        head.add(":method", "GET");
        head.add(":path", "/run");
        client->request(head, false, all.back());
    }
    REQUIRE(run_until(loop, [&] { return server_side != nullptr; }));
    // The client sends its requests, and does not read.
    run_for(loop, std::chrono::milliseconds(5));
    client->pause_reading();
    std::size_t most = 0;
    for (int n = 0; n < 50; ++n) {
        run_for(loop, std::chrono::milliseconds(2));
        most = std::max(most, server_side->unsent());
    }
    CHECK(most <= 2 * session::max_queued_bytes);
    client->resume_reading();
    CHECK(run_until(loop, [&] {
        return std::all_of(all.begin(), all.end(),
                           [](const auto& it) { return it->ended; });
    }));
    for (const auto& it : all)
        CHECK(it->got == long_body.size());
    client->drop();
    server_side->drop();
}

} // namespace shallotwood::test
