// The settings of a node, read from a TOML file.
#pragma once

#include "process/event_loop.hpp"
#include "process/peer_transport.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace shallotwood::process::sidecar
{

// Largest settings file that is read, in bytes.
constexpr std::size_t max_settings_bytes = std::size_t{64} * 1024;

struct node_settings {
    std::string name;
    std::string failure_domain;
    // Service of the backend server beside the node.
    std::string service;
    process::peer_address backend_address;
    // Listens for callers and for the backend server's own calls.
    process::peer_address caller_address;
    // Listens for other nodes.
    process::peer_address peer_listen_address;
    // Listens for announcements of the backend server.
    process::peer_address announce_address;
    process::peer_address readiness_address;
    process::peer_address metrics_address;
    process::peer_address platform_address;
    // Announcement addresses of nodes that may be running.
    std::vector<process::peer_address> seeds;
    // Retry budget of the whole fleet: in each window, this ratio of the calls
    // plus a fixed allowance.
    double success_retry_budget = 0;
    double retry_allowance = 0;
    duration retry_window = std::chrono::seconds(10);
    // Time between SIGTERM and SIGKILL.
    duration shutdown_limit = std::chrono::seconds(6);
    // Requests that need a key are refused when neither the store nor another
    // node has been in contact for this time.
    duration isolation_limit = std::chrono::seconds(5);
    // Time after which no request may reach a backend server of an evacuated
    // failure domain; nothing on deployments without evacuations.
    std::optional<duration> evacuation_limit;
    std::size_t max_connections = 1024;
    // In any second a cold backend server may get its rate times the excess
    // plus the slack; empty where the platform has no such bound.
    std::optional<double> cold_excess;
    std::optional<double> cold_slack;
    // Places calls by their expected end where routing::expected_end applies.
    bool placement_by_cost = false;
    // True if the whole fleet starts for the first time.
    bool fleet_is_new = false;
};

struct settings_error {
    // One `LINE: FIELD: MESSAGE` for each error.
    std::vector<std::string> faults;
};

using settings_result = std::variant<node_settings, settings_error>;

// Never throws on untrusted text. Unknown fields are ignored.
settings_result parse_node_settings(std::string_view text);
settings_result load_node_settings(const std::string& file_name);

} // namespace shallotwood::process::sidecar
