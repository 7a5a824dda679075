// A membership that a test sets entry by entry.
#pragma once

#include "process/member.hpp"

#include <algorithm>

namespace shallotwood::test
{

class fake_member_view final : public process::member_view
{
public:
    explicit fake_member_view(const process::member& self) : self_(self)
    {
        set(self);
    }

    const process::member& self() const override { return self_; }

    std::optional<process::member>
    find(const std::string& instance) const override
    {
        for (const auto& it : members_) {
            if (it.instance == instance)
                return it;
        }
        return std::nullopt;
    }

    const std::vector<process::member>& members() const override
    {
        return members_;
    }

    std::vector<process::member>
    serving(const std::string& /*service*/) const override
    {
        return {};
    }

    void listen(std::function<void(const process::member&)> on_change) override
    {
        listeners_.push_back(std::move(on_change));
    }

    // Adds, changes or, if dead, removes the entry.
    void set(const process::member& it)
    {
        members_.erase(std::remove_if(members_.begin(), members_.end(),
                                      [&](const auto& known) {
                                          return known.instance == it.instance;
                                      }),
                       members_.end());
        if (it.state != process::member_state::dead)
            members_.push_back(it);
        std::sort(members_.begin(), members_.end(),
                  [](const auto& a, const auto& b) {
                      return a.instance < b.instance;
                  });
        for (const auto& on_change : listeners_)
            on_change(it);
    }

private:
    process::member self_;
    std::vector<process::member> members_;
    std::vector<std::function<void(const process::member&)>> listeners_;
};

} // namespace shallotwood::test
