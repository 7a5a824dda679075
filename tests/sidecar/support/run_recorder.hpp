// Keeps what a run gives its receiver.
#pragma once

#include "request/attempt.hpp"

#include <optional>
#include <string>

namespace shallotwood::test
{

class run_recorder final : public request::attempt_receiver
{
public:
    void on_response(connection::http::response_head&& head,
                     std::optional<std::uint64_t>) override
    {
        status = head.status;
    }
    void on_response_body(std::string_view bytes) override { body += bytes; }
    void on_response_end() override { ended = true; }
    void on_failure(const request::attempt_failure& why) override
    {
        failure = why;
    }
    void on_silent() override { silent = true; }
    bool done() const { return ended || failure.has_value(); }

    int status = 0;
    std::string body;
    bool ended = false;
    bool silent = false;
    std::optional<request::attempt_failure> failure;
};

} // namespace shallotwood::test
