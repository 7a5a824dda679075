// Implements all three policies without overload protection: every request is
// accepted and sent to the members of its service in round-robin order.
//
// Serves as the baseline for measuring overload protection. State is bounded by
// the calls in flight.
#pragma once

#include "process/random_source.hpp"
#include "request/call_policy.hpp"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace shallotwood::process
{

struct pass_through_route {
    std::string prefix;
    std::string service;
    // False for requests that must run at most once.
    bool repeatable = true;
};

struct pass_through_settings {
    // The first route whose prefix matches is used.
    std::vector<pass_through_route> routes;
    std::map<std::string, std::vector<request::target>> members;
    duration default_timeout = std::chrono::seconds(30);
    // Retries for a whole call tree; 0 for a plain pass-through.
    int retries = 0;
};

class pass_through_policy final : public request::entry_policy,
                                  public request::routing_policy,
                                  public request::execution_policy
{
public:
    explicit pass_through_policy(pass_through_settings settings);

    // Sets the backend server that runs calls from peers.
    void set_backend(std::string host, std::uint16_t port);
    void clear_backend();
    void add_member(const std::string& service, request::target member);

    // entry_policy
    void enter(const request::caller_request& it,
               std::function<void(request::entry_result)> done) override;
    void
    record(const request::call& it, const request::recorded_response& response,
           std::function<void(std::optional<request::refusal>)> done) override;
    void leave(const request::call& it,
               const request::call_feedback& feedback) override;

    // routing_policy
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

    // execution_policy
    void arrive(const request::call& it,
                std::function<void(
                    std::variant<request::execution_permit, request::refusal>)>
                    done) override;
    void cancel(const std::string& attempt_id) override;
    void ended(const std::string& attempt_id, request::execution_end how,
               int status) override;
    request::call_feedback feedback(const std::string& attempt_id,
                                    const request::verdict& what) override;

private:
    struct running_call {
        request::call call;
        std::string token;
    };

    std::string next_id();

    pass_through_settings settings_;
    std::string backend_host_;
    std::uint16_t backend_port_ = 0;
    // Unique among processes and restarts.
    std::string id_prefix_;
    std::uint64_t last_id_ = 0;
    std::map<std::string, std::size_t> next_member_;
    std::unordered_map<std::string, running_call> running_;
    std::unordered_map<std::string, std::string> attempt_of_token_;
};

} // namespace shallotwood::process
