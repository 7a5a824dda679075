// Cost of the decisions under load against the number of workspaces, backend
// servers and queued requests.
#include "process/admission_controller.hpp"
#include "process/load_balancer.hpp"
#include "process/shed_key.hpp"
#include "process/shed_threshold_table.hpp"

#include <benchmark/benchmark.h>

namespace shallotwood::process
{

using std::chrono::microseconds;

namespace
{

// A clock that the benchmark advances; timers never fire.
class bench_loop final : public event_loop
{
public:
    time_point now() const override { return now_; }
    timer_id call_after(duration, std::function<void()>) override
    {
        return timer_id{1};
    }
    void cancel(timer_id) override {}
    void advance(duration span) { now_ += span; }

private:
    time_point now_{std::chrono::hours(1)};
};

} // namespace

static std::vector<std::string> names(const std::string& prefix,
                                      std::int64_t count)
{
    std::vector<std::string> made;
    for (std::int64_t n = 0; n < count; ++n)
        made.push_back(prefix + std::to_string(n));
    return made;
}

// Demand estimate, key and the cut of the route for a new request.
static void enter_by_workspaces(benchmark::State& state)
{
    bench_loop loop;
    demand_estimator demand(loop);
    shed_threshold_table shed_thresholds(loop);
    shed_thresholds.update_route("route", above_all_keys - 1);
    auto workspaces = names("workspace-", state.range(0));
    std::size_t n = 0;
    for (auto it : state) {
        (void)it;
        loop.advance(microseconds(10));
        const auto& workspace = workspaces[n++ % workspaces.size()];
        auto key = make_shed_key(request::importance::normal, workspace,
                                 demand.count(workspace, 100));
        benchmark::DoNotOptimize(key <
                                 shed_thresholds.route_threshold("route"));
    }
}
BENCHMARK(enter_by_workspaces)->RangeMultiplier(10)->Range(10, 10000);

// Choice, sending and answer of one call.
static void balance_by_servers(benchmark::State& state)
{
    bench_loop loop;
    random_source random(1);
    load_balancer routes(loop, random, {"domain-0", microseconds(2000)});
    std::vector<member> members;
    for (const auto& name : names("server-", state.range(0))) {
        member it;
        it.instance = name;
        it.slots = 100;
        it.failure_domain = "domain-" + std::to_string(members.size() % 3);
        members.push_back(it);
    }
    routes.assign("service", members);
    for (auto it : state) {
        (void)it;
        loop.advance(microseconds(10));
        const auto* to = routes.choose("service");
        routes.sent("service", to->instance);
        routes.answered("service", to->instance, attempt_outcome::success,
                        microseconds(1000));
    }
}
BENCHMARK(balance_by_servers)->RangeMultiplier(10)->Range(3, 3000);

static request::call_context queued_call(std::uint64_t number,
                                         const std::string& workspace)
{
    request::call_context it;
    it.attempt_id = std::to_string(number);
    it.workspace = workspace;
    it.key = make_shed_key(it.level, it.attempt_id, 1);
    return it;
}

// One arrival that is queued and one that ends, at a constant queue length.
static void admit(benchmark::State& state, std::int64_t queued,
                  std::int64_t workspace_count)
{
    bench_loop loop;
    admission_settings settings;
    settings.queue_per_slot = 2.0 * static_cast<double>(queued);
    settings.max_wait = std::chrono::hours(1);
    // No period ends, so that no cut empties the queue.
    settings.period = std::chrono::hours(1);
    admission_controller gate(loop, loop, 1, settings);
    auto workspaces = names("workspace-", workspace_count);
    std::vector<std::string> running;
    std::uint64_t n = 0;
    auto arrive = [&] {
        auto it = queued_call(n, workspaces[n % workspaces.size()]);
        ++n;
        gate.arrive(it, loop.now() + std::chrono::hours(1),
                    [&running, id = it.attempt_id](auto refusal) {
                        if (!refusal)
                            running.push_back(id);
                    });
    };
    while (gate.queued() < static_cast<std::size_t>(queued))
        arrive();
    for (auto it : state) {
        (void)it;
        loop.advance(microseconds(1));
        arrive();
        auto id = running.back();
        running.pop_back();
        gate.finished(id, true);
    }
}

static void admit_by_queued(benchmark::State& state)
{
    admit(state, state.range(0), 8);
}
BENCHMARK(admit_by_queued)->RangeMultiplier(10)->Range(10, 10000);

static void admit_by_workspaces(benchmark::State& state)
{
    admit(state, 10000, state.range(0));
}
BENCHMARK(admit_by_workspaces)->RangeMultiplier(10)->Range(1, 1000);

// With a free slot.
static void admit_at_once(benchmark::State& state)
{
    bench_loop loop;
    admission_controller gate(loop, loop, 100);
    auto it = queued_call(1, "workspace");
    for (auto step : state) {
        (void)step;
        loop.advance(microseconds(100));
        gate.arrive(it, loop.now() + std::chrono::seconds(1), [](auto) {});
        gate.finished(it.attempt_id, true);
    }
}
BENCHMARK(admit_at_once);

} // namespace shallotwood::process

BENCHMARK_MAIN();
