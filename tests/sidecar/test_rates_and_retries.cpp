#include "process/rate/token_cache.hpp"
#include "process/retry/retry_budget.hpp"
#include "support/virtual_loop.hpp"

#include <catch2/catch.hpp>
#include <memory>

namespace shallotwood::test
{

using namespace process;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

bool is_owner(const std::string&)
{
    return true;
}

// Several nodes that ask one home, over a network of 1 ms.
class rate_world
{
public:
    rate_world(std::size_t nodes, const rate::rate_limit& of)
        : limit(of), home(loop, true)
    {
        for (std::size_t n = 0; n < nodes; ++n)
            members.push_back(std::make_unique<member>(*this));
    }

    struct member final : rate::token_source {
        explicit member(rate_world& of)
            : world(of), token_cache(of.loop, *this, counts)
        {
        }

        void request_tokens(
            const std::string& workspace, int wanted,
            std::function<void(std::optional<rate::grant>)> reply) override
        {
            bool late = every_late > 0 && ++asked % every_late == 0;
            if (late) {
                world.home.take(workspace, world.limit, world.reserved, wanted);
                world.loop.call_after(milliseconds(150),
                                      [=] { reply(std::nullopt); });
                return;
            }
            world.loop.call_after(milliseconds(2), [=] {
                if (cut)
                    reply(std::nullopt);
                else
                    reply(world.home.take(workspace, world.limit,
                                          world.reserved, wanted));
            });
        }
        void report_spent(const rate::spent_tokens& it) override
        {
            world.home.charge(it, world.limit, world.reserved);
        }
        double fallback_share() const override
        {
            return 1.0 / static_cast<double>(world.members.size());
        }

        rate_world& world;
        counters counts;
        rate::token_cache token_cache;
        bool cut = false;
        // Of so many answers one comes too late.
        int every_late = 0;
        int asked = 0;
    };

    void request(std::size_t node)
    {
        ++sent;
        members[node]->token_cache.acquire_token(
            "w", limit,
            [this](auto refused) { ++(refused ? refusals : admitted); });
    }

    // `rate` requests a second, spread over the nodes in turn.
    void play(double rate, duration span)
    {
        auto gap = duration(static_cast<duration::rep>(1e6 / rate));
        for (auto end = loop.now() + span; loop.now() < end;) {
            request(static_cast<std::size_t>(sent) % members.size());
            loop.advance(gap);
        }
        loop.advance(milliseconds(10));
    }

    rate::rate_limit limit;
    virtual_loop loop;
    rate::token_bucket_table home;
    double reserved = 0;
    std::vector<std::unique_ptr<member>> members;
    int sent = 0;
    int admitted = 0;
    int refusals = 0;
};

} // namespace

// Tokens fetched ahead by nodes with little traffic would lapse unused.
TEST_CASE("nothing is refused below the rate, however thin it is spread")
{
    rate_world world(64, {20, 20});
    world.play(15, seconds(20));
    CHECK(world.refusals == 0);
}

TEST_CASE("a workspace at five times its rate gets its rate and burst")
{
    rate_world world(16, {50, 50});
    world.play(250, seconds(10));
    CHECK(world.admitted <= 50 * 10 + 50);
    CHECK(world.admitted >= 0.9 * (50 * 10 + 50));
}

TEST_CASE("nodes without their home stay within the rate together")
{
    rate_world world(8, {80, 80});
    for (auto& it : world.members)
        it->cut = true;
    world.play(400, seconds(10));
    CHECK(world.admitted <= 80 * 10 + 80);
    CHECK(world.admitted >= 0.5 * 80 * 10);
}

TEST_CASE("nodes in and out of touch stay within the rate together")
{
    rate_world world(8, {80, 80});
    for (std::size_t n = 0; n < 3; ++n)
        world.members[n]->cut = true;
    world.reserved = 3.0 / 8;
    world.play(400, seconds(10));
    // The own parts of the cut nodes and one burst on each side.
    CHECK(world.admitted <= 80 * 10 + 2 * 80);
}

