// Nodes in several failure domains that start together and exchange views and
// policies over a simulated network, which counts the bytes that cross domains,
// loses messages, and cuts domains off.
#pragma once

#include "process/sidecar/fleet_exchange.hpp"
#include "support/fake_object_store.hpp"
#include "support/virtual_loop.hpp"

#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace shallotwood::test
{

class exchange_fleet
{
public:
    struct traffic {
        std::size_t messages = 0;
        std::size_t bytes = 0;
        std::size_t policy_bytes = 0;
    };

    // Node `n` is in domain `n % domains`. The nodes start within 300 ms.
    exchange_fleet(std::size_t size, std::size_t domains, std::uint64_t seed);
    ~exchange_fleet();
    exchange_fleet(const exchange_fleet&) = delete;
    exchange_fleet& operator=(const exchange_fleet&) = delete;

    // Of a version that reads and sends digests as lists of numbers.
    void set_former(std::size_t number) { former_.insert(number); }
    void set_loss(double part) { loss_ = part; }
    // No message enters or leaves the domain.
    void cut_off(std::size_t domain) { cut_off_.insert(domain); }
    void heal() { cut_off_.clear(); }

    // The node changes its entry and tells other nodes.
    void publish(std::size_t number);
    // The same, but all messages about it are lost.
    void publish_unheard(std::size_t number);
    // The operator writes this revision of the policy, of 20 KB.
    void write_policy(int revision);

    std::size_t size() const { return nodes_.size(); }

    void advance(process::duration span) { loop.advance(span); }
    // Advances until the condition holds, and returns how long it took; `limit`
    // if it doesn't.
    template <typename Condition>
    process::duration time_until(Condition holds, process::duration limit)
    {
        constexpr process::duration step = std::chrono::milliseconds(1);
        process::duration waited{0};
        for (; waited < limit && !holds(); waited += step)
            advance(step);
        return waited;
    }
    // All nodes have the node's present entry.
    bool all_know(std::size_t number) const;
    // All views are equal and hold all nodes.
    bool all_equal() const;
    bool all_have_policy(std::uint64_t revision) const;

    virtual_loop loop;
    // What crossed domains.
    traffic crossed;
    // Nodes, each with another domain to which it sent a message.
    std::set<std::pair<std::size_t, std::size_t>> contacts;

private:
    struct node;

    bool lost(std::size_t from, std::size_t to);
    process::duration one_way(std::size_t from, std::size_t to) const;
    process::fleet::instance entry(std::size_t number) const;

    std::size_t domains_;
    process::random_source random_;
    fake_object_store store_;
    double loss_ = 0;
    bool lose_all_ = false;
    std::set<std::size_t> cut_off_;
    std::set<std::size_t> former_;
    std::vector<std::unique_ptr<node>> nodes_;
};

} // namespace shallotwood::test
