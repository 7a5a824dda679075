// HTTP client of the platform's object API; see docs/platform-api.md.
//
// Every call has a timeout, and the numbers of calls, connections and bytes are
// bounded. A write is reported as not executed only if that is certain: the
// connection failed before the request was sent, or the platform's response
// says so.
#pragma once

#include "process/event_loop.hpp"
#include "process/http/http_client.hpp"
#include "process/object_store.hpp"
#include "process/peer_transport.hpp"
#include "process/random_source.hpp"
#include "process/store_position.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace shallotwood::process
{

struct platform_limits {
    // From the call until its response is complete.
    duration call_timeout = std::chrono::seconds(5);
    // Long-poll time: the platform responds to a watch after this time at the
    // latest. An unresponsive platform is therefore detected within
    // watch_wait + watch_grace, soon enough for another node to read a change
    // that has to be in force within 4 s.
    duration watch_wait = std::chrono::seconds(1);
    duration watch_grace = std::chrono::seconds(1);
    // Least time between the starts of two polls of one watch. Bounds the
    // traffic of a watch on an object that changes often: 6 KB/s for a
    // configuration head of 3 KB.
    duration watch_min_interval = std::chrono::milliseconds(500);
    // Backoff after a failed poll; doubles with each further failure. The
    // actual delay is 50 to 100% of it (jitter), so that watchers don't all
    // retry at the same time.
    duration initial_backoff = std::chrono::milliseconds(100);
    duration max_backoff = std::chrono::seconds(5);
    // Limit of calls in progress; further ones fail with rate_limited.
    std::size_t max_calls = 256;
    // Limit of watches; a further one reports rate_limited once and then ends.
    std::size_t max_watches = 256;
};

class platform_client final : public object_store
{
public:
    // The loop must run on the GLib default context.
    platform_client(const peer_address& platform, event_loop& loop,
                    random_source& random, platform_limits limits = {});
    // Abandons calls in progress: their callbacks are not called.
    ~platform_client() override;
    platform_client(const platform_client&) = delete;
    platform_client& operator=(const platform_client&) = delete;

    void get(const std::string& name,
             std::function<void(get_result)> done) override;
    void put(const std::string& name, const std::string& value,
             std::uint64_t expected_version,
             std::function<void(put_result)> done) override;
    void remove(const std::string& name, std::uint64_t expected_version,
                std::function<void(put_result)> done) override;
    void list(const std::string& prefix,
              std::function<void(list_result)> done) override;
    watch_id watch(const std::string& name, std::uint64_t after_version,
                   std::function<void(get_result)> on_change) override;
    void cancel(watch_id id) override;
    std::uint64_t era() const override { return era_.value(); }

    // When the platform last sent any response; empty before the first one.
    std::optional<time_point> last_response_time() const
    {
        return last_response_time_;
    }

private:
    struct watch_state;

    static get_result to_get_result(const std::string& name,
                                    const http::http_response& response);
    static put_result to_put_result(const http::http_response& response);

    // Counts the call and returns true, or fails it with rate_limited if too
    // many are in progress.
    template <typename Result>
    bool try_begin_call(const std::function<void(Result)>& done);
    http::http_request make_request(const std::string& path,
                                    duration limit) const;
    void send_write(const char* method, const std::string& name,
                    const std::string& value, std::uint64_t expected_version,
                    std::function<void(put_result)> done);
    void send_request(const http::http_request& request,
                      http::http_client::response_callback done);
    // Notes that the platform responded. A response from before a known restore
    // counts as lost.
    http::http_response accept(const http::http_response& response);
    void list_page(const std::string& prefix, const std::string& after,
                   std::vector<stored_object> found,
                   std::function<void(list_result)> done);
    void poll(std::uint64_t id);
    void on_poll_response(std::uint64_t id,
                          const http::http_response& received);

    std::string base_uri_;
    event_loop& loop_;
    random_source& random_;
    platform_limits limits_;
    // Long polls of watches use separate connections, so that they never delay
    // a call.
    http::http_client calls_;
    http::http_client polls_;
    std::uint64_t last_watch_ = 0;
    std::size_t calls_in_progress_ = 0;
    std::map<std::uint64_t, watch_state> watches_;
    std::optional<time_point> last_response_time_;
    store_era era_;
};

} // namespace shallotwood::process
