// Decides when a call from a peer runs on the local backend server.
//
// Only this node sees everything in flight on its backend server, so it admits,
// queues, sheds, fences and drains without agreement with other nodes. Checks
// run in this order: suspected crashers, admission, start of the attempt. An
// attempt counts as not run until its start is registered; only then does it
// get a permit.
//
// Bounds: running and queued calls are limited by admission, attempts and
// suspects by their tables.
#pragma once

#include "process/admission_controller.hpp"
#include "process/attempt_register.hpp"
#include "process/backend_presence.hpp"
#include "process/call_table.hpp"
#include "process/counters.hpp"
#include "process/crash_suspects.hpp"
#include "process/http/exclusive_execution.hpp"
#include "request/call_policy.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

namespace shallotwood::process
{

class execution_controller final : public request::execution_policy
{
public:
    struct dependencies {
        event_loop& loop;
        call_table& calls;
        attempt_register& attempts;
        crash_suspects& suspects;
        counters& counts;
        admission_settings queue;
        // Whether the backend server refuses connections, which means that its
        // process has ended. Must not block.
        std::function<bool(const http::backend_announcement&)>
            refuses_connections;
        // Called when refuses_connections() has returned true.
        std::function<void()> server_ended;
    };

    explicit execution_controller(const dependencies& deps);
    ~execution_controller() override;

    void arrive(const request::call& it,
                std::function<void(
                    std::variant<request::execution_permit, request::refusal>)>
                    done) override;
    void cancel(const std::string& attempt_id) override;
    void ended(const std::string& attempt_id, request::execution_end how,
               int status) override;
    request::call_feedback feedback(const std::string& attempt_id,
                                    const request::verdict& what) override;

    // Called when the local backend server has announced itself or is gone.
    // `lost` means that its announcements stopped or its process ended.
    void server_present(const http::backend_announcement& it);
    void server_absent(bool lost);

    // Refuses new calls; calls `idle` when no call is running.
    void drain(std::function<void()> idle);

    int running() const { return admission_ ? admission_->running() : 0; }
    std::size_t queued() const { return admission_ ? admission_->queued() : 0; }
    // Shed key at and above which calls of this depth are shed.
    request::shed_key shed_threshold(int depth) const
    {
        return admission_ ? admission_->shed_threshold(depth)
                          : request::no_shed_threshold;
    }

private:
    using arrive_done = std::function<void(
        std::variant<request::execution_permit, request::refusal>)>;

    struct arrival {
        request::call call;
        time_point deadline;
        arrive_done done;
    };
    struct run {
        std::string token;
        crash_suspects::run_id id{};
    };

    std::optional<request::reason> refusal_reason(const arrival& it) const;
    void dispatch(const arrival& it);
    void admit(const arrival& it);
    void start(const arrival& it);
    void refuse(const arrival& it, request::reason why,
                const std::string& redirect = "");
    void check_for_crash(crash_suspects::run_id id);
    bool detect_crash();
    void resume_exclusive_execution();

    dependencies dependencies_;
    std::optional<http::backend_announcement> server_;
    // Null until a backend server has announced itself.
    std::unique_ptr<admission_controller> admission_;
    http::exclusive_execution exclusive_;
    bool draining_ = false;
    // By attempt id, from the permit to ended().
    std::unordered_map<std::string, run> runs_;
    // What feedback() reports for the call that is being refused.
    int refused_retries_ = 0;
    int refused_depth_ = 0;
    std::string refused_redirect_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace shallotwood::process
