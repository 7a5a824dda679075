// Cost of sealing and unsealing the context of a call.
#include "request/call_context.hpp"

#include <benchmark/benchmark.h>

namespace shallotwood::request
{

static void seal_and_unseal(benchmark::State& state)
{
    call_context context;
    context.request_id = "0123456789abcdef";
    context.attempt_id = "0123456789abcdef-1";
    context.workspace = "radio";
    const std::string secret(32, 's');
    for (auto it : state) {
        (void)it;
        benchmark::DoNotOptimize(unseal(seal(context, secret), secret));
    }
}
BENCHMARK(seal_and_unseal);

} // namespace shallotwood::request

BENCHMARK_MAIN();
