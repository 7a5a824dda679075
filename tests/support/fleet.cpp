#include "support/fleet.hpp"

#include <catch2/catch.hpp>

namespace shallotwood::test
{

using process::member_state;

int number(const std::string& text)
{
    return std::stoi(text);
}

member_state parse_state(const std::string& text)
{
    static const std::map<std::string, member_state> states{
        {"active", member_state::active},
        {"leaving", member_state::leaving},
        {"suspect", member_state::suspect},
        {"dead", member_state::dead}};
    return states.at(text);
}

fleet::fleet(std::uint64_t seed)
    : network(loop, seed), platform(loop), seed_(seed)
{
}

process::peer_address fleet::address_of(const std::string& name) const
{
    return {"10.0.0." + name.substr(1), 7000};
}

void fleet::grow(int count)
{
    while (made_ < count)
        start("n" + std::to_string(++made_));
}

void fleet::start(const std::string& name)
{
    auto index = number(name.substr(1));
    auto it = std::make_unique<fleet_node>(loop);
    it->address = address_of(name);
    addresses_[name] = it->address;
    process::membership_settings settings;
    if (seeds_in_settings)
        settings.seeds = {address_of("n1"), address_of("n2")};
    process::member self;
    self.instance = name;
    // A later process of the same instance begins higher.
    self.incarnation = loop.now().time_since_epoch().count();
    self.peer = it->address;
    self.http_port = 7080;
    self.failure_domain = "d" + std::to_string(1 + index % 4);
    self.region = "r" + std::to_string(1 + index % 2);
    it->members = std::make_unique<process::membership>(
        it->loop, network.at(it->address), platform, it->counts, settings, self,
        seed_ * 1000 + index);
    it->members->announce("radio", 10);
    if (on_node)
        on_node(*it);
    it->members->start();
    nodes_[name] = std::move(it);
}

fleet_node& fleet::at(const std::string& name)
{
    return *nodes_.at(name);
}

void fleet::kill(const std::string& name)
{
    auto& it = at(name);
    network.kill(it.address);
    it.extra.reset();
    it.members.reset();
    ended_.push_back(std::move(nodes_.at(name)));
    nodes_.erase(name);
}

void fleet::freeze(const std::string& name)
{
    network.freeze(at(name).address);
    at(name).loop.pause();
}

void fleet::thaw(const std::string& name)
{
    at(name).loop.resume();
    network.thaw(at(name).address);
}

void fleet::cut_regions()
{
    std::set<process::peer_address> sides[2];
    for (const auto& [name, it] : nodes_)
        sides[number(name.substr(1)) % 2].insert(it->address);
    network.cut(sides[0], sides[1]);
}

int fleet::count_holding(const std::string& name, member_state state)
{
    int count = 0;
    for (const auto& [other, it] : nodes_) {
        auto found = it->members->find(name);
        auto held = found ? found->state : member_state::dead;
        count += other != name && held == state ? 1 : 0;
    }
    return count;
}

int fleet::count_complete()
{
    int count = 0;
    for (const auto& [name, it] : nodes_) {
        const auto& view = it->members->members();
        bool whole = view.size() == nodes_.size();
        for (const auto& entry : view)
            whole = whole && nodes_.count(entry.instance) != 0;
        count += whole ? 1 : 0;
    }
    return count;
}

verb_table fleet::verbs()
{
    auto everyone_else = [this](const std::string& name) {
        return static_cast<int>(nodes_.size() - nodes_.count(name));
    };
    verb_table table;
    table["nodes"] = [this](const words& it) { grow(number(it.at(0))); };
    table["seeds_in_settings"] = [this](const words&) {
        seeds_in_settings = true;
    };
    table["start"] = [this](const words& it) { start(it.at(0)); };
    table["kill"] = [this](const words& it) { kill(it.at(0)); };
    table["freeze"] = [this](const words& it) { freeze(it.at(0)); };
    table["thaw"] = [this](const words& it) { thaw(it.at(0)); };
    table["leave"] = [this](const words& it) { at(it.at(0)).members->leave(); };
    table["announce"] = [this](const words& it) {
        at(it.at(0)).members->announce(it.at(1), number(it.at(2)));
    };
    table["stop"] = [this](const words& it) {
        at(it.at(0)).members->stop();
        kill(it.at(0));
    };
    table["loss"] = [this](const words& it) {
        network.loss = std::stod(it.at(0));
    };
    table["duplication"] = [this](const words& it) {
        network.duplication = std::stod(it.at(0));
    };
    table["jitter"] = [this](const words& it) {
        network.jitter = parse_time(it.at(0));
    };
    table["cut_regions"] = [this](const words&) { cut_regions(); };
    table["cut"] = [this](const words& it) {
        network.cut({at(it.at(0)).address}, {at(it.at(1)).address});
    };
    table["expect_suspicions"] = [this](const words& it) {
        std::uint64_t total = 0;
        for (const auto& [name, node] : nodes_)
            total += node->counts.at("membership_suspicions_raised");
        CHECK(total == std::stoull(it.at(0)));
    };
    table["heal"] = [this](const words&) { network.heal(); };
    table["platform"] = [this](const words& it) {
        platform.down = it.at(0) == "down";
    };
    table["expect_everywhere"] = [this, everyone_else](const words& it) {
        CHECK(count_holding(it.at(0), parse_state(it.at(1))) ==
              everyone_else(it.at(0)));
    };
    table["expect_complete"] = [this](const words&) {
        CHECK(count_complete() == static_cast<int>(nodes_.size()));
    };
    table["expect_serving"] = [this](const words& it) {
        for (const auto& [name, node] : nodes_)
            CHECK(node->members->serving(it.at(0)).size() ==
                  static_cast<std::size_t>(number(it.at(1))));
    };
    return table;
}

} // namespace shallotwood::test
