// What callers get from 29 servers of uneven speed that are disturbed at times,
// in virtual time, with calls placed by utilization or by their expected end.
#include "process/load/remaining_work.hpp"
#include "process/load/service_times.hpp"
#include "process/random_source.hpp"
#include "process/routing/load_balancer.hpp"
#include "support/virtual_loop.hpp"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <memory>

namespace shallotwood::test
{

using namespace process;
using routing::attempt_outcome;
using routing::expected_end;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr int domains = 3;
constexpr int servers = 29;
constexpr int slots = 54;
constexpr std::size_t max_queue = 108;
constexpr std::size_t max_attempts = 3;
constexpr std::array<double, 3> speeds = {0.7, 0.7, 1.6};
constexpr double usual_us = 190e3;
constexpr double tail_share = 0.03;
constexpr double tail_factor = 7;
constexpr double disturbed_share = 0.15;
constexpr double disturbed_factor = 2.5;
constexpr double disturbed_us = 600e3;
constexpr duration objective = milliseconds(1500);
constexpr duration tight_objective = milliseconds(600);
constexpr duration warmup = seconds(4);
constexpr duration measured = seconds(8);

// Of one kind of call.
struct latencies {
    std::vector<double> ms;

    double mean() const
    {
        double sum = 0;
        for (double it : ms)
            sum += it;
        return sum / static_cast<double>(ms.size());
    }
    double quantile(double q) const
    {
        auto all = ms;
        std::sort(all.begin(), all.end());
        return all.at(
            static_cast<std::size_t>(q * static_cast<double>(all.size())));
    }
    double within(duration limit) const
    {
        auto most = std::chrono::duration<double, std::milli>(limit).count();
        auto n = std::count_if(ms.begin(), ms.end(),
                               [&](double it) { return it <= most; });
        return static_cast<double>(n) / static_cast<double>(ms.size());
    }
};

struct result {
    latencies usual;
    latencies tail;
    std::uint64_t refused = 0;
};

class uneven_site
{
public:
    uneven_site(double demand, std::uint64_t seed, bool by_cost)
        : demand_(demand), random_(seed)
    {
        for (int n = 0; n < servers; ++n)
            servers_.push_back(std::make_unique<server>(*this, n, seed));
        for (auto& it : servers_) {
            it->balancer.set_placement_by_cost(by_cost);
            for (auto& known : servers_)
                it->view.learn(entry(known->number));
            disturb_later(*it);
            arrive_later(*it);
        }
    }

    result run()
    {
        loop_.advance(warmup);
        counted_ = true;
        loop_.advance(measured);
        ended_ = true;
        loop_.advance(seconds(8));
        return result_;
    }

private:
    struct call {
        int from = 0;
        time_point begun{};
        bool is_tail = false;
        std::vector<std::string> tried;
    };
    using call_ptr = std::shared_ptr<call>;
    struct queued_call {
        std::uint64_t id;
        call_ptr it;
    };

    struct server {
        server(uneven_site& at, int n, std::uint64_t seed)
            : number(n), random(1000 * seed + static_cast<std::uint64_t>(n)),
              view(entry(n)), balancer(at.loop_, random, view, domain_of(n)),
              model(at.loop_), work(at.loop_, model), times(at.loop_)
        {
        }
        double speed() const
        {
            auto n = static_cast<std::size_t>(number / domains);
            return speeds.at(n % speeds.size());
        }
        int number;
        random_source random;
        fleet::fleet_view view;
        routing::load_balancer balancer;
        load::cost_model model;
        load::remaining_work work;
        load::service_times times;
        int running = 0;
        bool disturbed = false;
        std::deque<queued_call> queue;
    };

    static std::string domain_of(int n)
    {
        return "d" + std::to_string(n % domains);
    }

    static fleet::instance entry(int n)
    {
        fleet::instance it;
        it.peer = {"h" + std::to_string(n), 1};
        it.failure_domain = domain_of(n);
        it.incarnation = 1;
        it.service = "s";
        it.state = fleet::backend_state::ready;
        it.slots = slots;
        return it;
    }

    server& at(int n) { return *servers_[static_cast<std::size_t>(n)]; }

    void after(double us, std::function<void()> task)
    {
        loop_.call_after(duration(static_cast<duration::rep>(us)),
                         std::move(task));
    }
    double pause() { return -std::log(1 - random_.unit()); }

    void disturb_later(server& it)
    {
        auto calm = disturbed_us * (1 - disturbed_share) / disturbed_share;
        after(pause() * calm, [this, &it] {
            if (ended_)
                return;
            it.disturbed = true;
            after(disturbed_us, [this, &it] {
                it.disturbed = false;
                disturb_later(it);
            });
        });
    }

    // Calls per microsecond of all servers together.
    double capacity() const
    {
        double sum = 0;
        for (const auto& it : servers_)
            sum += slots * it->speed();
        return sum / usual_us / (1 + tail_share * (tail_factor - 1)) /
               (1 + disturbed_share * (disturbed_factor - 1));
    }

    void arrive_later(server& it)
    {
        after(pause() / (demand_ * capacity() / servers), [this, &it] {
            if (ended_)
                return;
            attempt(std::make_shared<call>(
                call{it.number, loop_.now(), random_.unit() < tail_share, {}}));
            arrive_later(it);
        });
    }

    static double way(int from, int to)
    {
        return from % domains == to % domains ? 200 : 700;
    }

