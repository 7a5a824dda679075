// Records of requests that run at most once.
//
// A request claims its idempotency key before it runs. The owner of the key's
// shard copies the claim to its witnesses before it answers, so a claim that
// was granted outlives the owner. Only one claim of a key is ever granted,
// unless the claim is given back as provably not run. Records are kept for
// the window and never evicted: at the bounds new claims are refused.
//
// Every refusal here is "not run". The state of a shard that is lost (its
// owner and a majority of its witnesses) makes claims of unknown keys refused
// for the window.
#pragma once

#include "process/ownership.hpp"
#include "request/call_policy.hpp"
#include "request/verdict.hpp"

#include <variant>

namespace shallotwood::process
{

struct record_settings {
    // Must outlive every repeat that is to be recognised.
    duration window = std::chrono::hours(24);
    // Records owned by this node, and the bytes of their keys and outcomes.
    std::size_t max_records = 200'000;
    std::size_t max_bytes = 16'000'000;
    // Of a larger body only the status is recorded.
    std::size_t max_body_bytes = 65536;
    std::size_t max_key_bytes = 256;
    // A claim waits at most this part of its remaining time, and at most
    // `answer_limit`; an answer that comes later is void.
    double wait_share = 0.25;
    duration answer_limit = std::chrono::seconds(2);
    // A finish is sent again until answered, for at most this time.
    duration finish_limit = std::chrono::seconds(30);
    duration resend_period = std::chrono::milliseconds(50);
    // Claims of this node that wait for an answer, run, or are being finished.
    std::size_t max_open_claims = 65536;
};

// The request may run, once; finish() must follow.
struct claim_granted {
    std::string claim;
};

// Another request with the key was granted and may be running. Not run now.
struct claim_in_progress {
};

// An earlier request with the key ended without a known outcome.
struct claim_may_have_run {
};

// An earlier request with the key ended with this outcome.
struct claim_done {
    request::recorded_response response;
};

struct claim_refused {
    // record_owner_unknown, record_capacity, or malformed (key too long).
    request::reason why = request::reason::record_owner_unknown;
};

using claim_result =
    std::variant<claim_granted, claim_in_progress, claim_may_have_run,
                 claim_done, claim_refused>;

// How a granted claim ended: the response, or not_run (the key may be claimed
// again) or may_have_run (it may never be).
using claim_outcome =
    std::variant<request::recorded_response, request::execution>;

class record_store final
{
public:
    // All references outlive this object. Attaches itself to `owners` under
    // the name "record"; create it before owners.start().
    record_store(event_loop& loop, peer_transport& transport, ownership& owners,
                 counters& counts, record_settings settings);
    ~record_store();
    record_store(const record_store&) = delete;
    record_store& operator=(const record_store&) = delete;

    // Calls `done` exactly once.
    void claim(const std::string& workspace, const std::string& key,
               time_point deadline,
               std::function<void(const claim_result&)> done);

    // Records how the claim ended and calls `done` exactly once: with true
    // once a majority of the witnesses holds the outcome, with false if that
    // could not be confirmed. The record then stays "may have run", or has
    // the outcome; the key is never claimed again.
    void finish(const std::string& claim, claim_outcome outcome,
                std::function<void(bool recorded)> done);

    // Totals at this node as an owner.
    std::size_t records() const;
    std::size_t bytes() const;

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace shallotwood::process
