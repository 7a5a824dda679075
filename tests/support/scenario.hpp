// The test language: one step a line, run on a virtual clock.
//
//     # Which promise is tested, and under which fault.
//     seed 7
//     at 0s     nodes 4
//     at 1.5s   kill n2
//     at 2s     expect served 10
//
// `at` takes a time since the start in us, ms, s, m or h; times must not
// decrease. Words may be quoted as in a shell. The verbs and their arguments
// belong to the test that runs the file.
#pragma once

#include "support/virtual_loop.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace shallotwood::test
{

using words = std::vector<std::string>;

struct step {
    int line = 0;
    process::duration at{};
    std::string verb;
    words arguments;
};

struct scenario {
    std::string name;
    std::uint64_t seed = 1;
    std::vector<step> steps;
};

// Throws std::runtime_error, naming the file and line, if the file is
// malformed.
scenario load_scenario(const std::string& file_name);

// Throws std::runtime_error if the text is not a time such as "1.5s".
process::duration parse_time(const std::string& text);

using verb_table = std::map<std::string, std::function<void(const words&)>>;

// Runs each step at its time; an unknown verb fails the test. The line of the
// current step is reported with every failed check.
void run_scenario(const scenario& it, virtual_loop& loop,
                  const verb_table& verbs);

// The files in tests/scenarios/ whose names start with `prefix`, in order.
std::vector<std::string> scenario_files(const std::string& prefix);

} // namespace shallotwood::test
