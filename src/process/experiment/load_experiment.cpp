#include "process/experiment/load_experiment.hpp"

#include "process/experiment/load_policies.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <numeric>
#include <unordered_map>

namespace shallotwood::process::experiment
{

std::string_view name_of(load_policy policy)
{
    switch (policy) {
    case load_policy::pass_through:
        return "pass-through";
    case load_policy::static_limits:
        return "static limits";
    default:
        return "shallotwood";
    }
}

namespace
{

using namespace load_model;

constexpr duration bin = std::chrono::milliseconds(100);
constexpr double recovered_share = 0.95;
constexpr double cold_slowness = 5;

double seconds(duration it)
{
    return std::chrono::duration<double>(it).count();
}

// One call of a service, with its attempts.
struct call {
    node* from = nullptr;
    std::size_t service = 0;
    call_context context;
    time_point deadline;
    request::retry_allowance retries{0};
    int lent = 0;
    std::vector<std::string> tried;
    std::function<void(const reply&)> done;
};

using call_ptr = std::shared_ptr<call>;

// What a caller wants, over all its attempts.
struct original {
    std::uint64_t number = 0;
    std::size_t workspace = 0;
    importance level = importance::normal;
    time_point since;
    int attempts = 0;
    bool served = false;
};

using original_ptr = std::shared_ptr<original>;

class experiment
{
public:
    explicit experiment(const experiment_settings& settings)
        : settings_(settings), world_(settings), policy_(make_policy(world_)),
          arrivals_(settings.seed + 1), capacity_(capacity_of(settings)),
          start_(world_.loop.now()), trigger_(start_ + settings.before),
          trigger_end_(trigger_ + settings.trigger),
          end_(trigger_end_ + settings.after),
          offered_(settings.workspaces.size()),
          served_(settings.workspaces.size())
    {
        auto n = static_cast<std::size_t>((end_ - start_) / bin) + 1;
        asked_.resize(n);
        answered_.resize(n);
        important_refused_.resize(n);
        lesser_answered_.resize(n);
        result_.capacity = capacity_;
        started_at_last_.resize(
            static_cast<std::size_t>(settings.services.back().servers));
        make_nodes();
    }

    experiment_result run()
    {
        for (std::size_t it = 0; it < settings_.workspaces.size(); ++it)
            next_original(it);
        world_.loop.run_until(end_ + settings_.caller_timeout);
        finish();
        return result_;
    }

private:
    bool in_trigger(time_point at) const
    {
        return at >= trigger_ && at < trigger_end_;
    }

    std::size_t bin_of(time_point at) const
    {
        return static_cast<std::size_t>((at - start_) / bin);
    }

    void make_nodes()
    {
        std::vector<std::vector<member>> members;
        for (std::size_t n = 0; n < settings_.services.size(); ++n) {
            world_.nodes.emplace_back();
            members.emplace_back();
            for (int it = 0; it < settings_.services[n].servers; ++it)
                members[n].push_back(make_node(n, it));
        }
        for (auto& list : world_.nodes) {
            for (auto& it : list) {
                for (std::size_t n = 0; n < members.size(); ++n)
                    it->routes.assign(settings_.services[n].name, members[n]);
            }
        }
    }

    member make_node(std::size_t service, int number)
    {
        const auto& of = settings_.services[service];
        server_fault fault;
        for (const auto& it : settings_.faults) {
            if (it.service == service && static_cast<int>(it.server) == number)
                fault = it;
        }
        member as;
        as.instance = of.name + "-" + std::to_string(number);
        as.service = of.name;
        as.peer.port = static_cast<std::uint16_t>(number);
        as.slots = static_cast<int>(of.slots * fault.announced);
        as.failure_domain =
            "domain-" + std::to_string(number % settings_.failure_domains);
        auto made = std::make_unique<node>(world_.loop, world_.random, as, of);
        made->fault = fault;
        world_.nodes[service].push_back(std::move(made));
        return as;
    }

    // Callers.

