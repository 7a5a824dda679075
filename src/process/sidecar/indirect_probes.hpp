// Asks other nodes whether they reach a node that does not answer this one.
//
// If only the links of this node are cut, the silent node is alive for others
// and goes on with its duties. Nobody may take them over until the nodes that
// were asked don't reach it either.
//
// Bounded: max_targets nodes; the probes of one node go to max_witnesses others
// once in probe_interval.
#pragma once

#include "process/fleet/fleet_view.hpp"
#include "process/random_source.hpp"
#include "process/sidecar/peer_channel.hpp"

#include <functional>
#include <json/json.h>
#include <map>
#include <string>

namespace shallotwood::process::sidecar
{

class indirect_probes
{
public:
    static constexpr std::size_t max_targets = 1000;
    static constexpr std::size_t max_witnesses = 16;
    static constexpr duration probe_interval = std::chrono::seconds(1);

    // The referenced objects must outlive this one.
    indirect_probes(const clock& time, random_source& random,
                    const fleet::fleet_view& fleet, peer_channel& peers);

    // True if no witness has reached the node in the latest round of probes.
    // Starts a round if the latest one is too old.
    bool confirmed_dead(const std::string& name);

    // Called when a node that was confirmed dead turns out to be alive.
    void on_refuted(std::function<void()> refuted)
    {
        on_refuted_ = std::move(refuted);
    }

    // Returns the reply to another node's probe.
    Json::Value handle_message(const Json::Value& message) const;

private:
    struct target {
        time_point probed_at{};
        time_point confirmed_at{};
        bool confirmed = false;
        // Witnesses that have not replied yet.
        std::size_t pending = 0;
        bool reached = false;
    };

    void start_round(const std::string& name, target& of);
    void end_probe(const std::string& name, bool reached);
    void forget_old();

    const clock& clock_;
    random_source& random_;
    const fleet::fleet_view& fleet_;
    peer_channel& peers_;
    std::function<void()> on_refuted_;
    std::map<std::string, target> targets_;
};

} // namespace shallotwood::process::sidecar
