// Placing by expected time when each node alone calls an instance too seldom to
// know it: hundreds of nodes, a deep service of servers of unlike speed, and
// requests that make eight calls to it.
#include "process/load/service_times.hpp"
#include "process/routing/load_balancer.hpp"
#include "process/sidecar/peer_codec.hpp"
#include "support/virtual_loop.hpp"

#include <catch2/catch.hpp>
#include <map>
#include <set>

namespace shallotwood::test
{

using namespace process;
using routing::attempt_outcome;
using routing::instance_speed;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr int domains = 6;
constexpr int slots = 79;

fleet::instance entry_of(int number, const std::string& service)
{
    fleet::instance it;
    it.peer = {"10.0." + std::to_string(number / 250) + '.' +
                   std::to_string(number % 250 + 1),
               7000};
    it.failure_domain = "d" + std::to_string(number % domains);
    it.incarnation = 1;
    it.service = service;
    it.state = fleet::backend_state::ready;
    it.slots = slots;
    return it;
}

// A node; some have a backend server of the deep service beside them.
struct model_node {
    model_node(virtual_loop& loop, int number, const std::string& service)
        : random(static_cast<std::uint64_t>(number) + 1),
          view(entry_of(number, service)),
          balancer(loop, random, view, view.self().failure_domain), times(loop)
    {
    }

    random_source random;
    fleet::fleet_view view;
    routing::load_balancer balancer;
    // Of the backend server.
    load::service_times times;
    duration service_time{};
    int running = 0;
    int calls = 0;
};

class model_fleet
{
public:
    model_fleet(int nodes, int deep_servers) : random_(7)
    {
        for (int n = 0; n < nodes; ++n)
            nodes_.push_back(std::make_unique<model_node>(
                loop, n, n < deep_servers ? "deep" : "front"));
        for (auto& it : nodes_)
            for (int n = 0; n < deep_servers; ++n)
                it->view.learn(entry_of(n, "deep"));
        for (int n = 0; n < deep_servers; ++n)
            by_name_[node(n).view.self().name()] = nodes_[n].get();
    }

    model_node& node(int number)
    {
        return *nodes_[static_cast<std::size_t>(number)];
    }

    // Requests a second over all nodes, each entering anywhere. A request is
    // served if two branches of four calls, one after the other, end in time.
    void start_requests(double per_second)
    {
        auto gap =
            static_cast<duration::rep>(2e6 / per_second * random_.unit());
        loop.call_after(duration(gap), [this, per_second] {
            start_requests(per_second);
            auto at = random_.below(nodes_.size());
            auto open = std::make_shared<int>(2);
            auto failed = std::make_shared<bool>(false);
            auto deadline = loop.now() + seconds(1);
            for (int branch = 0; branch < 2; ++branch)
                call(*nodes_[at], 4, deadline, [this, open, failed](bool ok) {
                    *failed |= !ok;
                    if (--*open > 0)
                        return;
                    ++requests;
                    served += *failed ? 0 : 1;
                });
        });
    }

    double share_served()
    {
        double share = double(served) / requests;
        served = requests = 0;
        return share;
    }

    // Calls by server since the last question.
    std::vector<int> take_calls()
    {
        std::vector<int> calls;
        for (auto& it : nodes_)
            if (it->view.self().service == "deep")
                calls.push_back(std::exchange(it->calls, 0));
        return calls;
    }