    void attempt(const call_ptr& it)
    {
        auto& from = at(it->from);
        auto left = objective - (loop_.now() - it->begun);
        const auto* to =
            from.balancer.choose("s", "r", it->tried, seconds(3), left);
        if (to == nullptr || it->tried.size() == max_attempts)
            return;
        it->tried.push_back(to->name());
        from.balancer.sent(to->name());
        auto number = std::stoi(to->peer.host.substr(1));
        after(way(it->from, number),
              [this, it, number] { admit(at(number), it); });
    }

    void admit(server& to, const call_ptr& it)
    {
        if (to.running >= slots && to.queue.size() >= max_queue) {
            result_.refused += counted_ ? 1 : 0;
            reply(to, it, attempt_outcome::refused_overload);
            return;
        }
        auto id = ++last_id_;
        to.work.arrive(id, "r", {});
        if (to.running < slots)
            start(to, {id, it});
        else
            to.queue.push_back({id, it});
    }

    void start(server& to, const queued_call& what)
    {
        ++to.running;
        to.work.start(what.id);
        auto started = loop_.now();
        to.times.record_start("r", started);
        auto time = usual_us * (what.it->is_tail ? tail_factor : 1) *
                    (to.disturbed ? disturbed_factor : 1) / to.speed();
        after(time, [this, &to, what, started] {
            --to.running;
            to.work.finish(what.id);
            to.times.record_end("r", started);
            if (!to.queue.empty()) {
                auto next = to.queue.front();
                to.queue.pop_front();
                start(to, next);
            }
            reply(to, what.it, attempt_outcome::served);
        });
    }

    void reply(server& of, const call_ptr& it, attempt_outcome how)
    {
        routing::load_report load;
        load.running = of.running;
        load.waiting = static_cast<int>(of.queue.size());
        load.limit = slots;
        load.route_time = of.times.estimate("r");
        load.stamp_ms = static_cast<std::uint64_t>(
            loop_.now().time_since_epoch() / milliseconds(1));
        load.work_left = of.work.left();
        after(way(it->from, of.number), [this, it, how, load,
                                         name = of.view.self().name()] {
            auto& balancer = at(it->from).balancer;
            auto took = loop_.now() - it->begun;
            balancer.report(name, load);
            balancer.record_speed(name, "s", "r", load);
            balancer.ended(name, "r", how, took);
            if (how != attempt_outcome::served)
                attempt(it);
            else if (counted_)
                (it->is_tail ? result_.tail : result_.usual)
                    .ms.push_back(static_cast<double>(took.count()) / 1000);
        });
    }

    double demand_;
    random_source random_;
    virtual_loop loop_;
    std::vector<std::unique_ptr<server>> servers_;
    bool counted_ = false;
    bool ended_ = false;
    std::uint64_t last_id_ = 0;
    result result_;
};

std::string text_of(const latencies& it)
{
    return "mean " + std::to_string(it.mean()) + " p50 " +
           std::to_string(it.quantile(0.5)) + " p99 " +
           std::to_string(it.quantile(0.99)) + " in 1500 " +
           std::to_string(it.within(objective)) + " in 600 " +
           std::to_string(it.within(tight_objective)) + '\n';
}

} // namespace

TEST_CASE("placement by expected end serves more calls in time")
{
    // Guards against a choice that herds, or that prefers fast servers until
    // they queue: either is seen as a lower share within the objectives.
    auto demand = GENERATE(0.5, 0.7, 0.9);
    auto seed = GENERATE(1, 2);
    auto before =
        uneven_site(demand, static_cast<std::uint64_t>(seed), false).run();
    auto now =
        uneven_site(demand, static_cast<std::uint64_t>(seed), true).run();
    INFO("demand " << demand << " seed " << seed << "\nusual, before "
                   << text_of(before.usual) << "usual, now "
                   << text_of(now.usual) << "tail, before "
                   << text_of(before.tail) << "tail, now " << text_of(now.tail)
                   << "refused " << before.refused << " " << now.refused);
    CHECK(now.usual.mean() < before.usual.mean());
    CHECK(now.usual.within(tight_objective) >
          before.usual.within(tight_objective));
    CHECK(now.usual.within(objective) > before.usual.within(objective) - 0.003);
    CHECK(now.tail.mean() < before.tail.mean());
    CHECK(now.tail.within(objective) > before.tail.within(objective));
}

TEST_CASE("the expected end applies to services whose calls differ in time")
{
    expected_end it;
    auto record = [&](int count, int every) {
        for (int n = 1; n <= count; ++n)
            it.record("s", milliseconds(n % every == 0 ? 1330 : 190));
    };
    record(500, 10);
    CHECK_FALSE(it.applies_to("s", objective));
    it.set_enabled(true);
    record(99, 10);
    CHECK_FALSE(it.applies_to("s", objective));
    record(500, 10);
    CHECK(it.applies_to("s", objective));
    // Without an objective, or for another service.
    CHECK_FALSE(it.applies_to("s", duration::max()));
    CHECK_FALSE(it.applies_to("s", duration(0)));
    CHECK_FALSE(it.applies_to("t", objective));
    // Evenly long calls.
    record(600, 1000);
    CHECK_FALSE(it.applies_to("s", objective));
}

TEST_CASE("an expected end after the objective costs as much as a full server")
{
    auto cost = [](double work) {
        return expected_end::cost({work, 10, 100e3}, 100e3, milliseconds(300));
    };
    CHECK(cost(0) == Approx(0));
    CHECK(cost(1e6) == Approx(1));
    CHECK(cost(-1e6) == Approx(0));
    CHECK(cost(2.1e6) == Approx(2.1 + 1));
}

} // namespace shallotwood::test