// A home that ends may have granted a whole burst just before.
TEST_CASE("a new home of a running fleet starts nearly empty")
{
    virtual_loop loop;
    rate::token_bucket_table later(loop, false);
    CHECK(later.take("w", {100, 100}, 0, 1000).tokens <= 25);
    rate::token_bucket_table first(loop, true);
    CHECK(first.take("w", {100, 100}, 0, 1000).tokens == 100);
    loop.advance(seconds(60));
    first.owners_changed(is_owner);
    CHECK(first.take("other", {100, 100}, 0, 1000).tokens <= 25);
}

// Requests may come before the whole fleet is ten seconds old.
TEST_CASE("a home that follows another one in a new fleet starts nearly empty")
{
    virtual_loop loop;
    rate::token_bucket_table home(loop, true);
    // The nodes find each other.
    loop.advance(seconds(1));
    home.owners_changed(is_owner);
    CHECK(home.take("w", {100, 100}, 0, 1000).tokens == 100);
    loop.advance(seconds(9));
    home.owners_changed(is_owner);
    CHECK(home.take("other", {100, 100}, 0, 1000).tokens <= 25);
}

// The question for the first one asked for a single token.
TEST_CASE("requests that come while the home is asked are not refused")
{
    rate_world world(1, {100, 100});
    for (int n = 0; n < 30; ++n)
        world.request(0);
    world.loop.advance(milliseconds(50));
    CHECK(world.admitted == 30);
    CHECK(world.refusals == 0);
}

TEST_CASE("a workspace that was quiet gets its whole burst")
{
    virtual_loop loop;
    rate::token_bucket_table home(loop, false);
    rate::rate_limit limit{1, 20};
    loop.advance(seconds(60));
    CHECK(home.take("w", limit, 0, 20).tokens == 20);
    // Another node may have granted the burst of any other workspace.
    home.owners_changed(is_owner);
    CHECK(home.take("v", limit, 0, 20).tokens <= 1);
}

// An answer that comes too late has been granted, and each node uses its own
// part meanwhile.
TEST_CASE("late answers of the home add little to the rate")
{
    constexpr double rate = 325;
    constexpr int window = 5;
    rate_world world(16, {rate, rate});
    world.loop.advance(seconds(5));
    for (auto& it : world.members)
        it->every_late = 8;
    world.play(5 * rate, seconds(window));
    // The platform's tenth, and what it adds to that.
    CHECK(world.admitted <= (rate * window + rate) * 1.1 + 20);
    CHECK(world.admitted >= (rate * window + rate) * 0.8);
}

TEST_CASE("a refund can be spent again")
{
    rate_world world(1, {1, 1});
    world.play(10, seconds(1));
    auto before = world.admitted;
    world.members[0]->token_cache.return_token("w");
    world.request(0);
    CHECK(world.admitted == before + 1);
}

TEST_CASE("retries of all nodes stay within the ratio and the allowance")
{
    virtual_loop loop;
    constexpr std::size_t nodes = 16;
    retry::budget_settings settings{0.2, 48, seconds(10)};
    std::vector<std::unique_ptr<retry::retry_budget>> budgets;
    for (std::size_t n = 0; n < nodes; ++n) {
        budgets.push_back(
            std::make_unique<retry::retry_budget>(loop, settings));
        budgets.back()->set_nodes(nodes);
    }
    // Every call fails and asks for a retry.
    std::vector<int> calls_at;
    std::vector<int> retries_at;
    for (int tick = 0; tick < 400; ++tick) {
        int calls = 0;
        int retries = 0;
        for (auto& it : budgets) {
            it->record_call("s");
            ++calls;
            retries += it->spend("s") ? 1 : 0;
        }
        calls_at.push_back(calls);
        retries_at.push_back(retries);
        loop.advance(milliseconds(100));
    }
    constexpr std::size_t window = 100;
    for (std::size_t from = 0; from + window <= calls_at.size(); ++from) {
        int calls = 0;
        int retries = 0;
        for (std::size_t n = from; n < from + window; ++n) {
            calls += calls_at[n];
            retries += retries_at[n];
        }
        CHECK(retries <= 0.2 * calls + 48);
    }
}

} // namespace shallotwood::test
