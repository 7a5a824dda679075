#include "process/load/admission_controller.hpp"
#include "process/load/cold_start.hpp"
#include "process/random_source.hpp"
#include "support/virtual_loop.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

namespace shallotwood::test
{

using namespace process;
using load::admission_decision;
using load::cold_bound;
using load::cold_cause;
using load::cold_phase;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr cold_bound usual_bound{1.5, 8};
constexpr double usual_rate = 12;

// A backend server's admission with the limit of its cold time, as the node
// joins them.
class cold_server
{
public:
    explicit cold_server(double rate = usual_rate,
                         const cold_bound& bound = usual_bound)
        : bound_(bound), rate_(rate), random_(1), admission(loop, loop),
          cold(
              loop, loop, [] { return 400.0; },
              [this] { admission.set_cold_limit(cold.limit()); })
    {
        admission.set_slots(20);
        cold.set_bound(bound);
        cold.set_policy({rate, seconds(4)});
    }

    void announce(std::uint64_t start,
                  std::optional<duration> warmup_left = std::nullopt)
    {
        cold.handle_announcement(start, false, warmup_left);
    }

    // Calls arrive evenly for this time; some that run are sent again.
    void load(double per_second, duration time)
    {
        auto step = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(1 / per_second));
        for (duration gone{}; gone < time; gone += step) {
            admission.arrive({++last_, random_.unit() < 0.3,
                              static_cast<load::shed_key>(random_.below(1000)),
                              loop.now() + milliseconds(250)},
                             [this](admission_decision it) {
                                 if (it == admission_decision::run)
                                     run();
                             });
            loop.advance(step);
        }
    }

    // Most starts in any second, of those made while the server was cold.
    double most_in_a_second() const
    {
        std::ptrdiff_t most = 0;
        for (auto first = starts.begin(); first != starts.end(); ++first)
            most = std::max(most, std::lower_bound(first, starts.end(),
                                                   *first + seconds(1)) -
                                      first);
        return static_cast<double>(most);
    }
    double allowed() const { return rate_ * bound_.excess + bound_.slack; }

    virtual_loop loop;

private:
    void run()
    {
        record();
        loop.call_after(milliseconds(50),
                        [this] { admission.finished(milliseconds(50)); });
        if (random_.unit() < 0.2 && admission.may_resend()) {
            admission.resent();
            record();
        }
    }
    void record()
    {
        if (cold.phase() == cold_phase::cold)
            starts.push_back(loop.now());
        else
            ++warm_starts;
    }

    cold_bound bound_;
    double rate_;
    random_source random_;
    std::uint64_t last_ = 0;

public:
    load::admission_controller admission;
    load::cold_start cold;
    std::vector<time_point> starts;
    int warm_starts = 0;
};

} // namespace

// Guards against crashes of servers that get a burst while they are cold.
TEST_CASE("a cold server gets no more than its bound in any second")
{
    struct {
        double rate;
        cold_bound bound;
    } const all[] = {{12, {1.5, 8}}, {100, {1, 2}}, {100, {1, 30}},
                     {12, {0.8, 8}}, {12, {0, 8}},  {1, {1, 0}},
                     {40, {2, 0}}};
    for (const auto& [rate, bound] : all) {
        INFO(rate << " x " << bound.excess << " + " << bound.slack);
        cold_server it(rate, bound);
        it.announce(1, seconds(4));
        it.load(1000, seconds(1));
        // Without calls the pacer gathers a burst.
        it.loop.advance(milliseconds(500));
        it.load(1000, milliseconds(2500));
        CHECK(it.most_in_a_second() <= it.allowed());
        // The queue is looked at every 10 ms; without a burst this costs up to
        // a fifth of the rate.
        CHECK(static_cast<double>(it.starts.size()) >=
              0.8 * 3.5 * rate * std::min(1.0, bound.excess));
    }
}

