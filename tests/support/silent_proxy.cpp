#include "support/silent_proxy.hpp"

#include <arpa/inet.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace shallotwood::support
{

namespace
{

constexpr int poll_milliseconds = 5;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in it{};
    it.sin_family = AF_INET;
    it.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    it.sin_port = htons(port);
    return it;
}

} // namespace

silent_proxy::silent_proxy(std::uint16_t target) : target_(target)
{
    listener_ = socket(AF_INET, SOCK_STREAM, 0);
    auto address = loopback(0);
    socklen_t size = sizeof address;
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    if (bind(listener_, generic, size) != 0 || listen(listener_, 16) != 0 ||
        getsockname(listener_, generic, &size) != 0)
        throw std::runtime_error("the proxy can't listen");
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this] { run(); });
}

silent_proxy::~silent_proxy()
{
    stop_ = true;
    thread_.join();
    for (const auto& it : pairs_) {
        close(it.caller);
        close(it.target);
    }
    close(listener_);
}

void silent_proxy::silence_open_connections()
{
    silence_ = true;
    while (silence_)
        std::this_thread::yield();
}

void silent_proxy::accept_one()
{
    pair it;
    it.caller = accept(listener_, nullptr, nullptr);
    it.target = socket(AF_INET, SOCK_STREAM, 0);
    auto address = loopback(target_);
    if (connect(it.target, reinterpret_cast<sockaddr*>(&address),
                sizeof address) != 0)
        throw std::runtime_error("the proxy can't connect");
    pairs_.push_back(it);
    ++accepted_;
}

// False at the end of the connection.
bool silent_proxy::forward(int from, int to)
{
    char buf[65536];
    auto n = recv(from, buf, sizeof buf, 0);
    return n > 0 &&
           send(to, buf, static_cast<std::size_t>(n), MSG_NOSIGNAL) == n;
}

void silent_proxy::run()
{
    while (!stop_) {
        if (silence_) {
            for (auto& it : pairs_)
                it.silent = true;
            silence_ = false;
        }
        std::vector<pollfd> waiting{{listener_, POLLIN, 0}};
        for (const auto& it : pairs_) {
            short events = it.silent ? 0 : POLLIN;
            waiting.push_back({it.silent ? -1 : it.caller, events, 0});
            waiting.push_back({it.silent ? -1 : it.target, events, 0});
        }
        poll(waiting.data(), waiting.size(), poll_milliseconds);
        auto count = pairs_.size();
        for (std::size_t n = 0; n < count; ++n) {
            auto& it = pairs_[n];
            bool open = true;
            if (waiting[1 + 2 * n].revents != 0)
                open = forward(it.caller, it.target);
            if (open && waiting[2 + 2 * n].revents != 0)
                open = forward(it.target, it.caller);
            if (!open) {
                shutdown(it.caller, SHUT_RDWR);
                shutdown(it.target, SHUT_RDWR);
                it.silent = true;
            }
        }
        if (waiting[0].revents != 0)
            accept_one();
    }
}

} // namespace shallotwood::support
