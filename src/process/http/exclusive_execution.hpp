// Runs suspect requests alone on the local backend server.
//
// A request that was in flight when a backend server died may be what killed
// it. It runs with nothing beside it, so that a second crash condemns it and
// nothing else. While one waits for what runs to end, and while it runs, new
// calls are held.
//
// Bounds: max_held_calls calls are held and max_suspects suspects wait; further
// ones are refused.
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <string>

namespace shallotwood::process::http
{

class exclusive_execution
{
public:
    static constexpr std::size_t max_held_calls = 1024;
    static constexpr std::size_t max_suspects = 64;

    // True while new calls must be held.
    bool must_hold_calls() const { return running_ || !suspects_.empty(); }

    // `resume` takes the call up again; false if there is no room.
    bool hold_call(const std::string& attempt_id, std::function<void()> resume);

    // `start` runs the suspect; false if there is no room.
    bool queue_suspect(const std::string& attempt_id,
                       std::function<void()> start);

    // The sender left. True if the call was held or waiting.
    bool cancel(const std::string& attempt_id);

    // Nothing runs on the backend server now: starts the next suspect, or
    // takes up what was held.
    void idle();

    // The suspect that runs has ended, or was not started after all.
    void finished(const std::string& attempt_id);

    // Takes up everything; for shutdown, where each call is then refused.
    void resume_all();

private:
    struct pending_task {
        std::string attempt_id;
        std::function<void()> task;
    };

    static bool remove(std::deque<pending_task>& from,
                       const std::string& attempt_id);
    static void take_and_run_all(std::deque<pending_task>& from);

    std::optional<std::string> running_;
    std::deque<pending_task> suspects_;
    std::deque<pending_task> held_calls_;
};

} // namespace shallotwood::process::http
