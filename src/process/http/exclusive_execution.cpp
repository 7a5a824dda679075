#include "process/http/exclusive_execution.hpp"

#include <algorithm>

namespace shallotwood::process::http
{

bool exclusive_execution::hold_call(const std::string& attempt_id,
                                    std::function<void()> resume)
{
    if (held_calls_.size() >= max_held_calls)
        return false;
    held_calls_.push_back({attempt_id, std::move(resume)});
    return true;
}

bool exclusive_execution::queue_suspect(const std::string& attempt_id,
                                        std::function<void()> start)
{
    if (suspects_.size() >= max_suspects)
        return false;
    suspects_.push_back({attempt_id, std::move(start)});
    return true;
}

bool exclusive_execution::remove(std::deque<pending_task>& from,
                                 const std::string& attempt_id)
{
    auto it =
        std::find_if(from.begin(), from.end(), [&](const pending_task& n) {
            return n.attempt_id == attempt_id;
        });
    if (it == from.end())
        return false;
    from.erase(it);
    return true;
}

bool exclusive_execution::cancel(const std::string& attempt_id)
{
    return remove(suspects_, attempt_id) || remove(held_calls_, attempt_id);
}

void exclusive_execution::idle()
{
    if (running_)
        return;
    if (suspects_.empty()) {
        take_and_run_all(held_calls_);
        return;
    }
    auto next = std::move(suspects_.front());
    suspects_.pop_front();
    running_ = next.attempt_id;
    next.task();
}

void exclusive_execution::finished(const std::string& attempt_id)
{
    if (running_ == attempt_id)
        running_.reset();
}

void exclusive_execution::resume_all()
{
    take_and_run_all(suspects_);
    take_and_run_all(held_calls_);
}

// Swaps the queue out first, because a task may hold its call again.
void exclusive_execution::take_and_run_all(std::deque<pending_task>& from)
{
    std::deque<pending_task> all;
    all.swap(from);
    for (auto& it : all)
        it.task();
}

} // namespace shallotwood::process::http
