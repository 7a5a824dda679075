#include "process/retry/retry_budget.hpp"

#include <algorithm>

namespace shallotwood::process::retry
{

namespace
{

// Part of the settings' bounds that is spent; the rest covers repeats that this
// node can't see, such as the calls of a run that was itself a retry.
constexpr double spent_share = 0.5;

// Most retries saved up from the ratio.
constexpr double most_saved = 10;

} // namespace

retry_budget::retry_budget(const clock& time, const budget_settings& settings)
    : clock_(time), settings_(settings)
{
}

double retry_budget::fixed_limit() const
{
    return settings_.allowance * spent_share /
           static_cast<double>(std::max<std::size_t>(nodes_, 1)) / 2;
}

retry_budget::account& retry_budget::refill(const std::string& service)
{
    auto now = clock_.now();
    auto [it, inserted] = accounts_.try_emplace(service);
    auto& of = it->second;
    if (inserted) {
        of.fixed_part = fixed_limit();
        of.at = now;
    }
    // Half of the allowance may be saved up, the other half flows in.
    double part = std::chrono::duration<double>(now - of.at) /
                  std::chrono::duration<double>(settings_.window);
    of.fixed_part =
        std::min(fixed_limit(), of.fixed_part + part * fixed_limit());
    of.at = now;
    return of;
}

void retry_budget::called(const std::string& service)
{
    auto& of = refill(service);
    of.ratio_part =
        std::min(most_saved, of.ratio_part + settings_.ratio * spent_share);
}

bool retry_budget::spend(const std::string& service)
{
    auto& of = refill(service);
    auto& part = of.ratio_part >= 1 ? of.ratio_part : of.fixed_part;
    if (part < 1)
        return false;
    part -= 1;
    return true;
}

} // namespace shallotwood::process::retry
