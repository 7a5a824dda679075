#include "connection/request_body.hpp"

#include <algorithm>
#include <utility>

namespace shallotwood::connection
{

std::optional<std::uint64_t> request_body::known_length() const
{
    if (complete_ && !passed_prefix_ && tail_.empty())
        return prefix_.size();
    return length_;
}

void request_body::on_wanted(std::function<void()> wanted)
{
    wanted_ = std::move(wanted);
}

void request_body::on_more(std::function<void()> more)
{
    more_ = std::move(more);
}

void request_body::want_more()
{
    if (auto wanted = wanted_)
        wanted();
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
    if (auto more = more_)
        more();
}

void request_body::finish()
{
    complete_ = true;
    if (auto more = more_)
        more();
}

std::string_view request_body::at(std::size_t position) const
{
    if (position < prefix_.size())
        return std::string_view(prefix_).substr(position);
    if (position < tail_start_)
        return {};
    auto offset = std::min(position - tail_start_, tail_.size());
    return std::string_view(tail_).substr(offset);
}

void request_body::consumed(std::size_t position)
{
    if (position <= prefix_.size())
        return;
    passed_prefix_ = true;
    if (position - tail_start_ == tail_.size()) {
        tail_start_ = position;
        tail_.clear();
    }
}

} // namespace shallotwood::connection
