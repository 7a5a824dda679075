#include "process/pass_through_policy.hpp"

#include "process/keyed_hash.hpp"

#include <algorithm>
#include <utility>

namespace shallotwood::process
{

using request::call;
using request::call_feedback;
using request::execution;
using request::execution_permit;
using request::reason;
using request::refusal;
using request::target;

namespace
{

constexpr std::size_t id_bytes = 9;

refusal not_run(reason why, int status)
{
    return {{execution::not_run, why}, status, {}};
}

} // namespace

pass_through_policy::pass_through_policy(pass_through_settings settings)
    : settings_(std::move(settings)), id_prefix_(random_token(id_bytes))
{
}

void pass_through_policy::set_backend(std::string host, std::uint16_t port)
{
    backend_host_ = std::move(host);
    backend_port_ = port;
}

void pass_through_policy::clear_backend()
{
    backend_port_ = 0;
}

void pass_through_policy::add_member(const std::string& service, target member)
{
    settings_.members[service].push_back(std::move(member));
}

std::string pass_through_policy::next_id()
{
    return id_prefix_ + "." + std::to_string(++last_id_);
}

void pass_through_policy::enter(const request::caller_request& it,
                                std::function<void(request::entry_result)> done)
{
    auto matches = [&](const auto& route) {
        return it.path.compare(0, route.prefix.size(), route.prefix) == 0;
    };
    auto route =
        std::find_if(settings_.routes.begin(), settings_.routes.end(), matches);
    if (route == settings_.routes.end())
        return done(not_run(reason::no_route, 404));
    call entered;
    entered.service = route->service;
    entered.path = it.path;
    entered.fingerprint = it.fingerprint;
    auto& context = entered.context;
    context.request_id = next_id();
    context.attempt_id = context.request_id + ".1";
    context.route = route->prefix;
    context.repeatable = route->repeatable;
    context.idempotency_key = it.idempotency_key;
    context.remaining = it.timeout.value_or(settings_.default_timeout);
    context.retries = settings_.retries;
    done(std::move(entered));
}

void pass_through_policy::record(
    const call& /*it*/, const request::recorded_response& /*response*/,
    std::function<void(std::optional<refusal>)> done)
{
    done(std::nullopt);
}

void pass_through_policy::leave(const call& /*it*/,
                                const call_feedback& /*feedback*/)
{
}

std::variant<target, refusal>
pass_through_policy::choose(const call& it,
                            const std::vector<std::string>& tried)
{
    const auto& members = settings_.members[it.service];
    auto& next = next_member_[it.service];
    for (std::size_t n = 0; n < members.size(); ++n) {
        const auto& member = members[next++ % members.size()];
        if (std::find(tried.begin(), tried.end(), member.instance) ==
            tried.end())
            return member;
    }
    return not_run(reason::no_backend_server, 503);
}

void pass_through_policy::sent(const call& /*it*/, const target& /*to*/) {}

void pass_through_policy::answered(const call& /*it*/, const target& /*to*/,
                                   const call_feedback& /*feedback*/,
                                   duration /*elapsed*/)
{
}

bool pass_through_policy::retry(call& it, const call_feedback& feedback)
{
    if (feedback.final || it.context.retries <= 0)
        return false;
    --it.context.retries;
    it.context.attempt_id = next_id();
    return true;
}

void pass_through_policy::fence(const call& /*it*/, const target& /*to*/,
                                std::function<void(execution)> done)
{
    done(execution::may_have_run);
}

std::variant<call, refusal>
pass_through_policy::begin_child(const std::string& token,
                                 const std::string& service,
                                 const std::string& path)
{
    auto attempt = attempt_of_token_.find(token);
    if (attempt == attempt_of_token_.end())
        return not_run(reason::cancelled, 403);
    call child = running_.at(attempt->second).call;
    if (child.context.depth >= request::max_depth)
        return not_run(reason::no_route, 508);
    child.service = service;
    child.path = path;
    child.fingerprint.clear();
    child.context.attempt_id = next_id();
    ++child.context.depth;
    return child;
}

void pass_through_policy::end_child(const std::string& /*token*/,
                                    const call& /*child*/,
                                    const call_feedback& /*feedback*/)
{
}

void pass_through_policy::arrive(
    const call& it,
    std::function<void(std::variant<execution_permit, refusal>)> done)
{
    if (backend_port_ == 0)
        return done(not_run(reason::no_backend_server, 503));
    auto token = random_token(id_bytes);
    attempt_of_token_[token] = it.context.attempt_id;
    running_[it.context.attempt_id] = {it, token};
    done(execution_permit{token, backend_host_, backend_port_,
                          it.context.remaining});
}

void pass_through_policy::cancel(const std::string& /*attempt_id*/) {}

void pass_through_policy::ended(const std::string& attempt_id,
                                request::execution_end /*how*/, int /*status*/)
{
    auto it = running_.find(attempt_id);
    if (it == running_.end())
        return;
    attempt_of_token_.erase(it->second.token);
    running_.erase(it);
}

call_feedback pass_through_policy::feedback(const std::string& attempt_id,
                                            const request::verdict& what)
{
    auto it = running_.find(attempt_id);
    int retries = it == running_.end() ? 0 : it->second.call.context.retries;
    return {what, retries, request::no_shed_threshold, false};
}

} // namespace shallotwood::process
