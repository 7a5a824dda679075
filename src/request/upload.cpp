#include "request/upload.hpp"

namespace shallotwood::request
{

void upload::append(std::string_view bytes)
{
    held_.append(bytes);
    if (auto more = more_)
        more();
}

void upload::finish()
{
    complete_ = true;
    if (auto more = more_)
        more();
}

std::string_view upload::from(std::uint64_t position) const
{
    if (position < start_ || position >= received())
        return {};
    return std::string_view(held_).substr(position - start_);
}

void upload::release(std::uint64_t position)
{
    bool is_long = !complete_ || received() > kept_bytes;
    if (!is_long || !full() || position <= start_)
        return;
    held_.erase(0, position - start_);
    start_ = position;
    if (auto space = space_; space && !full())
        space();
}

} // namespace shallotwood::request
