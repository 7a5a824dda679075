#include "support/fleet.hpp"

#include "process/shard_messages.hpp"

#include <cmath>

namespace shallotwood::test
{

process::timer_id node_loop::call_after(process::duration delay,
                                        std::function<void()> task)
{
    auto id = ++last_;
    pending_[id] =
        loop_.call_after(delay, [this, id, task = std::move(task)]() mutable {
            run([this, id, task = std::move(task)] {
                if (pending_.erase(id) != 0)
                    task();
            });
        });
    return process::timer_id{id};
}

void node_loop::cancel(process::timer_id id)
{
    auto found = pending_.find(static_cast<std::uint64_t>(id));
    if (found == pending_.end())
        return;
    loop_.cancel(found->second);
    pending_.erase(found);
}

void node_loop::run(std::function<void()> task)
{
    if (!alive_)
        return;
    if (frozen_)
        held_.push_back(std::move(task));
    else
        task();
}

void node_loop::thaw()
{
    frozen_ = false;
    auto held = std::move(held_);
    held_.clear();
    for (auto& it : held)
        run(std::move(it));
}

void node_loop::kill()
{
    alive_ = false;
    held_.clear();
    for (const auto& [id, timer] : pending_)
        loop_.cancel(timer);
    pending_.clear();
}

template <typename Result>
std::function<void(Result)>
node_store::on_loop(std::function<void(Result)> done)
{
    return [this, done = std::move(done)](Result result) {
        loop_.run([this, done, result = std::move(result)] {
            done(cut ? Result(process::store_error::unavailable) : result);
        });
    };
}

void node_store::get(const std::string& name,
                     std::function<void(process::get_result)> done)
{
    platform_.get(name, on_loop(std::move(done)));
}

void node_store::put(const std::string& name, const std::string& value,
                     std::uint64_t expected_version,
                     std::function<void(process::put_result)> done)
{
    if (cut) {
        loop_.call_after(std::chrono::milliseconds(1),
                         [done] { done(process::store_error::unavailable); });
        return;
    }
    // An answer that the cut keeps away leaves the outcome unknown.
    platform_.put(name, value, expected_version,
                  [this, done](const process::put_result& result) {
                      loop_.run([this, done, result] {
                          done(cut ? process::put_result(
                                         process::store_error::unknown_outcome)
                                   : result);
                      });
                  });
}

void node_store::list(const std::string& prefix,
                      std::function<void(process::list_result)> done)
{
    platform_.list(prefix, on_loop(std::move(done)));
}

process::watch_id
node_store::watch(const std::string& name, std::uint64_t after_version,
                  std::function<void(process::get_result)> on_change)
{
    return platform_.watch(name, after_version, on_loop(std::move(on_change)));
}

void node_store::cancel(process::watch_id id)
{
    platform_.cancel(id);
}

fleet_node::fleet_node(virtual_loop& virtual_time, fake_network& network,
                       process::object_store& platform,
                       const process::member& self, const std::string& boot,
                       process::rate_lookup limits,
                       const process::ownership_settings& shards,
                       const process::record_settings& records_settings)
    : entry(self), loop(virtual_time), store(platform, loop), view(self),
      owners(loop, network.at(self.peer), store, view, counts, 1, boot, shards),
      rates(loop, network.at(self.peer), owners, counts, std::move(limits),
            process::rate_settings{}),
      records(loop, network.at(self.peer), owners, counts, records_settings)
{
}

fleet::fleet(std::uint64_t seed)
    : random(seed), network(loop, seed), platform(loop)
{
    shard_settings.shards = 1;
}

void fleet::add_nodes(int count)
{
    auto first = nodes.size() + 1;
    for (auto n = first; n < first + count; ++n) {
        process::member it;
        it.instance = "n" + std::to_string(n);
        it.peer = {"10.0.0." + std::to_string(n % 250),
                   static_cast<std::uint16_t>(7000 + n / 250)};
        it.failure_domain = "d" + std::to_string(n % 3);
        start_node(it);
    }
}

void fleet::start_node(const process::member& it)
{
    auto boot = it.instance + "." + std::to_string(++boots_);
    auto lookup = [this](const std::string& workspace)
        -> std::optional<process::rate_limit> {
        auto found = limits.find(workspace);
        if (found == limits.end())
            return std::nullopt;
        return found->second;
    };
    auto node =
        std::make_shared<fleet_node>(loop, network, platform, it, boot, lookup,
                                     shard_settings, record_settings);
    for (const auto& [name, other] : nodes) {
        if (other->loop.alive())
            node->view.set(other->entry);
    }
    auto& slot = nodes[it.instance];
    if (slot)
        dead_.push_back(slot);
    slot = node;
    node->owners.start();
    announce(it);
}

void fleet::announce(const process::member& it)
{
    for (const auto& [name, node] : nodes) {
        if (node->loop.alive())
            node->loop.run([to = node.get(), it] { to->view.set(it); });
    }
}

void fleet::kill(const std::string& name)
{
    auto node = nodes.at(name);
    node->loop.kill();
    network.kill(node->entry.peer);
    loop.call_after(detection, [this, node, name] {
        auto entry = node->entry;
        entry.state = process::member_state::dead;
        if (nodes.at(name) == node)
            announce(entry);
    });
}

void fleet::restart(const std::string& name)
{
    auto entry = nodes.at(name)->entry;
    if (nodes.at(name)->loop.alive()) {
        nodes.at(name)->loop.kill();
        network.kill(entry.peer);
    }
    ++entry.incarnation;
    entry.state = process::member_state::active;
    start_node(entry);
}

void fleet::freeze(const std::string& name)
{
    at(name).loop.freeze();
    network.freeze(at(name).entry.peer);
}

void fleet::thaw(const std::string& name, bool timers_first)
{
    if (timers_first)
        at(name).loop.thaw();
    network.thaw(at(name).entry.peer);
    if (!timers_first)
        at(name).loop.thaw();
}

void fleet::leave(const std::string& name)
{
    auto& node = at(name);
    node.entry.state = process::member_state::leaving;
    announce(node.entry);
    node.rates.stop();
    node.owners.leave(std::chrono::seconds(10), [this, name] {
        loop.call_after(process::duration(0), [this, name] { kill(name); });
    });
}

void fleet::cut(const std::vector<std::string>& a,
                const std::vector<std::string>& b)
{
    auto addresses = [this](const std::vector<std::string>& group) {
        std::set<process::peer_address> found;
        for (const auto& it : group)
            found.insert(at(it).entry.peer);
        return found;
    };
    network.cut(addresses(a), addresses(b));
}

std::vector<std::string> fleet::names() const
{
    std::vector<std::string> found;
    for (const auto& [name, it] : nodes)
        found.push_back(name);
    return found;
}

std::vector<std::string> fleet::owners_of(process::shard_id shard) const
{
    std::vector<std::string> found;
    for (const auto& [name, it] : nodes) {
        if (it->loop.alive() && it->owners.owns(shard))
            found.push_back(name);
    }
    return found;
}

std::vector<std::string> fleet::witnesses_of(process::shard_id shard)
{
    std::vector<std::string> found;
    bool was_down = platform.down;
    platform.down = false;
    platform.get("shard/" + std::to_string(shard),
                 [&](const process::get_result& result) {
                     auto object = std::get_if<process::stored_object>(&result);
                     if (!object)
                         return;
                     auto it = process::parse_shard_object(object->value);
                     for (const auto& node : it->witnesses)
                         found.push_back(node.instance);
                 });
    loop.advance(platform.delay);
    platform.down = was_down;
    return found;
}

std::size_t fleet::advance(process::duration span)
{
    constexpr process::duration step = std::chrono::milliseconds(5);
    std::size_t most = 0;
    auto end = loop.now() + span;
    while (loop.now() < end) {
        loop.advance(std::min(step, end - loop.now()));
        for (process::shard_id n = 0; n < shard_settings.shards; ++n)
            most = std::max(most, owners_of(n).size());
    }
    return most;
}

double worst_excess(const std::vector<process::time_point>& spends,
                    const process::rate_limit& limit)
{
    // With f(k) = k - rate x t(k), the excess of the window from spend i to
    // spend j is f(j) - f(i) + 1 - burst.
    double lowest = INFINITY;
    double worst = -limit.burst;
    for (std::size_t k = 0; k < spends.size(); ++k) {
        auto seconds =
            std::chrono::duration<double>(spends[k] - spends.front()).count();
        auto f = static_cast<double>(k) - limit.rate * seconds;
        lowest = std::min(lowest, f);
        worst = std::max(worst, f - lowest + 1 - limit.burst);
    }
    return worst;
}

} // namespace shallotwood::test