// Guards against a burst that the pacer grants because it has seen no start
// under a limit yet, and against one that a short warm time gives back.
TEST_CASE("a server that becomes cold again gets no second burst")
{
    for (int gap_ms = 1; gap_ms < 1500; gap_ms += 53) {
        INFO(gap_ms);
        cold_server it;
        it.load(300, seconds(1));
        it.announce(1, milliseconds(700));
        it.load(1000, milliseconds(700 + gap_ms));
        it.announce(1, milliseconds(700));
        it.load(1000, milliseconds(600));
        CHECK(it.most_in_a_second() <= it.allowed());
        CHECK(it.starts.front() - time_point(std::chrono::hours(1)) >=
              seconds(1));
    }
    cold_server it;
    it.load(300, seconds(1));
    it.announce(1, seconds(4));
    it.load(1000, seconds(1));
    CHECK(static_cast<double>(it.starts.size()) <= usual_rate + 1);
}

// Guards against an end of the cold time that the server did not name.
TEST_CASE("late and missing announcements don't shorten a cold time")
{
    cold_server it;
    it.announce(1);
    CHECK(it.cold.phase() == cold_phase::warm);
    it.announce(1, seconds(4));
    it.announce(1, milliseconds(100));
    it.announce(1, seconds(0));
    it.announce(1);
    it.loop.advance(milliseconds(3999));
    CHECK(it.cold.phase() == cold_phase::cold);
    // Nothing more arrives.
    it.loop.advance(milliseconds(2));
    CHECK(it.cold.phase() == cold_phase::ramp);
    it.announce(1, seconds(4));
    // Another start knows better.
    it.announce(2, seconds(1));
    it.loop.advance(milliseconds(1001));
    CHECK(it.cold.phase() == cold_phase::ramp);
    // A forged one.
    it.announce(2, std::chrono::hours(20));
    it.loop.advance(seconds(61));
    CHECK(it.cold.phase() != cold_phase::cold);
}

// Guards against a node that, after its own restart, takes a warm server for
// cold, or a cold one for warm.
TEST_CASE("the first announcement says whether the server is cold")
{
    cold_server warm;
    warm.announce(1);
    CHECK(warm.cold.published_rate() == 0);
    cold_server cold;
    cold.announce(1, seconds(2));
    CHECK(cold.cold.published_rate() == usual_rate);
    cold_server started;
    started.cold.handle_announcement(1, true, std::nullopt);
    CHECK(started.cold.cause() == cold_cause::started);
    CHECK(started.cold.left() == seconds(4));
    // A new start whose announcement does not say it.
    cold_server again;
    again.announce(1);
    again.announce(2);
    CHECK(again.cold.left() == seconds(4));
}

// Guards against full load on a cold server at a node that has just started
// and has no configuration yet.
TEST_CASE("the limit follows the policy, and holds before it is known")
{
    virtual_loop loop;
    load::cold_start it(
        loop, loop, [] { return 400.0; }, [] {});
    it.set_bound(usual_bound);
    it.handle_announcement(1, false, seconds(8));
    REQUIRE(it.limit());
    CHECK(it.limit()->per_second < usual_bound.slack);
    for (double rate : {12.0, 30.0, 6.0}) {
        it.set_policy({rate, seconds(4)});
        CHECK(it.limit()->per_second == rate);
    }
    it.set_policy({0, seconds(4)});
    CHECK_FALSE(it.limit());
    it.set_policy({12, seconds(4)});
    CHECK(it.limit());
    it.assume_cold(cold_cause::evacuation_ended);
    it.set_policy({12, seconds(9)});
    CHECK(it.left() == seconds(9));
}

