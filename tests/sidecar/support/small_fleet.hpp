// Whole nodes in one process, with scripted backend servers, over loopback.
#pragma once

#include "connection/http/client_pool.hpp"
#include "platform/platform_protocol_adapter.hpp"
#include "process/sidecar/sidecar_node.hpp"
#include "sidecar/support/live_loop.hpp"
#include "sidecar/support/scripted_server.hpp"
#include "support/fake_object_store.hpp"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace shallotwood::test
{

struct caller_answer {
    // 0 if the connection ended without an answer.
    int status = 0;
    connection::http::header_list headers;
    std::string body;
    bool whole = false;
};

// Collects what a caller gets for one request.
class answer_recorder final : public connection::http::call_events
{
public:
    void on_response(connection::http::response_head&& head,
                     const connection::http::message_info&) override
    {
        answer.status = head.status;
        answer.headers = std::move(head.headers);
    }
    void on_response_body(std::string_view bytes) override
    {
        answer.body += bytes;
    }
    void on_response_end() override { answer.whole = ended = true; }
    void on_failure(const connection::http::call_failure&) override
    {
        ended = true;
    }

    caller_answer answer;
    bool ended = false;
};

class small_fleet
{
public:
    struct instance {
        std::string service;
        process::counters counts;
        std::unique_ptr<fake_object_store> store;
        std::unique_ptr<scripted_server> backend;
        std::unique_ptr<process::sidecar::sidecar_node> node;
        process::sidecar::node_settings settings;
        bool ended = false;
        std::uint64_t beats = 0;
        // Start time of the backend server; a later one is a new start.
        int born = 1;
        std::uint64_t incarnation = 100;
    };

    // Requests that a backend server runs at once.
    static constexpr std::size_t slots = 10;

    small_fleet();
    ~small_fleet();

    // A node with a backend server that answers by `handle`. Nodes share what
    // the first store holds unless `own_store` is set.
    instance& add(const std::string& service,
                  scripted_connection::handler handle, bool own_store = false,
                  answer_after when = answer_after::whole_request);
    // Writes the policy: a route for each service, and one workspace.
    void write_policy(int revision, const std::vector<std::string>& services,
                      const std::string& kind, const std::string& key = "key",
                      double rate = 1000);
    // What the operator does; returns after the store's acknowledgement.
    void evacuate(const std::string& domain);
    void withdraw_evacuation(const std::string& domain);
    // Waits until each node counts this many evacuated domains.
    void settle_evacuations(std::size_t domains);
    // Waits until all nodes know all backend servers and the policy.
    void settle(int revision);

    // Replaces the node by a new process, which waits for announcements.
    void restart(instance& at);
    // The same for all nodes at one moment.
    void restart_all();
    // `warmup_left` in seconds.
    void announce(instance& at, const std::string& state,
                  std::optional<double> warmup_left = std::nullopt);
    // The backend server of `at` deregisters, with its start time or without a
    // body. Returns the status of the answer.
    int depart(instance& at, bool with_start = true);
    caller_answer request(instance& at, const std::string& service,
                          const std::string& key = "key",
                          const std::string& method = "GET",
                          const std::string& body = "body");
    // A call that the backend server of `at` makes while it runs `parent`.
    caller_answer inner_request(instance& at, const std::string& service,
                                const std::string& parent);
    // Starts a request; its connection closes with the returned object.
    std::shared_ptr<connection::http::client_connection>
    start_request(instance& at, const std::string& service,
                  connection::http::call_events& events);
    // Starts an upload of `length` bytes, of which `first` are sent at once.
    std::shared_ptr<connection::http::client_connection>
    start_upload(instance& at, const std::string& service, std::uint64_t length,
                 const std::string& first,
                 connection::http::call_events& events);
    // A kept connection of a caller, and a request on it.
    std::shared_ptr<connection::http::client_connection>
    open_connection(instance& at);
    void send_request(connection::http::client_connection& over,
                      const std::string& service, process::duration timeout,
                      connection::http::call_events& events);
    bool ready(instance& at);
    std::string metrics(instance& at);

    // Services whose routes need no key, for the next policies.
    std::set<std::string> open_services;
    // Requests per second that a cold backend server tolerates, for the next
    // policies; 0 for no limit.
    double cold_rate = 0;
    // For the nodes added next.
    process::duration isolation_limit = std::chrono::seconds(5);
    std::string failure_domain = "d";
    std::optional<process::duration> evacuation_limit;

    process::loop::reactor loop;
    platform::platform_protocol_adapter adapter;
    std::vector<std::unique_ptr<instance>> all;

private:
    void start_node(instance& at);
    caller_answer call(const process::peer_address& to,
                       const connection::http::request_head& head,
                       const std::string& body);
    connection::http::request_head head_for(const std::string& service,
                                            const std::string& key,
                                            const std::string& method);

    std::string host_;
    int last_request_ = 0;
};

// An answer of a well-behaved backend server.
std::string good_answer(const std::string& head, const std::string& body);

} // namespace shallotwood::test