    virtual_loop loop;
    bool share_speeds = true;
    int requests = 0;
    int served = 0;

private:
    void call(model_node& from, int more, time_point deadline,
              const std::function<void(bool)>& done)
    {
        auto remaining = deadline - loop.now();
        if (remaining < milliseconds(5)) {
            done(false);
            return;
        }
        const auto* at = from.balancer.choose("deep", "r", {}, remaining);
        auto name = at->name();
        auto& to = *by_name_.at(name);
        from.balancer.sent(name);
        ++to.calls;
        if (share_speeds)
            for (const auto& it :
                 from.balancer.speeds().select("deep", "r", name))
                to.balancer.speeds().record("deep", "r", it);
        auto started = loop.now();
        to.times.record_start("r", started);
        ++to.running;
        auto took = duration(static_cast<duration::rep>(
            double(to.service_time.count()) * (0.6 + 0.8 * random_.unit())));
        bool late = took > remaining;
        loop.call_after(
            std::min(took, remaining),
            [this, &from, &to, name, started, late, more, deadline, done] {
                --to.running;
                to.times.record_end("r", started);
                reply(from, to, name);
                from.balancer.ended(name, "r",
                                    late ? attempt_outcome::timed_out
                                         : attempt_outcome::served,
                                    loop.now() - started);
                if (late || more == 1)
                    done(!late);
                else
                    call(from, more - 1, deadline, done);
            });
    }

    void reply(model_node& from, model_node& to, const std::string& name)
    {
        routing::load_report load;
        load.running = to.running;
        load.limit = slots;
        if (share_speeds) {
            load.route_time = to.times.estimate("r");
            load.stamp_ms = static_cast<std::uint64_t>(
                loop.now().time_since_epoch().count() / 1000);
        }
        from.balancer.report(name, load);
        from.balancer.record_speed(name, "deep", "r", load);
        if (share_speeds)
            for (const auto& it : to.balancer.speeds().select("deep", "r", {}))
                from.balancer.speeds().record("deep", "r", it);
    }

    random_source random_;
    std::vector<std::unique_ptr<model_node>> nodes_;
    std::map<std::string, model_node*> by_name_;
};

double share_of(const std::vector<int>& calls, int first, int last)
{
    double chosen = 0;
    double all = 0;
    for (int n = 0; n < static_cast<int>(calls.size()); ++n) {
        all += calls[static_cast<std::size_t>(n)];
        if (n >= first && n < last)
            chosen += calls[static_cast<std::size_t>(n)];
    }
    return chosen / all;
}

} // namespace

TEST_CASE("a fleet of many nodes leaves the slow servers of a deep service")
{
    auto nodes = GENERATE(15, 196, 300);
    model_fleet it(nodes, 13);
    for (int n = 0; n < 13; ++n)
        it.node(n).service_time = milliseconds(n < 3 ? 250 : 110);
    it.start_requests(155);
    it.loop.advance(seconds(3));
    it.take_calls();
    it.share_served();
    it.loop.advance(seconds(10));
    auto calls = it.take_calls();
    INFO("nodes " << nodes);
    // Three of thirteen would get 0.23.
    CHECK(share_of(calls, 0, 3) < 0.06);
    CHECK(it.share_served() > 0.98);
    // No herd: among the others no server gets twice its part.
    auto most = *std::max_element(calls.begin(), calls.end());
    int all = 0;
    for (auto n : calls)
        all += n;
    CHECK(most < all * 2 / 10);
}

TEST_CASE("a deep service of which many servers turn slow is served by others")
{
    model_fleet it(196, 15);
    for (int n = 0; n < 15; ++n)
        it.node(n).service_time = milliseconds(110);
    it.start_requests(155);
    it.loop.advance(seconds(5));
    for (int n = 0; n < 6; ++n)
        it.node(n).service_time = milliseconds(1320);
    it.loop.advance(milliseconds(1500));
    it.take_calls();
    it.share_served();
    it.loop.advance(seconds(8));
    CHECK(share_of(it.take_calls(), 0, 6) < 0.03);
    CHECK(it.share_served() > 0.9);
    // They are used again when they have recovered, and not all at once.
    for (int n = 0; n < 6; ++n)
        it.node(n).service_time = milliseconds(110);
    it.loop.advance(seconds(12));
    it.take_calls();
    it.share_served();
    it.loop.advance(seconds(5));
    CHECK(share_of(it.take_calls(), 0, 6) > 0.25);
    CHECK(it.share_served() > 0.98);
}

