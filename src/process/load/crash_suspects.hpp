// Requests that were in flight when a backend server died.
//
// Answers a request that crashes each backend server that runs it and that its
// caller sends again: one that was in flight in several crashes is refused. A
// request that any backend server answered is no suspect any more, so those
// that only shared a backend server with the culprit are cleared by their next
// run. The culprit costs a service `crashes_to_refuse` backend servers.
//
// Bounds: max_suspects requests, each for `kept` since its last crash.
#pragma once

#include "process/event_loop.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace shallotwood::process::load
{

// Names what a request asks for and whom it is for, not the attempt.
using fingerprint = std::uint64_t;

fingerprint fingerprint_of(std::string_view workspace, std::string_view method,
                           std::string_view target, std::string_view body);

class crash_suspects
{
public:
    // Two crashes are shared by every request that was moved from the first
    // backend server to the second together with the culprit.
    static constexpr std::size_t crashes_to_refuse = 3;
    static constexpr std::size_t max_suspects = 10'000;
    // Longer than callers usually repeat a request.
    static constexpr duration kept = std::chrono::minutes(10);

    explicit crash_suspects(const clock& time) : clock_(time) {}

    // A backend server died with these in flight. `crash` names the event; a
    // second report of it changes nothing.
    void crashed(const std::string& crash,
                 const std::vector<fingerprint>& in_flight);
    // A backend server answered the request.
    void cleared(fingerprint it);

    bool is_refused(fingerprint it) const;
    bool is_suspect(fingerprint it) const { return suspects_.count(it) != 0; }
    bool empty() const { return suspects_.empty(); }
    std::size_t size() const { return suspects_.size(); }

private:
    struct suspect {
        std::set<std::string> crashes;
        time_point last{};
    };
    void evict_one_if_full();

    const clock& clock_;
    std::unordered_map<fingerprint, suspect> suspects_;
};

} // namespace shallotwood::process::load