    void next_original(std::size_t workspace)
    {
        const auto& of = settings_.workspaces[workspace];
        auto now = world_.loop.now();
        double demand = in_trigger(now) ? of.peak : of.usual;
        double rate = std::max(demand * of.rate * capacity_, 1e-3);
        auto gap = duration(static_cast<duration::rep>(
            1e6 * -std::log1p(-arrivals_.unit()) / rate));
        // A change of demand takes effect when it happens.
        auto change = now < trigger_ ? trigger_ : trigger_end_;
        if (now < change && now + gap >= change) {
            world_.loop.call_after(
                change - now, [this, workspace] { next_original(workspace); });
            return;
        }
        if (now + gap >= end_)
            return;
        world_.loop.call_after(gap, [this, workspace] {
            begin(workspace);
            next_original(workspace);
        });
    }

    void begin(std::size_t workspace)
    {
        auto it = std::make_shared<original>();
        it->number = ++last_original_;
        it->workspace = workspace;
        it->since = world_.loop.now();
        it->level = draw_importance();
        ++asked_[bin_of(it->since)];
        if (in_trigger(it->since))
            ++offered_[workspace][static_cast<std::size_t>(it->level)];
        send(it);
    }

    // 2% critical, 3% high, 75% normal and 20% low.
    importance draw_importance()
    {
        auto n = arrivals_.below(100);
        if (n < 2)
            return importance::critical;
        if (n < 5)
            return importance::high;
        return n < 80 ? importance::normal : importance::low;
    }

    void send(const original_ptr& it)
    {
        ++it->attempts;
        ++entered_;
        auto over = std::make_shared<bool>(false);
        auto& at = world_.any(0);
        auto sent = world_.loop.now();
        world_.loop.call_after(settings_.caller_trip, [=, &at] {
            enter(at, it, sent, [=](const reply& got) {
                world_.loop.call_after(settings_.caller_trip, [=] {
                    if (!std::exchange(*over, true))
                        receive(it, sent, got);
                });
            });
        });
        world_.loop.call_after(settings_.caller_timeout, [=] {
            if (!std::exchange(*over, true))
                receive(it, sent, refused(reason::deadline));
        });
    }

    void enter(node& at, const original_ptr& it, time_point sent,
               std::function<void(const reply&)> done)
    {
        const auto& of = settings_.workspaces[it->workspace];
        auto made = std::make_shared<call>();
        made->from = &at;
        auto& context = made->context;
        context.request_id = std::to_string(++last_request_);
        context.workspace = of.name;
        context.route = entry_route;
        context.level = it->level;
        made->deadline = sent + settings_.caller_timeout;
        made->retries =
            request::retry_allowance(request::default_retry_allowance);
        if (!policy_->enter(at, context, of.rate * capacity_))
            return done(refused(reason::overload));
        made->done = [=, &at, done = std::move(done)](const reply& got) {
            policy_->left(at, got);
            done(got);
        };
        attempt(made);
    }

    void receive(const original_ptr& it, time_point sent, const reply& got)
    {
        auto now = world_.loop.now();
        if (got.whole)
            return count_served(*it, now);
        if (got.what.why == reason::overload)
            count_refused(*it, sent);
        if (it->attempts >= settings_.caller_attempts)
            return;
        auto pause = std::chrono::milliseconds(50 + world_.random.below(100));
        world_.loop.call_after(pause, [=] { send(it); });
    }

    void count_served(const original& it, time_point now)
    {
        auto n = bin_of(it.since);
        if (now - it.since <= settings_.caller_timeout)
            ++answered_[n];
        if (in_trigger(now)) {
            ++whole_;
            ++served_[it.workspace];
        }
        if (it.level >= importance::normal)
            ++lesser_answered_[n];
    }

    void count_refused(const original& it, time_point sent)
    {
        ++result_.refused;
        auto n = std::min(bin_of(sent), important_refused_.size() - 1);
        if (it.level < importance::normal)
            ++important_refused_[n];
    }

    // Calls between services.

