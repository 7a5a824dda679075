// Decides on the requests of callers, at the entry node.
//
// In this order, cheapest first and nothing spent on a request that a later
// step would refuse: configuration, route, key, cut, rate, claim of
// the idempotency key. Each refusal is a true "not run". A request whose rate
// was charged and whose claim is then refused keeps its token spent.
//
// Bounds: requests waiting for the rate or a claim are limited by those
// modules; open claims by the record store.
#pragma once

#include "process/counters.hpp"
#include "process/random_source.hpp"
#include "process/rate/token_cache.hpp"
#include "process/record/claim_store.hpp"
#include "process/shed_key.hpp"
#include "process/shed_threshold_table.hpp"
#include "request/call_policy.hpp"
#include "version/configuration.hpp"

#include <functional>
#include <unordered_map>

namespace shallotwood::process
{

// What the entry node knows about its own state.
class node_state
{
public:
    virtual ~node_state() = default;

    // Null until a first configuration has arrived.
    virtual version::configuration_ptr configuration() const = 0;
    // True if neither the platform nor a peer was heard for too long.
    virtual bool isolated() const = 0;
    virtual bool draining() const = 0;
    // Base of request and attempt ids, unique to this start of the process.
    virtual const std::string& boot() const = 0;
};

class entry_controller final : public request::entry_policy
{
public:
    struct dependencies {
        const clock& time;
        const node_state& state;
        rate::token_cache& rates;
        record::claim_store& records;
        shed_threshold_table& shed_thresholds;
        demand_estimator& demand;
        random_source& random;
        counters& counts;
        int retry_allowance;
    };

    explicit entry_controller(const dependencies& dependencies);

    void enter(const request::caller_request& it,
               std::function<void(request::entry_result)> done) override;
    void
    record(const request::call& it, const request::recorded_response& response,
           std::function<void(std::optional<request::refusal>)> done) override;
    void leave(const request::call& it,
               const request::call_feedback& feedback) override;

    // Requests that entered and have not left.
    std::size_t open() const { return open_requests_; }

private:
    using entry_done = std::function<void(request::entry_result)>;
    struct pending {
        request::call it;
        time_point deadline;
        entry_done done;
    };

    std::variant<request::call, request::refusal>
    check(const request::caller_request& it);
    std::variant<std::string, request::verdict>
    authenticate(const request::caller_request& it, const version::route& on,
                 const version::configuration& in) const;
    request::call make_call(const request::caller_request& it,
                            const version::route& on,
                            const std::string& workspace, double weight);
    rate::rate_limit limit_of(const std::string& workspace) const;
    void acquire_token(pending it);
    void claim(pending it);
    // An earlier request with the same idempotency key has ended.
    void replay(const pending& it, const request::recorded_response& response);
    void accept(pending it);
    // Gives the claim back: the key may be claimed again.
    void release_claim(const request::call& it);
    void refuse(const pending& it, request::verdict what, int status,
                std::optional<duration> retry_after);
    request::refusal make_refusal(request::reason why);
    duration add_jitter(duration base);

    dependencies dependencies_;
    std::uint64_t last_request_id_ = 0;
    std::size_t open_requests_ = 0;
    // From the request id to the claim of its idempotency key.
    std::unordered_map<std::string, std::string> claims_;
};

// The status that a refusal for this reason has.
int http_status_of(request::reason why);

} // namespace shallotwood::process
