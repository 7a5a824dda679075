// The immutable configuration of one revision: what operators have confirmed.
#pragma once

#include "process/event_loop.hpp"
#include "request/call_context.hpp"
#include "version/position.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <tuple>

namespace shallotwood::version
{

// Requests whose path starts with `prefix` go to `service`; the longest prefix
// that matches wins.
struct route {
    std::string name;
    std::string prefix;
    std::string service;
    request::importance level = request::importance::normal;
    // False for work that must run at most once, such as a billing charge.
    bool repeatable = true;
    // True if callers need no key.
    bool open = false;
    // Deadline of a request that brings none, and the longest it may ask for.
    process::duration timeout = std::chrono::seconds(10);

    auto fields() const
    {
        return std::tie(name, prefix, service, level, repeatable, open,
                        timeout);
    }
    friend bool operator==(const route& a, const route& b)
    {
        return a.fields() == b.fields();
    }
};

struct workspace {
    std::string name;
    // Requests per second over all instances together.
    double rate = 0;
    // Requests.
    double burst = 0;

    friend bool operator==(const workspace& a, const workspace& b)
    {
        return std::tie(a.name, a.rate, a.burst) ==
               std::tie(b.name, b.rate, b.burst);
    }
};

// An operator's decision about a backend server, by instance. One without an
// entry serves as soon as it announces itself.
enum class server_intent { join, leave };

struct configuration {
    // Of the platform, when the last change was confirmed; 0 if unknown.
    std::uint64_t era = 0;
    // Counts the confirmed changes from 1; 0 is the empty configuration.
    std::uint64_t revision = 0;
    std::map<std::string, route> routes;
    std::map<std::string, workspace> workspaces;
    // From the hash of a key to the name of its workspace.
    std::map<std::string, std::string> keys;
    std::map<std::string, server_intent> servers;

    version::position position() const { return {era, revision}; }

    auto fields() const
    {
        return std::tie(era, revision, routes, workspaces, keys, servers);
    }
    friend bool operator==(const configuration& a, const configuration& b)
    {
        return a.fields() == b.fields();
    }
};

// Revisions are shared by the requests that began under them.
using configuration_ptr = std::shared_ptr<const configuration>;

// The route for a request path, or null.
const route* find_route(const configuration& in, const std::string& path);

} // namespace shallotwood::version
