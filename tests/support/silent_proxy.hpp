// A TCP proxy on loopback whose open connections can go silent for good, as
// when something between the two ends has lost track of them: nothing passes,
// and neither end is told. New connections work.
#pragma once

#include <atomic>
#include <cstdint>
#include <thread>
#include <vector>

namespace shallotwood::support
{

class silent_proxy
{
public:
    explicit silent_proxy(std::uint16_t target);
    ~silent_proxy();
    silent_proxy(const silent_proxy&) = delete;
    silent_proxy& operator=(const silent_proxy&) = delete;

    std::uint16_t port() const { return port_; }
    // Connections accepted so far.
    int accepted() const { return accepted_; }
    // All connections that are open now go silent, before this returns.
    void silence_open_connections();

private:
    struct pair {
        int caller = -1;
        int target = -1;
        bool silent = false;
    };

    void run();
    void accept_one();
    static bool forward(int from, int to);

    std::uint16_t target_;
    std::uint16_t port_ = 0;
    int listener_ = -1;
    std::vector<pair> pairs_;
    std::atomic<int> accepted_{0};
    std::atomic<bool> silence_{false};
    std::atomic<bool> stop_{false};
    std::thread thread_;
};

} // namespace shallotwood::support
