#include "sidecar/support/scarce_service.hpp"

#include <algorithm>

namespace shallotwood::test
{

using namespace process;
using load::concurrency_backoff;
using routing::attempt_outcome;

namespace
{

// As in the executing node.
constexpr double failure_rate_weight = 0.04;

constexpr duration message_time = std::chrono::microseconds(500);
constexpr int max_refusals = 3;
constexpr int max_attempts = 3;

} // namespace

struct scarce_service::server {
    server(virtual_loop& loop, int index)
        : name("10.0.0." + std::to_string(index + 2) + ":1"),
          admission(loop, loop), backoff(loop, loop), times(loop), number(index)
    {
        admission.set_slots(slots);
        backoff.set_maximum(admission.slot_limit());
    }

    routing::load_report report() const
    {
        routing::load_report it;
        it.running = admission.running();
        it.waiting = static_cast<int>(admission.waiting());
        it.limit = admission.limit();
        it.service_time = admission.service_time();
        it.failure_rate = failure_rate;
        it.shed_threshold = admission.shed_threshold();
        return it;
    }

    std::string name;
    load::admission_controller admission;
    concurrency_backoff backoff;
    load::service_times times;
    int number;
    shedding how = shedding::none;
    // Calls that the server itself has accepted.
    int accepted = 0;
    double failure_rate = 0;
};

struct scarce_service::entry {
    entry(virtual_loop& loop, random_source& random)
        : view(fleet::instance{}), balancer(loop, random, view, "near"),
          thresholds(loop), retries(loop, {})
    {
    }

