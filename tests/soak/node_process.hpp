// One real node as a child process, with its settings file and its log.
#pragma once

#include "process/peer_transport.hpp"

#include <string>
#include <sys/types.h>
#include <vector>

namespace shallotwood::soak
{

struct node_addresses {
    // All addresses of a node are on this host.
    std::string host;
    process::peer_address callers() const { return {host, 8001}; }
    process::peer_address peers() const { return {host, 8002}; }
    process::peer_address announcements() const { return {host, 8003}; }
    process::peer_address readiness() const { return {host, 8004}; }
    process::peer_address metrics() const { return {host, 8005}; }
};

class node_process
{
public:
    // Files are kept in `directory`.
    node_process(std::string program, const std::string& directory,
                 const std::string& service, const std::string& domain,
                 node_addresses at, const process::peer_address& backend,
                 const process::peer_address& store,
                 const std::vector<process::peer_address>& seeds);
    ~node_process();
    node_process(const node_process&) = delete;
    node_process& operator=(const node_process&) = delete;

    void start();
    // Only ever sent to the process that start() made.
    void signal(int number) const;
    // True if it runs; collects the status of one that has ended.
    bool running();
    // It was told to end, or was killed.
    void expect_end() { end_expected_ = true; }
    bool ended_unexpectedly() const { return ended_unexpectedly_; }

    const node_addresses& at() const { return at_; }
    const std::string& service() const { return service_; }

private:
    std::string program_;
    std::string settings_;
    std::string settings_file_;
    std::string log_file_;
    std::string service_;
    node_addresses at_;
    pid_t id_ = 0;
    bool first_start_ = true;
    bool end_expected_ = false;
    bool ended_unexpectedly_ = false;
};

} // namespace shallotwood::soak
