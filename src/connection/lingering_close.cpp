#include "connection/lingering_close.hpp"

#include "connection/glib_handle.hpp"

#include <array>
#include <memory>

namespace shallotwood::connection
{

namespace
{

constexpr std::size_t max_discarded_bytes = std::size_t{16} << 20;
constexpr guint max_wait_ms = 2000;

struct lingering {
    object_handle<GIOStream> stream;
    source_handle readable;
    source_handle timeout;
    std::size_t discarded = 0;

    ~lingering() { g_io_stream_close(stream.get(), nullptr, nullptr); }
};

gboolean expired(gpointer data)
{
    delete static_cast<lingering*>(data);
    return G_SOURCE_REMOVE;
}

gboolean discard(GSocket* socket, GIOCondition /*unused*/, gpointer data)
{
    auto* self = static_cast<lingering*>(data);
    std::array<char, 16384> buf{};
    GError* error = nullptr;
    auto count =
        g_socket_receive(socket, buf.data(), buf.size(), nullptr, &error);
    error_handle failure(error);
    bool again = g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
    if (count > 0)
        self->discarded += static_cast<std::size_t>(count);
    if ((count > 0 && self->discarded < max_discarded_bytes) || again)
        return G_SOURCE_CONTINUE;
    delete self;
    return G_SOURCE_REMOVE;
}

} // namespace

void close_after(GIOStream* stream, GSocket* socket, std::string_view response)
{
    auto self = std::make_unique<lingering>();
    self->stream.reset(stream);
    g_socket_set_blocking(socket, FALSE);
    // The send buffer of a connection that waits for its response is empty and
    // takes a small response whole.
    g_socket_send(socket, response.data(), response.size(), nullptr, nullptr);
    if (!g_socket_shutdown(socket, FALSE, TRUE, nullptr))
        return;
    self->readable.reset(g_socket_create_source(socket, G_IO_IN, nullptr));
    self->timeout.reset(g_timeout_source_new(max_wait_ms));
    auto* data = self.release();
    g_source_set_callback(data->readable.get(), G_SOURCE_FUNC(discard), data,
                          nullptr);
    g_source_set_callback(data->timeout.get(), expired, data, nullptr);
    g_source_attach(data->readable.get(), nullptr);
    g_source_attach(data->timeout.get(), nullptr);
}

} // namespace shallotwood::connection
