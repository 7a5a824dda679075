#include "process/entry_controller.hpp"

#include "process/keyed_hash.hpp"
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

// Retry-after time of a shed caller, before jitter: the lifetime of a cut.
constexpr duration overload_retry_after = std::chrono::seconds(1);

void log_decision(const request::call& it, std::string_view decision,
                  reason why)
{
    SHALLOTWOOD_LOG(info) << "event=entry"
                          << field("request", it.context.request_id)
                          << field("workspace", it.context.workspace)
                          << field("route", it.context.route)
                          << field("decision", decision)
                          << field("reason", name_of(why));
}

} // namespace

int http_status_of(reason why)
{
    switch (why) {
    case reason::no_route:
        return 404;
    case reason::unknown_key:
        return 401;
    case reason::wrong_workspace:
        return 403;
    case reason::missing_idempotency_key:
    case reason::malformed:
        return 400;
    case reason::over_rate:
        return 429;
    case reason::duplicate_in_progress:
    case reason::duplicate:
        return 409;
    case reason::suspected_crash:
        return 422;
    case reason::deadline:
        return 504;
    case reason::connection_failed:
    case reason::connection_silent:
    case reason::backend_server_failed:
        return 502;
    default:
        return 503;
    }
}

entry_controller::entry_controller(const dependencies& deps)
    : dependencies_(deps)
{
}

void entry_controller::enter(const request::caller_request& it,
                             std::function<void(request::entry_result)> done)
{
    auto result = check(it);
    if (auto* refused = std::get_if<refusal>(&result)) {
        done(*refused);
        return;
    }
    auto& accepted = std::get<request::call>(result);
    auto deadline = dependencies_.time.now() + accepted.context.remaining;
    acquire_token({std::move(accepted), deadline, std::move(done)});
}

std::variant<request::call, refusal>
entry_controller::check(const request::caller_request& it)
{
    if (dependencies_.state.draining())
        return make_refusal(reason::draining);
    auto configuration = dependencies_.state.configuration();
    if (!configuration)
        return make_refusal(reason::no_configuration);
    const auto* on = version::find_route(*configuration, it.path);
    if (!on)
        return make_refusal(reason::no_route);
    auto found = authenticate(it, *on, *configuration);
    if (auto* why = std::get_if<verdict>(&found))
        return make_refusal(why->why);
    if (!on->repeatable && it.idempotency_key.empty())
        return make_refusal(reason::missing_idempotency_key);
    const auto& workspace = std::get<std::string>(found);
    auto entry = configuration->workspaces.find(workspace);
    // The fair share of a workspace is proportional to its rate limit.
    auto weight =
        entry == configuration->workspaces.end() ? 1.0 : entry->second.rate;
    auto made = make_call(it, *on, workspace, weight);
    if (made.context.key >=
        std::min(
            dependencies_.shed_thresholds.route_threshold(on->name),
            dependencies_.shed_thresholds.service_threshold(on->service))) {
        log_decision(made, "refuse", reason::overload);
        return make_refusal(reason::overload);
    }
    return made;
}

std::variant<std::string, verdict>
entry_controller::authenticate(const request::caller_request& it,
                               const version::route& on,
                               const version::configuration& in) const
{
    if (on.open)
        return std::string();
    if (dependencies_.state.isolated())
        return verdict{execution::not_run, reason::isolated};
    auto key = in.keys.find(hash_api_key(it.key));
    if (it.key.empty() || key == in.keys.end())
        return verdict{execution::not_run, reason::unknown_key};
    if (in.workspaces.count(key->second) == 0)
        return verdict{execution::not_run, reason::wrong_workspace};
    return key->second;
}

request::call entry_controller::make_call(const request::caller_request& it,
                                          const version::route& on,
                                          const std::string& workspace,
                                          double weight)
{
    request::call made;
    auto& context = made.context;
    context.request_id =
        dependencies_.state.boot() + "-" + std::to_string(++last_request_id_);
    context.attempt_id = context.request_id + ".1";
    context.workspace = workspace;
    context.route = on.name;
    context.level = on.level;
    context.key = make_shed_key(on.level, context.request_id,
                                dependencies_.demand.count(workspace, weight));
    context.repeatable = on.repeatable;
    context.idempotency_key = it.idempotency_key;
    context.remaining = std::min(it.timeout.value_or(on.timeout), on.timeout);
    context.retries = dependencies_.retry_allowance;
    made.service = on.service;
    made.path = it.path;
    made.fingerprint = it.fingerprint;
    return made;
}

void entry_controller::acquire_token(pending it)
{
    if (it.call.context.workspace.empty()) {
        claim(std::move(it));
        return;
    }
    auto workspace = it.call.context.workspace;
    dependencies_.rates.acquire_token(
        workspace, limit_of(workspace),
        [this,
         it = std::move(it)](const std::optional<duration>& refused) mutable {
            if (refused)
                refuse(it, {execution::not_run, reason::over_rate},
                       http_status_of(reason::over_rate), add_jitter(*refused));
            else
                claim(std::move(it));
        });
}

