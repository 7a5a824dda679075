// A network of nodes in one process, with delay, loss, duplication, cuts and
// frozen nodes, all from one seed.
#pragma once

#include "process/event_loop.hpp"
#include "process/peer_transport.hpp"
#include "process/random_source.hpp"

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace shallotwood::test
{

class fake_network
{
public:
    fake_network(process::scheduler& timers, std::uint64_t seed)
        : timers_(timers), random_(seed)
    {
    }

    // The transport of the node at `address`; made on first use.
    process::peer_transport& at(const process::peer_address& address);

    // Drops all messages between the two groups, both ways, until healed.
    void cut(const std::set<process::peer_address>& a,
             const std::set<process::peer_address>& b);
    void heal() { cuts_.clear(); }

    // A frozen node gets its messages when it is thawed.
    void freeze(const process::peer_address& address);
    void thaw(const process::peer_address& address);

    // A killed node loses its subscriptions and all messages to it.
    void kill(const process::peer_address& address);

    process::duration delay{std::chrono::milliseconds(1)};
    // Added to the delay, uniform from zero.
    process::duration jitter{0};
    double loss = 0.0;
    double duplication = 0.0;

    // Totals of messages sent, and of bytes as JSON text.
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;

private:
    class port;
    struct pending {
        process::peer_address from;
        std::string method;
        Json::Value params;
    };

    bool is_cut(const process::peer_address& a,
                const process::peer_address& b) const;
    void transmit(const process::peer_address& from,
                  const process::peer_address& to, const std::string& method,
                  const Json::Value& params);
    void deliver(const process::peer_address& to, const pending& it);

    process::scheduler& timers_;
    process::random_source random_;
    std::map<process::peer_address, std::shared_ptr<port>> ports_;
    std::map<process::peer_address, std::vector<pending>> frozen_;
    std::vector<std::pair<std::set<process::peer_address>,
                          std::set<process::peer_address>>>
        cuts_;
};

} // namespace shallotwood::test
