// Named counters and gauges of a process, written in the usual text format at
// /metrics.
//
// Bounded: at most max_series series; further ones share one series named
// "counters_dropped".
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace shallotwood::process
{

class counters
{
public:
    static constexpr std::size_t max_series = 4096;

    // The value for the name with the label text, such as
    // `reason="over-rate"`; valid as long as this object. Callers on a hot
    // path keep the reference.
    std::uint64_t& at(const std::string& name, const std::string& labels = "");

    std::string text() const;

private:
    std::map<std::pair<std::string, std::string>, std::uint64_t> values_;
};

} // namespace shallotwood::process