// Guards against full load on a server that has restarted under the same id
// and announces itself up to 1.5 s later.
TEST_CASE("a suspected restart counts until the next announcement")
{
    cold_server it;
    it.announce(1);
    it.cold.suspect_restart();
    // Was sent before.
    it.loop.advance(milliseconds(100));
    it.announce(1);
    CHECK(it.cold.phase() == cold_phase::cold);
    it.loop.advance(milliseconds(400));
    it.announce(1);
    CHECK(it.cold.phase() == cold_phase::warm);
    it.cold.suspect_restart();
    it.announce(2, seconds(2));
    CHECK(it.cold.left() == seconds(2));
    it.loop.advance(seconds(5));
    it.cold.suspect_restart();
    it.loop.advance(milliseconds(4999));
    CHECK(it.cold.phase() == cold_phase::cold);
    it.loop.advance(milliseconds(2));
    CHECK(it.cold.phase() == cold_phase::ramp);
}

// Guards against all that other nodes have queued on a server that has just
// become warm, and against a limit that stays.
TEST_CASE("after its cold time a server's rate doubles up to its capacity")
{
    cold_server it;
    it.announce(1, seconds(1));
    it.loop.advance(seconds(1));
    for (double rate : {24, 48, 96, 192, 384}) {
        REQUIRE(it.cold.limit());
        CHECK(it.cold.limit()->per_second == rate);
        CHECK(it.cold.published_rate() == usual_rate);
        it.loop.advance(milliseconds(250));
    }
    CHECK_FALSE(it.cold.limit());
    CHECK(it.cold.published_rate() == 0);
    CHECK(it.admission.limit() == 18);
}

// Guards against a change for deployments that don't name a rate.
TEST_CASE("without a cold rate an announced cold time has no effect")
{
    cold_server it(0);
    it.announce(1, seconds(4));
    it.announce(2);
    it.cold.suspect_restart();
    it.cold.assume_cold(cold_cause::evacuation_ended);
    CHECK(it.cold.published_rate() == 0);
    CHECK(it.admission.limit() == 18);
    it.load(300, seconds(1));
    CHECK(it.starts.empty());
    CHECK(it.warm_starts >= 300);
}

// Guards against cold servers that run what matters least, and against callers
// that wait for nothing or come back too early.
TEST_CASE("under many times its rate a cold server runs the most valuable")
{
    cold_server it;
    it.announce(1, seconds(60));
    random_source random(2);
    std::vector<load::shed_key> run;
    std::vector<duration> waits;
    for (std::uint64_t n = 0; n < 5000; ++n) {
        auto key = static_cast<load::shed_key>(random.below(1'000'000'000));
        auto sent = it.loop.now();
        it.admission.arrive({n, false, key, sent + milliseconds(250)},
                            [&, key, sent](admission_decision decided) {
                                if (decided == admission_decision::refused) {
                                    waits.push_back(it.loop.now() - sent);
                                    return;
                                }
                                run.push_back(key);
                                it.loop.call_after(milliseconds(50), [&] {
                                    it.admission.finished(milliseconds(50));
                                });
                            });
        it.loop.advance(milliseconds(2));
    }
    // After the first second, when the queue orders all.
    auto late = std::vector<load::shed_key>(run.begin() + 15, run.end());
    CHECK(late.size() >= 100);
    std::sort(late.begin(), late.end());
    CHECK(late[late.size() * 9 / 10] < 200'000'000);
    auto at_once = std::count(waits.begin(), waits.end(), duration(0));
    CHECK(static_cast<double>(at_once) >=
          0.9 * static_cast<double>(waits.size()));
    CHECK(*std::max_element(waits.begin(), waits.end()) <= milliseconds(261));
    // A caller that comes back when it was told to finds room.
    auto back = it.admission.retry_after();
    CHECK(back > duration(0));
    CHECK(back < seconds(1));
    it.loop.advance(back);
    bool served = false;
    it.admission.arrive({9999, false, 1, it.loop.now() + milliseconds(1)},
                        [&](admission_decision decided) {
                            served = decided == admission_decision::run;
                        });
    CHECK(served);
}

} // namespace shallotwood::test
