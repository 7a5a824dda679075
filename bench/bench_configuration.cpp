// Costs of a configuration change at the target size: 1,600 services, and 1.04
// changes a second at the mean.
#include "process/keyed_hash.hpp"
#include "version/head.hpp"

#include <benchmark/benchmark.h>

namespace shallotwood::version
{

namespace
{

configuration target_size()
{
    configuration it;
    it.revision = 1'000'000;
    for (int n = 0; n < 3'200; ++n) {
        route value;
        value.name = "route-" + std::to_string(n);
        value.prefix = "/service/" + std::to_string(n);
        value.service = "service-" + std::to_string(n / 2);
        it.routes[value.name] = value;
    }
    for (int n = 0; n < 5'000; ++n) {
        auto name = "workspace-" + std::to_string(n);
        it.workspaces[name] = {name, 100, 200};
        for (const auto* key : {"a", "b"})
            it.keys[process::hash_api_key(name + key)] = name;
    }
    for (int n = 0; n < 500; ++n)
        it.servers["server-" + std::to_string(n)] = server_intent::leave;
    return it;
}

// What a node does with a change that it pulled, apart from the transfer.
void apply_to_copy(benchmark::State& state)
{
    auto base = target_size();
    leave_server intent{"server-x"};
    for (auto _ : state)
        benchmark::DoNotOptimize(apply(base, intent));
}

void read_head(benchmark::State& state)
{
    head it;
    for (std::size_t n = 0; n < max_head_changes; ++n)
        it = append(it, "operation-" + std::to_string(n),
                    issue_key{process::hash_api_key("k"), "workspace-1"});
    auto text = encode(it);
    for (auto _ : state)
        benchmark::DoNotOptimize(decode_head(text));
    state.counters["bytes"] = static_cast<double>(text.size());
}

void write_snapshot(benchmark::State& state)
{
    auto base = target_size();
    for (auto _ : state)
        benchmark::DoNotOptimize(make_snapshot(base, {}));
}

void read_snapshot(benchmark::State& state)
{
    auto it = make_snapshot(target_size(), {});
    for (auto _ : state) {
        snapshot_reader reader(it.reference);
        for (const auto& chunk : it.chunks)
            benchmark::DoNotOptimize(reader.add(chunk));
        benchmark::DoNotOptimize(reader.finish());
    }
    double bytes = 0;
    for (const auto& chunk : it.chunks)
        bytes += static_cast<double>(chunk.size());
    state.counters["bytes"] = bytes;
    state.counters["chunks"] = static_cast<double>(it.chunks.size());
}

BENCHMARK(apply_to_copy)->Unit(benchmark::kMicrosecond);
BENCHMARK(read_head)->Unit(benchmark::kMicrosecond);
BENCHMARK(write_snapshot)->Unit(benchmark::kMillisecond);
BENCHMARK(read_snapshot)->Unit(benchmark::kMillisecond);

} // namespace

} // namespace shallotwood::version

BENCHMARK_MAIN();
