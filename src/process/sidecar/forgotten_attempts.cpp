#include "process/sidecar/forgotten_attempts.hpp"

#include <algorithm>
#include <charconv>

namespace shallotwood::process::sidecar
{

namespace
{

// Numbers are held for this time at least, which no call lasts.
constexpr duration retention = std::chrono::minutes(10);

struct parsed_id {
    std::string sender;
    std::uint64_t number = 0;
};

// An id without a number stands for a sender with one attempt.
parsed_id parse(const std::string& attempt_id)
{
    auto slash = attempt_id.rfind('/');
    parsed_id it{attempt_id, 0};
    if (slash == std::string::npos)
        return it;
    const auto* end = attempt_id.data() + attempt_id.size();
    auto [at, ec] =
        std::from_chars(attempt_id.data() + slash + 1, end, it.number);
    if (ec != std::errc() || at != end)
        return {attempt_id, 0};
    it.sender.resize(slash);
    return it;
}

} // namespace

forgotten_attempts::forgotten_attempts(const clock& time)
    : clock_(time), begun_at_(time.now())
{
}

void forgotten_attempts::add(const std::string& attempt_id)
{
    if (clock_.now() - begun_at_ > retention) {
        former_ = std::move(recent_);
        recent_.clear();
        begun_at_ = clock_.now();
    }
    auto it = parse(attempt_id);
    auto& highest = recent_[it.sender];
    highest = std::max(highest, it.number);
}

bool forgotten_attempts::may_contain(const std::string& attempt_id) const
{
    auto it = parse(attempt_id);
    auto among = [&](const highest_numbers& all) {
        auto found = all.find(it.sender);
        return found != all.end() && it.number <= found->second;
    };
    return among(recent_) || among(former_);
}

} // namespace shallotwood::process::sidecar
