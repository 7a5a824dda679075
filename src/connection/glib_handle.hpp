// Owning handles for GLib objects and sources.
#pragma once

#include <glib-object.h>
#include <memory>

namespace shallotwood::connection
{

struct object_release {
    void operator()(gpointer it) const { g_object_unref(it); }
};

// Owns one reference to a GObject.
template <typename Object>
using object_handle = std::unique_ptr<Object, object_release>;

struct bytes_release {
    void operator()(GBytes* it) const { g_bytes_unref(it); }
};

using bytes_handle = std::unique_ptr<GBytes, bytes_release>;

struct error_release {
    void operator()(GError* it) const { g_error_free(it); }
};

using error_handle = std::unique_ptr<GError, error_release>;

// A source attached to the default context; destroyed with the handle.
struct source_release {
    void operator()(GSource* it) const
    {
        g_source_destroy(it);
        g_source_unref(it);
    }
};

using source_handle = std::unique_ptr<GSource, source_release>;

} // namespace shallotwood::connection
