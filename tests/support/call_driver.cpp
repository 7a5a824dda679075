#include "support/call_driver.hpp"

namespace shallotwood::test
{

using request::call_feedback;
using request::execution;
using request::execution_end;
using request::reason;
using request::refusal;
using request::target;

struct call_driver::node {
    std::string instance;
    policies of;
    bool alive = true;
    bool answers_lost = false;
    // Raised when the backend server crashes: runs of an older one have failed.
    int server_incarnation = 0;
};

// One call from one node, with its attempts.
struct call_driver::sending : std::enable_shared_from_this<sending> {
    node_ptr from;
    request::call it;
    std::vector<std::string> tried;
    // Counts attempts; an answer to an older one is late and dropped.
    int attempt = 0;
    process::time_point sent_at;
    process::time_point deadline;
    process::timer_id silence{};
    std::function<void(const call_feedback&)> done;
};

// One attempt under way; the call as it was when it was sent.
struct call_driver::attempt {
    sending_ptr of;
    request::call call;
    int number = 0;
    target to;
    int server_incarnation = 0;
};

void call_driver::add(const std::string& instance, const policies& of)
{
    nodes_[instance] = std::make_shared<node>(node{instance, of});
}

void call_driver::remove(const std::string& instance)
{
    if (auto it = nodes_.extract(instance); !it.empty())
        it.mapped()->alive = false;
}

void call_driver::crash_server(const std::string& instance)
{
    if (auto it = find(instance))
        ++it->server_incarnation;
    if (on_crash)
        on_crash(instance);
}

void call_driver::delay_attempts(const std::string& instance,
                                 process::duration by)
{
    delays_[instance] = by;
}

void call_driver::drop_answers(const std::string& instance, bool on)
{
    if (auto it = find(instance))
        it->answers_lost = on;
}

call_driver::node_ptr call_driver::find(const std::string& instance) const
{
    auto it = nodes_.find(instance);
    return it == nodes_.end() ? nullptr : it->second;
}

int call_driver::runs_of(const std::string& name) const
{
    auto it = runs_.find(name);
    return it == runs_.end() ? 0 : it->second;
}

int call_driver::runs_on(const std::string& instance) const
{
    auto it = runs_on_.find(instance);
    return it == runs_on_.end() ? 0 : it->second;
}

void call_driver::send(const std::string& instance,
                       const request::caller_request& it,
                       const std::function<void(const caller_result&)>& done)
{
    auto from = find(instance);
    if (!from || frozen_.count(instance) != 0) {
        done({false,
              false,
              0,
              {execution::not_run, reason::connection_failed},
              ""});
        return;
    }
    from->of.entry.enter(it, [this, from, done](request::entry_result result) {
        if (const auto* refused = std::get_if<refusal>(&result)) {
            done({false, false, refused->status, refused->what, ""});
            return;
        }
        if (const auto* old =
                std::get_if<request::recorded_response>(&result)) {
            done({true,
                  true,
                  old->status,
                  {execution::ran, reason::none},
                  old->body});
            return;
        }
        auto sent = std::make_shared<sending>();
        sent->from = from;
        sent->it = std::get<request::call>(result);
        sent->deadline = loop_.now() + sent->it.context.remaining;
        sent->done = [sent = sent.get(), from,
                      done](const call_feedback& back) {
            bool whole = back.what.run == execution::ran &&
                         back.what.why == reason::none;
            auto finish = [self = sent->shared_from_this(), from, done, back,
                           whole] {
                from->of.entry.leave(self->it, back);
                done({whole, false, whole ? 200 : 503, back.what,
                      whole ? self->it.context.request_id : ""});
            };
            if (!whole || sent->it.context.repeatable) {
                finish();
                return;
            }
            from->of.entry.record(
                sent->it,
                {200, "text/plain", sent->it.context.request_id, true},
                [finish](const std::optional<refusal>&) { finish(); });
        };
        forward(sent);
    });
}

void call_driver::forward(const sending_ptr& it)
{
    if (!it->from->alive)
        return;
    auto chosen = it->from->of.routing.choose(it->it, it->tried);
    if (const auto* refused = std::get_if<refusal>(&chosen)) {
        it->done({refused->what, it->it.context.retries,
                  request::no_shed_threshold, true});
        return;
    }
    auto to = std::get<target>(chosen);
    it->tried.push_back(to.instance);
    ++it->attempt;
    it->sent_at = loop_.now();
    it->it.context.remaining = it->deadline - loop_.now();
    it->from->of.routing.sent(it->it, to);
    auto flight =
        std::make_shared<attempt>(attempt{it, it->it, it->attempt, to});
    it->silence = loop_.call_after(silence_limit,
                                   [this, flight] { went_silent(flight); });
    loop_.call_after(trip + delays_[to.instance],
                     [this, flight] { deliver(flight); });
}

void call_driver::deliver(const attempt_ptr& it)
{
    auto at = find(it->to.instance);
    if (!at) {
        attempt_ended(it, {{execution::not_run, reason::connection_failed},
                           it->call.context.retries,
                           request::no_shed_threshold,
                           false});
        return;
    }
    if (frozen_.count(it->to.instance) != 0) {
        // Waits in the socket of the frozen process.
        loop_.call_after(std::chrono::milliseconds(100),
                         [this, it] { deliver(it); });
        return;
    }
    at->of.execution.arrive(
        it->call, [this, it, at](
                      std::variant<request::execution_permit, refusal> result) {
            if (const auto* refused = std::get_if<refusal>(&result))
                reply(it, at,
                      at->of.execution.feedback(it->call.context.attempt_id,
                                                refused->what));
            else
                execute(it, at, std::get<request::execution_permit>(result));
        });
}

void call_driver::execute(const attempt_ptr& it, const node_ptr& at,
                          const request::execution_permit& permit)
{
    const auto& context = it->call.context;
    ++runs_on_[at->instance];
    if (context.depth == 0) {
        ++runs_[context.idempotency_key.empty() ? it->call.path
                                                : context.idempotency_key];
        ++runs_by_workspace[context.workspace];
    }
    it->server_incarnation = at->server_incarnation;
    if (it->call.path == crash_path) {
        crash_server(at->instance);
        end_run(it, at, false);
        return;
    }
    auto token = permit.token;
    loop_.call_after(service_time, [this, it, at, token] {
        run_children(it, at, token, 0,
                     [this, it, at](bool whole) { end_run(it, at, whole); });
    });
}

void call_driver::run_children(const attempt_ptr& it, const node_ptr& at,
                               const std::string& token, std::size_t next,
                               const std::function<void(bool)>& done)
{
    auto services = calls_of_service.find(it->call.service);
    if (services == calls_of_service.end() || next >= services->second.size()) {
        done(true);
        return;
    }
    auto begun = at->of.routing.begin_child(token, services->second[next],
                                            "/child" + it->call.path);
    if (!std::holds_alternative<request::call>(begun)) {
        done(false);
        return;
    }
    auto child = std::make_shared<sending>();
    child->from = at;
    child->it = std::get<request::call>(begun);
    child->deadline = loop_.now() + child->it.context.remaining;
    // The call owns its callback, so the callback must not own the call.
    child->done = [this, it, at, token, next, child = child.get(),
                   done](const call_feedback& back) {
        at->of.routing.end_child(token, child->it, back);
        if (back.what.run == execution::ran && back.what.why == reason::none)
            run_children(it, at, token, next + 1, done);
        else
            done(false);
    };
    forward(child);
}

void call_driver::end_run(const attempt_ptr& it, const node_ptr& at, bool whole)
{
    if (!at->alive)
        return;
    const auto& id = it->call.context.attempt_id;
    bool failed = it->server_incarnation != at->server_incarnation;
    auto why = whole ? reason::none : reason::backend_server_failed;
    auto what = failed ? request::verdict{execution::may_have_run,
                                          reason::backend_server_failed}
                       : request::verdict{execution::ran, why};
    auto back = at->of.execution.feedback(id, what);
    reply(it, at, back);
    at->of.execution.ended(
        id, failed ? execution_end::failed : execution_end::response,
        whole ? 200 : 503);
}

void call_driver::reply(const attempt_ptr& it, const node_ptr& from,
                        const call_feedback& back)
{
    if (!from->answers_lost && from->alive)
        loop_.call_after(trip, [this, it, back] { attempt_ended(it, back); });
}

void call_driver::attempt_ended(const attempt_ptr& it,
                                const call_feedback& back)
{
    auto& of = *it->of;
    // A late answer, or one after the fence.
    if (!of.from->alive || it->number != of.attempt)
        return;
    loop_.cancel(of.silence);
    of.from->of.routing.answered(of.it, it->to, back, loop_.now() - of.sent_at);
    if (back.what.why != reason::none &&
        of.from->of.routing.retry(of.it, back)) {
        forward(it->of);
        return;
    }
    ++of.attempt;
    of.done(back);
}

void call_driver::went_silent(const attempt_ptr& it)
{
    auto& of = *it->of;
    if (!of.from->alive || it->number != of.attempt)
        return;
    of.from->of.routing.fence(of.it, it->to, [this, it](execution run) {
        bool unrun = run == execution::not_run;
        attempt_ended(
            it, {{run, unrun ? reason::fenced : reason::connection_silent},
                 unrun ? it->call.context.retries : 0,
                 request::no_shed_threshold,
                 false});
    });
}

} // namespace shallotwood::test
