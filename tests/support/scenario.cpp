#include "support/scenario.hpp"

#include <algorithm>
#include <boost/program_options/parsers.hpp>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace shallotwood::test
{

process::duration parse_time(const std::string& text)
{
    static const std::map<std::string, double> units{
        {"us", 1.0}, {"ms", 1e3}, {"s", 1e6}, {"m", 6e7}, {"h", 3.6e9}};
    std::size_t end = 0;
    double number = 0;
    try {
        number = std::stod(text, &end);
    } catch (const std::exception&) {
        throw std::runtime_error("not a time: " + text);
    }
    auto unit = units.find(text.substr(end));
    if (unit == units.end())
        throw std::runtime_error("not a time: " + text);
    return process::duration(
        static_cast<process::duration::rep>(number * unit->second));
}

namespace
{

void parse_line(scenario& it, int line, const words& parts)
{
    if (parts[0] == "seed" && parts.size() == 2) {
        it.seed = std::stoull(parts[1]);
        return;
    }
    if (parts[0] != "at" || parts.size() < 3)
        throw std::runtime_error("expected `at TIME VERB ...`");
    step next{line, parse_time(parts[1]), parts[2],
              words(parts.begin() + 3, parts.end())};
    if (!it.steps.empty() && next.at < it.steps.back().at)
        throw std::runtime_error("times must not decrease");
    it.steps.push_back(next);
}

} // namespace

scenario load_scenario(const std::string& file_name)
{
    std::ifstream in(file_name);
    if (!in)
        throw std::runtime_error("can't read " + file_name);
    scenario it;
    it.name = std::filesystem::path(file_name).stem();
    std::string text;
    for (int line = 1; std::getline(in, text); ++line) {
        auto parts =
            boost::program_options::split_unix(text.substr(0, text.find('#')));
        if (parts.empty())
            continue;
        try {
            parse_line(it, line, parts);
        } catch (const std::exception& e) {
            throw std::runtime_error(file_name + ":" + std::to_string(line) +
                                     ": " + e.what());
        }
    }
    return it;
}

void run_scenario(const scenario& it, virtual_loop& loop,
                  const verb_table& verbs)
{
    auto start = loop.now();
    for (const auto& next : it.steps) {
        INFO(it.name << ".scenario:" << next.line << " at " << next.at.count()
                     << " us: " << next.verb);
        loop.advance(start + next.at - loop.now());
        auto verb = verbs.find(next.verb);
        REQUIRE(verb != verbs.end());
        verb->second(next.arguments);
    }
}

std::vector<std::string> scenario_files(const std::string& prefix)
{
    std::vector<std::string> found;
    for (const auto& it :
         std::filesystem::directory_iterator(SCENARIO_DIRECTORY)) {
        auto name = it.path().filename().string();
        if (it.path().extension() == ".scenario" &&
            name.compare(0, prefix.size(), prefix) == 0)
            found.push_back(it.path().string());
    }
    std::sort(found.begin(), found.end());
    return found;
}

} // namespace shallotwood::test
