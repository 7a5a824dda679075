#include "soak/ledger.hpp"

#include <algorithm>

namespace shallotwood::soak
{

namespace
{

bool promises_not_run(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

void ledger::sent(const sent_request& it)
{
    requests_[it.id].what = it;
}

void ledger::ran(const std::string& id, const std::string& workspace,
                 bool shown_a_key)
{
    ++runs_;
    auto found = requests_.find(id);
    if (found == requests_.end()) {
        violation("ran, and nobody sent it: " + id);
        return;
    }
    auto& it = found->second;
    ++it.runs;
    if (it.what.once && it.runs > 1)
        violation("ran twice: " + id);
    if (workspace != it.what.workspace)
        violation("ran for workspace '" + workspace + "': " + id);
    if (shown_a_key)
        violation("the backend server saw the key: " + id);
    check_refusal(it);
}

void ledger::answered(const std::string& id, int status,
                      const std::string& body, bool marked)
{
    ++statuses_[status];
    auto& it = requests_.at(id);
    if (status / 100 == 2) {
        if (!marked)
            violation("a success without the backend server's mark: " + id);
        if (body != it.what.expected)
            violation("not the whole body of its own answer: " + id);
        if (it.runs == 0)
            violation("a success that no backend server ran: " + id);
        return;
    }
    if (!marked && promises_not_run(status)) {
        it.refused = true;
        check_refusal(it);
    }
}

void ledger::check_refusal(const entry& it)
{
    if (it.refused && it.what.once && it.runs > 0)
        violation("said not to have run, but ran: " + it.what.id);
}

std::size_t ledger::requests_run(const std::string& workspace) const
{
    return static_cast<std::size_t>(
        std::count_if(requests_.begin(), requests_.end(), [&](const auto& it) {
            return it.second.what.workspace == workspace && it.second.runs > 0;
        }));
}

std::size_t ledger::count(int status) const
{
    auto it = statuses_.find(status);
    return it == statuses_.end() ? 0 : it->second;
}

} // namespace shallotwood::soak
