#include "connection/request_body.hpp"

#include <algorithm>
#include <utility>

namespace shallotwood::connection
{

void request_body::on_wanted(std::function<void()> wanted)
{
    wanted_ = std::move(wanted);
}

void request_body::on_available(std::function<void()> available)
{
    available_ = std::move(available);
}

void request_body::append(std::string_view chunk)
{
    if (tail_.empty() && tail_start_ == prefix_.size() && !prefix_full()) {
        auto count = std::min(chunk.size(), prefix_bytes - prefix_.size());
        prefix_ += chunk.substr(0, count);
        tail_start_ = prefix_.size();
        chunk.remove_prefix(count);
    }
    tail_ += chunk;
    wake();
}

void request_body::finish()
{
    complete_ = true;
    wake();
}

std::string_view request_body::at(std::uint64_t position) const
{
    if (position < prefix_.size())
        return std::string_view(prefix_).substr(position);
    if (position < tail_start_)
        return {};
    auto offset = std::min<std::uint64_t>(position - tail_start_, tail_.size());
    return std::string_view(tail_).substr(offset);
}

void request_body::consumed(std::uint64_t position)
{
    if (position <= prefix_.size())
        return;
    passed_prefix_ = true;
    if (position - tail_start_ == tail_.size()) {
        tail_start_ = position;
        tail_.clear();
    }
}

void request_body::want() const
{
    if (wanted_)
        wanted_();
}

void request_body::wake()
{
    // A copy, because the reader may end its call.
    if (auto available = available_)
        available();
}

} // namespace shallotwood::connection
