#include "process/fleet/fleet_view.hpp"

#include <algorithm>
#include <xxhash.h>

namespace shallotwood::process::fleet
{

fleet_view::fleet_view(instance self) : self_(std::move(self)) {}

bool fleet_view::change_self(const std::function<void(instance&)>& change)
{
    auto changed = self_;
    change(changed);
    if (changed == self_)
        return false;
    changed.sequence = self_.sequence + 1;
    self_ = std::move(changed);
    ++revision_;
    return true;
}

bool fleet_view::learn(const instance& it)
{
    auto name = it.name();
    if (name == self_.name()) {
        // An entry of an earlier start of this node, whose clock was ahead.
        if (it.is_newer_than(self_)) {
            self_.incarnation = it.incarnation + 1;
            ++revision_;
            return true;
        }
        return false;
    }
    auto known = others_.find(name);
    if (known == others_.end()) {
        if (others_.size() >= max_instances)
            return false;
        others_.emplace(name, it);
        ++revision_;
        return true;
    }
    if (!it.is_newer_than(known->second))
        return false;
    known->second = it;
    ++revision_;
    return true;
}

const instance* fleet_view::find(const std::string& name) const
{
    if (name == self_.name())
        return &self_;
    auto it = others_.find(name);
    return it == others_.end() ? nullptr : &it->second;
}

std::vector<const instance*>
fleet_view::of_service(const std::string& service) const
{
    std::vector<const instance*> found;
    if (self_.service == service)
        found.push_back(&self_);
    for (const auto& [name, it] : others_)
        if (it.service == service)
            found.push_back(&it);
    return found;
}

std::vector<const instance*> fleet_view::all() const
{
    std::vector<const instance*> found{&self_};
    for (const auto& [name, it] : others_)
        found.push_back(&it);
    return found;
}

std::uint64_t fleet_view::digest() const
{
    std::uint64_t sum = 0;
    for (const auto* it : all()) {
        std::uint64_t numbers[2] = {it->incarnation, it->sequence};
        auto name = it->name();
        sum ^=
            XXH64(numbers, sizeof numbers, XXH64(name.data(), name.size(), 0));
    }
    return sum;
}

std::uint64_t rendezvous_weight(const std::string& key, const std::string& name)
{
    return XXH64(name.data(), name.size(), XXH64(key.data(), key.size(), 0));
}

} // namespace shallotwood::process::fleet
