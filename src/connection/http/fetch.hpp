// One HTTP call with its whole answer.
#pragma once

#include "connection/http/client_pool.hpp"

#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace shallotwood::connection::http
{

// A larger answer is a failure.
constexpr std::uint64_t max_fetched_bytes = std::uint64_t{16} * 1024 * 1024;

struct fetched {
    int status = 0;
    header_list headers;
    std::string body;
};

struct fetch_failure {
    // False if no byte of the request was sent.
    bool may_have_arrived = true;
};

using fetch_result = std::variant<fetched, fetch_failure>;

class fetch;
using fetch_ptr = std::shared_ptr<fetch>;

// Calls `done` once, unless the fetch is cancelled.
class fetch final : public std::enable_shared_from_this<fetch>,
                    private call_events
{
public:
    using handler = std::function<void(fetch_result)>;

    static fetch_ptr start(process::loop::reactor& loop, client_pool& pool,
                           const request_head& head, const std::string& body,
                           process::duration limit, handler done);
    void cancel();

    fetch(process::loop::reactor& loop, client_pool& pool, handler done);

private:
    void on_response(response_head&& head, const message_info& info) override;
    void on_response_body(std::string_view bytes) override;
    void on_response_end() override;
    void on_failure(const call_failure& why) override;
    void finish(fetch_result result);

    process::loop::reactor& loop_;
    client_pool& pool_;
    handler done_;
    std::shared_ptr<client_connection> connection_;
    process::timer_id timer_{};
    fetched answer_;
    // Keeps the call alive until it ends.
    fetch_ptr self_;
};

} // namespace shallotwood::connection::http
