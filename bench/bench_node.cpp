// Control messages of whole nodes against their number, on a virtual clock: at
// rest, and with sparse and dense requests of one workspace at every node.
//
//     bench_node [COUNT...]
//
// Bytes are those of method and parameters as JSON; each message has 100 bytes
// more for authentication, envelope and headers, which the last column adds.
#include "process/keyed_hash.hpp"
#include "process/node_core.hpp"
#include "support/fake_network.hpp"
#include "support/fake_object_store.hpp"
#include "support/virtual_loop.hpp"
#include "version/commit.hpp"

#include <boost/log/core.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <vector>

namespace shallotwood
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double overhead_bytes = 100;
constexpr int measured_seconds = 20;

struct bench_node {
    process::counters counts;
    std::unique_ptr<process::node_core> core;
};

class bench_fleet
{
public:
    explicit bench_fleet(int count)
        : network_(loop_, 1), platform_(loop_), random_(1),
          committer_(platform_, loop_, random_)
    {
        for (int n = 0; n < count; ++n)
            add(n);
        loop_.advance(seconds(15));
        version::workspace it;
        it.name = "bench";
        it.rate = 1e6;
        it.burst = 1e6;
        commit(version::set_workspace{it});
        commit(version::issue_key{process::hash_api_key("key"), "bench"});
        version::route on;
        on.name = "all";
        on.prefix = "/";
        on.service = "bench";
        commit(version::set_route{on});
        loop_.advance(seconds(10));
    }

    // Requests a second at each node; they are entered and end at once.
    void measure(const char* phase, double rate)
    {
        if (rate > 0)
            request_all(rate);
        loop_.advance(seconds(10));
        auto messages = network_.messages;
        auto bytes = network_.bytes;
        auto reads = platform_.reads;
        auto writes = platform_.writes;
        auto start = std::chrono::steady_clock::now();
        loop_.advance(seconds(measured_seconds));
        std::chrono::duration<double> cpu =
            std::chrono::steady_clock::now() - start;
        auto per_node =
            1.0 / (static_cast<double>(nodes_.size()) * measured_seconds);
        auto sent = static_cast<double>(network_.messages - messages);
        auto size = static_cast<double>(network_.bytes - bytes);
        std::printf("%6zu %-12s %9.2f %9.0f %11.0f %9.3f %12.1f\n",
                    nodes_.size(), phase, sent * per_node, size * per_node,
                    (size + sent * overhead_bytes) * per_node,
                    100 * cpu.count() * per_node,
                    60.0 / measured_seconds *
                        static_cast<double>(platform_.reads - reads +
                                            platform_.writes - writes));
    }

private:
    void add(int n)
    {
        auto made = std::make_unique<bench_node>();
        process::member self;
        self.instance = "bench-" + std::to_string(n);
        self.incarnation = 1;
        self.peer = {"10.0.0." + std::to_string(n), 7000};
        self.failure_domain = "d" + std::to_string(n % 7);
        self.region = "r" + std::to_string(n % 3);
        process::node_core_settings core_settings;
        core_settings.wall = [this] {
            return std::chrono::duration_cast<std::chrono::milliseconds>(
                       loop_.now().time_since_epoch())
                .count();
        };
        made->core = std::make_unique<process::node_core>(
            loop_, network_.at(self.peer), platform_, made->counts,
            core_settings, self, self.instance, n + 1,
            [](const auto&) { return false; });
        made->core->start(8000);
        made->core->server().announced({"bench", "127.0.0.1", 9000, 20, 100});
        announce(made->core.get());
        nodes_.push_back(std::move(made));
    }

    void announce(process::node_core* core)
    {
        loop_.call_after(seconds(1), [this, core] {
            core->server().announced({"bench", "127.0.0.1", 9000, 20, 100});
            announce(core);
        });
    }

    void commit(const version::change& it)
    {
        version::load_configuration(
            platform_, [this, it](version::load_result result) {
                auto plan = version::make_plan(
                    std::get<version::loaded>(result).value, it,
                    "op" + std::to_string(random_.below(1U << 30)));
                committer_.commit(std::get<version::plan>(plan),
                                  [](const auto&) {});
            });
        loop_.advance(seconds(1));
    }

    void request_all(double rate)
    {
        for (auto& it : nodes_)
            request_next(it->core.get(), rate);
    }

    void request_next(process::node_core* core, double rate)
    {
        auto gap = process::duration(
            static_cast<process::duration::rep>(2e6 * random_.unit() / rate));
        loop_.call_after(gap, [this, core, rate] {
            request::caller_request it;
            it.path = "/x";
            it.key = "key";
            core->entry().enter(it, [core](request::entry_result result) {
                if (auto* made = std::get_if<request::call>(&result))
                    core->entry().leave(*made, {{request::execution::ran, {}},
                                                0,
                                                request::no_shed_threshold,
                                                false,
                                                {}});
            });
            request_next(core, rate);
        });
    }

    test::virtual_loop loop_;
    test::fake_network network_;
    test::fake_object_store platform_;
    process::random_source random_;
    version::committer committer_;
    std::vector<std::unique_ptr<bench_node>> nodes_;
};

} // namespace

} // namespace shallotwood

int main(int argc, char** argv)
{
    boost::log::core::get()->set_logging_enabled(false);
    std::printf("%6s %-12s %9s %9s %11s %9s %12s\n", "nodes", "phase", "msgs/s",
                "JSON B/s", "with heads", "CPU %", "platform/min");
    std::vector<int> counts;
    for (int n = 1; n < argc; ++n)
        counts.push_back(std::atoi(argv[n]));
    if (counts.empty())
        counts = {4, 16, 64, 256};
    for (int n : counts) {
        shallotwood::bench_fleet fleet(n);
        fleet.measure("rest", 0);
        fleet.measure("1 request/s", 1);
        fleet.measure("20 more/s", 20);
    }
    return 0;
}
