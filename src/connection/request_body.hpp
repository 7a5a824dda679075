// The body of a request between the listener that receives it and the client
// that sends it on.
//
// Holds a prefix of at most prefix_bytes, which can be sent again on another
// attempt, and after it at most one chunk that the listener has read. A body
// that has passed the prefix can't be sent again.
#pragma once

#include <functional>
#include <gio/gio.h>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace shallotwood::connection
{

class request_body : public std::enable_shared_from_this<request_body>
{
public:
    // Bounds the memory of a request in flight: 900 of them hold 29 MB.
    static constexpr std::size_t prefix_bytes = std::size_t{32} * 1024;

    explicit request_body(std::optional<std::uint64_t> length) : length_(length)
    {
    }

    // From the `Content-Length`; nothing for a chunked body.
    std::optional<std::uint64_t> length() const { return length_; }
    const std::string& prefix() const { return prefix_; }
    bool prefix_full() const { return prefix_.size() >= prefix_bytes; }
    bool complete() const { return complete_; }
    // True while another attempt can send the body from its start.
    bool replayable() const { return !passed_prefix_; }

    // Asked for more when a reader has consumed everything.
    void on_wanted(std::function<void()> wanted);

    void append(std::string_view chunk);
    void finish();

    // Small complete bodies as one value; nullptr otherwise.
    GBytes* as_bytes() const;
    // A stream over the body from its start, for one attempt. The latest
    // stream is the only one that gets data.
    GInputStream* open();

    struct reader;

private:
    friend struct reader;
    // Bytes at `position` for the reader; empty if none are there yet.
    std::string_view at(std::size_t position) const;
    void consumed(std::size_t position);
    void wake();

    std::optional<std::uint64_t> length_;
    std::string prefix_;
    // What follows the prefix, from tail_start_ on.
    std::string tail_;
    std::size_t tail_start_ = 0;
    bool complete_ = false;
    bool passed_prefix_ = false;
    std::function<void()> wanted_;
    reader* reader_ = nullptr;
};

} // namespace shallotwood::connection
