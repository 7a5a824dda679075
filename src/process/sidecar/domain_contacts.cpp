#include "process/sidecar/domain_contacts.hpp"

#include <algorithm>
#include <functional>
#include <numeric>
#include <utility>

namespace shallotwood::process::sidecar
{

namespace
{

// Number of nodes of a domain that compare with each other domain, and that are
// told of a new policy. The second one covers for the first one, which may
// fail.
constexpr std::size_t speaker_count = 2;

// Number of nodes that are kept in order for each domain, in case some are
// unreachable.
constexpr std::size_t candidate_count = 8;

// Domains of fewer nodes than this for each domain of the fleet make one
// comparison per node and period in all: with more, they would cross domains
// more often than comparisons with random nodes.
constexpr std::size_t min_nodes_per_domain = 4;

// Each node compares with a node of each other domain once in this number of
// periods, or in so many per domain of the fleet if that is more. A link
// without messages for 20 s is closed, and with it ends the measurement of the
// round trip.
constexpr std::size_t measured_periods = 9;
constexpr std::size_t measured_periods_per_domain = 2;

const std::string policy_key = "policy";

std::vector<std::string> first_names(const std::string& key,
                                     const std::vector<std::string>& names)
{
    std::vector<std::pair<std::uint64_t, std::string>> weighted;
    weighted.reserve(names.size());
    for (const auto& it : names)
        weighted.emplace_back(fleet::rendezvous_weight(key, it), it);
    auto count = std::min(candidate_count, weighted.size());
    auto end = weighted.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(weighted.begin(), end, weighted.end(), std::greater<>());
    std::vector<std::string> first;
    for (auto it = weighted.begin(); it != end; ++it)
        first.push_back(std::move(it->second));
    return first;
}

} // namespace

domain_contacts::domain_contacts(const fleet::fleet_view& fleet,
                                 random_source& random,
                                 const peer_channel& links)
    : fleet_(fleet), random_(random), links_(links),
      self_name_(fleet.self().name())
{
}

void domain_contacts::update_domains()
{
    if (membership_ == fleet_.membership() && !domains_.empty())
        return;
    membership_ = fleet_.membership();
    domains_.clear();
    const auto& self = fleet_.self();
    std::map<std::string, std::vector<std::string>> names;
    domains_[self.failure_domain];
    for (const auto* it : fleet_.all()) {
        if (it != &self)
            domains_[it->failure_domain].nodes.push_back(it);
        if (!it->leaving)
            names[it->failure_domain].push_back(it->name());
    }
    const auto& own = names[self.failure_domain];
    for (auto& [name, it] : domains_) {
        it.policy_speakers = first_names(policy_key, names[name]);
        if (name != self.failure_domain)
            it.comparers = first_names(name, own);
    }
}

bool domain_contacts::present(const std::string& name) const
{
    return name == self_name_ || links_.reachable(name);
}

bool domain_contacts::is_among_first(const std::vector<std::string>& names,
                                     std::size_t count) const
{
    std::size_t found = 0;
    for (const auto& it : names) {
        if (it == self_name_)
            return true;
        if (present(it) && ++found == count)
            return false;
    }
    return found == 0;
}

domain_contacts::instances domain_contacts::random_nodes(std::size_t count,
                                                         scope where) const
{
    std::vector<std::size_t> numbers(fleet_.size() - 1);
    std::iota(numbers.begin(), numbers.end(), std::size_t(0));
    instances found;
    for (std::size_t n = 0; n < numbers.size() && found.size() < count; ++n) {
        std::swap(numbers[n], numbers[n + random_.below(numbers.size() - n)]);
        const auto& it = fleet_.other(numbers[n]);
        bool wanted = where == scope::fleet ||
                      it.failure_domain == fleet_.self().failure_domain;
        if (wanted && links_.reachable(it.name()))
            found.push_back(&it);
    }
    return found;
}

const fleet::instance* domain_contacts::pick(const instances& from,
                                             const instances& except) const
{
    if (from.empty())
        return nullptr;
    const fleet::instance* last = nullptr;
    auto first = random_.below(from.size());
    for (std::size_t n = 0; n < from.size(); ++n) {
        const auto* it = from[(first + n) % from.size()];
        if (std::find(except.begin(), except.end(), it) != except.end() ||
            !links_.reachable(it->name()))
            continue;
        if (!it->leaving)
            return it;
        last = it;
    }
    return last;
}

const fleet::instance*
domain_contacts::random_node_of(const std::string& domain)
{
    update_domains();
    auto it = domains_.find(domain);
    return it == domains_.end() ? nullptr : pick(it->second.nodes);
}

std::vector<const std::string*> domain_contacts::shuffled_domains() const
{
    std::vector<const std::string*> names;
    for (const auto& [name, it] : domains_)
        if (name != fleet_.self().failure_domain)
            names.push_back(&name);
    std::shuffle(names.begin(), names.end(), random_.engine());
    return names;
}

domain_contacts::instances
domain_contacts::nodes_elsewhere(std::size_t per_domain, std::size_t limit)
{
    update_domains();
    auto names = shuffled_domains();
    instances chosen;
    for (std::size_t n = 0; n < per_domain; ++n)
        for (const auto* name : names)
            if (chosen.size() < limit)
                if (const auto* it = pick(domains_[*name].nodes, chosen))
                    chosen.push_back(it);
    return chosen;
}

domain_contacts::instances
domain_contacts::speakers_elsewhere(std::size_t limit)
{
    update_domains();
    instances chosen;
    for (const auto* name : shuffled_domains()) {
        std::size_t count = 0;
        for (const auto& speaker : domains_[*name].policy_speakers) {
            if (count == speaker_count || chosen.size() >= limit)
                break;
            const auto* it = fleet_.find(speaker);
            if (it == nullptr || !links_.reachable(speaker))
                continue;
            chosen.push_back(it);
            ++count;
        }
        if (count == 0 && chosen.size() < limit)
            if (const auto* it = pick(domains_[*name].nodes))
                chosen.push_back(it);
    }
    return chosen;
}

bool domain_contacts::is_first_speaker()
{
    update_domains();
    return is_among_first(
        domains_[fleet_.self().failure_domain].policy_speakers, 1);
}

domain_contacts::instances domain_contacts::compared_nodes()
{
    update_domains();
    auto chosen = random_nodes(1, scope::failure_domain);
    instances measured;
    auto interval = std::max(measured_periods,
                             measured_periods_per_domain * domains_.size());
    bool measures = ++periods_ % interval == 0;
    for (auto& [name, it] : domains_) {
        if (name == fleet_.self().failure_domain)
            continue;
        bool speaker = is_among_first(it.comparers, speaker_count);
        if (!speaker && !measures)
            continue;
        if (const auto* node = speaker ? pick(it.nodes) : measured_node(name))
            (speaker ? chosen : measured).push_back(node);
    }
    if (chosen.empty())
        return random_nodes(1, scope::fleet);
    auto own_size = domains_[fleet_.self().failure_domain].nodes.size() + 1;
    if (own_size < min_nodes_per_domain * domains_.size())
        chosen = {chosen[random_.below(chosen.size())]};
    chosen.insert(chosen.end(), measured.begin(), measured.end());
    return chosen;
}

const fleet::instance* domain_contacts::measured_node(const std::string& domain)
{
    auto& name = measured_[domain];
    const auto* it = fleet_.find(name);
    if (it == nullptr || it->leaving || !links_.reachable(name)) {
        it = pick(domains_[domain].nodes);
        name = it == nullptr ? std::string() : it->name();
    }
    return it;
}

} // namespace shallotwood::process::sidecar
