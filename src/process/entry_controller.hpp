// Admits or refuses the requests of callers at the entry node.
//
// Checks run in this order, cheapest first, so that little is spent on a
// request that a later check refuses: configuration, route, key, cut, rate,
// claim of the idempotency key. A refusal here guarantees that the request was
// not run. The rate token of a request whose claim is then refused is not
// returned.
//
// Bounds: requests that wait for a rate token or a claim are limited by the
// token cache and the claim store; open claims by the record store.
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

// State of this node that the entry checks need.
class node_state
{
public:
    virtual ~node_state() = default;

    // Null until the first configuration has arrived.
    virtual version::configuration_ptr configuration() const = 0;
    // True if neither the platform nor a peer has been in contact within the
    // isolation limit.
    virtual bool isolated() const = 0;
    virtual bool draining() const = 0;
    // True if this node shuts down and may end before a call that starts now
    // with this much time left.
    virtual bool ends_before(duration remaining) const = 0;
    // Prefix of request and attempt ids, unique to each start of the process.
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

    explicit entry_controller(const dependencies& deps);

    void enter(const request::caller_request& it,
               std::function<void(request::entry_result)> done) override;
    void
    record(const request::call& it, const request::recorded_response& response,
           std::function<void(std::optional<request::refusal>)> done) override;
    void leave(const request::call& it,
               const request::call_feedback& feedback) override;

    // Number of accepted requests that have not ended.
    std::size_t open() const { return open_requests_; }

private:
    using entry_done = std::function<void(request::entry_result)>;
    struct pending {
        request::call call;
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
    // Answers with the recorded response of an earlier request with the same
    // idempotency key.
    void replay(const pending& it, const request::recorded_response& response);
    void accept(pending it);
    // Releases the claim, so that the key can be claimed again.
    void release_claim(const request::call& it);
    void refuse(const pending& it, request::verdict what, int status,
                std::optional<duration> retry_after);
    request::refusal make_refusal(request::reason why);
    duration add_jitter(duration base);

    dependencies dependencies_;
    std::uint64_t last_request_id_ = 0;
    std::size_t open_requests_ = 0;
    // Claims of idempotency keys, by request id.
    std::unordered_map<std::string, std::string> claims_;
};

int http_status_of(request::reason why);

} // namespace shallotwood::process
