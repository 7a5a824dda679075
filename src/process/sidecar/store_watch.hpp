// Has some nodes of the fleet watch the platform's store on behalf of all.
//
// A node that watches passes each new policy on to the others. As long as the
// store answers it, it reports to the candidates of the election; if the store
// stops answering, it tells them, and the next ones watch at once. The cost is
// independent of the number of nodes.
#pragma once

#include "process/event_loop.hpp"
#include "process/fleet/fleet_view.hpp"
#include "process/fleet/watcher_election.hpp"
#include "process/sidecar/evacuation_feed.hpp"
#include "process/sidecar/peer_channel.hpp"
#include "process/sidecar/policy_feed.hpp"

#include <functional>
#include <json/json.h>

namespace shallotwood::process::sidecar
{

class store_watch
{
public:
    // All referenced objects must outlive the watch.
    struct dependencies {
        event_loop& loop;
        const fleet::fleet_view& fleet;
        fleet::watcher_election& election;
        peer_channel& peers;
        policy_feed& feed;
        // Watched together with the policy; null on deployments without
        // evacuations.
        evacuation_feed* evacuations = nullptr;
    };

    // `isolated` tells whether this node has lost contact with all others; it
    // then watches the store whoever else does.
    store_watch(const dependencies& with, std::function<bool()> isolated);
    ~store_watch();
    store_watch(const store_watch&) = delete;
    store_watch& operator=(const store_watch&) = delete;

    // Watches until the first policy and the first set of evacuations have
    // arrived, then as the election says.
    void start();

    // Handles another node's message about its watch.
    void handle_message(const Json::Value& message);

private:
    void set_watching(bool watch);
    void run_check();
    void update();
    void report();
    void handle_store_state(bool lost);
    void send_to_candidates(const Json::Value& message);

    dependencies dependencies_;
    std::function<bool()> isolated_;
    timer_id check_timer_{};
};

} // namespace shallotwood::process::sidecar
