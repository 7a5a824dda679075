// Bounds how many calls are retried on another backend server.
//
// Prevents retries from amplifying an overload. Each node may retry a fixed
// ratio of the calls that it makes to a service, plus its share of an allowance
// for the whole fleet. The sum over all nodes therefore stays below the ratio
// of all calls plus the allowance, whichever nodes can reach each other.
#pragma once

#include "process/event_loop.hpp"

#include <string>
#include <unordered_map>

namespace shallotwood::process::retry
{

struct budget_settings {
    // Retries for each call.
    double ratio = 0.1;
    // Additional retries per window, over all nodes.
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

    // Counts the first attempt of a call to the service.
    void record_call(const std::string& service);
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
