// A program of the build as a child process, ended with the object.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace shallotwood::support
{

class child_process
{
public:
    // Starts PROGRAM_DIRECTORY/`program`; each child gets `--port-file` and
    // its standard error goes to a file. Throws if it does not write its ports.
    child_process(const std::string& program,
                  std::vector<std::string> arguments);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    std::uint16_t port(std::size_t n) const { return ports_.at(n); }
    pid_t id() const { return id_; }
    void signal(int number) const;
    // Waits for the process to end; its exit status, or -1 after a signal or
    // if it does not end in time.
    int wait();
    // What it has written to standard error.
    std::string log() const;
    // Largest resident size so far.
    std::size_t peak_kilobytes() const;

private:
    void read_ports();
    std::optional<int> poll_status();

    pid_t id_ = 0;
    std::string directory_;
    std::vector<std::uint16_t> ports_;
    std::optional<int> status_;
};

// Polls until `condition` holds; false after ten seconds.
template <typename Condition>
bool eventually(Condition condition);

void pause_between_polls();

template <typename Condition>
bool eventually(Condition condition)
{
    constexpr int max_polls = 2000;
    for (int n = 0; n < max_polls; ++n) {
        if (condition())
            return true;
        pause_between_polls();
    }
    return false;
}

} // namespace shallotwood::support
