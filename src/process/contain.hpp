// Keeps an exception in one callback from ending the process.
//
// The code reports errors by values; what is thrown comes from libraries or
// from a fault in this program. The callback's work is lost, the loop goes on.
#pragma once

#include "process/log.hpp"

#include <exception>

namespace shallotwood::process
{

// Runs `task`; returns false if it threw.
template <typename Task>
bool contain(const char* where, Task&& task)
{
    try {
        task();
        return true;
    } catch (const std::exception& ec) {
        SHALLOTWOOD_LOG(error)
            << "event=unexpected_error" << field("where", where)
            << field("error", ec.what());
        return false;
    }
}

} // namespace shallotwood::process