    duration trip(const node& from, const node& to) const
    {
        bool same = from.self.failure_domain == to.self.failure_domain;
        return same ? duration(100) : settings_.trip;
    }

    void attempt(const call_ptr& it)
    {
        auto* to =
            policy_->choose(*it->from, it->service, it->context, it->tried);
        if (to == nullptr) {
            auto got = refused(reason::overload);
            got.unused_retries = it->retries.left();
            return it->done(got);
        }
        it->context.attempt_id = std::to_string(++last_attempt_);
        it->lent = it->retries.lend();
        it->context.retries = it->lent;
        auto sent = world_.loop.now();
        policy_->sent(*it->from, it->service, *to);
        auto away = trip(*it->from, *to);
        world_.loop.call_after(away, [=] {
            arrive(it, *to, [=](const reply& got) {
                world_.loop.call_after(away,
                                       [=] { answer(it, *to, sent, got); });
            });
        });
    }

    void answer(const call_ptr& it, node& to, time_point sent, reply got)
    {
        auto elapsed = world_.loop.now() - sent;
        policy_->answered(*it->from, it->service, to, got, elapsed);
        it->retries.take_back(it->lent, got.unused_retries);
        it->tried.push_back(to.self.instance);
        auto attempts = static_cast<int>(it->tried.size());
        bool late =
            policy_->checks_deadlines() && world_.loop.now() >= it->deadline;
        if (!got.whole && !late &&
            policy_->retry(*it->from, it->retries, got, attempts))
            return attempt(it);
        got.unused_retries = it->retries.left();
        it->done(got);
    }

    void arrive(const call_ptr& it, node& at,
                const std::function<void(const reply&)>& done)
    {
        bool last = it->service + 1 == settings_.services.size();
        if (last)
            ++arrived_at_last_;
        // A later attempt changes the context of the call.
        auto context = std::make_shared<call_context>(it->context);
        auto send_back = [=, &at](reply got) {
            policy_->feed_back(at, context->depth, got);
            done(got);
        };
        auto decided = [=, &at](std::optional<verdict> refusal) {
            if (!refusal)
                return run(it, context, at, send_back);
            auto got = refused(refusal->why);
            got.unused_retries = context->retries;
            send_back(got);
        };
        policy_->arrive(at, *context, it->deadline, decided);
    }

    void run(const call_ptr& it,
             const std::shared_ptr<const call_context>& context, node& at,
             const std::function<void(reply)>& done)
    {
        bool last = it->service + 1 == settings_.services.size();
        auto end = [=, &at](reply got, duration downstream) {
            // An error from a service below is a whole response of this one.
            bool success = got.what.why != reason::backend_server_failed ||
                           got.what.run == execution::ran;
            policy_->finished(at, *context, success, downstream);
            done(got);
        };
        auto work = [=, &at] {
            if (last)
                ++started_at_last_[at.self.peer.port];
            world_.loop.call_after(own_time(at, last), [=, &at] {
                call_next(it, *context, at,
                          [=, &at](reply got, duration downstream) {
                              at.server.end();
                              end(got, downstream);
                          });
            });
        };
        auto failed = refused(reason::backend_server_failed);
        failed.unused_retries = context->retries;
        if (at.fault.refuses || !at.server.start(work))
            end(failed, duration(0));
    }

    duration own_time(const node& at, bool last)
    {
        auto now = world_.loop.now();
        double mean = static_cast<double>(settings_.mean_service.count());
        mean *= at.fault.slowness;
        if (now - start_ < at.fault.cold)
            mean *= cold_slowness;
        if (last && in_trigger(now))
            mean *= settings_.trigger_slowness;
        return duration(static_cast<duration::rep>(
            -mean * std::log1p(-world_.random.unit())));
    }

