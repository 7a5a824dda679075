// The sidecar process of one backend server.
//
// Wires up the components: listeners, policy, fleet view, rate limits,
// load balancing, and admission control for the local backend server. The
// decisions are made in the components; names and formats of callers, backend
// servers and the platform are handled by the protocol adapter.
#pragma once

#include "process/fleet/isolation_detector.hpp"
#include "process/fleet/watcher_election.hpp"
#include "process/latency_histogram.hpp"
#include "process/load/crash_suspects.hpp"
#include "process/object_store.hpp"
#include "process/random_source.hpp"
#include "process/routing/service_split.hpp"
#include "process/sidecar/announcement_lease.hpp"
#include "process/sidecar/evacuation_feed.hpp"
#include "process/sidecar/fleet_exchange.hpp"
#include "process/sidecar/indirect_probes.hpp"
#include "process/sidecar/local_executor.hpp"
#include "process/sidecar/node_settings.hpp"
#include "process/sidecar/peer_links.hpp"
#include "process/sidecar/peer_server.hpp"
#include "process/sidecar/policy_feed.hpp"
#include "process/sidecar/store_watch.hpp"
#include "process/sidecar/token_exchange.hpp"
#include "request/entry_call.hpp"

#include <memory>
#include <string>
#include <vector>

namespace shallotwood::process::sidecar
{

// Names of the objects in the platform's store.
struct object_names {
    std::string policy;
    // An instance's object is named by this prefix and the instance's name.
    std::string instance_prefix;
    // An evacuation is named by this prefix and the failure domain.
    std::string evacuation_prefix;
};

class sidecar_node final : private request::entry_services
{
public:
    sidecar_node(loop::reactor& loop, const protocol_adapter& adapter,
                 object_store& store, counters& counts,
                 const object_names& names, const node_settings& settings,
                 std::uint64_t incarnation, std::uint64_t seed);
    ~sidecar_node();
    sidecar_node(const sidecar_node&) = delete;
    sidecar_node& operator=(const sidecar_node&) = delete;

    // Returns an error message, empty on success.
    std::string start();
    // Applies the settings that may change at run time.
    void reload(const node_settings& settings);
    // Stops accepting new calls, finishes those in flight, then calls `done`.
    void shut_down(std::function<void()> done);

private:
    using connection_ptr = std::shared_ptr<connection::http::server_connection>;
    using exchange_ptr = std::shared_ptr<connection::http::exchange>;
    class backend_message_exchange;

    // entry_services
    loop::reactor& loop() override { return loop_; }
    const protocol_adapter& adapter() override { return adapter_; }
    counters& counts() override { return counts_; }
    latency_histogram& latency() override { return latency_; }
    version::policy_ptr policy() override
    {
        return may_serve() ? feed_.current() : nullptr;
    }
    rate::token_cache& rates() override { return token_cache_; }
    routing::load_balancer& load_balancer() override { return load_balancer_; }
    retry::retry_budget& retries() override { return retries_; }
    const std::string& own_service() override { return settings_.service; }
    load::shed_threshold_table& shed_thresholds() override
    {
        return shed_thresholds_;
    }
    const fleet::isolation_detector& isolation_detector() override
    {
        return isolation_detector_;
    }
    // The last node of a fleet can't reach any other node, but goes on serving
    // as long as the store answers it.
    bool is_partitioned() override
    {
        return links_.is_partitioned() && !feed_.store_answers();
    }
    bool accepts_call(bool may_be_child, duration timeout) override;
    bool may_start_attempt(duration remaining) override;
    std::optional<request::parent_call>
    parent_of(const std::string& request_id, const std::string& route) override;
    std::string new_attempt_id() override;
    const std::string& choose_service(const version::route& route) override
    {
        return split_.choose(route);
    }
    std::shared_ptr<request::attempt> start_attempt(
        const fleet::instance& at, const request::attempt_request& what,
        const std::shared_ptr<request::attempt_receiver>& receiver) override;
    void call_ended() override { --calls_; }

    exchange_ptr caller_request(const connection_ptr& from,
                                connection::http::request_head&& head,
                                const connection::http::message_info& info);
    exchange_ptr announce_request(const connection_ptr& from,
                                  connection::http::request_head&& head);
    exchange_ptr readiness_request(const connection_ptr& from,
                                   const connection::http::request_head& head);
    exchange_ptr metrics_request(const connection_ptr& from,
                                 const connection::http::request_head& head);

