// A histogram of durations with fixed memory use.
//
// Each power of two is divided into 64 buckets of equal width, so a quantile is
// within 1.6% of the true value. Takes 16 KB, independent of the number of
// values.
#pragma once

#include "process/event_loop.hpp"

#include <array>
#include <cstdint>

namespace shallotwood::process
{

class latency_histogram
{
public:
    // Values above about 12 days are counted in the last bucket.
    void add(duration value);
    std::uint64_t count() const { return count_; }
    // Upper bound of the bucket that holds the quantile `q` in [0, 1]; 0 if the
    // histogram is empty.
    duration quantile(double q) const;

private:
    static constexpr int step_bits = 6;
    static constexpr std::uint64_t steps_per_power = std::uint64_t{1}
                                                     << step_bits;
    static constexpr int power_count = 34;

    static std::size_t bucket_index(std::uint64_t value);
    static std::uint64_t upper_bound(std::size_t bucket);

    std::array<std::uint64_t, steps_per_power * power_count> buckets_{};
    std::uint64_t count_ = 0;
};

} // namespace shallotwood::process
