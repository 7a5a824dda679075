#include "process/fleet/fleet_view.hpp"

#include <algorithm>
#include <xxhash.h>

namespace shallotwood::process::fleet
{

namespace
{

std::uint64_t digest_of(const std::string& name, const instance& it)
{
    std::uint64_t numbers[2] = {it.incarnation, it.sequence};
    return XXH64(numbers, sizeof numbers, XXH64(name.data(), name.size(), 0));
}

std::size_t part_of(const std::string& name)
{
    return XXH64(name.data(), name.size(), 0) % fleet_view::part_count;
}

} // namespace

fleet_view::fleet_view(instance self)
    : self_(std::move(self)), self_name_(self_.name())
{
    put_in(self_name_, self_);
}

void fleet_view::take_out(const std::string& name, const instance& it)
{
    auto digest = digest_of(name, it);
    digest_ ^= digest;
    part_digests_[part_of(name)] ^= digest;
    auto& of = by_service_[it.service];
    of.erase(
        std::remove_if(of.begin(), of.end(),
                       [&](const listed& entry) { return entry.it == &it; }),
        of.end());
}

void fleet_view::put_in(const std::string& name, const instance& it)
{
    auto digest = digest_of(name, it);
    digest_ ^= digest;
    part_digests_[part_of(name)] ^= digest;
    by_service_[it.service].push_back({&name, &it});
    ++revision_;
}

bool fleet_view::change_self(const std::function<void(instance&)>& change)
{
    auto changed = self_;
    change(changed);
    if (changed == self_)
        return false;
    changed.sequence = self_.sequence + 1;
    if (changed.leaving != self_.leaving)
        ++membership_;
    take_out(self_name_, self_);
    self_ = std::move(changed);
    put_in(self_name_, self_);
    return true;
}

bool fleet_view::evict_one_if_full()
{
    auto left = std::find_if(others_.begin(), others_.end(),
                             [](const auto& it) { return it.second.leaving; });
    if (left == others_.end())
        return false;
    take_out(left->first, left->second);
    auto number = std::find_if(
        numbered_.begin(), numbered_.end(),
        [&](const listed& entry) { return entry.it == &left->second; });
    *number = numbered_.back();
    numbered_.pop_back();
    others_.erase(left);
    ++membership_;
    return true;
}

bool fleet_view::learn(const instance& it)
{
    auto name = it.name();
    if (name == self_name_) {
        // An entry of an earlier start of this node, whose clock was ahead.
        if (!it.is_newer_than(self_))
            return false;
        take_out(self_name_, self_);
        self_.incarnation = it.incarnation + 1;
        put_in(self_name_, self_);
        return true;
    }
    auto known = others_.find(name);
    if (known == others_.end()) {
        if (others_.size() + 1 >= max_instances && !evict_one_if_full())
            return false;
        known = others_.emplace(name, it).first;
        numbered_.push_back({&known->first, &known->second});
        ++membership_;
    } else {
        if (!it.is_newer_than(known->second))
            return false;
        if (it.leaving != known->second.leaving)
            ++membership_;
        take_out(known->first, known->second);
        known->second = it;
    }
    put_in(known->first, known->second);
    return true;
}

const instance* fleet_view::find(const std::string& name) const
{
    if (name == self_name_)
        return &self_;
    auto it = others_.find(name);
    return it == others_.end() ? nullptr : &it->second;
}

const std::vector<fleet_view::listed>&
fleet_view::service_threshold(const std::string& service) const
{
    static const std::vector<listed> none;
    auto it = by_service_.find(service);
    return it == by_service_.end() ? none : it->second;
}

std::vector<const instance*> fleet_view::all() const
{
    std::vector<const instance*> found{&self_};
    for (const auto& [name, it] : others_)
        found.push_back(&it);
    return found;
}

std::vector<const instance*>
fleet_view::entries_of(const std::set<std::size_t>& parts) const
{
    std::vector<const instance*> found;
    if (parts.count(part_of(self_name_)) != 0)
        found.push_back(&self_);
    for (const auto& [name, it] : numbered_)
        if (parts.count(part_of(*name)) != 0)
            found.push_back(it);
    return found;
}

std::uint64_t rendezvous_weight(const std::string& key, const std::string& name)
{
    return XXH64(name.data(), name.size(), XXH64(key.data(), key.size(), 0));
}

} // namespace shallotwood::process::fleet
