#include "process/sidecar/node_settings.hpp"
#include "sidecar/support/live_loop.hpp"
#include "sidecar/support/local_node.hpp"
#include "sidecar/support/run_recorder.hpp"
#include "sidecar/support/small_fleet.hpp"

#include <catch2/catch.hpp>

namespace shallotwood::test
{

using namespace process;
using namespace process::sidecar;
using std::chrono::milliseconds;

namespace
{

constexpr double rate = 12;

void serve(scripted_connection& from, const std::string& head,
           const std::string&)
{
    from.send(good_answer(head, "whole"));
}

// What a cold server may get in the time, with the bound of small_fleet.
std::size_t allowed(duration elapsed)
{
    auto seconds = std::chrono::duration<double>(elapsed).count();
    return static_cast<std::size_t>(rate * std::max(seconds, 1.0) * 1.5 + 8);
}

// Sends ten requests every 40 ms; returns how many the server got.
constexpr int wave = 10;
constexpr duration wave_period = milliseconds(40);

std::size_t flood(small_fleet& fleet, small_fleet::instance& entry,
                  small_fleet::instance& to, duration time)
{
    auto before = to.backend->heads.size();
    std::vector<std::unique_ptr<answer_recorder>> events;
    std::vector<std::shared_ptr<connection::http::client_connection>> calls;
    for (duration gone{}; gone < time; gone += wave_period) {
        for (int n = 0; n < wave; ++n) {
            events.push_back(std::make_unique<answer_recorder>());
            calls.push_back(fleet.start_request(entry, "s", *events.back()));
        }
        run_for(fleet.loop, wave_period);
    }
    for (auto& it : calls)
        it->close();
    return to.backend->heads.size() - before;
}

} // namespace

// Guards against a node that does not join announcement, policy and admission,
// and against a new process that knows nothing of the cold time.
TEST_CASE("a server that announces that it is cold gets its rate")
{
    small_fleet fleet;
    fleet.cold_rate = rate;
    auto& entry = fleet.add("front", serve);
    auto& cold = fleet.add("s", serve);
    fleet.write_policy(1, {"front", "s"}, "idempotent");
    fleet.settle(1);
    CHECK(flood(fleet, entry, cold, milliseconds(800)) >= 150);
    fleet.announce(cold, "ready", 8.0);
    run_for(fleet.loop, milliseconds(200));
    CHECK(flood(fleet, entry, cold, milliseconds(800)) <=
          allowed(milliseconds(800)));
    auto metrics = fleet.metrics(cold);
    CHECK(metrics.find("shallotwood_cold_starts 1") != std::string::npos);
    CHECK(metrics.find("shallotwood_backend_cold_ms 0") == std::string::npos);
    fleet.restart(cold);
    fleet.announce(cold, "ready", 6.0);
    fleet.settle(1);
    CHECK(flood(fleet, entry, cold, milliseconds(800)) <=
          allowed(milliseconds(800)));
    // A new start that says nothing of it.
    ++cold.born;
    fleet.announce(cold, "ready");
    run_for(fleet.loop, milliseconds(200));
    CHECK(flood(fleet, entry, cold, milliseconds(800)) <=
          allowed(milliseconds(800)));
}

// Guards against entry nodes that shed nearly all, or pass a call from one cold
// server to the next, when a whole service is cold.
TEST_CASE("a service that is cold as a whole serves at its rate")
{
    small_fleet fleet;
    fleet.cold_rate = rate;
    auto& entry = fleet.add("front", serve);
    auto& one = fleet.add("s", serve);
    auto& two = fleet.add("s", serve);
    fleet.write_policy(1, {"front", "s"}, "idempotent");
    fleet.settle(1);
    fleet.announce(one, "ready", 20.0);
    fleet.announce(two, "ready", 20.0);
    run_for(fleet.loop, milliseconds(200));
    auto start = fleet.loop.now();
    auto before = one.backend->heads.size() + two.backend->heads.size();
    flood(fleet, entry, one, milliseconds(3000));
    auto elapsed = fleet.loop.now() - start;
    auto runs = one.backend->heads.size() + two.backend->heads.size() - before;
    CHECK(runs <= 2 * allowed(elapsed));
    CHECK(static_cast<double>(runs) >=
          0.7 * 2 * rate * std::chrono::duration<double>(elapsed).count());
    // A refusal names a time. A call that still waits at its deadline ends with
    // 504, because its entry node can't know that it has not run.
    start = fleet.loop.now();
    std::vector<answer_recorder> events(60);
    std::vector<std::shared_ptr<connection::http::client_connection>> calls;
    for (auto& it : events) {
        calls.push_back(fleet.open_connection(entry));
        fleet.send_request(*calls.back(), "s", milliseconds(200), it);
    }
    REQUIRE(run_until(fleet.loop, [&] {
        return std::all_of(events.begin(), events.end(),
                           [](const auto& it) { return it.ended; });
    }));
    CHECK(fleet.loop.now() - start < milliseconds(500));
    for (const auto& it : events) {
        auto status = it.answer.status;
        CHECK((status == 200 || status == 503 || status == 504));
        if (it.answer.status == 503)
            CHECK(it.answer.headers.find("Retry-After") != nullptr);
    }
}

// Guards against a limit on deployments whose configuration names no rate.
TEST_CASE("without a cold rate a cold server is served as before")
{
    small_fleet fleet;
    auto& entry = fleet.add("front", serve);
    auto& cold = fleet.add("s", serve);
    fleet.write_policy(1, {"front", "s"}, "idempotent");
    fleet.settle(1);
    fleet.announce(cold, "ready", 8.0);
    CHECK(flood(fleet, entry, cold, milliseconds(800)) >= 150);
    CHECK(fleet.metrics(cold).find("cold_starts") == std::string::npos);
}

// Guards against a burst on a server that has restarted under the same id and
// has not announced itself yet: all that its broken connections carried would
// be sent again at once.
TEST_CASE("a server whose connections break together counts as restarted")
{
    loop::reactor loop;
    bool answers = true;
    std::vector<std::shared_ptr<scripted_connection>> open;
    scripted_server server(loop, [&](scripted_connection& from,
                                     const std::string& head,
                                     const std::string&) {
        if (answers) {
            from.send(good_answer(head, "whole"));
            return;
        }
        open.push_back(std::static_pointer_cast<scripted_connection>(
            from.shared_from_this()));
    });
    local_node node(loop, server.address());
    node.executor.set_cold_bound({1.5, 8});
    node.executor.set_cold_policy({rate, std::chrono::seconds(4)});
    int last = 0;
    std::vector<std::shared_ptr<run_recorder>> runs;
    auto start = [&](int count) {
        for (int n = 0; n < count; ++n) {
            runs.push_back(std::make_shared<run_recorder>());
            auto what = run_on_s(std::to_string(++last), true);
            what.request_id = "r" + std::to_string(last);
            node.executor.start(what, runs.back());
        }
    };
    auto all_done = [&] {
        return std::all_of(runs.begin(), runs.end(),
                           [](const auto& it) { return it->done(); });
    };
    // Leaves kept connections, so that the next runs reuse them.
    start(3);
    REQUIRE(run_until(loop, all_done));
    CHECK(node.executor.cold().phase() == load::cold_phase::warm);
    answers = false;
    start(3);
    REQUIRE(run_until(loop, [&] { return open.size() == 3; }));
    answers = true;
    for (auto& it : open)
        it->abort();
    open.clear();
    run_for(loop, milliseconds(20));
    CHECK(node.executor.cold().phase() == load::cold_phase::cold);
    CHECK(node.executor.cold().cause() == load::cold_cause::restart_suspected);
    // One was sent again before the others broke.
    CHECK(server.heads.size() <= 7);
    auto before = server.heads.size();
    start(30);
    run_for(loop, milliseconds(500));
    CHECK(server.heads.size() - before <= rate * 0.5 + 4);
}

TEST_CASE("the bound of a cold server is an optional setting")
{
    const std::string text = R"(name = "n"
failure_domain = "d"
service = "s"
backend_address = "127.0.0.1:1"
caller_address = "127.0.0.1:2"
peer_address = "127.0.0.1:3"
announce_address = "127.0.0.1:4"
readiness_address = "127.0.0.1:5"
metrics_address = "127.0.0.1:6"
platform_address = "127.0.0.1:7"
retry_ratio = 0.2
retry_allowance = 50
retry_window = 10
shutdown_limit = 6
isolation_limit = 5
max_descriptors = 1024
)";
    auto without = parse_node_settings(text);
    REQUIRE(std::holds_alternative<node_settings>(without));
    CHECK_FALSE(std::get<node_settings>(without).cold_excess);
    auto with =
        parse_node_settings(text + "cold_excess = 1.5\ncold_slack = 8\n");
    REQUIRE(std::holds_alternative<node_settings>(with));
    CHECK(std::get<node_settings>(with).cold_excess == 1.5);
    CHECK(std::get<node_settings>(with).cold_slack == 8);
    CHECK(std::holds_alternative<settings_error>(
        parse_node_settings(text + "cold_slack = \"8\"\n")));
}

} // namespace shallotwood::test
