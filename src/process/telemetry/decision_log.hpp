// Rate-limited logging, so that logging never slows down request processing.
//
// Each kind of decision has its own quota of lines per second, so that many
// refusals don't suppress the lines about failures. Lines over the quota are
// counted, and the count is logged once per second.
#pragma once

#include "process/loop/reactor.hpp"

namespace shallotwood::process::telemetry
{

enum class decision {
    served,
    refused,
    failed,
    // Changes of the state known to the process: fleet, policy, dependencies.
    state,
};

// Returns true if a line of this kind may be logged now, and counts it.
bool allow(decision kind);

// Logs to standard output in non-blocking mode: lines that its reader doesn't
// accept in time are dropped and counted.
void start_log(loop::reactor& loop);

// Writes the lines of the last turn of the loop, which has ended. Further lines
// are written at once.
void stop_log();

// Resets all quotas and counts; for tests.
void reset_limits();

} // namespace shallotwood::process::telemetry
