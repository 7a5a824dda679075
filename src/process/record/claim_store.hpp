// Records of requests that run at most once for an idempotency key.
//
// A request claims its key before it runs: it creates the key's object in the
// platform's store, which grants one creation only. The outcome replaces the
// claim; a repeat reads it there, at whatever node it enters, also after every
// node was replaced. A claim that was provably not run is free again.
//
// Every refusal here is "not run". Without the store no new claim can be made,
// so requests with a key are refused until it answers again. Costs two writes
// a request, and a read for a repeat.
//
// Bounds: open claims by the settings. A record is removed by the node that
// made it after the window; those of nodes that ended before stay until their
// key is claimed again after the window.
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

// The names of the records follow it.
constexpr const char* object_prefix = "records/";

struct claim_settings {
    // Must outlive every repeat that is to be recognised.
    duration window = std::chrono::hours(24);
    // Of a larger body only the status is recorded.
    std::size_t max_body_bytes = 65536;
    std::size_t max_key_bytes = 256;
    // A claim waits at most this part of its remaining time, and at most
    // `store_timeout`.
    double max_deadline_share = 0.25;
    duration store_timeout = std::chrono::seconds(2);
    // A claim that was not finished for this long counts as "may have run".
    duration max_run_time = std::chrono::minutes(10);
    // An outcome is written again until the store has answered, for at most
    // this time.
    duration outcome_write_timeout = std::chrono::seconds(30);
    duration retry_interval = std::chrono::milliseconds(200);
    // Claims of this node that wait for an answer, run, or are being finished.
    std::size_t max_open_claims = 65536;
    // Records that this node remembers to remove.
    std::size_t max_removals = 200'000;
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
    // record_store_unreachable, record_capacity, or malformed (key too long).
    request::reason why = request::reason::record_store_unreachable;
};

using claim_result =
    std::variant<claim_granted, claim_in_progress, claim_may_have_run,
                 claim_done, claim_refused>;

// How a granted claim ended: the response, or not_run (the key may be claimed
// again) or may_have_run (it may never be).
using claim_outcome =
    std::variant<request::recorded_response, request::execution>;

// Wall-clock time in milliseconds since 1970, to tell the age of a record that
// another process wrote. A jump only moves the window.
using wall_clock = std::function<std::int64_t()>;

class claim_store final
{
public:
    // `boot` is unique to this start of the process. The references outlive
    // this object.
    claim_store(event_loop& loop, object_store& store, counters& counts,
                std::string boot, wall_clock wall, claim_settings settings);
    ~claim_store();
    claim_store(const claim_store&) = delete;
    claim_store& operator=(const claim_store&) = delete;

    // Calls `done` exactly once.
    void claim(const std::string& workspace, const std::string& key,
               time_point deadline,
               std::function<void(const claim_result&)> done);

    // Records how the claim ended and calls `done` exactly once: with true
    // once the store holds the outcome, with false if that could not be
    // confirmed. The record then stays "may have run", or has the outcome; the
    // key is never claimed again.
    void finish(const std::string& claim, claim_outcome outcome,
                std::function<void(bool recorded)> done);

    std::size_t open_claims() const { return open_.size(); }

private:
    enum class phase { claiming, running, finishing };
    struct open_claim {
        std::string object;
        phase at = phase::claiming;
        // Of the object, once this claim was written.
        std::uint64_t version = 0;
        int tries = 0;
        std::function<void(const claim_result&)> on_claimed;
        timer_id limit{};
        // Of the outcome that is being written.
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
    // In order of time.
    std::deque<removal> removals_;
    timer_id removal_timer_{};
    // Callbacks of the store that come after this object's end do nothing.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace shallotwood::process::record
