// A TCP server whose answers are raw bytes that a test supplies, so that it
// can misbehave in any way.
#pragma once

#include "connection/net/byte_stream.hpp"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace shallotwood::test
{

// How much of a request is read before it is answered.
enum class answer_after {
    whole_request,
    // The head. What follows it is not read as a request.
    head,
    // The head where a body of more than long_body_bytes follows.
    head_of_long_body,
};

constexpr std::size_t long_body_bytes = std::size_t{64} * 1024;

class scripted_connection final : public connection::net::byte_stream
{
public:
    // Gets each request: its head, without the empty line, and body.
    using handler =
        std::function<void(scripted_connection&, const std::string& head,
                           const std::string& body)>;

    scripted_connection(process::loop::reactor& loop, int fd, handler handle,
                        answer_after when)
        : byte_stream(loop, fd), handle_(std::move(handle)), when_(when)
    {
        input_.reserve(1024);
    }

    void open() { start(); }
    bool ended() const { return ended_; }

private:
    void on_bytes(std::string_view bytes) override;
    void on_end(connection::net::stream_end) override { ended_ = true; }

    handler handle_;
    answer_after when_;
    std::string input_;
    bool answered_early_ = false;
    bool ended_ = false;
};

class scripted_server
{
public:
    scripted_server(process::loop::reactor& loop,
                    scripted_connection::handler handle,
                    answer_after when = answer_after::whole_request);

    process::peer_address address() const;
    // Of all connections, in order of arrival.
    std::vector<std::string> heads;
    std::vector<std::string> bodies;
    std::size_t accepted() const { return connections_.size(); }
    bool all_ended() const;
    // Ends all connections with a reset; nothing listens any more.
    void stop();

private:
    connection::net::tcp_listener listener_;
    std::vector<std::shared_ptr<scripted_connection>> connections_;
};

// Value of a header in a raw head; empty if there is none.
std::string header_of(const std::string& head, const std::string& name);

} // namespace shallotwood::test
