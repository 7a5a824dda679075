// Idempotency records: a request with an idempotency key runs at most once.
//
// A request claims its key before it runs, by creating the key's object in the
// platform's object store; only one create succeeds. The outcome then replaces
// the claim in the object. A repeated request reads the outcome there,
// whichever node receives it, even after every node was replaced. If the
// request certainly did not run, its key can be claimed again.
//
// A refused claim always means that the request did not run. While the store is
// unavailable no key can be claimed, so requests with a key are refused. The
// cost is two writes for each request and a read for each repeat.
//
// The settings bound the number of open claims. The node that wrote a record
// removes it after the window. The records of a node that stopped earlier stay
// until their key is claimed again after the window.
#pragma once

#include "process/counters.hpp"
#include "process/event_loop.hpp"
#include "process/object_store.hpp"
#include "request/call_policy.hpp"
#include "request/verdict.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>

namespace shallotwood::process::record
{

// Object name prefix of the records.
constexpr const char* object_prefix = "records/";

struct claim_settings {
    // How long a record is kept. Must be longer than the time within which a
    // client may repeat a request.
    duration window = std::chrono::hours(24);
    // For a larger response body only the status is recorded.
    std::size_t max_body_bytes = 65536;
    std::size_t max_key_bytes = 256;
    // A claim waits at most this fraction of the time left until the request's
    // deadline, and at most
    // `store_timeout`.
    double max_deadline_share = 0.25;
    duration store_timeout = std::chrono::seconds(2);
    // A claim without an outcome after this time counts as "may have run".
    duration max_run_time = std::chrono::minutes(10);
    // Writing an outcome is retried until the store confirms it, for at most
    // this time.
    duration outcome_write_timeout = std::chrono::seconds(30);
    duration retry_interval = std::chrono::milliseconds(200);
    // Limit of this node's claims that wait for the store, run, or have an
    // outcome that is being written.
    std::size_t max_open_claims = 65536;
    // Limit of the records that this node has scheduled for removal.
    std::size_t max_removals = 200'000;
};

// The request may run once; the caller must then call finish().
struct claim_granted {
    std::string claim;
};

// Another request holds the claim and may be running. This one must not run.
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
    // record_store_unreachable, record_capacity, or malformed (key too long).
    request::reason why = request::reason::record_store_unreachable;
};

using claim_result =
    std::variant<claim_granted, claim_in_progress, claim_may_have_run,
                 claim_done, claim_refused>;

// How a granted claim ended: the response, not_run (the key can be claimed
// again), or may_have_run (the key can't be claimed again within the window).
using claim_outcome =
    std::variant<request::recorded_response, request::execution>;

// Wall-clock time in milliseconds since 1970, for the age of records that other
// processes wrote. A clock jump only shifts the end of the window.
using wall_clock = std::function<std::int64_t()>;

class claim_store final
{
public:
    // `boot_id` is unique to this start of the process. The references must
    // outlive this object.
    claim_store(event_loop& loop, object_store& store, counters& counts,
                std::string boot_id, wall_clock wall, claim_settings settings);
    ~claim_store();
    claim_store(const claim_store&) = delete;
    claim_store& operator=(const claim_store&) = delete;

    // Calls `done` exactly once.
    void claim(const std::string& workspace, const std::string& key,
               time_point deadline,
               std::function<void(const claim_result&)> done);

    // Records how the claim ended and calls `done` exactly once: with true once
    // the store holds the outcome, with false if that could not be confirmed.
    // In the latter case the record has the outcome or counts as "may have
    // run", and the key is not claimed again.
    void finish(const std::string& claim, claim_outcome outcome,
                std::function<void(bool recorded)> done);

    std::size_t open_claims() const { return open_.size(); }

private:
    enum class phase { claiming, running, finishing };
    struct open_claim {
        std::string object;
        phase at = phase::claiming;
        // Version of the object after the claim was written.
        std::uint64_t version = 0;
        int tries = 0;
        std::function<void(const claim_result&)> on_claimed;
        timer_id limit{};
        // The outcome that is being written, encoded.
        std::string outcome;
        std::function<void(bool)> on_outcome_done;
        time_point retry_deadline{};
    };
    struct removal {
        time_point due;
        std::string object;
        std::uint64_t version;
    };

    void write_claim(const std::string& id, std::uint64_t expected_version);
    void on_claim_written(const std::string& id, const put_result& result);
    void read_record(const std::string& id);
    void on_record_read(const std::string& id, const get_result& result);
    void read_record_later(const std::string& id);
    void on_key_already_claimed(const std::string& id,
                                const stored_object& object);
    void on_claim_granted(const std::string& id, std::uint64_t version);
    void complete_claim(const std::string& id, const claim_result& result);
    void claim_timed_out(const std::string& id);
    void write_outcome(const std::string& id);
    void on_outcome_written(const std::string& id, const put_result& result);
    void complete_outcome(const std::string& id, bool recorded);
    void retry_outcome(const std::string& id);
    void remove_expired();
    std::string encode(const std::string& id, const char* state) const;

    event_loop& loop_;
    object_store& store_;
    counters& counts_;
    const std::string boot_id_;
    const wall_clock wall_clock_;
    const claim_settings settings_;
    // By claim id.
    std::unordered_map<std::string, open_claim> open_;
    std::uint64_t last_claim_ = 0;
    // Ordered by due time.
    std::deque<removal> removals_;
    timer_id removal_timer_{};
    // Lets store callbacks detect that this object was destroyed.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace shallotwood::process::record
