// Runs calls through the policies of nodes in one process, in place of HTTP:
// what the data path does, without sockets.
//
// Each node has a backend server with a fixed service time and an unlimited
// number of slots; what protects it is the node. The backend server counts how
// often each request ran.
#pragma once

#include "process/event_loop.hpp"
#include "request/call_policy.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace shallotwood::test
{

struct caller_result {
    // True if the caller got the whole response of the backend server.
    bool whole = false;
    // True if the response was recorded by an earlier run of the request.
    bool repeated = false;
    int status = 0;
    request::verdict what;
    std::string body;
};

class call_driver
{
public:
    struct policies {
        request::entry_policy& entry;
        request::routing_policy& routing;
        request::execution_policy& execution;
    };

    explicit call_driver(process::event_loop& loop) : loop_(loop) {}

    void add(const std::string& instance, const policies& of);
    // The node and its backend server are gone; what is in flight there ends
    // without an answer after `silence_limit` at the sender.
    void remove(const std::string& instance);
    // Only the backend server is gone: what it runs fails at once.
    void crash_server(const std::string& instance);
    void freeze(const std::string& instance) { frozen_.insert(instance); }
    void thaw(const std::string& instance) { frozen_.erase(instance); }
    // Attempts reach the node this much later, as over a slow connection.
    void delay_attempts(const std::string& instance, process::duration by);
    // Answers from the node are lost from now on.
    void drop_answers(const std::string& instance, bool on);

    // The instance's backend server calls these services for each request.
    std::map<std::string, std::vector<std::string>> calls_of_service;
    process::duration service_time{std::chrono::milliseconds(10)};
    process::duration trip{std::chrono::milliseconds(1)};
    process::duration silence_limit{std::chrono::seconds(2)};
    // A request with this path ends the backend server that runs it.
    std::string crash_path = "/crash";
    // Called when a backend server ends that way.
    std::function<void(const std::string& instance)> on_crash;

    void send(const std::string& instance, const request::caller_request& it,
              const std::function<void(const caller_result&)>& done);

    // How often a request with the idempotency key, or else the path, ran on
    // any backend server of the entry service.
    int runs_of(const std::string& name) const;
    // Runs that began on the backend server of the instance.
    int runs_on(const std::string& instance) const;
    // Requests that ran for a workspace.
    std::map<std::string, int> runs_by_workspace;

private:
    struct node;
    struct attempt;
    struct sending;
    using node_ptr = std::shared_ptr<node>;
    using sending_ptr = std::shared_ptr<sending>;
    using attempt_ptr = std::shared_ptr<attempt>;

    node_ptr find(const std::string& instance) const;
    void forward(const sending_ptr& it);
    void deliver(const attempt_ptr& it);
    void execute(const attempt_ptr& it, const node_ptr& at,
                 const request::execution_permit& permit);
    void run_children(const attempt_ptr& it, const node_ptr& at,
                      const std::string& token, std::size_t next,
                      const std::function<void(bool)>& done);
    void end_run(const attempt_ptr& it, const node_ptr& at, bool whole);
    void reply(const attempt_ptr& it, const node_ptr& from,
               const request::call_feedback& back);
    void attempt_ended(const attempt_ptr& it,
                       const request::call_feedback& back);
    void went_silent(const attempt_ptr& it);

    process::event_loop& loop_;
    std::map<std::string, node_ptr> nodes_;
    std::set<std::string> frozen_;
    std::map<std::string, process::duration> delays_;
    std::map<std::string, int> runs_;
    std::map<std::string, int> runs_on_;
};

} // namespace shallotwood::test
