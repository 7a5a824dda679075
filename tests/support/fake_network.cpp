#include "support/fake_network.hpp"

namespace shallotwood::test
{

class fake_network::port final : public process::peer_transport
{
public:
    port(fake_network& network, process::peer_address address)
        : network_(network), address_(std::move(address))
    {
    }

    void send(const process::peer_address& to, const std::string& method,
              const Json::Value& params) override
    {
        network_.transmit(address_, to, method, params);
    }

    void subscribe(const std::string& method, handler on_message) override
    {
        handlers_[method] = std::move(on_message);
    }

    void receive(const pending& it)
    {
        auto found = handlers_.find(it.method);
        if (found != handlers_.end())
            found->second(it.from, it.params);
    }

    void clear() { handlers_.clear(); }

private:
    fake_network& network_;
    process::peer_address address_;
    std::map<std::string, handler> handlers_;
};

process::peer_transport& fake_network::at(const process::peer_address& address)
{
    auto& it = ports_[address];
    if (!it)
        it = std::make_shared<port>(*this, address);
    return *it;
}

void fake_network::cut(const std::set<process::peer_address>& a,
                       const std::set<process::peer_address>& b)
{
    cuts_.emplace_back(a, b);
}

void fake_network::freeze(const process::peer_address& address)
{
    frozen_[address];
}

void fake_network::thaw(const process::peer_address& address)
{
    auto node = frozen_.extract(address);
    if (node.empty())
        return;
    for (const auto& it : node.mapped())
        deliver(address, it);
}

void fake_network::kill(const process::peer_address& address)
{
    frozen_.erase(address);
    if (auto it = ports_.find(address); it != ports_.end())
        it->second->clear();
}

bool fake_network::is_cut(const process::peer_address& a,
                          const process::peer_address& b) const
{
    for (const auto& [left, right] : cuts_) {
        if ((left.count(a) != 0 && right.count(b) != 0) ||
            (left.count(b) != 0 && right.count(a) != 0))
            return true;
    }
    return false;
}

void fake_network::transmit(const process::peer_address& from,
                            const process::peer_address& to,
                            const std::string& method,
                            const Json::Value& params)
{
    ++messages;
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    bytes += Json::writeString(builder, params).size() + method.size();
    int copies = random_.unit() < duplication ? 2 : 1;
    for (int n = 0; n < copies; ++n) {
        if (random_.unit() < loss || is_cut(from, to))
            continue;
        auto wait = delay;
        if (jitter.count() > 0)
            wait += process::duration(random_.below(jitter.count()));
        timers_.call_after(wait,
                           [this, to, it = pending{from, method, params}] {
                               deliver(to, it);
                           });
    }
}

void fake_network::deliver(const process::peer_address& to, const pending& it)
{
    if (is_cut(it.from, to))
        return;
    if (auto frozen = frozen_.find(to); frozen != frozen_.end()) {
        frozen->second.push_back(it);
        return;
    }
    if (auto found = ports_.find(to); found != ports_.end()) {
        // Keeps the port alive if its handler kills the node.
        auto target = found->second;
        target->receive(it);
    }
}

} // namespace shallotwood::test
