// One revision of the operators' configuration, as the data path uses it:
// routes, services, workspaces with their API keys, and limits for callers.
//
// Immutable; a new revision is a new value.
#pragma once

#include "process/event_loop.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace shallotwood::version
{

enum class work_kind {
    // May run more than once.
    repeatable,
    // Runs at most once for each attempt of its caller.
    once,
    // Repeatable, with a large response.
    download,
};

struct service_share {
    std::string service;
    unsigned weight = 1;

    friend bool operator==(const service_share& a, const service_share& b)
    {
        return std::tie(a.service, a.weight) == std::tie(b.service, b.weight);
    }
};

struct route {
    std::string name;
    // Lower case, without a port.
    std::string host;
    // Begins and ends with a slash.
    std::string prefix;
    work_kind kind = work_kind::once;
    // Upper limit for the deadline of a request.
    process::duration timeout = std::chrono::seconds(1);
    // Latency objective.
    process::duration objective = std::chrono::seconds(1);
    // 0 is the most important.
    int priority = 0;
    // At least one.
    std::vector<service_share> services;
    // Backend servers to which one request may be sent.
    int max_attempts = 1;
    // Requests need no API key.
    bool open = false;

    auto fields() const
    {
        return std::tie(name, host, prefix, kind, timeout, objective, priority,
                        services, max_attempts, open);
    }
    friend bool operator==(const route& a, const route& b)
    {
        return a.fields() == b.fields();
    }
};

struct workspace {
    std::string name;
    // Takes precedence over the priority of a route; 0 is the most important.
    int priority = 0;
    // Requests per second over all instances; 0 for no limit.
    double rate = 0;
    double burst = 0;

    auto fields() const { return std::tie(name, priority, rate, burst); }
    friend bool operator==(const workspace& a, const workspace& b)
    {
        return a.fields() == b.fields();
    }
};

struct service {
    std::string name;
    std::string health_path;
    // Connections that one backend server accepts from all callers.
    int max_connections = 0;
    // How long a backend server stays cold after a start.
    process::duration warmup{};
    // Requests per second that a cold backend server tolerates; 0 for no limit.
    double cold_rate = 0;

    auto fields() const
    {
        return std::tie(name, health_path, max_connections, warmup, cold_rate);
    }
    friend bool operator==(const service& a, const service& b)
    {
        return a.fields() == b.fields();
    }
};

struct caller_limits {
    std::uint32_t header_bytes = 16 * 1024;
    std::uint64_t body_bytes = std::uint64_t{64} * 1024 * 1024;
    process::duration header_time = std::chrono::seconds(10);
    process::duration idle_time = std::chrono::seconds(60);

    auto fields() const
    {
        return std::tie(header_bytes, body_bytes, header_time, idle_time);
    }
    friend bool operator==(const caller_limits& a, const caller_limits& b)
    {
        return a.fields() == b.fields();
    }
};

class policy
{
public:
    struct key {
        std::string text;
        // Name of the workspace.
        std::string workspace;
    };
    struct parts {
        std::uint64_t revision = 0;
        std::vector<version::route> routes;
        std::vector<version::service> services;
        std::vector<version::workspace> workspaces;
        std::vector<key> keys;
        caller_limits limits;
    };

    explicit policy(parts from);

    std::uint64_t revision() const { return parts_.revision; }
    const caller_limits& limits() const { return parts_.limits; }
    const std::vector<version::route>& routes() const { return parts_.routes; }
    const std::vector<version::workspace>& workspaces() const
    {
        return parts_.workspaces;
    }
    // API keys are needed only if there are workspaces.
    bool needs_keys() const { return !parts_.workspaces.empty(); }

    // The route of the host with the longest prefix that begins the path; null
    // if there is none. The host may have a port, the path a query.
    const version::route* find_route(std::string_view host,
                                     std::string_view path) const;
    const version::workspace* workspace_of_key(std::string_view text) const;
    const version::workspace* find_workspace(std::string_view name) const;
    const version::service* find_service(std::string_view name) const;

private:
    parts parts_;
    // By host and prefix.
    std::unordered_map<std::string, std::size_t> routes_;
    std::unordered_map<std::string, std::size_t> workspaces_;
    std::unordered_map<std::string, std::size_t> keys_;
    std::unordered_map<std::string, std::size_t> services_;
};

using policy_ptr = std::shared_ptr<const policy>;

} // namespace shallotwood::version
