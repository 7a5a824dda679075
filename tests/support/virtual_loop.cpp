#include "support/virtual_loop.hpp"

#include <utility>

namespace shallotwood::test
{

process::timer_id virtual_loop::call_after(process::duration delay,
                                           std::function<void()> task)
{
    auto id = ++last_timer_;
    auto due = now_ + std::max(delay, process::duration(0));
    queue_.emplace(slot(due, id), std::move(task));
    due_.emplace(id, due);
    return process::timer_id{id};
}

void virtual_loop::cancel(process::timer_id id)
{
    auto it = due_.find(static_cast<std::uint64_t>(id));
    if (it == due_.end())
        return;
    queue_.erase(slot(it->second, it->first));
    due_.erase(it);
}

void virtual_loop::advance(process::duration span)
{
    auto end = now_ + span;
    while (!queue_.empty() && queue_.begin()->first.first <= end) {
        auto node = queue_.extract(queue_.begin());
        now_ = std::max(now_, node.key().first);
        due_.erase(node.key().second);
        node.mapped()();
    }
    now_ = end;
}

} // namespace shallotwood::test
