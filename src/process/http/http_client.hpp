// An HTTP client with a timeout and a limit on the size of the response.
//
// For control traffic only: it buffers whole bodies. The data path streams them
// with connection::http_client.
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
#include <vector>

namespace shallotwood::process::http
{

struct http_request {
    const char* method = "GET";
    std::string uri;
    // From send() until the response is complete.
    duration time_limit = std::chrono::seconds(5);
    // Limit on the response body. The response must have a Content-Length.
    std::size_t max_response_bytes = 65536;
    std::optional<std::pair<const char*, std::string>> header;
    std::string body;
    // Response headers to return in http_response::headers.
    std::vector<const char*> response_header_names;
};

struct http_response {
    // How often the request began to be written to a connection. libsoup
    // resends a request if the connection that it reused turns out to be
    // closed.
    int sends = 0;
    // 0 if no complete response was received.
    unsigned status = 0;
    // By the names that the request asked for; absent ones are left out.
    std::map<std::string, std::string> headers;
    std::string body;
};

class http_client
{
public:
    using response_callback = std::function<void(const http_response&)>;

    // The loop must run on the GLib default context.
    http_client(event_loop& loop, int max_connections);
    // Cancels all exchanges without calling their callbacks.
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    // Calls `done` once, never from within send(). Returns an id above 0.
    std::uint64_t send(const http_request& request, response_callback done);

    // Cancels an exchange without calling its callback. Does nothing if the
    // callback was already called.
    void cancel_exchange(std::uint64_t id);

private:
    class exchange;
    struct unref {
        void operator()(SoupSession* it) const { g_object_unref(it); }
    };

    void finish(std::uint64_t id, const http_response& response);

    event_loop& loop_;
    std::unique_ptr<SoupSession, unref> session_;
    std::uint64_t last_id_ = 0;
    std::map<std::uint64_t, std::shared_ptr<exchange>> exchanges_;
};

} // namespace shallotwood::process::http
