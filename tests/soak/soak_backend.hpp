// A backend server inside the soak, beside one node: it announces itself, runs
// requests, and misbehaves on demand.
#pragma once

#include "connection/http/client_pool.hpp"
#include "connection/http/fetch.hpp"
#include "process/random_source.hpp"
#include "sidecar/support/scripted_server.hpp"
#include "soak/fault_proxy.hpp"
#include "soak/ledger.hpp"

#include <deque>
#include <functional>
#include <json/json.h>
#include <memory>
#include <optional>
#include <string>

namespace shallotwood::soak
{

// Parts of the requests that end badly.
struct misbehaviour {
    // Runs, and the connection is reset in place of an answer.
    double lose_answer = 0;
    // Runs, and the answer breaks off.
    double cut_answer = 0;
    // Runs, and what it sends is no valid answer.
    double invalid_answer = 0;
    // Sends a second answer to the same request.
    double extra_answer = 0;
    // Says that it did not run the request.
    double turn_away = 0;
};

// What a server tolerates while it is cold after a restart: in any second, its
// rate times the excess plus the slack.
struct cold_bounds {
    double rate = 12;
    double excess = 1.5;
    double slack = 8;
    process::duration warmup = std::chrono::milliseconds(1500);
};

constexpr cold_bounds cold;

// How a server says that it leaves.
enum class leaving {
    drains,
    deregisters,
    // Without a body, so that its start time is not named.
    deregisters_unnamed,
};

// The whole body of the right answer to a request.
std::string body_for(const std::string& request_id);

class soak_backend
{
public:
    soak_backend(process::loop::reactor& loop, process::random_source& random,
                 ledger& seen, std::string service,
                 const process::peer_address& node);
    ~soak_backend();
    soak_backend(const soak_backend&) = delete;
    soak_backend& operator=(const soak_backend&) = delete;

    // Where the node reaches it: through a proxy.
    process::peer_address address() const { return line_.address(); }
    fault_proxy& line() { return line_; }

    // Ends without a word, with what it runs.
    void crash();
    // A new incarnation; false if it has not crashed.
    bool restart();
    // A new incarnation in any case.
    void start_anew();
    // Says that it leaves, until that is acknowledged, and serves on. An
    // announcement that it is ready was sent before, and arrives `late_by`
    // from now.
    void leave(leaving how, process::duration late_by);

    misbehaviour bad;
    // Asked at each request: true if none may come, because the failure domain
    // is evacuated.
    std::function<bool()> must_be_idle;
    // Asked at each request to a server that has left: true if its node has
    // run long enough to know that.
    std::function<bool()> node_is_settled;

private:
    void announce();
    Json::Value make_beat();
    // Sends a message under the own id.
    connection::http::fetch_ptr post(const std::string& path,
                                     const std::string& body,
                                     std::function<void(bool)> done);
    void count_arrival();
    void serve(test::scripted_connection& from, const std::string& head);
    // Answers an upload that is still being written, and ends the connection.
    void answer_early(const std::shared_ptr<test::scripted_connection>& to,
                      const std::string& id);
    // Sends a part of the body, by one of the framings, and breaks off.
    void cut_answer(test::scripted_connection& to, const std::string& id);
    void send_invalid(test::scripted_connection& to, const std::string& id);
    void answer(const std::shared_ptr<test::scripted_connection>& to,
                const std::string& id);

    process::loop::reactor& loop_;
    process::random_source& random_;
    ledger& seen_;
    std::string service_;
    process::peer_address node_;
    std::unique_ptr<test::scripted_server> server_;
    fault_proxy line_;
    connection::http::client_pool pool_;
    connection::http::fetch_ptr beat_;
    std::string id_;
    std::int64_t born_ = 0;
    std::uint64_t sequence_ = 0;
    std::optional<leaving> leaving_;
    // When that was acknowledged.
    std::optional<process::time_point> left_at_;
    connection::http::fetch_ptr late_beat_;
    process::timer_id late_timer_{};
    // The first start is not in traffic.
    int starts_ = 0;
    process::time_point cold_until_{};
    // Arrivals of the last second while it was cold.
    std::deque<process::time_point> cold_arrivals_;
    process::timer_id timer_{};
};

} // namespace shallotwood::soak
