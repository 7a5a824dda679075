// Cost of a charge, a grant and a claim against the number of workspaces and
// records, and the memory that each of them takes. Four nodes in one process:
// the figures are the sum over the node that asks, the owner and its three
// witnesses, without the network.
#include "process/rate_ledger.hpp"
#include "process/record_store.hpp"
#include "support/fake_member_view.hpp"

#include <benchmark/benchmark.h>
#include <boost/log/core.hpp>
#include <deque>
#include <malloc.h>
#include <map>

namespace shallotwood::process
{

namespace
{

// A clock that is advanced by hand; timers are kept in a map.
class manual_loop final : public event_loop
{
public:
    time_point now() const override { return now_; }

    timer_id call_after(duration delay, std::function<void()> task) override
    {
        auto id = ++last_;
        timers_.emplace(std::pair(now_ + delay, id), std::move(task));
        due_[id] = now_ + delay;
        return timer_id{id};
    }

    void cancel(timer_id id) override
    {
        auto it = due_.find(static_cast<std::uint64_t>(id));
        if (it == due_.end())
            return;
        timers_.erase({it->second, it->first});
        due_.erase(it);
    }

    // Runs the next timer if it is due by `end`.
    bool step(time_point end)
    {
        if (timers_.empty() || timers_.begin()->first.first > end) {
            now_ = std::max(now_, end);
            return false;
        }
        auto node = timers_.extract(timers_.begin());
        now_ = std::max(now_, node.key().first);
        due_.erase(node.key().second);
        node.mapped()();
        return true;
    }

private:
    time_point now_{std::chrono::hours(1)};
    std::uint64_t last_ = 0;
    std::map<std::pair<time_point, std::uint64_t>, std::function<void()>>
        timers_;
    std::map<std::uint64_t, time_point> due_;
};

class direct_network
{
public:
    class port final : public peer_transport
    {
    public:
        port(direct_network& network, peer_address address)
            : network_(network), address_(std::move(address))
        {
        }

        void send(const peer_address& to, const std::string& method,
                  const Json::Value& params) override
        {
            network_.queue_.push_back({address_, to, method, params});
        }

        void subscribe(const std::string& method, handler on_message) override
        {
            handlers[method] = std::move(on_message);
        }

        std::map<std::string, handler> handlers;

    private:
        direct_network& network_;
        peer_address address_;
    };

    port& at(const peer_address& address)
    {
        return ports_.try_emplace(address, *this, address).first->second;
    }

    void deliver()
    {
        while (!queue_.empty()) {
            auto it = std::move(queue_.front());
            queue_.pop_front();
            auto& handlers = ports_.at(it.to).handlers;
            if (auto found = handlers.find(it.method); found != handlers.end())
                found->second(it.from, it.params);
        }
    }

private:
    struct message {
        peer_address from;
        peer_address to;
        std::string method;
        Json::Value params;
    };
    std::map<peer_address, port> ports_;
    std::deque<message> queue_;
};

class memory_store final : public object_store
{
public:
    explicit memory_store(scheduler& timers) : timers_(timers) {}

    void get(const std::string& name,
             std::function<void(get_result)> done) override
    {
        timers_.call_after(duration(1), [this, name, done = std::move(done)] {
            auto it = objects_.find(name);
            done(it == objects_.end() ? get_result(store_error::not_found)
                                      : get_result(it->second));
        });
    }

    void put(const std::string& name, const std::string& value,
             std::uint64_t expected,
             std::function<void(put_result)> done) override
    {
        timers_.call_after(
            duration(1), [this, name, value, expected, done = std::move(done)] {
                auto& it = objects_[name];
                if (it.version != expected) {
                    done(store_error::conflict);
                    return;
                }
                it = {name, expected + 1, value};
                done(it.version);
            });
    }

    void list(const std::string&, std::function<void(list_result)>) override {}
    watch_id watch(const std::string&, std::uint64_t,
                   std::function<void(get_result)>) override
    {
        return watch_id{1};
    }
    void cancel(watch_id) override {}

private:
    scheduler& timers_;
    std::map<std::string, stored_object> objects_;
};

constexpr std::size_t unbounded = 10'000'000;

class bench_fleet
{
public:
    bench_fleet()
    {
        boost::log::core::get()->set_logging_enabled(false);
        for (int n = 0; n < 4; ++n) {
            member it;
            it.instance = "n" + std::to_string(n);
            it.peer = {"10.0.0.1", static_cast<std::uint16_t>(n + 1)};
            it.failure_domain = "d" + std::to_string(n);
            entries_.push_back(it);
        }
        for (const auto& it : entries_)
            nodes_.push_back(std::make_unique<node>(*this, it));
        for (auto& it : nodes_) {
            for (const auto& entry : entries_)
                it->view.set(entry);
            it->owners.start();
        }
        advance(std::chrono::seconds(10));
        for (std::size_t n = 0; n < nodes_.size(); ++n) {
            if (!nodes_[n]->owners.owns(0))
                asker_ = nodes_[n].get();
        }
    }

    void advance(duration span)
    {
        auto end = loop_.now() + span;
        network_.deliver();
        while (loop_.step(end))
            network_.deliver();
    }

    void deliver() { network_.deliver(); }

    void charge(const std::string& workspace)
    {
        asker_->rates.charge(
            workspace, loop_.now() + std::chrono::seconds(10),
            [this](const charge_result& it) {
                granted += std::holds_alternative<charge_granted>(it) ? 1 : 0;
            });
    }

    void claim(const std::string& key)
    {
        asker_->records.claim(
            "ws", key, loop_.now() + std::chrono::seconds(10),
            [this](const claim_result& it) {
                granted += std::holds_alternative<claim_granted>(it) ? 1 : 0;
            });
    }

