// Accounts for the frames of an HTTP/2 connection between two nodes.
#pragma once

#include <cstddef>
#include <string_view>

namespace shallotwood::connection::peer
{

enum class frame_direction {
    sent,
    received,
};

// What a meter knows of the streams with one path. Defined by the meter; the
// connection only passes it on.
struct stream_class;

struct metered_frame {
    frame_direction direction = frame_direction::sent;
    // An NGHTTP2_* frame type.
    int type = 0;
    // With the frame's header.
    std::size_t bytes = 0;
    // Null for the connection's own frames, and while it is not known.
    const stream_class* stream = nullptr;
    // In a head: estimated part of `bytes` that the header with the name
    // frame_meter::separate_header() takes.
    std::size_t separate_bytes = 0;
};

class frame_meter
{
public:
    virtual ~frame_meter() = default;
    // The class of the streams with this `:path`. Lives as long as the process.
    virtual const stream_class* class_of(std::string_view path) const = 0;
    // Name of the header that is counted apart from the rest of a head.
    virtual std::string_view separate_header() const = 0;
    // Called for each frame; must not throw.
    virtual void on_frame(const metered_frame& it) = 0;
};

// Bytes that a header takes after HPACK compression if neither its value nor
// its name is in the dynamic table.
std::size_t estimated_header_bytes(std::size_t name_size,
                                   std::size_t value_size);

} // namespace shallotwood::connection::peer
