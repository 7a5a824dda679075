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

std::size_t bucket_of(const std::string& name)
{
    return XXH64(name.data(), name.size(), 0) % fleet_view::bucket_count;
}

} // namespace

fleet_view::fleet_view(instance self)
    : self_(std::move(self)), self_name_(self_.name())
{
    add_to_index(self_name_, self_);
}

void fleet_view::remove_from_index(const std::string& name, const instance& it)
{
    auto digest = digest_of(name, it);
    digest_ ^= digest;
    bucket_digests_[bucket_of(name)] ^= digest;
    auto& of = by_service_[it.service];
    of.erase(std::remove_if(
                 of.begin(), of.end(),
                 [&](const named_instance& entry) { return entry.it == &it; }),
             of.end());
}

void fleet_view::add_to_index(const std::string& name, const instance& it)
{
    auto digest = digest_of(name, it);
    digest_ ^= digest;
    bucket_digests_[bucket_of(name)] ^= digest;
    by_service_[it.service].push_back({&name, &it});
    ++revision_;
}

bool fleet_view::update_self(const std::function<void(instance&)>& change)
{
    auto changed = self_;
    change(changed);
    if (changed == self_)
        return false;
    changed.sequence = self_.sequence + 1;
    if (changed.leaving != self_.leaving)
        ++membership_;
    remove_from_index(self_name_, self_);
    self_ = std::move(changed);
    add_to_index(self_name_, self_);
    return true;
}

bool fleet_view::evict_one_if_full()
{
    auto left = std::find_if(others_.begin(), others_.end(),
                             [](const auto& it) { return it.second.leaving; });
    if (left == others_.end())
        return false;
    remove_from_index(left->first, left->second);
    auto number = std::find_if(
        others_by_index_.begin(), others_by_index_.end(),
        [&](const named_instance& entry) { return entry.it == &left->second; });
    *number = others_by_index_.back();
    others_by_index_.pop_back();
    others_.erase(left);
    ++membership_;
    return true;
}

bool fleet_view::learn(const instance& it)
{
    auto name = it.name();
    if (name == self_name_) {
        // From an earlier run of this node, whose clock was ahead.
        if (!it.is_newer_than(self_))
            return false;
        remove_from_index(self_name_, self_);
        self_.incarnation = it.incarnation + 1;
        add_to_index(self_name_, self_);
        return true;
    }
    auto known = others_.find(name);
    if (known == others_.end()) {
        if (others_.size() + 1 >= max_instances && !evict_one_if_full())
            return false;
        known = others_.emplace(name, it).first;
        others_by_index_.push_back({&known->first, &known->second});
        ++membership_;
    } else {
        if (!it.is_newer_than(known->second))
            return false;
        if (it.leaving != known->second.leaving)
            ++membership_;
        remove_from_index(known->first, known->second);
        known->second = it;
    }
    add_to_index(known->first, known->second);
    return true;
}

const instance* fleet_view::find(const std::string& name) const
{
    if (name == self_name_)
        return &self_;
    auto it = others_.find(name);
    return it == others_.end() ? nullptr : &it->second;
}

const std::vector<fleet_view::named_instance>&
fleet_view::instances_of(const std::string& service) const
{
    static const std::vector<named_instance> none;
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
fleet_view::entries_in(const std::set<std::size_t>& buckets) const
{
    std::vector<const instance*> found;
    if (buckets.count(bucket_of(self_name_)) != 0)
        found.push_back(&self_);
    for (const auto& [name, it] : others_by_index_)
        if (buckets.count(bucket_of(*name)) != 0)
            found.push_back(it);
    return found;
}

std::uint64_t rendezvous_weight(const std::string& key, const std::string& name)
{
    return XXH64(name.data(), name.size(), XXH64(key.data(), key.size(), 0));
}

} // namespace shallotwood::process::fleet
