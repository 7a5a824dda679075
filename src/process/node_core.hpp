// A node without its sockets: membership, configuration, rate limits, routing,
// admission and retries wired together.
//
// The daemon passes a GLib loop, the peer socket and the platform client; a
// simulation test passes a virtual loop and fakes. Both run the same decision
// logic.
#pragma once

#include "process/backend_presence.hpp"
#include "process/configuration/configuration_feed.hpp"
#include "process/configuration/configuration_source.hpp"
#include "process/entry_controller.hpp"
#include "process/execution_controller.hpp"
#include "process/membership.hpp"
#include "process/rate/token_exchange.hpp"
#include "process/record/claim_store.hpp"
#include "process/routing_controller.hpp"

#include <json/json.h>
#include <memory>
#include <string>

namespace shallotwood::process
{

struct node_core_settings {
    membership_settings members;
    configuration::configuration_feed_settings feed;
    record::claim_settings records;
    record::wall_clock wall;
    admission_settings queue;
    int retry_allowance = 2;
    // The process ends this long after drain() at the latest.
    duration drain_limit = std::chrono::seconds(30);
    // After a node announces that it leaves, other nodes may send it calls for
    // this long; they are refused as draining.
    duration leave_grace_period = std::chrono::seconds(1);
    attempt_register_settings attempts;
    crash_suspects_settings suspects;
};

class node_core final : private node_state
{
public:
    // All references must outlive this object. `self` describes this node; its
    // incarnation must exceed those of its earlier starts. `boot_id` is unique
    // to this start.
    node_core(event_loop& loop, peer_transport& transport, object_store& store,
              counters& counts, const node_core_settings& settings,
              const member& self, const std::string& boot_id,
              std::uint64_t seed,
              std::function<bool(const http::backend_announcement&)>
                  refuses_connections);
    ~node_core() override;
    node_core(const node_core&) = delete;
    node_core& operator=(const node_core&) = delete;

    // `http_port` is the port for calls from other nodes.
    void start(std::uint16_t http_port);

    request::entry_policy& entry() { return entry_; }
    request::routing_policy& routing() { return routing_; }
    request::execution_policy& execution() { return execution_; }
    backend_presence& server() { return server_; }
    const membership& members() const { return members_; }
    const configuration::configuration_feed& feed() const { return feed_; }

    // Graceful shutdown: announces that this node leaves, refuses new requests
    // and finishes those that run. Calls `done` once.
    void drain(std::function<void()> done);

    // The response body of /status.
    Json::Value status() const;

private:
    version::configuration_ptr configuration() const override;
    bool isolated() const override;
    bool draining() const override { return draining_; }
    bool ends_before(duration remaining) const override;
    const std::string& boot() const override { return boot_id_; }

    std::optional<rate::rate_limit>
    rate_limit_of(const std::string& workspace) const;
    void server_present(const http::backend_announcement& it);
    void server_absent(bool lost);
    void finish_drain();

    event_loop& loop_;
    const std::string boot_id_;
    const node_core_settings settings_;
    random_source random_;
    bool draining_ = false;
    time_point draining_since_{};
    std::function<void()> on_drained_;

    membership members_;
    configuration::json_configuration_codec codec_;
    configuration::platform_configuration_loader loader_;
    configuration::configuration_feed feed_;
    rate::token_bucket_table token_buckets_;
    rate::token_exchange tokens_;
    rate::token_cache rates_;
    record::claim_store records_;
    attempt_register attempts_;
    crash_suspects suspects_;
    shed_threshold_table shed_thresholds_;
    demand_estimator demand_;
    success_retry_budget retries_;
    load_balancer balancer_;
    call_table calls_;
    entry_controller entry_;
    routing_controller routing_;
    execution_controller execution_;
    backend_presence server_;
};

} // namespace shallotwood::process
