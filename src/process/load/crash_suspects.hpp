// Requests that were in flight when a backend server crashed.
//
// Limits the damage of a request that crashes every backend server that
// executes it and that its caller retries: a request that was in flight in
// several crashes is refused. A request that any backend server has answered is
// no longer a suspect, so requests that only shared a backend server with the
// one at fault are cleared by their next execution. The request at fault
// crashes at most `crashes_to_refuse` backend servers of a service.
//
// Bounds: max_suspects requests, each for `suspect_lifetime` since its last
// crash.
#pragma once

#include "process/event_loop.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace shallotwood::process::load
{

// Hash of the content of a request and of its workspace; the same for every
// attempt.
using fingerprint = std::uint64_t;

fingerprint fingerprint_of(std::string_view workspace, std::string_view method,
                           std::string_view target, std::string_view body);

class crash_suspects
{
public:
    // Not two: requests that failed over from the first backend server to the
    // second together with the request at fault were in flight in both crashes.
    static constexpr std::size_t crashes_to_refuse = 3;
    static constexpr std::size_t max_suspects = 10'000;
    // Longer than callers usually keep retrying a request.
    static constexpr duration suspect_lifetime = std::chrono::minutes(10);

    explicit crash_suspects(const clock& time) : clock_(time) {}

    // A backend server crashed with these requests in flight. `crash` is the id
    // of the crash; reporting it twice has no further effect.
    void record_crash(const std::string& crash,
                      const std::vector<fingerprint>& in_flight);
    // A backend server answered the request.
    void record_response(fingerprint it);

    // Crashes with their suspects, for a node that has lost what it knew; at
    // most `limit` suspects, those of the latest crashes first.
    std::map<std::string, std::vector<fingerprint>>
    crashes(std::size_t limit) const;

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
