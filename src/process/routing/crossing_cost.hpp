// What it costs to send a call to another failure domain, by the measured
// round-trip time to it.
//
// Crossing adds latency, and the platform charges for traffic between failure
// domains. Up to near_round_trip the cost is near_cost, so that a slot
// utilization that is lower by that much is worth a crossing. It rises linearly
// to far_cost at far_round_trip. There, the own domain is left only if its
// instances are nearly full, failing, or would answer too late.
//
// A round trip that is measured contains the scheduling delays of two processes
// and the time that the other one needed to reply. So the minimum is used, over
// the present window and the one before. Windows without a measurement don't
// count: silence says nothing about the distance. A domain that comes nearer is
// known to be near by the first measurement, one that moves away is known to be
// far after one to two windows with measurements.
//
// Makes no I/O. Bounded: max_domains.
#pragma once

#include "process/event_loop.hpp"

#include <string>
#include <unordered_map>
#include <vector>

namespace shallotwood::process::routing
{

class crossing_cost
{
public:
    static constexpr double near_cost = 0.2;
    // Less than the cost of an instance without a free slot, so that calls
    // cross before they queue.
    static constexpr double far_cost = 0.9;
    // 2 ms on the way, and the least that the two processes add.
    static constexpr duration near_round_trip =
        std::chrono::milliseconds(2) + std::chrono::microseconds(500);
    static constexpr duration far_round_trip = std::chrono::milliseconds(5);
    static constexpr duration window = std::chrono::seconds(10);
    static constexpr std::size_t max_domains = 256;

    crossing_cost(const clock& time, std::string own_domain);

    const std::string& own_domain() const { return own_domain_; }

    void record(const std::string& domain, duration round_trip);
    // 0 if it was never measured.
    duration round_trip(const std::string& domain) const;
    // Domains whose round trip was measured.
    std::vector<std::string> domains() const;

    // 0 for the own domain; near_cost if the round trip is not known.
    double to(const std::string& domain) const;

private:
    struct measurement {
        duration least_before = duration::max();
        duration least = duration::max();
        time_point window_begin{};
    };

    const clock& clock_;
    std::string own_domain_;
    std::unordered_map<std::string, measurement> measurements_;
};

// How far away the nearest other domain is that a call could go to: 0 for the
// choice of near domains, 1 if leaving the domain costs far_cost.
//
// Near domains must be served as if there were no such thing, so every term is
// 0 there, and rises without a step.
class remoteness
{
public:
    remoteness() = default;
    explicit remoteness(double lowest_crossing_cost);

    bool is_near() const { return value_ <= 0; }
    double value() const { return value_; }

    // Cost of an instance whose slots are nearly all taken. It makes calls
    // cross while there are a few free slots, since reports of the load are
    // older than the calls that other nodes have sent meanwhile.
    double crowding(double utilization) const;
    // Factor for the cost of failures, so that a failing instance outweighs the
    // crossing as it does between near domains.
    double failure_factor() const;

private:
    double value_ = 0;
};

} // namespace shallotwood::process::routing
