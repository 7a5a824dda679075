#include "process/execution_controller.hpp"

#include "process/entry_controller.hpp"
#include "process/log.hpp"

#include <algorithm>

namespace shallotwood::process
{

namespace
{

using request::execution;
using request::execution_end;
using request::reason;
using request::refusal;
using request::verdict;

// A process that is terminating may still accept connections when its first
// connection breaks; after this time it no longer does.
constexpr duration crash_recheck_delay = std::chrono::milliseconds(20);

} // namespace

execution_controller::execution_controller(const dependencies& deps)
    : dependencies_(deps)
{
}

execution_controller::~execution_controller() = default;

void execution_controller::server_present(const http::backend_announcement& it)
{
    if (!admission_)
        admission_ = std::make_unique<admission_controller>(
            dependencies_.loop, dependencies_.loop, it.slots,
            dependencies_.queue);
    else if (!server_)
        admission_->restart();
    admission_->set_slots(it.slots);
    server_ = it;
    SHALLOTWOOD_LOG(info) << "event=server-present"
                          << field("service", it.service)
                          << field("slots", it.slots);
}

void execution_controller::server_absent(bool lost)
{
    SHALLOTWOOD_LOG(info) << "event=server-absent" << field("lost", lost)
                          << field("running", running());
    server_.reset();
    if (lost)
        dependencies_.suspects.record_crash();
}

void execution_controller::arrive(const request::call& it, arrive_done done)
{
    dispatch(
        {it, dependencies_.loop.now() + it.context.remaining, std::move(done)});
}

std::optional<reason>
execution_controller::refusal_reason(const arrival& it) const
{
    if (draining_)
        return reason::draining;
    if (!server_ || server_->service != it.call.service)
        return reason::no_backend_server;
    if (it.call.context.depth > request::max_depth)
        return reason::malformed;
    if (it.deadline <= dependencies_.loop.now())
        return reason::deadline;
    return std::nullopt;
}

void execution_controller::dispatch(const arrival& it)
{
    if (auto why = refusal_reason(it)) {
        refuse(it, *why);
        return;
    }
    const auto& id = it.call.context.attempt_id;
    auto placed = dependencies_.suspects.decide_placement(it.call.fingerprint);
    switch (placed.what) {
    case crash_suspects::placement_decision::run:
        admit(it);
        return;
    case crash_suspects::placement_decision::run_alone:
        if (!exclusive_.queue_suspect(id, [this, it] { start(it); }))
            refuse(it, reason::overload);
        else if (admission_->running() == 0)
            exclusive_.idle();
        return;
    case crash_suspects::placement_decision::elsewhere:
        refuse(it, reason::suspected_crash,
               placed.where ? placed.where->instance : "");
        return;
    case crash_suspects::placement_decision::busy:
    case crash_suspects::placement_decision::refuse:
        refuse(it, reason::suspected_crash);
        return;
    }
}

void execution_controller::admit(const arrival& it)
{
    const auto& id = it.call.context.attempt_id;
    if (exclusive_.must_hold_calls()) {
        if (!exclusive_.hold_call(id, [this, it] { dispatch(it); }))
            refuse(it, reason::overload);
        return;
    }
    admission_->arrive(it.call.context, it.deadline,
                       [this, it](const std::optional<verdict>& refused) {
                           if (refused)
                               refuse(it, refused->why);
                           else
                               start(it);
                       });
}

void execution_controller::start(const arrival& it)
{
    const auto& id = it.call.context.attempt_id;
    auto give_up = [&](reason why) {
        admission_->finished(id, false);
        exclusive_.finished(id);
        refuse(it, why);
        resume_exclusive_execution();
    };
    if (auto why = refusal_reason(it)) {
        give_up(*why);
        return;
    }
    using state = attempt_register::admission;
    auto registered = dependencies_.attempts.start(id);
    if (registered != state::started) {
        give_up(registered == state::full ? reason::overload : reason::fenced);
        return;
    }
    auto remaining = it.deadline - dependencies_.loop.now();
    auto token = dependencies_.calls.open(
        {it.call, it.deadline,
         request::retry_allowance(it.call.context.retries)});
    runs_[id] = {token,
                 dependencies_.suspects.record_start(it.call.fingerprint)};
    SHALLOTWOOD_LOG(info) << "event=run"
                          << field("request", it.call.context.request_id)
                          << field("attempt", id)
                          << field("running", admission_->running())
                          << field("limit", admission_->limit());
    it.done(request::execution_permit{token, server_->host, server_->port,
                                      remaining});
}

void execution_controller::refuse(const arrival& it, reason why,
                                  const std::string& redirect)
{
    SHALLOTWOOD_LOG(info) << "event=refuse"
                          << field("request", it.call.context.request_id)
                          << field("attempt", it.call.context.attempt_id)
                          << field("reason", name_of(why));
    ++dependencies_.counts.at("calls_refused",
                              "reason=\"" + std::string(name_of(why)) + "\"");
    refused_retries_ = it.call.context.retries;
    refused_depth_ = it.call.context.depth;
    refused_redirect_ = redirect;
    it.done(
        refusal{{execution::not_run, why}, http_status_of(why), std::nullopt});
    refused_retries_ = 0;
    refused_redirect_.clear();
}

void execution_controller::cancel(const std::string& attempt_id)
{
    if (!exclusive_.cancel(attempt_id) && admission_)
        admission_->cancel(attempt_id);
}

void execution_controller::ended(const std::string& attempt_id,
                                 execution_end how, int /*status*/)
{
    auto ended_run = runs_.extract(attempt_id);
    if (ended_run.empty())
        return;
    const auto& [token, run_id] = ended_run.mapped();
    duration downstream{};
    if (const auto* it = dependencies_.calls.find(token)) {
        downstream = it->downstream;
        if (it->open_children > 0)
            downstream += dependencies_.loop.now() - it->children_since;
    }
    dependencies_.calls.close(token);
    bool refused = how == execution_end::refused;
    dependencies_.attempts.finish(attempt_id,
                                  refused ? execution::not_run
                                          : (how == execution_end::response
                                                 ? execution::ran
                                                 : execution::may_have_run));
    if (how == execution_end::failed)
        check_for_crash(run_id);
    else if (how == execution_end::response)
        dependencies_.suspects.completed(run_id);
    else
        dependencies_.suspects.ended(run_id);
    admission_->finished(attempt_id, how == execution_end::response,
                         downstream);
    exclusive_.finished(attempt_id);
    resume_exclusive_execution();
}

// Called for an incomplete run: either only its connection broke, or the
// backend server has crashed. Crash reports must be sent before the sender is
// answered.
void execution_controller::check_for_crash(crash_suspects::run_id id)
{
    if (detect_crash())
        return;
    dependencies_.loop.call_after(
        crash_recheck_delay, [this, id, alive = std::weak_ptr<bool>(alive_)] {
            if (!alive.expired() && !detect_crash())
                dependencies_.suspects.ended(id);
        });
}

bool execution_controller::detect_crash()
{
    if (!server_ || !dependencies_.refuses_connections(*server_))
        return false;
    // Leads to server_absent(), which reports the crash.
    dependencies_.server_ended();
    return true;
}

void execution_controller::resume_exclusive_execution()
{
    if (!exclusive_.must_hold_calls() || admission_->running() == 0)
        exclusive_.idle();
}

request::call_feedback
execution_controller::feedback(const std::string& attempt_id,
                               const verdict& what)
{
    request::call_feedback made;
    made.what = what;
    auto it = runs_.find(attempt_id);
    if (it == runs_.end()) {
        made.shed_threshold = shed_threshold(refused_depth_);
        made.unused_retries = refused_retries_;
        made.redirect = refused_redirect_;
        return made;
    }
    if (auto* running = dependencies_.calls.find(it->second.token)) {
        // Calls that the backend server makes after this report must not use
        // the retries that it returns.
        made.unused_retries = running->allowance.left();
        running->allowance = request::retry_allowance(0);
        made.shed_threshold =
            std::min(shed_threshold(running->it.context.depth),
                     running->downstream_threshold);
        made.final = running->overload_below;
    }
    return made;
}

void execution_controller::drain(std::function<void()> idle)
{
    draining_ = true;
    exclusive_.resume_all();
    if (admission_)
        admission_->drain(std::move(idle));
    else
        idle();
}

} // namespace shallotwood::process