    void call_next(const call_ptr& it, const call_context& context, node& at,
                   const std::function<void(reply, duration)>& done)
    {
        auto now = world_.loop.now();
        if (it->service + 1 == settings_.services.size()) {
            reply got;
            got.whole = true;
            got.what.run = execution::ran;
            got.unused_retries = context.retries;
            return done(got, duration(0));
        }
        if (policy_->checks_deadlines() && now >= it->deadline)
            return done(refused(reason::deadline, execution::ran), duration(0));
        auto child = std::make_shared<call>();
        child->from = &at;
        child->service = it->service + 1;
        child->context = context;
        ++child->context.depth;
        child->deadline = it->deadline;
        child->retries = request::retry_allowance(context.retries);
        child->done = [=](const reply& got) {
            auto up = got;
            // This service has run, whatever happened below.
            if (!up.whole)
                up.what.run = execution::ran;
            done(up, world_.loop.now() - now);
        };
        attempt(child);
    }

    // Figures.

    void finish()
    {
        double span = seconds(settings_.trigger);
        double demand = 0;
        for (std::size_t it = 0; it < offered_.size(); ++it)
            demand += offered(it) / span;
        result_.demand = demand / capacity_;
        result_.goodput =
            static_cast<double>(whole_) / span / std::min(demand, capacity_);
        result_.attempts_at_last =
            static_cast<double>(arrived_at_last_) /
            static_cast<double>(std::max<std::uint64_t>(entered_, 1));
        auto started = std::accumulate(
            started_at_last_.begin(), started_at_last_.end(), std::uint64_t(0));
        result_.share_of_first =
            static_cast<double>(started_at_last_[0]) /
            static_cast<double>(std::max<std::uint64_t>(started, 1));
        find_recovery();
        find_shares(span);
        for (std::size_t n = 0; n < important_refused_.size(); ++n) {
            if (lesser_answered_[n] > 0)
                result_.important_refused += important_refused_[n];
        }
    }

    void find_recovery()
    {
        result_.recovery = duration(0);
        for (auto n = bin_of(trigger_end_); n < bin_of(end_); ++n) {
            if (answered_[n] < recovered_share * asked_[n])
                result_.recovery = bin * (n + 1 - bin_of(trigger_end_));
        }
    }

    void find_shares(double span)
    {
        auto fair = fair_shares(span);
        double least = std::numeric_limits<double>::max();
        double missing = 0;
        double inside = 0;
        for (std::size_t it = 0; it < fair.size(); ++it) {
            auto got = static_cast<double>(served_[it]);
            least = std::min(least, got / span / fair[it]);
            double rate = settings_.workspaces[it].rate * capacity_ * span;
            double due = std::min(offered(it), rate);
            missing += std::max(due - got, 0.0);
            inside += due;
        }
        result_.worst_share = least;
        result_.refused_inside_rate = missing / inside;
    }

    double offered(std::size_t workspace) const
    {
        const auto& of = offered_[workspace];
        return static_cast<double>(
            std::accumulate(of.begin(), of.end(), std::uint64_t(0)));
    }

    // Part of the requests of a workspace that passes at a threshold on demand
    // over rate.
    double passing(std::size_t workspace, double threshold, double span) const
    {
        double rate = settings_.workspaces[workspace].rate * capacity_;
        double demand = offered(workspace) / span / rate;
        return demand <= threshold ? 1 : threshold / demand;
    }

    // The fair share of each workspace in requests a second: importance comes
    // first, and in the level that does not pass in full the capacity that is
    // left is shared max-min fair, weighted by the configured rates.
    std::vector<double> fair_shares(double span) const
    {
        std::vector<double> share(offered_.size(), 0);
        double left = capacity_;
        for (std::size_t level = 0; level < 4 && left > 0; ++level) {
            double low = 0;
            double high = 1000;
            for (int n = 0; n < 50; ++n) {
                double middle = (low + high) / 2;
                double sum = 0;
                for (std::size_t it = 0; it < share.size(); ++it)
                    sum += static_cast<double>(offered_[it][level]) / span *
                           passing(it, middle, span);
                (sum <= left ? low : high) = middle;
            }
            for (std::size_t it = 0; it < share.size(); ++it) {
                double got = static_cast<double>(offered_[it][level]) / span *
                             passing(it, low, span);
                share[it] += got;
                left -= got;
            }
        }
        return share;
    }

