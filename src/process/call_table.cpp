#include "process/call_table.hpp"

#include "process/keyed_hash.hpp"

namespace shallotwood::process
{

namespace
{
constexpr std::size_t token_bytes = 18;
}

std::string call_table::open(running_call it)
{
    auto token = random_token(token_bytes);
    calls_.emplace(token, std::move(it));
    return token;
}

running_call* call_table::find(const std::string& token)
{
    auto it = calls_.find(token);
    return it == calls_.end() ? nullptr : &it->second;
}

void call_table::close(const std::string& token)
{
    calls_.erase(token);
}

} // namespace shallotwood::process
