#include "process/success_retry_budget.hpp"

#include <algorithm>

namespace shallotwood::process
{

void success_retry_budget::succeeded()
{
    balance_ = std::min(balance_ + share, most);
}

bool success_retry_budget::spend()
{
    if (balance_ < 1)
        return false;
    balance_ -= 1;
    return true;
}

} // namespace shallotwood::process
