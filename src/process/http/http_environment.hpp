// State shared by the parts of the data path: settings, the event loop, the
// client, the policies, and the number of requests in flight.
#pragma once

#include "connection/http_client.hpp"
#include "connection/http_listener.hpp"
#include "process/counters.hpp"
#include "process/event_loop.hpp"
#include "process/random_source.hpp"
#include "request/call_policy.hpp"

#include <functional>
#include <memory>
#include <string>

namespace shallotwood::process::http
{

struct data_path_settings {
    connection::listen_address caller;
    connection::listen_address peer;
    connection::listen_address local;
    // Key that authenticates call contexts between nodes.
    std::string fleet_secret;
    // Longest wait for the head of a response from another node. A request that
    // takes longer can't be distinguished from a silent connection.
    duration head_progress_limit = std::chrono::seconds(10);
    // Longest wait for the next bytes of a body.
    duration body_progress_limit = std::chrono::seconds(5);
    // How long after the deadline the sender still waits. The node beside the
    // backend server responds at the deadline, and knows better than the sender
    // whether the call was executed.
    duration deadline_grace = std::chrono::milliseconds(10);
    connection::listener_limits listener_limits;
    connection::client_limits client_limits;
};

struct http_environment {
    const data_path_settings& settings;
    event_loop& loop;
    random_source& random;
    counters& counts;
    request::entry_policy& entry;
    request::routing_policy& routing;
    request::execution_policy& execution;
    connection::http_client& client;

    bool draining = false;
    std::size_t in_flight = 0;
    // Called when the node is draining and nothing is in flight any more.
    std::function<void()> on_idle;

    // Counts one request as in flight until the returned handle is released.
    std::shared_ptr<void> hold_in_flight();
};

// A timer that is cancelled when the object is destroyed.
//
// Restarting and cancelling it are cheap: a pending event loop timer is kept,
// and checks the due time when it fires.
class scoped_timer
{
public:
    explicit scoped_timer(event_loop& loop) : loop_(loop) {}
    ~scoped_timer();
    scoped_timer(const scoped_timer&) = delete;
    scoped_timer& operator=(const scoped_timer&) = delete;

    // Replaces the pending task.
    void start(duration delay, std::function<void()> task);
    // Cancels and releases the pending task.
    void cancel();

private:
    void arm(time_point at);
    void fire();

    event_loop& loop_;
    std::function<void()> task_;
    time_point due_;
    // Id of the pending event loop timer; 0 if there is none.
    timer_id id_{};
    time_point armed_at_;
};

// Sends a refusal to a caller or backend server, or aborts the connection if a
// response has already started.
void refuse(http_environment& in, connection::server_exchange& to,
            const request::refusal& refused);

} // namespace shallotwood::process::http
