// Exclusive ownership of shards.
//
// Duties that must be done in one place (granting a workspace's tokens, the
// records of requests that run at most once) are spread over a fixed number of
// shards. The platform's object `shard/N` names the owner, the witnesses and
// an epoch, and is written only when one of them changes. The owner acts only
// while its lease holds: a majority of the witnesses extends it, to the time
// of asking plus the term on the owner's own clock. A successor writes a
// higher epoch, then fences a majority of the witnesses, which refuse the old
// epoch from then on, give back their copies and say how long the old lease
// can still run.
//
// Bounds: one lease record a shard; witness copies up to
// `max_copies` and `max_copy_bytes`; one owner hint a shard; at most
// `max_platform_calls` calls to the platform at a time.
#pragma once

#include "process/counters.hpp"
#include "process/event_loop.hpp"
#include "process/member.hpp"
#include "process/object_store.hpp"
#include "process/peer_transport.hpp"
#include "process/random_source.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace shallotwood::process
{

using shard_id = std::uint32_t;

struct ownership_settings {
    // The same on every node, and fixed for the life of the fleet.
    std::uint32_t shards = 16;
    std::uint32_t witnesses = 3;
    duration lease_term = std::chrono::seconds(3);
    // An owner asks its witnesses this often.
    duration extend_period = std::chrono::seconds(1);
    // A witness adds this to the term, for clocks that run at different speed.
    duration clock_margin = std::chrono::milliseconds(50);
    // Time after the start before this node takes any shard, so that the
    // membership is known and not every node believes itself first.
    duration settle = std::chrono::seconds(3);
    // The first candidate takes over after this time without a sign of the
    // owner; each further one waits `candidate_step` longer.
    duration silence_limit = std::chrono::seconds(4);
    duration candidate_step = std::chrono::seconds(6);
    // A witness that did not answer for this long is replaced.
    // Shorter than the lease, because one of two witnesses is no majority.
    duration witness_limit = std::chrono::seconds(2);
    // A takeover that can exclude the old owner but misses copies waits this
    // long for them before it goes on with the state marked as incomplete.
    duration gather_limit = std::chrono::seconds(10);
    // Witnesses and an owner that never answer again are presumed lost after
    // this time. Must exceed the longest partition: until then an owner on the
    // other side may still be acting.
    duration presume_lost_after = std::chrono::hours(2);
    // Retransmission of messages without an answer.
    duration resend_period = std::chrono::milliseconds(100);
    std::size_t max_copies = 1'000'000;
    std::size_t max_copy_bytes = 48'000'000;
    // Copies under way from this node as an owner, a shard.
    std::size_t max_pending_copies = 65536;
    std::size_t max_platform_calls = 8;
};

// A piece of a client's state in a shard.
struct shard_entry {
    std::string key;
    // Set by ownership when the entry is copied; of two copies the higher is
    // the newer.
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    std::string value;
    // Time until the entry may be dropped.
    duration lifetime{};
    // The entry was removed; the value is empty.
    bool removed = false;
};

// What a new owner begins with.
struct shard_state {
    enum class origin {
        // The shard had no owner before.
        fresh,
        // The predecessor's lease has ended; its last grants may be in use.
        takeover,
        // The predecessor stopped, then sent its state.
        hand_over,
    };
    origin from = origin::fresh;
    // False if entries of the predecessor may be missing.
    bool complete = true;
    std::vector<shard_entry> entries;
};

enum class copy_purpose { witness, successor };

// A duty that is done by the owner of a shard.
class shard_client
{
public:
    virtual ~shard_client() = default;

    // This node owns the shard from now on, until released().
    virtual void acquired(shard_id shard, const shard_state& state) = 0;

    // This node must not act for the shard any more. The lease may have ended
    // earlier: check owns() before each act.
    virtual void released(shard_id shard) = 0;

    // The whole state, for a new witness or for a planned successor.
    virtual std::vector<shard_entry> state(shard_id shard,
                                           copy_purpose purpose) const = 0;
};

class ownership
{
public:
    // `boot` is unique to this start of the process: a witness or owner that
    // restarted has lost its state and must be told apart.
    // All arguments outlive this object.
    ownership(event_loop& loop, peer_transport& transport, object_store& store,
              member_view& members, counters& counts, std::uint64_t seed,
              std::string boot, ownership_settings settings);
    ~ownership();
    ownership(const ownership&) = delete;
    ownership& operator=(const ownership&) = delete;

    // Before start(). `name` has no colon and is the same on every node.
    void attach(const std::string& name, shard_client& client);

    void start();

    // Planned leave: stops acting, hands each shard to a successor and calls
    // `done` once, at the latest after `limit`. Continues to witness.
    void leave(duration limit, std::function<void()> done);

    shard_id shard_of(std::string_view key) const;

    // True if this node may act for the shard at this moment, by its own
    // clock. Never true on two nodes at once.
    bool owns(shard_id shard) const;

    // The epoch that this node owns the shard under; 0 if it does not.
    std::uint64_t epoch(shard_id shard) const;

    // Where to send a request for the shard: the owner of the latest hint,
    // else the candidates in rendezvous order, one after another as
    // no_answer() rules them out.
    peer_address route(shard_id shard) const;

    // `asked` did not answer, or does not own the shard and gave no hint.
    void no_answer(shard_id shard, const peer_address& asked);

    // A hint for an answer to another node: who owns the shard as far as this
    // node knows, or null.
    Json::Value hint(shard_id shard) const;

    // A hint from another node's answer; untrusted. Returns true if it named
    // an owner that is newer than the one known, or another than `asked`.
    bool learn(shard_id shard, const Json::Value& hint,
               const peer_address& asked);

    // Copies the entry to the witnesses; calls `done` with true once a
    // majority holds it, possibly before the call returns, or with false if
    // the shard is lost before. Check owns() again before acting on it.
    void replicate(const std::string& client, shard_id shard, shard_entry entry,
                   std::function<void(bool held)> done);

    const std::string& boot() const;
    const ownership_settings& settings() const;

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace shallotwood::process
