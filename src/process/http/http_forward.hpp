// Forwards one call to the node beside a backend server, in as many attempts as
// the routing policy allows.
//
// Each attempt chooses an instance, waits for the head of the response, and
// then either ends (refused, failed or fenced) or relays the response. States
// don't go back except to start another attempt, and at most one attempt is
// open at a time. The verdict given to the caller holds for all attempts
// together: if any of them may have run, it says so.
#pragma once

#include "process/http/http_environment.hpp"

#include <optional>
#include <string>
#include <vector>

namespace shallotwood::process::http
{

struct forward_request {
    request::call call;
    std::string method;
    connection::header_list headers;
    std::shared_ptr<connection::request_body> body;
};

class http_forward : public std::enable_shared_from_this<http_forward>
{
public:
    using record_function = std::function<void(
        const request::call&, const request::recorded_response&,
        std::function<void(std::optional<request::refusal>)>)>;
    using done_function = std::function<void(const request::call&,
                                             const request::call_feedback&)>;

    // Largest response body that is recorded (section 4.5 of the design).
    static constexpr std::size_t max_recorded_bytes = std::size_t{64} * 1024;

    // `record` may be empty; `done` is called once.
    http_forward(http_environment& in,
                 std::shared_ptr<connection::server_exchange> exchange,
                 forward_request request, record_function record,
                 done_function done);

    void start();

private:
    void attempt();
    connection::client_request make_request() const;
    connection::client_handlers make_handlers();
    void head_received(connection::response_head head,
                       const connection::internal_headers& internal);
    void data_received(std::string_view bytes);
    void end_received();
    void attempt_failed(bool written, request::reason why);
    void finish_attempt(const request::call_feedback& feedback);
    void retry_or_refuse(const request::call_feedback& feedback);

    void relay(connection::response_head head);
    void record_response(bool whole);
    void recorded(const std::optional<request::refusal>& refused, bool whole);
    void relay_data(std::string_view bytes);
    void relay_interrupted(request::reason why);
    bool can_resume() const;
    bool is_resumed_response(const connection::response_head& head) const;

    void deadline_passed();
    void caller_disconnected();
    void answered(const request::call_feedback& feedback);
    void refuse_call(request::refusal refused);
    void finish(const request::call_feedback& feedback);
    void start_progress_timer(duration limit);
    duration remaining() const;
    bool must_record() const;
    bool continues_without_caller() const;

    enum class phase { waiting, refused, collecting, recording, relaying };

    http_environment& in_;
    std::shared_ptr<connection::server_exchange> exchange_;
    forward_request request_;
    record_function record_;
    done_function done_;

    time_point deadline_;
    scoped_timer deadline_timer_;
    scoped_timer progress_timer_;

    std::vector<std::string> tried_instances_;
    // The verdict on execution that covers all attempts so far.
    request::execution combined_execution_ = request::execution::not_run;
    std::optional<request::refusal> last_refusal_;

    // State of the open attempt.
    phase phase_ = phase::waiting;
    bool attempt_open_ = false;
    request::target target_;
    time_point sent_at_;
    std::shared_ptr<connection::client_call> client_;
    request::call_feedback feedback_;
    std::optional<duration> retry_after_;
    int status_ = 0;

    // State of the response that is being relayed.
    connection::response_head head_;
    std::string buffered_body_;
    std::uint64_t relayed_bytes_ = 0;
    std::string validator_;
    bool resuming_ = false;
    bool finished_ = false;
    // Keeps the call counted as in flight if it continues after the caller
    // disconnected.
    std::shared_ptr<void> disconnected_in_flight_;
};

} // namespace shallotwood::process::http