    std::uint64_t granted = 0;

private:
    struct node {
        node(bench_fleet& in, const member& self)
            : view(self),
              owners(in.loop_, in.network_.at(self.peer), in.store_, view,
                     counts, 1, self.instance + ".1", shards()),
              rates(
                  in.loop_, in.network_.at(self.peer), owners, counts,
                  [](const std::string&) {
                      return rate_limit{1e6, 1e6};
                  },
                  rate()),
              records(in.loop_, in.network_.at(self.peer), owners, counts,
                      record())
        {
        }

        static ownership_settings shards()
        {
            ownership_settings it;
            it.shards = 1;
            it.max_copies = unbounded;
            it.max_copy_bytes = unbounded * 1000;
            return it;
        }
        static rate_settings rate()
        {
            rate_settings it;
            it.max_workspaces = unbounded;
            return it;
        }
        static record_settings record()
        {
            record_settings it;
            it.max_records = unbounded;
            it.max_bytes = unbounded * 1000;
            it.max_open_claims = unbounded;
            return it;
        }

        test::fake_member_view view;
        counters counts;
        ownership owners;
        rate_ledger rates;
        record_store records;
    };

    manual_loop loop_;
    direct_network network_;
    memory_store store_{loop_};
    std::vector<member> entries_;
    std::vector<std::unique_ptr<node>> nodes_;
    node* asker_ = nullptr;
};

double heap_bytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

void check_granted(benchmark::State& state, const bench_fleet& it,
                   std::uint64_t expected)
{
    if (it.granted != expected)
        state.SkipWithError("not every request was granted");
}

} // namespace

// A charge that finds a token at its node, with other workspaces beside. The
// clock moves 20 us a charge, so that the bucket refills and the node asks
// ahead as in traffic of 50,000 a second.
static void charge_held(benchmark::State& state)
{
    bench_fleet it;
    auto n = static_cast<std::uint64_t>(state.range(0));
    for (std::uint64_t k = 0; k < n; ++k)
        it.charge("ws" + std::to_string(k));
    it.deliver();
    std::uint64_t charged = n;
    constexpr int batch = 64;
    auto pass_time = [&] { it.advance(std::chrono::microseconds(20 * batch)); };
    for (int k = 0; k < 50 * batch; ++k, ++charged) {
        it.charge("ws0");
        if (charged % batch == 0)
            pass_time();
    }
    for (auto ignored : state) {
        (void)ignored;
        it.charge("ws0");
        if (++charged % batch != 0)
            continue;
        state.PauseTiming();
        pass_time();
        state.ResumeTiming();
    }
    pass_time();
    check_granted(state, it, charged);
}
BENCHMARK(charge_held)->RangeMultiplier(10)->Range(100, 100000);

// A charge that asks the owner: question, grant and report, on both nodes. The
// clock moves so that each workspace is charged once in 2 s, and holds no
// tokens ahead.
static void charge_asked(benchmark::State& state)
{
    bench_fleet it;
    auto n = static_cast<std::uint64_t>(state.range(0));
    std::vector<std::string> names;
    for (std::uint64_t k = 0; k < n; ++k)
        names.push_back("workspace" + std::to_string(k));
    auto before = heap_bytes();
    for (const auto& name : names) {
        it.charge(name);
        it.deliver();
    }
    // The pool at the node and the bucket at the owner.
    state.counters["bytes_per_workspace"] =
        (heap_bytes() - before) / static_cast<double>(n);
    std::uint64_t charged = n;
    const duration gap(2'000'000 / static_cast<duration::rep>(n));
    for (auto ignored : state) {
        (void)ignored;
        state.PauseTiming();
        it.advance(gap);
        state.ResumeTiming();
        it.charge(names[charged++ % n]);
        it.advance(duration(0));
    }
    check_granted(state, it, charged);
}
BENCHMARK(charge_asked)
    ->RangeMultiplier(10)
    ->Range(100, 100000)
    ->Iterations(20000);

// The owner's bucket alone, against the number of nodes that hold tokens.
static void grant(benchmark::State& state)
{
    token_bucket bucket({1e9, 1e9});
    time_point now{std::chrono::hours(1)};
    auto n = static_cast<std::uint64_t>(state.range(0));
    std::vector<std::string> names;
    for (std::uint64_t k = 0; k < n; ++k)
        names.push_back("node" + std::to_string(k));
    std::uint64_t asked = 0;
    for (auto ignored : state) {
        (void)ignored;
        token_question it{names[asked % n], ++asked, 0, 0, 1, 0};
        now += duration(1);
        benchmark::DoNotOptimize(
            bucket.ask(it, now, std::chrono::seconds(2), n));
    }
}
BENCHMARK(grant)->RangeMultiplier(10)->Range(10, 10000);

// A claim with its copies to three witnesses, against the records kept.
static void claim(benchmark::State& state)
{
    bench_fleet it;
    auto n = static_cast<std::uint64_t>(state.range(0));
    auto before = heap_bytes();
    std::uint64_t claimed = 0;
    for (; claimed < n; ++claimed) {
        it.claim("key-0123456789abcdef-" + std::to_string(claimed));
        it.deliver();
    }
    // The open claim at the entry node, the record and three copies.
    state.counters["bytes_per_record"] =
        (heap_bytes() - before) / static_cast<double>(n);
    for (auto ignored : state) {
        (void)ignored;
        it.claim("key-0123456789abcdef-" + std::to_string(claimed++));
        it.deliver();
    }
    check_granted(state, it, claimed);
}
// A fixed count, or the records added while measuring would outnumber the
// given ones.
BENCHMARK(claim)->RangeMultiplier(10)->Range(100, 100000)->Iterations(2000);

} // namespace shallotwood::process

BENCHMARK_MAIN();
