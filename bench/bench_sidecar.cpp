// Cost of the decisions of the platform's node, against the size of what each
// looks at.
#include "process/fleet/watcher_election.hpp"
#include "process/load/admission_controller.hpp"
#include "process/load/crash_suspects.hpp"
#include "process/rate/token_cache.hpp"
#include "process/routing/load_balancer.hpp"
#include "process/sidecar/peer_codec.hpp"
#include "support/virtual_loop.hpp"

#include <benchmark/benchmark.h>

namespace shallotwood::process
{

namespace
{

constexpr std::int64_t most = 10'000;

fleet::instance server(std::int64_t n)
{
    fleet::instance it;
    it.peer = {"10.0." + std::to_string(n / 250) + '.' +
                   std::to_string(n % 250 + 1),
               7000};
    it.failure_domain = "d" + std::to_string(n % 7);
    it.incarnation = 1;
    it.service = "s";
    it.backend_id = "b";
    it.state = fleet::backend_state::ready;
    it.slots = 50;
    return it;
}

// A call that finds all slots taken and so many waiting, and its end.
void queue_and_run(benchmark::State& state)
{
    test::virtual_loop loop;
    load::admission_controller admission_controller(loop, loop);
    auto waiting = state.range(0);
    admission_controller.set_slots(static_cast<int>(waiting));
    std::uint64_t id = 0;
    auto arrive = [&] {
        load::admission_request it;
        it.id = ++id;
        it.key = static_cast<load::shed_key>(id * 2654435761U % 1000);
        it.latest_start = loop.now() + std::chrono::hours(1);
        admission_controller.arrive(it, [](load::admission_decision) {});
    };
    for (std::int64_t n = 0; n < 2 * waiting; ++n)
        arrive();
    for (auto it : state) {
        (void)it;
        arrive();
        admission_controller.finished(std::chrono::milliseconds(10));
    }
}
BENCHMARK(queue_and_run)->Range(10, most);

void choose_instance(benchmark::State& state)
{
    test::virtual_loop loop;
    random_source random(1);
    fleet::fleet_view fleet(server(0));
    for (std::int64_t n = 1; n < state.range(0); ++n)
        fleet.learn(server(n));
    routing::load_balancer load_balancer(loop, random, fleet, "d1");
    for (auto it : state) {
        (void)it;
        const auto* at = load_balancer.choose("s", "r", {});
        auto name = at->name();
        load_balancer.sent(name);
        load_balancer.ended(name, "r", routing::attempt_outcome::served,
                            std::chrono::milliseconds(5));
    }
}
BENCHMARK(choose_instance)->Range(10, 1000);

void choose_watchers(benchmark::State& state)
{
    test::virtual_loop loop;
    fleet::fleet_view fleet(server(0));
    for (std::int64_t n = 1; n < state.range(0); ++n)
        fleet.learn(server(n));
    fleet::watcher_election duty(loop, fleet, "config/main",
                                 [](const std::string&) { return true; });
    for (auto it : state) {
        (void)it;
        benchmark::DoNotOptimize(duty.is_watcher());
    }
}
BENCHMARK(choose_watchers)->Range(10, most);

class generous_source final : public rate::token_source
{
public:
    void request_tokens(
        const std::string&, int wanted,
        std::function<void(std::optional<rate::grant>)> reply) override
    {
        reply(rate::grant{wanted, duration(0)});
    }
    void report_spent(const rate::spent_tokens&) override {}
    double fallback_share() const override { return 1; }
};

void charge_rate(benchmark::State& state)
{
    test::virtual_loop loop;
    generous_source source;
    counters counts;
    rate::token_cache token_cache(loop, source, counts);
    std::vector<std::string> names;
    for (std::int64_t n = 0; n < state.range(0); ++n)
        names.push_back("workspace-" + std::to_string(n));
    std::size_t next = 0;
    for (auto it : state) {
        (void)it;
        token_cache.acquire_token(names[next], {100, 100}, [](auto) {});
        next = (next + 1) % names.size();
    }
}
BENCHMARK(charge_rate)->Range(10, most);

void judge_suspect(benchmark::State& state)
{
    test::virtual_loop loop;
    load::crash_suspects table(loop);
    std::vector<load::fingerprint> all;
    for (std::int64_t n = 0; n < state.range(0); ++n)
        all.push_back(static_cast<load::fingerprint>(n));
    table.record_crash("c", all);
    const std::string body(1000, 'b');
    for (auto it : state) {
        (void)it;
        auto print = load::fingerprint_of("w", "POST", "/path/of/it", body);
        benchmark::DoNotOptimize(table.is_refused(print));
    }
}
BENCHMARK(judge_suspect)->Range(10, most);

// The head of a run, as it goes from node to node.
void pass_head(benchmark::State& state)
{
    request::attempt_request what;
    what.request_id = "0123456789abcdef";
    what.attempt_id = "10.0.0.1:7000/1784728374850/17";
    what.route = "route";
    what.service = "s";
    what.workspace = "w";
    what.head.method = "GET";
    what.head.target = "/path?of=it";
    what.head.headers.add("Host", "host.example");
    what.head.headers.add("Accept", "*/*");
    what.body = std::make_shared<request::upload>(std::nullopt);
    for (auto it : state) {
        (void)it;
        benchmark::DoNotOptimize(
            sidecar::attempt_from_headers(sidecar::to_headers(what)));
    }
}
BENCHMARK(pass_head);

} // namespace

} // namespace shallotwood::process

BENCHMARK_MAIN();