// What a node knew without the others' statements.
TEST_CASE("a fleet of many nodes without shared speeds", "[.figures]")
{
    model_fleet it(196, 13);
    it.share_speeds = false;
    for (int n = 0; n < 13; ++n)
        it.node(n).service_time = milliseconds(n < 3 ? 250 : 110);
    it.start_requests(155);
    it.loop.advance(seconds(3));
    it.take_calls();
    it.share_served();
    it.loop.advance(seconds(10));
    WARN("to the slow " << share_of(it.take_calls(), 0, 3) << ", served "
                        << it.share_served());
}

TEST_CASE("a call goes where it can still be answered in time")
{
    virtual_loop loop;
    random_source random(1);
    fleet::fleet_view view(entry_of(0, "front"));
    routing::load_balancer balancer(loop, random, view, "d1");
    auto slow = entry_of(1, "deep");
    auto busy = entry_of(2, "deep");
    view.learn(slow);
    view.learn(busy);
    balancer.record_speed(slow.name(), "deep", "r",
                          {0,
                           0,
                           slots,
                           {},
                           0,
                           load::no_shed_threshold,
                           {},
                           milliseconds(140),
                           1});
    routing::load_report full{
        slots, 40, slots, {}, 0, load::no_shed_threshold, {}, milliseconds(100),
        1};
    balancer.report(busy.name(), full);
    balancer.record_speed(busy.name(), "deep", "r", full);
    CHECK(balancer.choose("deep", "r", {}, seconds(1))->name() == slow.name());
    CHECK(balancer.choose("deep", "r", {}, milliseconds(120))->name() ==
          busy.name());
}

// In an overload, a queue at the fast ones would shed calls while a slow one
// has free slots.
TEST_CASE("a free slot of a slow server goes before a queue at a fast one")
{
    virtual_loop loop;
    random_source random(1);
    fleet::fleet_view view(entry_of(0, "front"));
    routing::load_balancer balancer(loop, random, view, "d1");
    auto slow = entry_of(1, "deep");
    auto fast = entry_of(2, "deep");
    view.learn(slow);
    view.learn(fast);
    auto report = [&](const fleet::instance& it, int running, duration time) {
        routing::load_report load{
            running, 0, slots, {}, 0, load::no_shed_threshold, {}, time, 1};
        balancer.report(it.name(), load);
        balancer.record_speed(it.name(), "deep", "r", load);
    };
    report(slow, 0, milliseconds(400));
    report(fast, slots / 2, milliseconds(100));
    CHECK(balancer.choose("deep", "r", {})->name() == fast.name());
    report(fast, slots, milliseconds(100));
    CHECK(balancer.choose("deep", "r", {})->name() == slow.name());
}

// A link may be slow though the backend server is not.
TEST_CASE("an instance behind a slow link is left by the node that has it")
{
    virtual_loop loop;
    random_source random(1);
    fleet::fleet_view view(entry_of(0, "front"));
    routing::load_balancer balancer(loop, random, view, "d1");
    auto near = entry_of(1, "deep");
    auto far = entry_of(2, "deep");
    view.learn(near);
    view.learn(far);
    for (const auto& it : {near, far}) {
        balancer.record_speed(it.name(), "deep", "r",
                              {0,
                               0,
                               slots,
                               {},
                               0,
                               load::no_shed_threshold,
                               {},
                               milliseconds(20),
                               1});
        balancer.sent(it.name());
    }
    balancer.ended(near.name(), "r", attempt_outcome::served,
                   milliseconds(400));
    balancer.ended(far.name(), "r", attempt_outcome::served, milliseconds(22));
    for (int n = 0; n < 20; ++n)
        CHECK(balancer.choose("deep", "r", {})->name() == far.name());
}

