// The fleet-wide rate limit of each workspace.
//
// The owner of the workspace's shard keeps one token bucket; nodes ask it for
// tokens and spend them on requests. Invariant at the owner: level +
// outstanding <= burst, where outstanding counts every token that a node may
// still spend. Tokens are refilled below that cap only, so in any window at
// most rate x time + burst are spent over all nodes together.
//
// A node holds about 200 ms of its own recent demand, or 1 s of it while the
// owner's bucket is at least half full, and asks ahead; it asks
// before it refuses. A grant is valid for 2 s from the moment of asking on the
// node's own clock, and later for the owner, which counts from its answer.
//
// Bounds: workspaces, nodes a workspace and waiting requests a workspace are
// limited by the settings; at a bound the request is refused "not run".
#pragma once

#include "process/ownership.hpp"
#include "process/token_bucket.hpp"
#include "request/verdict.hpp"

#include <optional>
#include <variant>

namespace shallotwood::process
{

// The limit of the workspace in the configuration in force; empty if there is
// no such workspace.
using rate_lookup =
    std::function<std::optional<rate_limit>(const std::string& workspace)>;

struct rate_settings {
    duration validity = std::chrono::seconds(2);
    // Demand that a node holds tokens for.
    duration hold = std::chrono::milliseconds(200);
    // The same while the owner's bucket is at least half full: then tokens that
    // are held are missed nowhere, and fewer questions are asked. At most half
    // of the validity, or tokens would expire unspent.
    duration hold_plentiful = std::chrono::seconds(1);
    // A request waits at most this part of its remaining time for a token, and
    // at most `wait_limit`.
    double wait_share = 0.25;
    duration wait_limit = std::chrono::seconds(1);
    // A request waits this long at most when the owner answered that there is
    // no token; longer waits would delay the requests that are granted.
    duration shortage_wait = std::chrono::milliseconds(100);
    // Spent tokens are reported within this time.
    duration report_period = std::chrono::milliseconds(100);
    // An unanswered question is sent again this often.
    duration resend_period = std::chrono::milliseconds(50);
    // Least time between two questions after a shortage of the workspace.
    duration refusal_pause = std::chrono::milliseconds(20);
    // A node keeps this many workspaces; the owner as many.
    std::size_t max_workspaces = 4096;
    // Nodes with tokens of one workspace, at the owner.
    std::size_t max_holders = 32768;
    std::size_t max_waiting = 4096;
};

struct charge_granted {
};

struct charge_refusal {
    // over_rate, or record_owner_unknown if the owner can't be reached. The
    // request did not run.
    request::reason why = request::reason::over_rate;
    // Time after which a token is expected.
    duration retry_after{};
};

using charge_result = std::variant<charge_granted, charge_refusal>;

class rate_ledger final
{
public:
    // All references outlive this object. Attaches itself to `owners` under
    // the name "rate"; create it before owners.start().
    rate_ledger(event_loop& loop, peer_transport& transport, ownership& owners,
                counters& counts, rate_lookup limits, rate_settings settings);
    ~rate_ledger();
    rate_ledger(const rate_ledger&) = delete;
    rate_ledger& operator=(const rate_ledger&) = delete;

    // Takes one token for a request that must end by `deadline`. Calls `done`
    // exactly once, at once if a token is held.
    void charge(const std::string& workspace, time_point deadline,
                std::function<void(const charge_result&)> done);

    // Returns all unspent tokens to their owners and refuses further charges,
    // at shutdown; before ownership::leave().
    void stop();

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace shallotwood::process
