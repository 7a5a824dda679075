// Bounds how many lines a process logs, so that a log never slows the traffic
// that it describes.
//
// Each kind of decision has a number of lines a second of its own: a flood of
// refusals does not hide failures. What exceeds it is counted and reported in
// one line a second.
#pragma once

#include "process/loop/reactor.hpp"

namespace shallotwood::process::telemetry
{

enum class decision {
    served,
    refused,
    failed,
    // What the process believes: fleet, policy, dependencies.
    state,
};

// True if a line about such a decision may be written now.
bool allow(decision kind);

// Writes log lines to standard output, without ever waiting for its reader:
// what the reader does not take in time is dropped and counted.
void start_log(loop::reactor& loop);

// For tests: limits start anew.
void reset_limits();

} // namespace shallotwood::process::telemetry
