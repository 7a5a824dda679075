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
struct call_driver::sending {
    node_ptr from;
    request::call it;
    std::vector<std::string> tried;
    // Counts attempts; an answer to an older one is late and dropped.
    int attempt = 0;
    process::time_point sent_at;
    process::time_point deadline;
    process::timer_id silence{};
    int incarnation = 0;
    std::function<void(const call_feedback&)> done;
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
                       std::function<void(const caller_result&)> done)
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
        sent->done = [sent, from, done](const call_feedback& back) {
            bool whole = back.what.run == execution::ran &&
                         back.what.why == reason::none;
            auto finish = [sent, from, done, back, whole] {
                from->of.entry.leave(sent->it, back);
                done({whole, false, whole ? 200 : 503, back.what,
                      whole ? sent->it.context.request_id : ""});
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
        it->done(
            {refused->what, it->it.context.retries, request::no_cut, true});
        return;
    }
    auto to = std::get<target>(chosen);
    it->tried.push_back(to.instance);
    ++it->attempt;
    it->sent_at = loop_.now();
    it->it.context.remaining = it->deadline - loop_.now();
    it->from->of.routing.sent(it->it, to);
    it->silence = loop_.call_after(silence_limit,
                                   [this, it, to] { went_silent(it, to); });
    loop_.call_after(trip, [this, it, to] { deliver(it, to); });
}

void call_driver::deliver(const sending_ptr& it, const target& to)
{
    auto at = find(to.instance);
    if (!at) {
        attempt_ended(it, to,
                      {{execution::not_run, reason::connection_failed},
                       it->it.context.retries,
                       request::no_cut,
                       false});
        return;
    }
    if (frozen_.count(to.instance) != 0) {
        // Waits in the socket of the frozen process.
        loop_.call_after(std::chrono::milliseconds(100),
                         [this, it, to] { deliver(it, to); });
        return;
    }
    int number = it->attempt;
    auto arrived = it->it;
    at->of.execution.arrive(
        arrived, [this, it, at, to, number, arrived](
                     std::variant<request::execution_permit, refusal> result) {
            if (const auto* refused = std::get_if<refusal>(&result)) {
                auto back = at->of.execution.feedback(
                    arrived.context.attempt_id, refused->what);
                back.unused_retries = arrived.context.retries;
                if (number == it->attempt)
                    reply(it, at, to, back);
                return;
            }
            execute(it, at, to, std::get<request::execution_permit>(result));
        });
}

void call_driver::execute(const sending_ptr& it, const node_ptr& at,
                          const target& to,
                          const request::execution_permit& permit)
{
    const auto& key = it->it.context.idempotency_key;
    ++runs_[key.empty() ? it->it.path : key];
    ++runs_on_[at->instance];
    if (it->it.context.depth == 0)
        ++runs_by_workspace[it->it.context.workspace];
    it->incarnation = at->server_incarnation;
    if (it->it.path == crash_path) {
        crash_server(at->instance);
        end_run(it, at, to, false);
        return;
    }
    auto token = permit.token;
    loop_.call_after(service_time, [this, it, at, to, token] {
        run_children(it, at, token, 0, [this, it, at, to](bool whole) {
            end_run(it, at, to, whole);
        });
    });
}

void call_driver::run_children(const sending_ptr& it, const node_ptr& at,
                               const std::string& token, std::size_t next,
                               std::function<void(bool)> done)
{
    auto services = calls_of_service.find(it->it.service);
    if (services == calls_of_service.end() || next >= services->second.size()) {
        done(true);
        return;
    }
    auto begun =
        at->of.routing.begin_child(token, services->second[next], it->it.path);
    if (!std::holds_alternative<request::call>(begun)) {
        done(false);
        return;
    }
    auto child = std::make_shared<sending>();
    child->from = at;
    child->it = std::get<request::call>(begun);
    child->deadline = loop_.now() + child->it.context.remaining;
    child->done = [this, it, at, token, next, child,
                   done](const call_feedback& back) {
        at->of.routing.end_child(token, child->it, back);
        if (back.what.run == execution::ran && back.what.why == reason::none)
            run_children(it, at, token, next + 1, done);
        else
            done(false);
    };
    forward(child);
}

void call_driver::end_run(const sending_ptr& it, const node_ptr& at,
                          const target& to, bool whole)
{
    if (!at->alive)
        return;
    const auto& id = it->it.context.attempt_id;
    bool failed = it->incarnation != at->server_incarnation;
    auto what = failed
                    ? request::verdict{execution::may_have_run,
                                       reason::backend_server_failed}
                    : request::verdict{execution::ran,
                                       whole ? reason::none
                                             : reason::backend_server_failed};
    auto back = at->of.execution.feedback(id, what);
    at->of.execution.ended(
        id, failed ? execution_end::failed : execution_end::response,
        whole ? 200 : 503);
    reply(it, at, to, back);
}

void call_driver::reply(const sending_ptr& it, const node_ptr& from,
                        const target& to, const call_feedback& back)
{
    if (from->answers_lost || !from->alive)
        return;
    int number = it->attempt;
    loop_.call_after(trip, [this, it, to, back, number] {
        if (number == it->attempt)
            attempt_ended(it, to, back);
    });
}

void call_driver::attempt_ended(const sending_ptr& it, const target& to,
                                const call_feedback& back)
{
    if (!it->from->alive)
        return;
    loop_.cancel(it->silence);
    it->from->of.routing.answered(it->it, to, back, loop_.now() - it->sent_at);
    if (back.what.why != reason::none &&
        it->from->of.routing.retry(it->it, back)) {
        forward(it);
        return;
    }
    // Later answers are late.
    ++it->attempt;
    it->done(back);
}

void call_driver::went_silent(const sending_ptr& it, const target& to)
{
    if (!it->from->alive)
        return;
    int number = it->attempt;
    it->from->of.routing.fence(
        it->it, to, [this, it, to, number](execution run) {
            if (number != it->attempt)
                return;
            attempt_ended(
                it, to,
                {{run, reason::connection_silent},
                 run == execution::not_run ? it->it.context.retries : 0,
                 request::no_cut,
                 false});
        });
}

} // namespace shallotwood::test
