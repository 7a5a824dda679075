// Named counters and gauges of a process, exported at /metrics in the
// Prometheus text format.
//
// There are at most max_series series; further ones share one series named
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

    // Returns the value of the series with this name and label text, such as
    // `reason="over-rate"`. The reference stays valid as long as this object;
    // callers on a hot path keep it to avoid the lookup.
    std::uint64_t& at(const std::string& name, const std::string& labels = "");

    std::string text() const;

private:
    std::map<std::pair<std::string, std::string>, std::uint64_t> values_;
};

} // namespace shallotwood::process
