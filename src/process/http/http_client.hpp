// HTTP exchanges with a time limit and a bound on the answer's size.
//
// For control traffic only; the bodies of requests stream elsewhere.
#pragma once

#include "process/event_loop.hpp"

#include <cstdint>
#include <functional>
#include <libsoup/soup.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace shallotwood::process::http
{

struct http_request {
    const char* method = "GET";
    std::string uri;
    // From the call until the answer is complete.
    duration time_limit = std::chrono::seconds(5);
    // Of the answer's body; it must come with a Content-Length.
    std::size_t max_response_bytes = 65536;
    std::optional<std::pair<const char*, std::string>> header;
    std::string body;
    // Header of the answer that the caller wants.
    const char* response_header_name = nullptr;
};

struct http_response {
    // Times that the request began to be written to a connection. libsoup sends
    // a request again if a connection that it reused turns out to be closed.
    int sends = 0;
    // 0 if no complete answer came.
    unsigned status = 0;
    std::optional<std::string> header;
    std::string body;
};

class http_client
{
public:
    using response_callback = std::function<void(const http_response&)>;

    // The loop must run on the GLib default context.
    http_client(event_loop& loop, int max_connections);
    // Abandons all exchanges.
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    // Calls `done` once, later. Returns an id above 0.
    std::uint64_t send(const http_request& it, response_callback done);

    // The callback will not be called. Does nothing if it was called already.
    void cancel_exchange(std::uint64_t id);

private:
    class exchange;
    struct unref {
        void operator()(SoupSession* it) const { g_object_unref(it); }
    };

    void finish(std::uint64_t id, const http_response& it);

    event_loop& loop_;
    std::unique_ptr<SoupSession, unref> session_;
    std::uint64_t last_id_ = 0;
    std::map<std::uint64_t, std::shared_ptr<exchange>> exchanges_;
};

} // namespace shallotwood::process::http
