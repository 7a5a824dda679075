// Runs a reactor in a test until something has happened.
#pragma once

#include "process/loop/reactor.hpp"

#include <functional>

namespace shallotwood::test
{

// True once `done` holds. The limit only ends a test that would hang; no test
// depends on how long something takes.
inline bool run_until(process::loop::reactor& loop,
                      const std::function<bool()>& done)
{
    constexpr process::duration step = std::chrono::milliseconds(1);
    constexpr process::duration limit = std::chrono::seconds(60);
    auto end = loop.now() + limit;
    bool reached = false;
    std::function<void()> look = [&] {
        reached = done();
        if (reached || loop.now() > end)
            loop.stop();
        else
            loop.call_after(step, look);
    };
    loop.defer(look);
    loop.run();
    return reached;
}

inline void run_for(process::loop::reactor& loop, process::duration time)
{
    loop.call_after(time, [&loop] { loop.stop(); });
    loop.run();
}

} // namespace shallotwood::test
