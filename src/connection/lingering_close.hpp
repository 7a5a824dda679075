// Ends a connection whose peer may still be sending.
//
// Closing a socket with unread data resets the connection and may destroy the
// response on its way. So the response is followed by the end of our side, and
// what still comes in is discarded, bounded in bytes and time.
#pragma once

#include <gio/gio.h>
#include <string_view>

namespace shallotwood::connection
{

// Takes the reference to the stream, which is connected by `socket`.
void close_after(GIOStream* stream, GSocket* socket, std::string_view response);

} // namespace shallotwood::connection
