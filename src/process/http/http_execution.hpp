// Executes one call from another node on the local backend server.
//
// The execution policy decides whether and when the call is executed. The
// feedback header is sent with the head of the response; the policy's ended()
// is called once the body has ended or failed.
#pragma once

#include "process/http/http_environment.hpp"

namespace shallotwood::process::http
{

class http_execution : public std::enable_shared_from_this<http_execution>
{
public:
    // Handles a request at the peer listener.
    static void
    begin(http_environment& in,
          const std::shared_ptr<connection::server_exchange>& exchange);

    http_execution(http_environment& in,
                   std::shared_ptr<connection::server_exchange> exchange,
                   request::call call);

private:
    void arrive(std::shared_ptr<connection::request_body> body);
    void start_execution(const request::execution_permit& permit);
    connection::client_request
    make_request(const request::execution_permit& permit) const;
    void head_received(connection::response_head head,
                       const connection::internal_headers& internal);
    void data_received(std::string_view bytes);
    void end_received();
    // Enough of the backend server's refusal has been read.
    void finish_refusal();
    void record_bad_status(int status);
    void failed(bool written);
    void sender_disconnected();
    void stop(request::execution_end how, const request::refusal& refused);
    void refuse_with_feedback(const request::refusal& refused);
    void ended(request::execution_end how);
    void start_progress_timer();
    std::string feedback_text(const request::verdict& what,
                              std::optional<duration> retry_after);

    http_environment& in_;
    std::shared_ptr<connection::server_exchange> exchange_;
    request::call call_;
    std::string method_;
    connection::header_list headers_;
    std::shared_ptr<connection::request_body> body_;
    std::shared_ptr<connection::client_call> client_;
    scoped_timer deadline_timer_;
    scoped_timer progress_timer_;
    // Set if the backend server responded that it did not execute the call.
    std::optional<request::refusal> backend_refusal_;
    // Set once the call has been sent to the backend server.
    std::optional<connection::listen_address> backend_address_;
    std::optional<std::uint64_t> length_;
    std::uint64_t relayed_bytes_ = 0;
    int status_ = 0;
    // Names this execution to the backend server.
    std::string token_;
    bool running_ = false;
    bool finished_ = false;
};

} // namespace shallotwood::process::http
