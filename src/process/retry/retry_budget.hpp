// Bounds how many calls are sent to a further backend server.
//
// Answers retries that feed an overload: each node may spend a ratio of the
// calls that it makes to a service, and its part of an allowance that the whole
// fleet shares. The sum over all nodes therefore stays below the ratio of all
// calls plus the allowance, whichever nodes are in touch.
#pragma once

#include "process/event_loop.hpp"

#include <string>
#include <unordered_map>

namespace shallotwood::process::retry
{

struct budget_settings {
    // Retries for each call.
    double ratio = 0.1;
    // Retries in a window besides, over all nodes.
    double allowance = 0;
    duration window = std::chrono::seconds(10);
};

class retry_budget
{
public:
    retry_budget(const clock& time, const budget_settings& settings);

    void set_settings(const budget_settings& settings) { settings_ = settings; }
    // Nodes that share the allowance.
    void set_nodes(std::size_t nodes) { nodes_ = nodes; }

    // A call to the service is made for the first time.
    void called(const std::string& service);
    // Spends one retry; false if there is none.
    bool spend(const std::string& service);

private:
    struct account {
        double level = 0;
        time_point at{};
    };
    account& refill(const std::string& service);
    double node_allowance() const;
    double max_balance() const;

    const clock& clock_;
    budget_settings settings_;
    std::size_t nodes_ = 1;
    std::unordered_map<std::string, account> accounts_;
};

} // namespace shallotwood::process::retry
