// Runs seeds of the soak and prints what was seen.
#include "soak/soak_run.hpp"

#include <boost/program_options.hpp>
#include <cstdlib>
#include <filesystem>
#include <iostream>

namespace
{

namespace options = boost::program_options;
using shallotwood::soak::soak_run;
using shallotwood::soak::soak_settings;

std::string make_directory()
{
    auto path =
        (std::filesystem::temp_directory_path() / "shallotwood-soak-XXXXXX")
            .string();
    if (::mkdtemp(path.data()) == nullptr)
        throw std::runtime_error("can't make a temporary directory");
    return path;
}

// True if no promise was broken. The files of a seed that failed are kept.
bool run_seed(soak_settings settings)
{
    settings.directory = make_directory();
    soak_run run(settings);
    run.play();
    const auto& seen = run.seen();
    std::cout << "seed " << settings.seed << ": " << run.faults().size()
              << " faults, " << seen.requests() << " requests, " << seen.runs()
              << " runs; 200: " << seen.count(200)
              << ", 503: " << seen.count(503) << ", 502: " << seen.count(502)
              << ", 504: " << seen.count(504) << '\n';
    if (seen.violations().empty()) {
        std::filesystem::remove_all(settings.directory);
        return true;
    }
    for (const auto& it : run.faults())
        std::cout << "  " << it << '\n';
    for (const auto& it : seen.violations())
        std::cout << "  BROKEN " << it << '\n';
    std::cout << "  logs: " << settings.directory << '\n';
    return false;
}

int run(int argc, char** argv)
{
    soak_settings settings;
    settings.program = SIDECAR_PROGRAM;
    std::uint64_t first = 1;
    int count = 1;
    double length = 8;
    options::options_description all("Options");
    auto add = all.add_options();
    add("help", "print this text and exit");
    add("first-seed", options::value(&first), "first seed");
    add("seeds", options::value(&count), "number of seeds");
    add("seconds", options::value(&length), "length of the faults of a seed");
    add("nodes", options::value(&settings.nodes), "nodes, at least 2");
    add("program", options::value(&settings.program), "the node to run");
    add("rate", options::value(&settings.rate), "requests a second");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, all), values);
    options::notify(values);
    if (values.count("help") != 0) {
        std::cout << all;
        return 0;
    }
    settings.length =
        std::chrono::duration_cast<shallotwood::process::duration>(
            std::chrono::duration<double>(length));
    int failed = 0;
    for (int n = 0; n < count; ++n) {
        settings.seed = first + static_cast<std::uint64_t>(n);
        failed += run_seed(settings) ? 0 : 1;
    }
    std::cout << count - failed << " passed, " << failed << " failed\n";
    return failed == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception& error) {
        std::cerr << "soak: " << error.what() << '\n';
        return 2;
    }
}
