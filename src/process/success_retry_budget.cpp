#include "process/success_retry_budget.hpp"

#include <algorithm>

namespace shallotwood::process
{

void retry_ratio::succeeded()
{
    balance_ = std::min(balance_ + share, most);
}

bool retry_ratio::spend()
{
    if (balance_ < 1)
        return false;
    balance_ -= 1;
    return true;
}

} // namespace shallotwood::process
