#include "process/experiment/load_policies.hpp"

#include <algorithm>

namespace shallotwood::process::experiment::load_model
{

namespace
{

class shallotwood_policy final : public hop_policy
{
public:
    using hop_policy::hop_policy;

    bool enter(node& at, call_context& it, double weight) override
    {
        it.key = make_shed_key(it.level, it.request_id,
                               at.demand.count(it.workspace, weight));
        return it.key < at.shed_thresholds.route_threshold(entry_route);
    }

    node* choose(node& from, std::size_t service, const call_context& it,
                 const std::vector<std::string>& tried) override
    {
        const auto& name = all().settings.services[service].name;
        auto shed_threshold = from.shed_thresholds.service_threshold(name);
        if (it.key >= shed_threshold)
            return nullptr;
        const auto* to = from.routes.choose(
            name, tried, shed_threshold != request::no_shed_threshold);
        return to == nullptr ? nullptr
                             : all().nodes[service][to->peer.port].get();
    }

    void sent(node& from, std::size_t service, node& to) override
    {
        from.routes.sent(all().settings.services[service].name,
                         to.self.instance);
    }

    void arrive(node& at, const call_context& it, time_point deadline,
                decision done) override
    {
        at.gate.arrive(it, deadline, std::move(done));
    }

    void finished(node& at, const call_context& it, bool success,
                  duration downstream) override
    {
        at.gate.finished(it.attempt_id, success, downstream);
    }

    void answered(node& from, std::size_t service, node& to, const reply& it,
                  duration elapsed) override
    {
        const auto& name = all().settings.services[service].name;
        from.routes.answered(name, to.self.instance, outcome_of(it), elapsed);
        from.shed_thresholds.update_service(name, it.shed_threshold);
        if (it.whole)
            from.retries.succeeded();
    }

    bool retry(node& from, request::retry_allowance& left, const reply& last,
               int) override
    {
        return !last.final && left.left() > 0 && from.retries.spend() &&
               left.spend();
    }

    void feed_back(node& at, int depth, reply& it) override
    {
        it.shed_threshold =
            std::min(it.shed_threshold, at.gate.shed_threshold(depth));
    }

    void left(node& at, const reply& it) override
    {
        at.shed_thresholds.update_route(entry_route, it.shed_threshold);
    }

    bool checks_deadlines() const override { return true; }

private:
    static attempt_outcome outcome_of(const reply& it)
    {
        if (it.whole)
            return attempt_outcome::success;
        // What failed below says nothing about the backend server that ran.
        if (it.what.run == execution::ran)
            return attempt_outcome::unknown;
        bool failed = it.what.why == reason::backend_server_failed;
        return failed ? attempt_outcome::failed : attempt_outcome::refused;
    }
};

// Any backend server at random; everything is forwarded.
class pass_through_policy : public hop_policy
{
public:
    using hop_policy::hop_policy;

    bool enter(node&, call_context&, double) override { return true; }

    node* choose(node&, std::size_t service, const call_context&,
                 const std::vector<std::string>&) override
    {
        return &all().any(service);
    }

    void arrive(node&, const call_context&, time_point, decision done) override
    {
        done(std::nullopt);
    }

    void finished(node&, const call_context&, bool, duration) override {}

    bool retry(node&, request::retry_allowance&, const reply&, int) override
    {
        return false;
    }

    bool checks_deadlines() const override { return false; }
};

// As many requests at once as slots, a queue of the same length, and two
// retries at each hop.
class static_limits_policy final : public pass_through_policy
{
public:
    using pass_through_policy::pass_through_policy;

    void arrive(node& at, const call_context&, time_point,
                decision done) override
    {
        if (at.running < at.self.slots) {
            ++at.running;
            return done(std::nullopt);
        }
        if (static_cast<int>(at.waiting.size()) >= at.self.slots)
            return done(verdict{execution::not_run, reason::overload});
        at.waiting.push_back([done] { done(std::nullopt); });
    }

    void finished(node& at, const call_context&, bool, duration) override
    {
        if (at.waiting.empty()) {
            --at.running;
            return;
        }
        auto next = std::move(at.waiting.front());
        at.waiting.pop_front();
        next();
    }

    bool retry(node&, request::retry_allowance&, const reply&,
               int attempts) override
    {
        return attempts < 3;
    }
};

} // namespace

std::unique_ptr<hop_policy> make_policy(world& in)
{
    switch (in.settings.policy) {
    case load_policy::pass_through:
        return std::make_unique<pass_through_policy>(in);
    case load_policy::static_limits:
        return std::make_unique<static_limits_policy>(in);
    default:
        return std::make_unique<shallotwood_policy>(in);
    }
}

} // namespace shallotwood::process::experiment::load_model
