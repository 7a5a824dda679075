#include "process/routing_controller.hpp"

#include "process/log.hpp"

#include <algorithm>

namespace shallotwood::process
{

namespace
{

using request::execution;
using request::reason;
using request::refusal;
using request::verdict;

refusal refuse(reason why)
{
    return {{execution::not_run, why}, http_status_of(why), std::nullopt};
}

attempt_outcome outcome_of(const verdict& what)
{
    switch (what.why) {
    case reason::none:
        return attempt_outcome::success;
    case reason::overload:
    case reason::draining:
        // A call that ran was refused further down the call graph.
        return what.run == execution::not_run ? attempt_outcome::refused
                                              : attempt_outcome::unknown;
    case reason::connection_failed:
    case reason::connection_silent:
    case reason::backend_server_failed:
        return attempt_outcome::failed;
    default:
        return attempt_outcome::unknown;
    }
}

// Returns true for refusals that any other backend server would repeat.
bool is_final(reason why)
{
    switch (why) {
    case reason::overload:
    case reason::draining:
    case reason::fenced:
    case reason::no_backend_server:
    case reason::connection_failed:
    case reason::connection_silent:
    case reason::backend_server_failed:
        return false;
    default:
        return true;
    }
}

// Retries left after a failed attempt. An attempt that never reached a node
// used none; one that ended without a report may have used all.
int retries_left(const request::call_context& of,
                 const request::call_feedback& feedback)
{
    bool unsent =
        feedback.what == verdict{execution::not_run, reason::connection_failed};
    return unsent ? of.retries : std::min(of.retries, feedback.unused_retries);
}

} // namespace

routing_controller::routing_controller(const dependencies& deps)
    : dependencies_(deps)
{
    dependencies_.members.listen([this](const member& changed) {
        if (assigned_services_.count(changed.service) != 0)
            assign(changed.service);
    });
}

void routing_controller::assign(const std::string& service)
{
    auto serving = dependencies_.members.serving(service);
    if (auto configuration = dependencies_.state.configuration()) {
        auto leaves = [&](const member& it) {
            auto intent = configuration->servers.find(it.instance);
            return intent != configuration->servers.end() &&
                   intent->second == version::server_intent::leave;
        };
        serving.erase(std::remove_if(serving.begin(), serving.end(), leaves),
                      serving.end());
    }
    dependencies_.servers.assign(service, serving);
}

void routing_controller::reassign_all()
{
    for (const auto& it : assigned_services_)
        assign(it);
}

std::variant<request::target, refusal>
routing_controller::choose(const request::call& it,
                           const std::vector<std::string>& tried)
{
    if (assigned_services_.insert(it.service).second)
        assign(it.service);
    if (!it.instance.empty())
        return redirect(it, tried);
    auto shed_threshold =
        dependencies_.shed_thresholds.service_threshold(it.service);
    const auto* chosen = dependencies_.servers.choose(
        it.service, tried, shed_threshold != request::no_shed_threshold);
    SHALLOTWOOD_LOG(info) << "event=placement"
                          << field("request", it.context.request_id)
                          << field("attempt", it.context.attempt_id)
                          << field("service", it.service)
                          << field("instance",
                                   chosen ? chosen->instance : "none")
                          << field("tried", tried.size());
    if (!chosen) {
        ++dependencies_.counts.at("calls_without_backend_server");
        return refuse(reason::no_backend_server);
    }
    return request::target{chosen->instance, chosen->peer.host,
                           chosen->http_port};
}

std::variant<request::target, refusal>
routing_controller::redirect(const request::call& it,
                             const std::vector<std::string>& tried) const
{
    auto found = dependencies_.members.find(it.instance);
    bool used =
        std::find(tried.begin(), tried.end(), it.instance) != tried.end();
    if (!found || used || found->service != it.service)
        return refuse(reason::no_backend_server);
    return request::target{found->instance, found->peer.host, found->http_port};
}

void routing_controller::sent(const request::call& it,
                              const request::target& to)
{
    ++dependencies_.counts.at("attempts");
    auto known = dependencies_.members.find(to.instance);
    sent_attempts_[it.context.attempt_id] = {dependencies_.time.now(),
                                             known ? known->incarnation : 0};
    dependencies_.servers.sent(it.service, to.instance);
}

void routing_controller::answered(const request::call& it,
                                  const request::target& to,
                                  const request::call_feedback& feedback,
                                  duration elapsed)
{
    sent_attempts_.erase(it.context.attempt_id);
    dependencies_.servers.answered(it.service, to.instance,
                                   outcome_of(feedback.what), elapsed);
    dependencies_.shed_thresholds.update_service(it.service,
                                                 feedback.shed_threshold);
    if (feedback.what == verdict{execution::ran, reason::none})
        dependencies_.retries.succeeded();
}

bool routing_controller::retry(request::call& it,
                               const request::call_feedback& feedback)
{
    if (feedback.redirect.empty() &&
        (feedback.final || is_final(feedback.what.why)))
        return false;
    if (!it.context.repeatable && feedback.what.run != execution::not_run)
        return false;
    auto left = retries_left(it.context, feedback);
    if (left <= 0 || !dependencies_.retries.spend())
        return false;
    it.context.retries = left - 1;
    it.instance = feedback.redirect;
    it.context.attempt_id = next_attempt_id(it.context);
    ++dependencies_.counts.at("retries");
    return true;
}

std::string routing_controller::next_attempt_id(const request::call_context& of)
{
    return of.request_id + "." + dependencies_.state.boot() + "." +
           std::to_string(++last_attempt_);
}

void routing_controller::fence(const request::call& it,
                               const request::target& to,
                               std::function<void(execution)> done)
{
    ++dependencies_.counts.at("fences");
    auto found = dependencies_.members.find(to.instance);
    auto sending = sent_attempts_.find(it.context.attempt_id);
    if (!found || sending == sent_attempts_.end()) {
        done(execution::may_have_run);
        return;
    }
    dependencies_.attempts.request_fence(
        found->peer, it.context.attempt_id, sending->second.incarnation,
        dependencies_.time.now() - sending->second.at, std::move(done));
}

std::variant<request::call, refusal>
routing_controller::begin_child(const std::string& token,
                                const std::string& service,
                                const std::string& path)
{
    auto* parent = dependencies_.calls.find(token);
    if (!parent || parent->open_children >= max_open_children)
        return refuse(reason::malformed);
    const auto& above = parent->it.context;
    auto remaining = parent->deadline - dependencies_.time.now();
    if (remaining <= duration::zero())
        return refuse(reason::deadline);
    if (above.depth + 1 > request::max_depth)
        return refuse(reason::malformed);
    if (dependencies_.state.ends_before(remaining))
        return refuse(reason::draining);
    if (above.key >= dependencies_.shed_thresholds.service_threshold(service)) {
        parent->overload_below = true;
        parent->downstream_threshold =
            std::min(parent->downstream_threshold,
                     dependencies_.shed_thresholds.service_threshold(service));
        return refuse(reason::overload);
    }
    request::call child;
    child.context = above;
    child.context.attempt_id = next_attempt_id(above);
    child.context.remaining = remaining;
    child.context.retries = parent->allowance.lend();
    child.context.depth = above.depth + 1;
    child.service = service;
    child.path = path;
    child.fingerprint = parent->it.fingerprint + "/" + service;
    if (parent->open_children++ == 0)
        parent->children_since = dependencies_.time.now();
    return child;
}

void routing_controller::end_child(const std::string& token,
                                   const request::call& child,
                                   const request::call_feedback& feedback)
{
    auto* parent = dependencies_.calls.find(token);
    if (!parent)
        return;
    parent->allowance.take_back(child.context.retries, feedback.unused_retries);
    parent->downstream_threshold =
        std::min(parent->downstream_threshold, feedback.shed_threshold);
    if (feedback.what.why == reason::overload)
        parent->overload_below = true;
    if (--parent->open_children == 0)
        parent->downstream += dependencies_.time.now() - parent->children_since;
}

} // namespace shallotwood::process