    fleet::fleet_view view;
    routing::load_balancer balancer;
    load::shed_threshold_table thresholds;
    retry::retry_budget retries;
};

struct scarce_service::request {
    bool is_tree = false;
    load::shed_key key = 0;
    int importance = 0;
    entry* from = nullptr;
    time_point deadline;
    int branches_left = 1;
    bool failed = false;
    std::shared_ptr<result> into;
};

struct scarce_service::call {
    std::shared_ptr<request> of;
    // Calls to make after this one in its branch.
    int left = 0;
    std::uint64_t id = 0;
    std::vector<std::string> tried;
    int refusals = 0;
    int arrivals = 0;
    time_point arrived;
    time_point sent;
    concurrency_backoff::sent_call started;
    duration expected{};
};

std::string scarce_service::route_of(const request& of)
{
    return of.is_tree ? "check" : "read";
}

int scarce_service::result::whole() const
{
    int n = 0;
    for (int k = 0; k < classes; ++k)
        n += trees[k].whole + reads[k].whole;
    return n;
}

int scarce_service::result::sent() const
{
    int n = 0;
    for (int k = 0; k < classes; ++k)
        n += trees[k].sent + reads[k].sent;
    return n;
}

scarce_service::scarce_service(bool with_backoff, std::uint64_t seed)
    : with_backoff_(with_backoff), random_(seed)
{
    for (int n = 0; n < servers; ++n) {
        servers_.push_back(std::make_unique<server>(loop, n));
        auto& at = *servers_.back();
        if (with_backoff_)
            at.backoff.on_change([&at] {
                bool reduced =
                    at.backoff.current() == concurrency_backoff::state::reduced;
                at.admission.set_concurrency_limit(
                    reduced ? std::optional<int>(at.backoff.limit())
                            : std::nullopt);
            });
    }
    for (int n = 0; n < entries; ++n) {
        entries_.push_back(std::make_unique<entry>(loop, random_));
        for (int k = 0; k < servers; ++k) {
            fleet::instance it;
            it.peer = {"10.0.0." + std::to_string(k + 2), 1};
            it.failure_domain = "near";
            it.incarnation = 1;
            it.service = "deep";
            it.state = fleet::backend_state::ready;
            it.slots = slots;
            entries_.back()->view.learn(it);
        }
    }
}

scarce_service::~scarce_service() = default;

void scarce_service::set_shedding(shedding how)
{
    for (int n = 1; n < servers; n += 2)
        servers_[static_cast<std::size_t>(n)]->how = how;
}

int scarce_service::limit_of(int at) const
{
    return servers_[static_cast<std::size_t>(at)]->admission.limit();
}

concurrency_backoff::state scarce_service::state_of(int at) const
{
    return servers_[static_cast<std::size_t>(at)]->backoff.current();
}

scarce_service::result scarce_service::play(double trees_per_s,
                                            double reads_per_s, duration span)
{
    result_ = std::make_shared<result>();
    auto into = result_;
    double all = trees_per_s + reads_per_s;
    auto gap = duration(static_cast<duration::rep>(1e6 / all));
    for (auto end = loop.now() + span; loop.now() < end;) {
        enter(random_.unit() < trees_per_s / all);
        loop.advance(gap);
    }
    result_.reset();
    return *into;
}

void scarce_service::enter(bool is_tree)
{
    // Of five requests, one is of the first class and two of each other.
    int importance = static_cast<int>((random_.below(5) + 1) / 2);
    auto it = std::make_shared<request>();
    it->is_tree = is_tree;
    it->importance = importance;
    it->key = load::make_shed_key(importance, 0, std::to_string(++last_id_));
    it->from = entries_[random_.below(entries)].get();
    it->deadline = loop.now() + (is_tree ? check_deadline : 2 * read_objective);
    it->into = result_;
    auto& [sent, whole] =
        (is_tree ? it->into->trees : it->into->reads)[importance];
    ++sent;
    if (it->key >= it->from->thresholds.threshold_of(is_tree ? "tree" : "read"))
        return;
    it->branches_left = is_tree ? 2 : 1;
    for (int n = 0; n < it->branches_left; ++n)
        next(it, is_tree ? calls_in_tree / 2 : 1);
}

void scarce_service::next(const std::shared_ptr<request>& of, int left)
{
    if (left == 0) {
        if (--of->branches_left == 0 && !of->failed &&
            loop.now() <= of->deadline) {
            auto& whole = of->is_tree ? of->into->trees : of->into->reads;
            ++whole[of->importance].whole;
        }
        return;
    }
    if (of->failed)
        return;
    auto it = std::make_shared<call>();
    it->of = of;
    it->left = left - 1;
    it->id = ++last_id_;
    it->arrived = loop.now();
    of->from->retries.record_call("deep");
    attempt(it);
}

void scarce_service::attempt(const std::shared_ptr<call>& it)
{
    auto& of = *it->of;
    auto remaining = of.deadline - loop.now();
    const auto* to =
        of.from->balancer.choose("deep", route_of(of), it->tried, remaining);
    if (to == nullptr || remaining.count() <= 0) {
        ended(it, false);
        return;
    }
    auto name = to->name();
    auto found = std::find_if(servers_.begin(), servers_.end(),
                              [&](const auto& at) { return at->name == name; });
    auto& at = **found;
    it->sent = loop.now();
    of.from->balancer.sent(name);
    it->tried.push_back(name);
    loop.call_after(message_time, [this, it, &at] {
        const auto& from = *it->of;
        // As entry_call: half of the remaining time for a child call, an
        // eighth of the objective for a new request.
        auto max_queue_time = from.is_tree ? (from.deadline - loop.now()) / 2
                                           : read_objective / 8;
        load::admission_request what;
        what.id = it->id;
        what.is_child_call = from.is_tree;
        what.key = from.key;
        what.latest_start = loop.now() + max_queue_time;
        what.expected = it->expected = at.times.estimate(route_of(from));
        at.admission.arrive(
            what, [this, it, &at](load::admission_decision decided) {
                if (decided == load::admission_decision::run) {
                    run(it, at);
                    return;
                }
                ++it->of->into->refused;
                answer(it, at, attempt_outcome::refused_overload, false);
            });
    });
}

void scarce_service::run(const std::shared_ptr<call>& it, server& at)
{
    it->started = {loop.now(), at.admission.running() - 1};
    at.times.record_start(route_of(*it->of), loop.now());
    bool rejected =
        at.how == shedding::fixed_share
            ? random_.unit() < rejected_share
            : at.how == shedding::above_part &&
                  at.accepted >= static_cast<int>(slots * slots_part);
    auto took = message_time;
    if (!rejected) {
        ++at.accepted;
        ++it->of->into->runs[static_cast<std::size_t>(at.number)];
        auto mean = it->of->is_tree ? check_time : read_time;
        took = mean / 2 + duration(static_cast<duration::rep>(random_.below(
                              static_cast<std::uint64_t>(mean.count()))));
    }
    loop.call_after(took, [this, it, &at, took, rejected] {
        if (!rejected)
            --at.accepted;
        if (rejected)
            ++it->of->into->rejected;
        using state = concurrency_backoff::state;
        auto before = at.backoff.current();
        if (with_backoff_)
            at.backoff.record(it->started, rejected,
                              at.admission.running() - 1);
        auto now = at.backoff.current();
        at.failure_rate +=
            failure_rate_weight * ((rejected ? 1 : 0) - at.failure_rate);
        if (now == state::load_independent && before != now)
            at.failure_rate =
                std::max(at.failure_rate, at.backoff.independent_share());
        at.times.record_end(route_of(*it->of), it->started.at);
        at.admission.finished(took, it->expected);
        answer(it, at,
               rejected ? attempt_outcome::failed : attempt_outcome::served,
               rejected);
    });
}

void scarce_service::answer(const std::shared_ptr<call>& it, server& at,
                            attempt_outcome how, bool rejected)
{
    auto report = at.report();
    loop.call_after(message_time, [this, it, &at, how, rejected, report] {
        auto& from = *it->of->from;
        from.balancer.report(at.name, report);
        from.thresholds.record_threshold(it->of->is_tree ? "tree" : "read",
                                         report.shed_threshold);
        from.balancer.ended(at.name, route_of(*it->of), how,
                            loop.now() - it->sent);
        if (how == attempt_outcome::served) {
            ended(it, true);
            return;
        }
        bool again = rejected ? ++it->arrivals < max_attempts &&
                                    from.retries.spend("deep")
                              : ++it->refusals < max_refusals;
        if (again)
            attempt(it);
        else
            ended(it, false);
    });
}

void scarce_service::ended(const std::shared_ptr<call>& it, bool served)
{
    if (!served)
        it->of->failed = true;
    next(it->of, it->left);
}

} // namespace shallotwood::test
