// Executes crash suspects one at a time on the local backend server.
//
// A request that was in flight when a backend server crashed may have caused
// the crash. It is executed with nothing else running, so that a second crash
// can be attributed to it alone. New calls are held while a suspect waits for
// running calls to end, and while it runs.
//
// At most max_held_calls calls are held and max_suspects suspects are queued;
// further ones are refused.
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

    bool must_hold_calls() const { return running_ || !suspects_.empty(); }

    // Holds a call; `resume` is called later to continue it. Returns false if
    // the queue of held calls is full.
    bool hold_call(const std::string& attempt_id, std::function<void()> resume);

    // Queues a suspect; `start` executes it. Returns false if the queue of
    // suspects is full.
    bool queue_suspect(const std::string& attempt_id,
                       std::function<void()> start);

    // Drops a call whose sender disconnected. Returns true if the call was held
    // or queued as a suspect.
    bool cancel(const std::string& attempt_id);

    // Must be called when nothing runs on the backend server: starts the next
    // suspect or, if there is none, resumes the held calls.
    void idle();

    // Reports that the running suspect has ended or could not be started.
    void finished(const std::string& attempt_id);

    // Runs all tasks. Used at shutdown, when each call is then refused.
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
