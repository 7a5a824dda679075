// Programs of this project that a test starts, on loopback ports that the
// system selects. A child ends with its test, even if the test crashes.
#pragma once

#include <functional>
#include <gio/gio.h>
#include <string>
#include <vector>

namespace shallotwood::test
{

struct run_result {
    int exit_code = -1;
    std::string output;
    std::string errors;
};

// Runs the program of the build directory to its end.
run_result run_program(const std::string& name,
                       const std::vector<std::string>& arguments,
                       const std::string& input = "");

// Iterates the default context until `done` is true. Fails the test after a
// time that no correct run comes near.
void iterate_until(const std::function<bool()>& done);

class platform_process
{
public:
    // Throws std::runtime_error if it does not start.
    explicit platform_process(const std::vector<std::string>& arguments = {});
    ~platform_process();
    platform_process(const platform_process&) = delete;
    platform_process& operator=(const platform_process&) = delete;

    std::uint16_t port() const { return port_; }
    std::string address() const;

    // Sends JSON to the control endpoint and returns the answer's body; empty
    // if it was not accepted.
    std::string control(const std::string& json);

private:
    GSubprocess* process_ = nullptr;
    std::uint16_t port_ = 0;
    std::uint16_t control_port_ = 0;
};

} // namespace shallotwood::test