TEST_CASE("a statement of speed is replaced by later ones only, and expires")
{
    virtual_loop loop;
    random_source random(1);
    fleet::fleet_view view(entry_of(0, "front"));
    routing::speed_board board(loop, random, view);
    auto it = entry_of(1, "deep");
    view.learn(it);
    auto known = [&] { return board.times("deep", "r").of(it.name()); };
    board.record("deep", "r", {it.name(), milliseconds(50), {}, 10});
    CHECK(known() == milliseconds(50));
    // The same statement by way of other nodes, and an earlier one.
    loop.advance(seconds(2));
    board.record("deep", "r", {it.name(), milliseconds(50), {}, 10});
    board.record("deep", "r", {it.name(), milliseconds(70), {}, 9});
    CHECK(known() == milliseconds(50));
    loop.advance(seconds(14));
    CHECK(known() == duration(0));
    // The instance's clock may start anew.
    board.record("deep", "r", {it.name(), milliseconds(30), {}, 1});
    CHECK(known() == milliseconds(30));
    // Of no instance of the service.
    board.record("other", "r", {it.name(), milliseconds(30), {}, 2});
    board.record("deep", "r", {"nobody:1", milliseconds(30), {}, 2});
    CHECK(board.select("deep", "r", {}).size() == 1);
    CHECK(board.select("deep", "r", it.name()).empty());
}

TEST_CASE("slow instances are named first, and messages are bounded")
{
    virtual_loop loop;
    random_source random(1);
    fleet::fleet_view view(entry_of(0, "front"));
    routing::speed_board board(loop, random, view);
    for (int n = 1; n <= 1000; ++n) {
        view.learn(entry_of(n, "deep"));
        board.record("deep", "r",
                     {entry_of(n, "deep").name(),
                      milliseconds(n % 100 == 0 ? 900 : 100),
                      {},
                      1});
    }
    std::set<std::string> named;
    for (int n = 0; n < 60; ++n) {
        auto all = board.select("deep", "r", {});
        CHECK(all.size() == routing::max_shared_speeds);
        for (const auto& it : all)
            if (it.service_time == milliseconds(900))
                named.insert(it.instance);
    }
    CHECK(named.size() == 10);
}

TEST_CASE("calls that run long show a slow server before they end")
{
    virtual_loop loop;
    load::service_times times(loop);
    CHECK(times.estimate("r") == duration(0));
    for (int n = 0; n < 20; ++n) {
        auto started = loop.now();
        times.record_start("r", started);
        loop.advance(milliseconds(100));
        times.record_end("r", started);
    }
    CHECK(times.estimate("r") == milliseconds(100));
    times.record_start("r", loop.now());
    times.record_start("r", loop.now());
    loop.advance(milliseconds(50));
    CHECK(times.estimate("r") == milliseconds(100));
    loop.advance(milliseconds(350));
    CHECK(times.estimate("r") == milliseconds(400));
}

TEST_CASE("statements of speed pass between nodes; broken ones do no harm")
{
    sidecar::attempt_reply reply;
    reply.response = connection::http::response_head{};
    reply.response->status = 200;
    reply.load.route_time = milliseconds(120);
    reply.load.stamp_ms = 77;
    reply.speeds = {{"10.0.0.1:7000", milliseconds(50), milliseconds(3), 9},
                    {"10.0.0.2:7000", milliseconds(70), milliseconds(0), 8}};
    auto read = sidecar::reply_from_headers(sidecar::to_headers(reply));
    REQUIRE(read);
    CHECK(read->speeds == reply.speeds);
    CHECK(read->load.route_time == milliseconds(120));
    CHECK(read->load.stamp_ms == 77);
    for (const char* text :
         {"", ",,,,", " ", "a", "a b c d", "a -1 2 3", "x 99999999999999999999",
          "a 18446744073709551615 18446744073709551615 1",
          "a 1 1 1,b 1 1 1,c 1 1 1,d 1 1 1,e 1 1 1,f 1 1 1,g 1 1 1,h 1 1 1"}) {
        connection::http::header_list headers;
        headers.add(":status", "200");
        headers.add("sw-speeds", text);
        auto it = sidecar::reply_from_headers(std::move(headers));
        REQUIRE(it);
        CHECK(it->speeds.size() <= routing::max_shared_speeds);
    }
}

} // namespace shallotwood::test
