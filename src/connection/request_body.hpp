// The body of a request between the listener that receives it and the client
// that sends it on.
//
// Holds a prefix of at most prefix_bytes, which can be sent again on another
// attempt, and after it at most one chunk that the listener has read. A body
// that has passed the prefix can't be sent again.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace shallotwood::connection
{

class request_body
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

    // That of a body which is whole, also if it came in chunks.
    std::optional<std::uint64_t> known_length() const;

    // Asked for more when a reader has consumed everything.
    void on_wanted(std::function<void()> wanted);

    void append(std::string_view chunk);
    void finish();

    // For the reader, that is, the latest attempt. `more` is called when bytes
    // have come or the body has ended.
    void on_more(std::function<void()> more);
    // Bytes from `position` on; empty if none are there yet.
    std::string_view at(std::size_t position) const;
    // Everything before `position` has been sent.
    void consumed(std::size_t position);
    void want_more();

private:
    std::optional<std::uint64_t> length_;
    std::string prefix_;
    // What follows the prefix, from tail_start_ on.
    std::string tail_;
    std::size_t tail_start_ = 0;
    bool complete_ = false;
    bool passed_prefix_ = false;
    std::function<void()> wanted_;
    std::function<void()> more_;
};

} // namespace shallotwood::connection
