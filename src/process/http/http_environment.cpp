#include "process/http/http_environment.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace shallotwood::process::http
{

namespace
{

using connection::header_list;
namespace header_name = connection::header_name;

// Retry-After takes whole seconds. The value is random between one and two
// times the wait, so that callers refused together don't retry at the same
// time.
std::string retry_after_text(duration wait, random_source& random)
{
    double seconds = std::max(1.0, std::chrono::duration<double>(wait).count());
    auto jittered = seconds * (1.0 + random.unit());
    return std::to_string(std::lround(jittered));
}

} // namespace

std::shared_ptr<void> http_environment::hold_in_flight()
{
    ++in_flight;
    return {this, [](http_environment* it) {
                --it->in_flight;
                if (it->in_flight == 0 && it->draining && it->on_idle)
                    it->loop.call_after(duration(0), it->on_idle);
            }};
}

scoped_timer::~scoped_timer()
{
    if (id_ != timer_id{})
        loop_.cancel(id_);
}

void scoped_timer::start(duration delay, std::function<void()> task)
{
    task_ = std::move(task);
    due_ = loop_.now() + std::max(delay, duration(0));
    if (id_ != timer_id{} && armed_at_ <= due_)
        return;
    if (id_ != timer_id{})
        loop_.cancel(id_);
    arm(due_);
}

void scoped_timer::cancel()
{
    task_ = nullptr;
}

void scoped_timer::arm(time_point at)
{
    armed_at_ = at;
    id_ = loop_.call_after(std::max(at - loop_.now(), duration(0)),
                           [this] { fire(); });
}

void scoped_timer::fire()
{
    id_ = timer_id{};
    if (!task_)
        return;
    if (due_ > loop_.now())
        return arm(due_);
    // The task may destroy the timer.
    auto task = std::exchange(task_, nullptr);
    task();
}

void refuse(http_environment& in, connection::server_exchange& to,
            const request::refusal& refused)
{
    if (!to.is_open())
        return;
    if (to.response_started())
        return to.abort();
    auto run = std::string(name_of(refused.what.run));
    auto why = std::string(name_of(refused.what.why));
    header_list headers{{header_name::verdict, run},
                        {header_name::reason, why},
                        {"Content-Type", "application/json"}};
    if (refused.retry_after)
        headers.push_back(
            {"Retry-After", retry_after_text(*refused.retry_after, in.random)});
    to.respond(refused.status, std::move(headers),
               R"({"verdict":")" + run + R"(","reason":")" + why + "\"}\n");
}

} // namespace shallotwood::process::http
