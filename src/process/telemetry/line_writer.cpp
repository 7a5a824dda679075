#include "process/telemetry/line_writer.hpp"

#include <algorithm>
#include <cerrno>
#include <climits>
#include <unistd.h>

namespace shallotwood::process::telemetry
{

bool line_writer::append(std::string_view line)
{
    if (pending_.size() + line.size() > max_pending_bytes)
        return false;
    pending_ += line;
    pending_ += '\n';
    return true;
}

std::size_t line_writer::next_group() const
{
    if (pending_.size() <= PIPE_BUF)
        return pending_.size();
    auto last = pending_.rfind('\n', PIPE_BUF - 1);
    // A longer line can't be written atomically.
    if (last == std::string::npos)
        last = pending_.find('\n');
    return last + 1;
}

void line_writer::flush()
{
    std::size_t done = 0;
    while (!pending_.empty()) {
        auto size = next_group();
        auto n = ::write(fd_, pending_.data(), size);
        if (n < 0) {
            // The reader is gone, and there is no other place to report it.
            if (errno != EAGAIN && errno != EINTR)
                pending_.clear();
            return;
        }
        pending_.erase(0, static_cast<std::size_t>(n));
        done += static_cast<std::size_t>(n);
        if (static_cast<std::size_t>(n) < size || done >= max_pending_bytes)
            return;
    }
}

} // namespace shallotwood::process::telemetry
