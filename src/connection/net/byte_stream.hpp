// A non-blocking TCP connection on the reactor.
//
// Bytes are read into a buffer that all connections of the process share, so
// an idle connection holds no memory. Output that the kernel does not take is
// queued; the owner bounds it by looking at unsent() before it produces more.
#pragma once

#include "process/loop/reactor.hpp"
#include "process/peer_transport.hpp"

#include <memory>
#include <string>
#include <string_view>

namespace shallotwood::connection::net
{

enum class stream_end {
    // The peer has finished sending.
    finished,
    // Reset, or no path to the peer.
    broken,
    // The connection could not be established.
    refused,
};

// How the kernel finds out that a peer is gone without a word.
struct liveness {
    // Time without an acknowledgement after which the connection is broken.
    process::duration unacknowledged = std::chrono::seconds(3);
    // Idle time before the first probe; whole seconds. 0 for no probes.
    int probe_after_seconds = 0;
};

class byte_stream : public std::enable_shared_from_this<byte_stream>,
                    private process::loop::ready_handler
{
public:
    virtual ~byte_stream();
    byte_stream(const byte_stream&) = delete;
    byte_stream& operator=(const byte_stream&) = delete;

    // Sends at once what the kernel takes and queues the rest.
    void send(std::string_view bytes);
    std::size_t unsent() const { return output_.size() - sent_; }
    // Bytes that the kernel has taken since the connection began.
    std::uint64_t taken() const { return taken_; }

    // Stops and resumes reading. While paused, only a reset is seen.
    void pause_reading();
    // The same, but nothing is seen: a reset is told once reading was resumed
    // and what came before it has been read.
    void stop_reading();
    void resume_reading();

    bool is_open() const { return fd_ >= 0; }
    // Input, or the end of the connection, has arrived and was not read yet.
    bool has_input() const;

    // Closes without further callbacks. Unsent output is lost.
    void close();
    // Closes with a reset, so that the peer can't take what it got as whole.
    void abort();
    // Sends what is queued, then ends the connection. Input is discarded for
    // at most `linger` after the last byte was sent, and up to a number of
    // bytes, so that unread bytes do not reset what was sent. A peer that takes
    // nothing of what is queued for max_stall is given up.
    void finish(process::duration linger);
    static constexpr process::duration max_stall = std::chrono::seconds(10);

protected:
    // Takes over a connected socket.
    byte_stream(process::loop::reactor& loop, int fd);
    // Starts to connect; on_connected() or on_end(refused) follows.
    byte_stream(process::loop::reactor& loop, const process::peer_address& to,
                const liveness& how);

    // Starts the callbacks. Call it once the object is held by a shared_ptr.
    void start();

    virtual void on_connected() {}
    virtual void on_bytes(std::string_view bytes) = 0;
    // All queued output has been handed to the kernel.
    virtual void on_drained() {}
    // The connection has ended and is closed; nothing more is called.
    virtual void on_end(stream_end how) = 0;

    process::loop::reactor& loop() const { return loop_; }

private:
    void on_ready(std::uint32_t events) final;
    void read_some();
    void flush();
    void update_watch();
    void end(stream_end how);
    void end_output();
    void check_stall(std::size_t unsent_before);
    void connected();

    process::loop::reactor& loop_;
    int fd_ = -1;
    bool connecting_ = false;
    bool connect_failed_ = false;
    bool closed_ = false;
    bool reading_ = true;
    // A reset is not watched for while nothing is read or written.
    bool ignoring_resets_ = false;
    bool finishing_ = false;
    process::duration linger_{};
    // Output may be sent, or was blocked and waits for the kernel.
    bool blocked_ = false;
    // A write was told of a reset. The kernel reports it only once; a read then
    // returns the same as at the end of the peer's output.
    bool reset_reported_ = false;
    std::uint32_t watched_ = 0;
    std::string output_;
    std::size_t sent_ = 0;
    std::uint64_t taken_ = 0;
    // Input since finish().
    std::size_t discarded_ = 0;
};

// A listening socket that hands each accepted connection to its handler.
class tcp_listener : private process::loop::ready_handler
{
public:
    using handler = std::function<void(int fd)>;

    tcp_listener(process::loop::reactor& loop, handler on_accepted);
    ~tcp_listener();
    tcp_listener(const tcp_listener&) = delete;
    tcp_listener& operator=(const tcp_listener&) = delete;

    // Returns an error message, empty on success. Port 0 lets the kernel
    // choose.
    std::string listen(const process::peer_address& address);
    std::uint16_t port() const { return port_; }
    void stop();

private:
    void on_ready(std::uint32_t events) final;

    process::loop::reactor& loop_;
    handler on_accepted_;
    int fd_ = -1;
    std::uint16_t port_ = 0;
};

} // namespace shallotwood::connection::net
