// An open-loop load generator: requests start at their planned times whether
// or not earlier ones have ended, and latency counts from the planned time.
//
// Bounds: duration, number of requests, and requests in flight; an arrival
// that finds the last bound reached is counted and not sent. Each response is
// read whole and checked against its length and digest.
#pragma once

#include "connection/http_client.hpp"
#include "process/event_loop.hpp"
#include "process/experiment/precise_timer.hpp"
#include "process/http/http_environment.hpp"
#include "process/latency_histogram.hpp"
#include "process/random_source.hpp"

#include <json/json.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace shallotwood::process::experiment
{

// One source of requests.
struct load_workspace {
    std::string name;
    // Share of the arrivals, relative to the other workspaces.
    double weight = 1;
    // Empty for none.
    std::string key;
    // With query.
    std::string path = "/";
};

struct load_settings {
    std::string host;
    std::uint16_t port = 0;
    std::string method = "GET";
    // Of the request's body; 0 for none.
    std::size_t body_bytes = 0;
    std::vector<load_workspace> workspaces;
    // Arrivals a second.
    double rate = 100;
    // Exponential times between arrivals rather than constant ones.
    bool poisson = true;
    duration length = std::chrono::seconds(10);
    // Not measured; before `length`.
    duration warm_up{};
    std::uint64_t max_requests = 1'000'000;
    std::size_t max_in_flight = 1000;
    // Sent as `Request-Timeout`; the generator itself gives up a second later.
    duration timeout = std::chrono::seconds(10);
    // Attempts after the first, made at once after any failure or refusal, as
    // aggressive clients do.
    int hard_retries = 0;
    // Adds an `Idempotency-Key` of its own to each request.
    bool idempotency_keys = false;
    // Adds `mark=N` to the query and checks the response's X-Mark.
    bool marks = false;
    std::uint64_t seed = 1;
};

// How requests ended. `complete` are whole responses below status 400 that
// passed every check.
struct load_counts {
    std::uint64_t arrivals = 0;
    std::uint64_t not_sent = 0;
    std::uint64_t attempts = 0;
    std::uint64_t complete = 0;
    std::uint64_t refused = 0;
    std::uint64_t incomplete = 0;
    std::uint64_t wrong_body = 0;
    std::uint64_t wrong_caller = 0;
    std::uint64_t timed_out = 0;
    std::uint64_t no_response = 0;
};

struct load_report {
    load_counts total;
    std::map<std::string, load_counts> by_workspace;
    // Of refusals: "verdict/reason".
    std::map<std::string, std::uint64_t> by_verdict;
    std::map<int, std::uint64_t> by_status;
    // Of complete requests.
    latency_histogram latency;
    duration measured{};
};

Json::Value to_json(const load_report& it);

class load_generator
{
public:
    load_generator(load_settings settings, event_loop& loop,
                   connection::http_client& client);
    ~load_generator();
    load_generator(const load_generator&) = delete;
    load_generator& operator=(const load_generator&) = delete;

    // `done` is called once all requests have ended.
    void start(std::function<void()> done);
    const load_report& report() const { return report_; }

private:
    struct request;
    using request_handle = std::shared_ptr<request>;

    void launch_due();
    void plan_next();
    void arrive(time_point planned);
    void attempt(const request_handle& it);
    connection::client_request make_request(const request& it) const;
    connection::client_handlers make_handlers(const request_handle& it);
    void head_received(request& it, const connection::response_head& head,
                       const connection::internal_headers& internal);
    void ended(const request_handle& it, std::uint64_t load_counts::*how);
    std::uint64_t load_counts::*outcome_of(const request& it) const;
    void count(const request& it, std::uint64_t load_counts::*what);
    void finish_if_idle();
    const load_workspace& pick_workspace();

    load_settings settings_;
    event_loop& loop_;
    connection::http_client& client_;
    random_source random_;
    precise_timer timer_;
    load_report report_;
    std::function<void()> done_;
    time_point started_;
    time_point next_;
    std::uint64_t last_request_ = 0;
    std::size_t in_flight_ = 0;
    double total_weight_ = 0;
    bool planning_ = true;
};

} // namespace shallotwood::process::experiment