rate::rate_limit entry_controller::limit_of(const std::string& workspace) const
{
    auto configuration = dependencies_.state.configuration();
    auto it = configuration->workspaces.find(workspace);
    if (it == configuration->workspaces.end())
        return {};
    return {it->second.rate, it->second.burst};
}

void entry_controller::claim(pending it)
{
    if (it.call.context.repeatable) {
        accept(std::move(it));
        return;
    }
    auto workspace = it.call.context.workspace;
    auto key = it.call.context.idempotency_key;
    auto deadline = it.deadline;
    dependencies_.records.claim(
        workspace, key, deadline,
        [this, it = std::move(it)](const record::claim_result& result) mutable {
            if (const auto* granted =
                    std::get_if<record::claim_granted>(&result)) {
                claims_[it.call.context.request_id] = granted->claim;
                accept(std::move(it));
            } else if (const auto* ended =
                           std::get_if<record::claim_done>(&result)) {
                replay(it, ended->response);
            } else if (std::get_if<record::claim_in_progress>(&result)) {
                refuse(it,
                       {execution::may_have_run, reason::duplicate_in_progress},
                       http_status_of(reason::duplicate_in_progress),
                       add_jitter(overload_retry_after));
            } else if (std::get_if<record::claim_may_have_run>(&result)) {
                refuse(it,
                       {execution::may_have_run, reason::backend_server_failed},
                       http_status_of(reason::backend_server_failed),
                       std::nullopt);
            } else {
                auto why = std::get<record::claim_refused>(result).why;
                refuse(it, {execution::not_run, why}, http_status_of(why),
                       add_jitter(overload_retry_after));
            }
        });
}

void entry_controller::replay(const pending& it,
                              const request::recorded_response& response)
{
    if (!response.body_recorded) {
        refuse(it, {execution::ran, reason::duplicate},
               http_status_of(reason::duplicate), std::nullopt);
        return;
    }
    log_decision(it.call, "repeat", reason::none);
    it.done(response);
}

void entry_controller::accept(pending it)
{
    auto remaining = it.deadline - dependencies_.time.now();
    if (remaining <= duration::zero()) {
        release_claim(it.call);
        refuse(it, {execution::not_run, reason::deadline},
               http_status_of(reason::deadline), std::nullopt);
        return;
    }
    // The token or the claim came late in a shutdown.
    if (dependencies_.state.ends_before(remaining)) {
        release_claim(it.call);
        refuse(it, {execution::not_run, reason::draining},
               http_status_of(reason::draining),
               add_jitter(overload_retry_after));
        return;
    }
    it.call.context.remaining = remaining;
    ++open_requests_;
    ++dependencies_.counts.at("requests_accepted");
    log_decision(it.call, "accept", reason::none);
    request::entry_result accepted(std::in_place_type<request::call>,
                                   std::move(it.call));
    it.done(std::move(accepted));
}

void entry_controller::refuse(const pending& it, verdict what, int status,
                              std::optional<duration> retry_after)
{
    log_decision(it.call, "refuse", what.why);
    ++dependencies_.counts.at("requests_refused",
                              "reason=\"" + std::string(name_of(what.why)) +
                                  "\"");
    it.done(refusal{what, status, retry_after});
}

refusal entry_controller::make_refusal(reason why)
{
    ++dependencies_.counts.at("requests_refused",
                              "reason=\"" + std::string(name_of(why)) + "\"");
    refusal made{{execution::not_run, why}, http_status_of(why), std::nullopt};
    if (made.status == 503)
        made.retry_after = add_jitter(overload_retry_after);
    return made;
}

// Adds random jitter, so that callers refused together do not retry together.
duration entry_controller::add_jitter(duration base)
{
    auto factor = 1.0 + dependencies_.random.unit();
    return duration(static_cast<duration::rep>(
        static_cast<double>(std::max(base, duration(1)).count()) * factor));
}

void entry_controller::release_claim(const request::call& it)
{
    auto claim = claims_.extract(it.context.request_id);
    if (!claim.empty())
        dependencies_.records.finish(claim.mapped(), execution::not_run,
                                     [](bool) {});
}

void entry_controller::record(const request::call& it,
                              const request::recorded_response& response,
                              std::function<void(std::optional<refusal>)> done)
{
    auto claim = claims_.extract(it.context.request_id);
    if (claim.empty()) {
        done(std::nullopt);
        return;
    }
    // The caller gets its response even if the outcome could not be recorded,
    // because the claim alone keeps the request from running again.
    dependencies_.records.finish(claim.mapped(), response,
                                 [this, done = std::move(done)](bool recorded) {
                                     if (!recorded)
                                         ++dependencies_.counts.at(
                                             "outcomes_not_recorded");
                                     done(std::nullopt);
                                 });
}

void entry_controller::leave(const request::call& it,
                             const request::call_feedback& feedback)
{
    --open_requests_;
    dependencies_.shed_thresholds.update_route(it.context.route,
                                               feedback.shed_threshold);
    if (feedback.what.run == execution::not_run) {
        release_claim(it);
        return;
    }
    auto claim = claims_.extract(it.context.request_id);
    if (!claim.empty())
        dependencies_.records.finish(claim.mapped(), execution::may_have_run,
                                     [](bool) {});
}

} // namespace shallotwood::process
