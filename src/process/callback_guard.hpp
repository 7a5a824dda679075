// Makes callbacks that do nothing once the guard has been destroyed.
//
// For a member of a class whose timers and requests may outlive it.
#pragma once

#include <memory>
#include <utility>

namespace shallotwood::process
{

class callback_guard
{
public:
    callback_guard() = default;
    callback_guard(const callback_guard&) = delete;
    callback_guard& operator=(const callback_guard&) = delete;

    template <typename Callback>
    auto wrap(Callback callback) const
    {
        return [alive = std::weak_ptr<const bool>(alive_),
                callback = std::move(callback)](auto&&... arguments) {
            if (!alive.expired())
                callback(std::forward<decltype(arguments)>(arguments)...);
        };
    }

private:
    std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);
};

} // namespace shallotwood::process
