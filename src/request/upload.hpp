// The body of a request between the caller's connection and the backend
// server's.
//
// Buffers the whole body while it is short enough to be sent again in a retry,
// and a bounded window of a longer one.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace shallotwood::request
{

class upload
{
public:
    // A body up to this size can be sent again to another backend server.
    static constexpr std::size_t kept_bytes = std::size_t{64} * 1024;

    explicit upload(std::optional<std::uint64_t> length) : length_(length) {}

    // From Content-Length; nothing for a chunked body.
    std::optional<std::uint64_t> length() const { return length_; }

    void append(std::string_view bytes);
    void finish();

    bool complete() const { return complete_; }
    std::uint64_t received() const { return start_ + held_.size(); }
    // The body is still buffered from its first byte.
    bool replayable() const { return start_ == 0; }
    bool full() const { return held_.size() >= kept_bytes; }
    bool empty() const { return complete_ && received() == 0; }

    // The buffered bytes from that position on.
    std::string_view from(std::uint64_t position) const;
    // Bytes before the position may be dropped once the body is too long to
    // be sent again.
    void release(std::uint64_t position);

    // Called when more bytes have arrived or the body has ended.
    void on_more(std::function<void()> more) { more_ = std::move(more); }
    // Called when the body is not full any more.
    void on_space(std::function<void()> space) { space_ = std::move(space); }

private:
    std::optional<std::uint64_t> length_;
    std::string held_;
    // Position of the first buffered byte.
    std::uint64_t start_ = 0;
    bool complete_ = false;
    std::function<void()> more_;
    std::function<void()> space_;
};

} // namespace shallotwood::request
