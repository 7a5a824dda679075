#include "process/latency_histogram.hpp"

#include <algorithm>
#include <cmath>

namespace shallotwood::process
{

// Each value below 2 * steps_per_power has its own bucket; above that, each
// power of two is divided into steps_per_power buckets.
std::size_t latency_histogram::bucket_index(std::uint64_t value)
{
    if (value < 2 * steps_per_power)
        return value;
    int power = 63 - __builtin_clzll(value);
    int shift = power - step_bits;
    return std::size_t(shift) * steps_per_power + (value >> shift);
}

std::uint64_t latency_histogram::upper_bound(std::size_t bucket)
{
    if (bucket < 2 * steps_per_power)
        return bucket;
    auto shift = bucket / steps_per_power - 1;
    auto step = bucket - shift * steps_per_power;
    return ((step + 1) << shift) - 1;
}

void latency_histogram::add(duration value)
{
    auto n = bucket_index(
        static_cast<std::uint64_t>(std::max<duration::rep>(0, value.count())));
    ++buckets_[std::min(n, buckets_.size() - 1)];
    ++count_;
}

duration latency_histogram::quantile(double q) const
{
    auto rank =
        static_cast<std::uint64_t>(std::ceil(q * static_cast<double>(count_)));
    std::uint64_t seen = 0;
    for (std::size_t n = 0; n < buckets_.size(); ++n) {
        seen += buckets_[n];
        if (seen >= rank && seen > 0)
            return duration(upper_bound(n));
    }
    return duration(0);
}

} // namespace shallotwood::process
