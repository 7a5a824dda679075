#include "process/http/exclusive_run.hpp"

#include <algorithm>

namespace shallotwood::process::http
{

bool exclusive_run::hold(const std::string& attempt_id,
                         std::function<void()> resume)
{
    if (held_.size() >= max_held)
        return false;
    held_.push_back({attempt_id, std::move(resume)});
    return true;
}

bool exclusive_run::wait(const std::string& attempt_id,
                         std::function<void()> start)
{
    if (waiting_.size() >= max_waiting)
        return false;
    waiting_.push_back({attempt_id, std::move(start)});
    return true;
}

bool exclusive_run::remove(std::deque<item>& from,
                           const std::string& attempt_id)
{
    auto it = std::find_if(from.begin(), from.end(), [&](const item& n) {
        return n.attempt_id == attempt_id;
    });
    if (it == from.end())
        return false;
    from.erase(it);
    return true;
}

bool exclusive_run::cancel(const std::string& attempt_id)
{
    return remove(waiting_, attempt_id) || remove(held_, attempt_id);
}

void exclusive_run::idle()
{
    if (running_)
        return;
    if (waiting_.empty()) {
        run_all(held_);
        return;
    }
    auto next = std::move(waiting_.front());
    waiting_.pop_front();
    running_ = next.attempt_id;
    next.task();
}

void exclusive_run::finished(const std::string& attempt_id)
{
    if (running_ == attempt_id)
        running_.reset();
}

void exclusive_run::release_all()
{
    run_all(waiting_);
    run_all(held_);
}

// A task may hold its call again.
void exclusive_run::run_all(std::deque<item>& from)
{
    std::deque<item> all;
    all.swap(from);
    for (auto& it : all)
        it.task();
}

} // namespace shallotwood::process::http