    // Handles the message, and calls `done` when it may be acknowledged.
    void acknowledge(const backend_message& it, std::function<void()> done);
    // What an earlier process has acknowledged is known, as far as it can be.
    void handle_former_read(std::string_view cause);
    void handle_backend_message(const backend_message& it);
    // The latest announcement is valid from now on, for its time.
    local_backend::effect renew_lease();
    void lease_expired();
    void backend_changed(std::string_view cause);
    std::uint64_t wall_clock_ms() const;
    // Whether the backend server started while this process served, rather
    // than before it or with a new fleet.
    bool started_in_traffic(const announcement& it) const;
    void apply_cold_policy();
    void backend_crashed(const std::vector<load::fingerprint>& in_flight);
    void publish();
    std::string handle_message(std::string_view path, const std::string& body);
    void handle_crash_report(const Json::Value& message);
    // An earlier process of this node may have known requests that crash
    // backend servers; asks the other nodes of the service for them.
    void ask_for_suspects();
    std::string suspects_reply() const;

    void policy_adopted(const version::policy& it, policy_feed::origin from);
    std::optional<rate::rate_limit>
    rate_limit_of(const std::string& workspace) const;
    void run_periodic_checks();
    void log_load();
    void log_traffic();
    void apply_membership_change();
    bool is_cut_short(duration remaining, time_point exempt_until) const;
    time_point shutdown_time(double share) const;
    void leave_fleet();
    void stop_if_idle();
    bool ready();
    // False while the node does not know which domains are evacuated, and may
    // still learn it.
    bool may_serve() const
    {
        return !evacuations_ || !evacuations_->is_awaited();
    }
    void evacuations_changed(const fleet::evacuation_change& change,
                             evacuation_feed::origin from);

    loop::reactor& loop_;
    const protocol_adapter& adapter_;
    node_settings settings_;
    // Of this process; a start time by the platform's clock.
    const std::uint64_t incarnation_;
    const time_point process_started_;
    random_source random_;
    counters& counts_;
    latency_histogram latency_;
    fleet::fleet_view fleet_;
    fleet::isolation_detector isolation_detector_;
    routing::load_balancer load_balancer_;
    routing::service_split split_;
    retry::retry_budget retries_;
    load::shed_threshold_table shed_thresholds_;
    load::crash_suspects suspects_;
    local_backend backend_;
    local_executor executor_;
    cross_domain_traffic traffic_;
    peer_links links_;
    peer_server peers_;
    policy_feed feed_;
    // Null on deployments without evacuations.
    std::unique_ptr<evacuation_feed> evacuations_;
    fleet::watcher_election watcher_election_;
    store_watch store_watch_;
    indirect_probes probes_;
    rate::token_bucket_table token_buckets_;
    token_exchange tokens_;
    rate::token_cache token_cache_;
    fleet_exchange exchange_;
    connection::http::server callers_;
    connection::http::server announcements_;
    connection::http::server readiness_;
    connection::http::server metrics_;

    // Until then no announcement is applied but that of a departure.
    bool former_read_ = false;
    std::optional<announcement> first_announcement_;
    timer_id former_read_timer_{};
    const announcement_lease lease_;
    timer_id lease_timer_{};
    // Backend server whose departure the entry in the store tells; 0 if none.
    std::uint64_t stored_departure_ = 0;

    // The first policy has come.
    bool policy_arrived_ = false;
    std::uint64_t last_attempt_ = 0;
    std::uint64_t last_crash_ = 0;
    // Nodes that were asked for suspects since the start.
    std::set<std::string> suspects_asked_;
    std::size_t calls_ = 0;
    // Membership revision of the fleet that was applied last.
    std::uint64_t membership_ = 0;
    bool isolated_ = false;
    // Value of is_partitioned() that was logged last.
    bool partitioned_ = false;
    // Shutdown has begun: readiness fails, so that no new callers come.
    bool leaving_ = false;
    time_point leaving_since_{};
    // Calls of other nodes are refused, and the other nodes have been told.
    bool left_fleet_ = false;
    std::function<void()> shutdown_done_;
    timer_id periodic_check_timer_{};
    time_point traffic_logged_at_{};
    std::uint64_t last_logged_refused_ = 0;
    std::uint64_t last_logged_shed_ = 0;
};

} // namespace shallotwood::process::sidecar
