// Writes lines to a descriptor without blocking.
//
// A write to a pipe of at most PIPE_BUF bytes is atomic, so lines go out in
// groups of at most that size: a reader sees whole lines only, also if this
// process ends or another one writes to the same pipe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace shallotwood::process::telemetry
{

class line_writer
{
public:
    // Limit of the lines that the reader has not accepted yet.
    static constexpr std::size_t max_pending_bytes = std::size_t{64} * 1024;

    explicit line_writer(int fd) : fd_(fd) {}

    // Queues the line. False if it is dropped, because too much is pending.
    bool append(std::string_view line);
    // Writes what the reader accepts now.
    void flush();

    std::size_t pending() const { return pending_.size(); }

private:
    // Size of the whole lines to write next.
    std::size_t next_group() const;

    int fd_;
    std::string pending_;
};

} // namespace shallotwood::process::telemetry
