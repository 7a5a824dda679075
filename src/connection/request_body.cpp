#include "connection/request_body.hpp"

#include "connection/glib_handle.hpp"

#include <algorithm>
#include <cstring>
#include <utility>

namespace shallotwood::connection
{

// The state of one input stream over a body.
struct request_body::reader {
    std::shared_ptr<request_body> body;
    std::size_t position = 0;
    // A read that waits for data.
    object_handle<GTask> task;
    void* buffer = nullptr;
    std::size_t capacity = 0;
    source_handle cancelled;

    ~reader()
    {
        if (body->reader_ == this)
            body->reader_ = nullptr;
    }

    void start(object_handle<GTask> read, void* to, std::size_t count)
    {
        task = std::move(read);
        buffer = to;
        capacity = count;
        if (try_finish())
            return;
        if (auto* it = g_task_get_cancellable(task.get())) {
            cancelled.reset(g_cancellable_source_new(it));
            g_source_set_callback(cancelled.get(),
                                  G_SOURCE_FUNC(&reader::on_cancelled), this,
                                  nullptr);
            g_source_attach(cancelled.get(), nullptr);
        }
        if (body->reader_ == this && body->wanted_)
            body->wanted_();
    }

    bool try_finish()
    {
        if (!task)
            return true;
        auto bytes = body->at(position);
        bool ended = body->complete_ && bytes.empty();
        if (body->reader_ != this || (bytes.empty() && !ended))
            return false;
        auto count = std::min(bytes.size(), capacity);
        if (count > 0)
            std::memcpy(buffer, bytes.data(), count);
        position += count;
        body->consumed(position);
        cancelled.reset();
        auto it = std::move(task);
        g_task_return_int(it.get(), static_cast<gssize>(count));
        return true;
    }

    static gboolean on_cancelled(GCancellable* /*unused*/, gpointer data)
    {
        auto* self = static_cast<reader*>(data);
        auto it = std::move(self->task);
        if (it)
            g_task_return_error_if_cancelled(it.get());
        return G_SOURCE_REMOVE;
    }
};

namespace
{

// NOLINTBEGIN(readability-identifier-naming): GObject's own naming.
struct ShallotwoodBodyStream {
    GInputStream parent;
    request_body::reader* state;
};

struct ShallotwoodBodyStreamClass {
    GInputStreamClass parent;
};
// NOLINTEND(readability-identifier-naming)

GType body_stream_type();

request_body::reader* state_of(gpointer stream)
{
    return reinterpret_cast<ShallotwoodBodyStream*>(stream)->state;
}

void read_async(GInputStream* stream, void* buffer, gsize count, int priority,
                GCancellable* cancellable, GAsyncReadyCallback callback,
                gpointer data)
{
    object_handle<GTask> task(g_task_new(stream, cancellable, callback, data));
    g_task_set_priority(task.get(), priority);
    state_of(stream)->start(std::move(task), buffer, count);
}

gssize read_finish(GInputStream* /*unused*/, GAsyncResult* result,
                   GError** error)
{
    return g_task_propagate_int(G_TASK(result), error);
}

// libsoup reads asynchronously; a read that would block the loop fails.
gssize read_blocking(GInputStream* /*unused*/, void* /*unused*/,
                     gsize /*unused*/, GCancellable* /*unused*/, GError** error)
{
    g_set_error_literal(error, G_IO_ERROR, G_IO_ERROR_NOT_SUPPORTED,
                        "blocking read of a request body");
    return -1;
}

void close_async(GInputStream* stream, int priority, GCancellable* cancellable,
                 GAsyncReadyCallback callback, gpointer data)
{
    object_handle<GTask> task(g_task_new(stream, cancellable, callback, data));
    g_task_set_priority(task.get(), priority);
    g_task_return_boolean(task.get(), TRUE);
}

gboolean close_finish(GInputStream* /*unused*/, GAsyncResult* result,
                      GError** error)
{
    return g_task_propagate_boolean(G_TASK(result), error);
}

void finalize(GObject* object)
{
    delete state_of(object);
    auto* parent =
        g_type_class_peek_parent(g_type_class_peek(body_stream_type()));
    G_OBJECT_CLASS(parent)->finalize(object);
}

void initialize_class(gpointer type, gpointer /*unused*/)
{
    auto* stream = static_cast<GInputStreamClass*>(type);
    stream->read_fn = read_blocking;
    stream->read_async = read_async;
    stream->read_finish = read_finish;
    stream->close_async = close_async;
    stream->close_finish = close_finish;
    G_OBJECT_CLASS(type)->finalize = finalize;
}

GType body_stream_type()
{
    static const GType type = g_type_register_static_simple(
        G_TYPE_INPUT_STREAM, "ShallotwoodBodyStream",
        sizeof(ShallotwoodBodyStreamClass), initialize_class,
        sizeof(ShallotwoodBodyStream), nullptr, GTypeFlags(0));
    return type;
}

} // namespace

void request_body::on_wanted(std::function<void()> wanted)
{
    wanted_ = std::move(wanted);
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
    wake();
}

void request_body::finish()
{
    complete_ = true;
    wake();
}

GBytes* request_body::as_bytes() const
{
    if (!complete_ || passed_prefix_ || !tail_.empty())
        return nullptr;
    return g_bytes_new(prefix_.data(), prefix_.size());
}

GInputStream* request_body::open()
{
    auto* object = g_object_new(body_stream_type(), nullptr);
    auto* state = new reader();
    state->body = shared_from_this();
    reinterpret_cast<ShallotwoodBodyStream*>(object)->state = state;
    reader_ = state;
    return G_INPUT_STREAM(object);
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

void request_body::wake()
{
    if (reader_)
        reader_->try_finish();
}

} // namespace shallotwood::connection
