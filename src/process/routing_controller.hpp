// Selects the target node of each attempt and decides on retries, for calls of
// this node's callers and of its backend server.
//
// A non-repeatable call is retried only if its last attempt provably did not
// run. A retry counts against the call's retry allowance and the node's retry
// ratio. A call refused for overload further down the call graph is not
// retried.
#pragma once

#include "process/attempt_register.hpp"
#include "process/call_table.hpp"
#include "process/counters.hpp"
#include "process/entry_controller.hpp"
#include "process/load_balancer.hpp"
#include "process/member.hpp"
#include "process/shed_threshold_table.hpp"
#include "process/success_retry_budget.hpp"
#include "request/call_policy.hpp"

#include <set>
#include <unordered_map>

namespace shallotwood::process
{

class routing_controller final : public request::routing_policy
{
public:
    struct dependencies {
        const clock& time;
        const node_state& state;
        member_view& members;
        load_balancer& servers;
        call_table& calls;
        shed_threshold_table& shed_thresholds;
        success_retry_budget& retries;
        attempt_register& attempts;
        counters& counts;
    };

    // Subscribes to `members` for the lifetime of that object.
    explicit routing_controller(const dependencies& deps);

    std::variant<request::target, request::refusal>
    choose(const request::call& it,
           const std::vector<std::string>& tried) override;
    void sent(const request::call& it, const request::target& to) override;
    void answered(const request::call& it, const request::target& to,
                  const request::call_feedback& feedback,
                  duration elapsed) override;
    bool retry(request::call& it,
               const request::call_feedback& feedback) override;
    void fence(const request::call& it, const request::target& to,
               std::function<void(request::execution)> done) override;
    std::variant<request::call, request::refusal>
    begin_child(const std::string& token, const std::string& service,
                const std::string& path) override;
    void end_child(const std::string& token, const request::call& child,
                   const request::call_feedback& feedback) override;

    // Called after a configuration change, which may change the set of serving
    // backend servers.
    void reassign_all();

private:
    std::variant<request::target, request::refusal>
    redirect(const request::call& it,
             const std::vector<std::string>& tried) const;
    void assign(const std::string& service);
    std::string next_attempt_id(const request::call_context& of);

    // Data about a sent attempt that is needed to fence it.
    struct sent_attempt {
        time_point at;
        std::uint64_t incarnation = 0;
    };

    dependencies dependencies_;
    // From sent() to answered().
    std::unordered_map<std::string, sent_attempt> sent_attempts_;
    // Services that this node has selected from; bounded by the membership.
    std::set<std::string> assigned_services_;
    std::uint64_t last_attempt_ = 0;
};

} // namespace shallotwood::process
