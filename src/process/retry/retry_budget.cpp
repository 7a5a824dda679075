#include "process/retry/retry_budget.hpp"

#include <algorithm>

namespace shallotwood::process::retry
{

namespace
{

// Share of the ratio that this node uses. The rest covers retries that it can't
// see, such as the child calls of an execution that was itself a retry.
constexpr double ratio_share = 0.75;

// Share of the allowance that is refilled in a window, and the most that may
// accumulate.
constexpr double allowance_share = 0.3;

} // namespace

retry_budget::retry_budget(const clock& time, const budget_settings& settings)
    : clock_(time), settings_(settings)
{
}

double retry_budget::node_allowance() const
{
    return settings_.allowance * allowance_share /
           static_cast<double>(std::max<std::size_t>(nodes_, 1));
}

double retry_budget::max_balance() const
{
    return std::max(1.0, node_allowance());
}

retry_budget::account& retry_budget::refill(const std::string& service)
{
    auto now = clock_.now();
    auto [it, inserted] = accounts_.try_emplace(service);
    auto& of = it->second;
    if (inserted) {
        of.level = max_balance();
        of.at = now;
    }
    double part = std::chrono::duration<double>(now - of.at) /
                  std::chrono::duration<double>(settings_.window);
    of.level = std::min(max_balance(), of.level + part * node_allowance());
    of.at = now;
    return of;
}

void retry_budget::record_call(const std::string& service)
{
    auto& of = refill(service);
    of.level =
        std::min(max_balance(), of.level + settings_.ratio * ratio_share);
}

bool retry_budget::spend(const std::string& service)
{
    auto& of = refill(service);
    if (of.level < 1)
        return false;
    of.level -= 1;
    return true;
}

} // namespace shallotwood::process::retry