    const experiment_settings& settings_;
    world world_;
    std::unique_ptr<hop_policy> policy_;
    // Separate from the policy's numbers, so that runs with the same seed get
    // the same requests.
    random_source arrivals_;
    double capacity_;
    time_point start_;
    time_point trigger_;
    time_point trigger_end_;
    time_point end_;
    std::uint64_t last_original_ = 0;
    std::uint64_t last_request_ = 0;
    std::uint64_t last_attempt_ = 0;
    std::uint64_t entered_ = 0;
    std::uint64_t arrived_at_last_ = 0;
    std::vector<std::uint64_t> started_at_last_;
    std::uint64_t whole_ = 0;
    // By workspace and importance.
    std::vector<std::array<std::uint64_t, 4>> offered_;
    std::vector<std::uint64_t> served_;
    std::vector<std::uint32_t> asked_;
    std::vector<std::uint32_t> answered_;
    std::vector<std::uint32_t> important_refused_;
    std::vector<std::uint32_t> lesser_answered_;
    experiment_result result_;
};

std::vector<experiment_workspace> usual_workspaces(double demand)
{
    constexpr double sold = 0.8;
    const double usual = std::min(0.7, demand);
    std::vector<experiment_workspace> made;
    double quiet = 0;
    int number = 0;
    for (double share : {0.3, 0.2, 0.15, 0.1, 0.1, 0.05, 0.05, 0.05}) {
        experiment_workspace it;
        it.name = "workspace-" + std::to_string(++number);
        it.rate = sold * share;
        it.usual = it.peak = usual / sold;
        made.push_back(it);
    }
    for (std::size_t it = 6; it < 8; ++it)
        quiet += made[it].rate * made[it].peak;
    for (std::size_t it = 0; it < 6; ++it)
        made[it].peak = (demand - quiet) / (0.9 * sold);
    return made;
}

} // namespace

experiment_settings deployment_a(double demand)
{
    experiment_settings it;
    it.services = {{"vrsta", 4, 140, 900},
                   {"odobritev", 4, 140, 900},
                   {"dostava", 4, 140, 900},
                   {"sprejem", 4, 30, 300}};
    it.failure_domains = 4;
    it.workspaces = usual_workspaces(demand);
    return it;
}

experiment_settings deployment_b(double demand)
{
    experiment_settings it;
    it.services = {{"weighbridge", 5, 60, 450},
                   {"settlements", 4, 70, 530},
                   {"tarelab", 3, 100, 700},
                   {"quotas", 3, 20, 230}};
    it.failure_domains = 3;
    it.caller_trip = std::chrono::milliseconds(8);
    it.workspaces = usual_workspaces(demand);
    return it;
}

double capacity_of(const experiment_settings& settings)
{
    double least = std::numeric_limits<double>::max();
    auto n = settings.services.size();
    for (std::size_t it = 0; it < n; ++it) {
        const auto& of = settings.services[it];
        // A worker is kept through the services below.
        double held =
            seconds(settings.mean_service) * static_cast<double>(n - it);
        least = std::min(least, of.servers * of.slots / held);
    }
    return least;
}

experiment_result run_experiment(const experiment_settings& settings)
{
    return experiment(settings).run();
}

Json::Value to_json(const experiment_result& it)
{
    Json::Value json;
    json["capacity_per_s"] = it.capacity;
    json["demand"] = it.demand;
    json["goodput"] = it.goodput;
    json["recovery_ms"] = static_cast<double>(it.recovery.count()) / 1000;
    json["worst_share"] = it.worst_share;
    json["refused_inside_rate"] = it.refused_inside_rate;
    json["important_refused"] = Json::UInt64(it.important_refused);
    json["attempts_at_last"] = it.attempts_at_last;
    json["refused"] = Json::UInt64(it.refused);
    json["share_of_first"] = it.share_of_first;
    return json;
}

} // namespace shallotwood::process::experiment
