#include "process/sidecar/cross_domain_traffic.hpp"
#include "process/sidecar/peer_links.hpp"
#include "process/sidecar/peer_server.hpp"
#include "sidecar/support/live_loop.hpp"
#include "sidecar/support/local_node.hpp"
#include "sidecar/support/run_recorder.hpp"
#include "sidecar/support/scripted_server.hpp"
#include "sidecar/support/small_fleet.hpp"

#include <catch2/catch.hpp>

namespace shallotwood::test
{

using namespace process;
using namespace process::sidecar;

namespace
{

void serve(scripted_connection& from, const std::string& head,
           const std::string&)
{
    from.send(good_answer(head, std::string(1000, 'x')));
}

std::uint64_t bytes_of(counters& counts, const std::string& purpose,
                       const std::string& direction)
{
    return counts.at("cross_domain_bytes", "purpose=\"" + purpose +
                                               "\",direction=\"" + direction +
                                               '"');
}

// A client and a server that count, each for itself.
class fixture
{
public:
    explicit fixture(const std::string& server_domain)
        : server(loop, serve), node(loop, server.address()),
          peers(
              loop, node.executor,
              [] {
                  return peer_server::identity{1, 1};
              },
              [](std::string_view, const std::string& body) { return body; },
              [](std::uint64_t) {}),
          server_traffic(server_counts, server_domain), view(self()),
          load_balancer(loop, random, view, "d"), traffic(counts, "d"),
          links(loop, counts, view, load_balancer)
    {
        peers.set_traffic(server_traffic);
        links.set_traffic(traffic);
        REQUIRE(peers.listen({"127.0.0.1", 0}).empty());
        at.peer = {"127.0.0.1", peers.port()};
        at.failure_domain = server_domain;
        at.service = "s";
        at.state = fleet::backend_state::ready;
    }
    ~fixture()
    {
        links.close();
        peers.close();
    }

    static fleet::instance self()
    {
        fleet::instance it;
        it.peer = {"127.0.0.1", 1};
        it.failure_domain = "d";
        return it;
    }

    void run(bool with_speeds)
    {
        auto to = std::make_shared<run_recorder>();
        auto what = run_on_s("a" + std::to_string(++last_), true);
        if (with_speeds)
            what.speeds = {{"127.0.0.1:99", std::chrono::milliseconds(70),
                            std::chrono::milliseconds(20), 123456789}};
        auto attempt = links.start(at, what, to);
        REQUIRE(run_until(loop, [&] { return to->done(); }));
        REQUIRE(to->ended);
    }

    void ask(std::string_view path)
    {
        bool done = false;
        links.call(at.peer, path, std::string(500, 'y'),
                   std::chrono::seconds(5),
                   [&](const std::optional<std::string>&) { done = true; });
        REQUIRE(run_until(loop, [&] { return done; }));
    }

    loop::reactor loop;
    scripted_server server;
    local_node node;
    peer_server peers;
    counters server_counts;
    cross_domain_traffic server_traffic;
    counters counts;
    random_source random{1};
    fleet::fleet_view view;
    routing::load_balancer load_balancer;
    cross_domain_traffic traffic;
    peer_links links;
    fleet::instance at;

private:
    int last_ = 0;
};

} // namespace

// Bytes that are missing at one end are on the bill, but not in the counts.
TEST_CASE("both ends count the same bytes for each purpose")
{
    fixture it("e");
    it.view.learn(it.at);
    it.run(true);
    it.run(false);
    it.ask(peer_path::tokens);
    it.ask(peer_path::fleet);
    it.ask(peer_path::policy);
    it.ask(peer_path::probe);
    for (const char* purpose : {"request", "response", "speeds", "tokens",
                                "fleet", "policy", "probe"}) {
        INFO(purpose);
        auto sent = bytes_of(it.counts, purpose, "sent");
        auto received = bytes_of(it.counts, purpose, "received");
        CHECK(sent == bytes_of(it.server_counts, purpose, "received"));
        CHECK(received == bytes_of(it.server_counts, purpose, "sent"));
        CHECK(sent + received > 0);
    }
    CHECK(bytes_of(it.counts, "response", "received") > 2000);
    CHECK(bytes_of(it.counts, "response", "sent") == 0);
    CHECK(bytes_of(it.counts, "request", "received") == 0);
    CHECK(bytes_of(it.counts, "tokens", "sent") > 500);
    CHECK(bytes_of(it.counts, "tokens", "received") > 500);
    CHECK(bytes_of(it.counts, "speeds", "sent") > 15);
}

// What repeats must show as compressed, or a change of it has no effect.
TEST_CASE("compressed heads are counted as sent")
{
    fixture it("e");
    it.view.learn(it.at);
    it.run(false);
    auto first = bytes_of(it.counts, "request", "sent");
    it.run(false);
    CHECK(bytes_of(it.counts, "request", "sent") - first < first);
}

TEST_CASE("a service time that the other end knows does not cross again")
{
    fixture it("e");
    it.view.learn(it.at);
    it.run(true);
    auto first = bytes_of(it.counts, "speeds", "sent");
    CHECK(first > 0);
    it.run(true);
    CHECK(bytes_of(it.counts, "speeds", "sent") == first);
}

TEST_CASE("traffic in the own failure domain is not counted")
{
    fixture it("d");
    it.view.learn(it.at);
    it.run(true);
    it.ask(peer_path::fleet);
    for (const char* purpose : {"request", "response", "fleet", "other"})
        for (auto* counts : {&it.counts, &it.server_counts}) {
            CHECK(bytes_of(*counts, purpose, "sent") == 0);
            CHECK(bytes_of(*counts, purpose, "received") == 0);
        }
}

// The first request carries the failure domain; the server must learn it from
// the next one.
TEST_CASE("a first request that is withdrawn leaves nothing uncounted")
{
    fixture it("e");
    it.view.learn(it.at);
    auto to = std::make_shared<run_recorder>();
    it.links.start(it.at, run_on_s("withdrawn", true), to)->cancel();
    it.run(false);
    CHECK(bytes_of(it.server_counts, "request", "received") > 0);
}

// A node of the seeds is asked before its failure domain is known.
TEST_CASE("bytes to a node that becomes known later are counted")
{
    fixture it("e");
    it.ask(peer_path::fleet);
    CHECK(bytes_of(it.counts, "fleet", "sent") == 0);
    it.view.learn(it.at);
    CHECK(run_until(it.loop, [&] {
        return bytes_of(it.counts, "fleet", "sent") > 500 &&
               bytes_of(it.counts, "fleet", "received") > 500;
    }));
}

} // namespace shallotwood::test
