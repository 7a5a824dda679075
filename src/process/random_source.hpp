// Seeded pseudo-random numbers. Not for keys or tokens, which use libsodium's
// secure generator.
#pragma once

#include <cstdint>
#include <random>

namespace shallotwood::process
{

class random_source
{
public:
    explicit random_source(std::uint64_t seed) : engine_(seed) {}

    // Uniform in [0, bound); bound must be positive.
    std::uint64_t below(std::uint64_t bound)
    {
        return std::uniform_int_distribution<std::uint64_t>(0,
                                                            bound - 1)(engine_);
    }

    // Uniform in [0, 1).
    double unit()
    {
        return std::uniform_real_distribution<>(0.0, 1.0)(engine_);
    }

    std::mt19937_64& engine() { return engine_; }

private:
    std::mt19937_64 engine_;
};

} // namespace shallotwood::process
