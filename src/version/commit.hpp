// Reads the committed configuration from the platform and commits changes to
// it.
//
// A commit is one conditional update of `configuration/head`, so that of
// several operators who confirm plans against the same base exactly one
// succeeds. The head lists the operation ids of recent changes; after a lost
// answer the head is read and shows whether the update took effect.
//
// The head names the era of the store. A change that was committed as the store
// was restored is written again with the new era, since nodes would take it for
// one that the restore undid.
#pragma once

#include "process/event_loop.hpp"
#include "process/object_store.hpp"
#include "process/random_source.hpp"
#include "version/head.hpp"
#include "version/plan.hpp"

#include <functional>
#include <string>
#include <variant>

namespace shallotwood::version
{

struct loaded {
    configuration value;
    head from;
    // Of the head object; 0 if there is none yet.
    std::uint64_t head_version = 0;
};

// The stored objects are malformed, or of an unknown format.
struct malformed_state {
    std::string message;
};

using load_result = std::variant<loaded, process::store_error, malformed_state>;

// Reads head and snapshot. Makes one attempt, but starts over, up to
// max_load_attempts times, when a newer snapshot overwrites the one it reads.
// Without a head the configuration is empty, with revision 0. The store must
// live until `done` is called.
constexpr int max_load_attempts = 4;
void load_configuration(process::object_store& from,
                        std::function<void(load_result)> done);

struct committed {
    std::uint64_t revision = 0;
    // True if an earlier attempt, perhaps by another process, committed the
    // plan, and this one wrote nothing.
    bool earlier = false;
};

struct superseded {
    std::uint64_t base_revision = 0;
    std::uint64_t current_revision = 0;
    // True if the head no longer lists the change after the base, so that the
    // plan may itself have been committed by an earlier attempt.
    bool may_be_committed = false;
};

enum class commit_fault {
    // The change does not apply, or the plan shows other differences than its
    // change makes. Nothing was written.
    invalid_plan,
    malformed_state,
    // The platform did not answer in time. The change was not made.
    unavailable,
    // The change may have been made; committing the same plan again resolves
    // it.
    unknown_outcome,
};

struct commit_failure {
    commit_fault fault = commit_fault::unavailable;
    std::string message;
};

using commit_result = std::variant<committed, superseded, commit_failure>;

struct commit_limits {
    // From the start of a commit until it gives up.
    process::duration time_limit = std::chrono::seconds(15);
    // Doubles with each attempt; the actual wait is 50 to 100% of it.
    process::duration first_backoff = std::chrono::milliseconds(50);
    process::duration max_backoff = std::chrono::seconds(1);
};

class committer
{
public:
    // All must outlive every commit.
    committer(process::object_store& store, process::event_loop& loop,
              process::random_source& random, commit_limits limits = {})
        : store_(store), loop_(loop), random_(random), limits_(limits)
    {
    }

    // Calls `done` once, on the loop.
    void commit(const plan& it, std::function<void(commit_result)> done);

private:
    class operation;

    process::object_store& store_;
    process::event_loop& loop_;
    process::random_source& random_;
    commit_limits limits_;
};

} // namespace shallotwood::version
