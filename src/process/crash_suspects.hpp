// Requests that were in flight when a backend server died.
//
// One of them may have caused the crash, and its caller may retry it. A
// fingerprint in flight in one crash is executed alone, at one node of the
// service that all nodes choose alike, so that it executes at most once at a
// time in the service. In flight in two crashes, it is refused. A request thus
// crashes at most two backend servers of the service, as long as the reports
// of the first crash arrive before the retry: record_crash() sends them before
// the sender can learn of the failure.
//
// Bounds: max_suspects entries, each for the keep time of the settings;
// max_in_flight fingerprints in flight.
#pragma once

#include "process/counters.hpp"
#include "process/event_loop.hpp"
#include "process/member.hpp"
#include "process/peer_transport.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace shallotwood::process
{

struct crash_suspects_settings {
    std::size_t max_suspects = 20'000;
    std::size_t max_in_flight = 10'000;
    duration keep = std::chrono::minutes(10);
    // Reports may be lost, so each is sent again after these times.
    std::vector<duration> repeats = {std::chrono::milliseconds(50),
                                     std::chrono::milliseconds(400)};
};

class crash_suspects
{
public:
    crash_suspects(event_loop& loop, peer_transport& transport,
                   const member_view& members, counters& counts,
                   const crash_suspects_settings& settings);
    ~crash_suspects();
    crash_suspects(const crash_suspects&) = delete;
    crash_suspects& operator=(const crash_suspects&) = delete;

    enum class placement_decision {
        run,
        // With nothing else on the backend server.
        run_alone,
        // It is executing here; wait until that execution ends.
        busy,
        // To be run alone at the node in placement::where.
        elsewhere,
        refuse,
    };
    struct placement {
        placement_decision what = placement_decision::run;
        std::optional<member> where;
    };

    // What to do with a request that has arrived at this node.
    placement decide_placement(const std::string& fingerprint) const;

    // Id of an execution from record_start() to its end; 0 if it is not
    // tracked.
    enum class run_id : std::uint64_t {};

    // Called at the start and end of each execution on the local backend
    // server: completed() after a complete response, which clears the
    // fingerprint; ended() otherwise.
    run_id record_start(const std::string& fingerprint);
    void completed(run_id id);
    void ended(run_id id);

    // The local backend server crashed. Everything in flight there becomes
    // suspect, here and at the other nodes of the service, and its executions
    // are over. Must be called before any sender is notified.
    void record_crash();

    std::size_t size() const { return suspects_.size(); }

    // Fingerprints in one message, so that it fits a datagram.
    static constexpr std::size_t fingerprints_per_report = 40;

private:
    using fingerprint_hash = std::uint64_t;
    struct suspect {
        // Ids of the crashes, two at most.
        std::set<std::string> crashes;
        // Completed since; the entry is kept so that repeated reports have no
        // effect.
        bool cleared = false;
        // When the last of the crashes became known.
        time_point last_crash_time;
    };

    static fingerprint_hash hash_fingerprint(const std::string& fingerprint);
    const suspect* find(fingerprint_hash it) const;
    void add(fingerprint_hash it, const std::string& crash);
    void clear(fingerprint_hash it);
    bool runs_here(fingerprint_hash it) const;
    void report(const std::string& crash, const char* field,
                const std::vector<fingerprint_hash>& hashes);
    void on_report(const peer_address& from, const Json::Value& params);
    void drop_expired();
    bool drop_oldest();
    bool from_own_service(const peer_address& from) const;

    event_loop& loop_;
    peer_transport& transport_;
    const member_view& members_;
    counters& counts_;
    const crash_suspects_settings settings_;

    std::unordered_map<fingerprint_hash, suspect> suspects_;
    // In order of time; an item is outdated if its time is not the entry's.
    std::deque<std::pair<time_point, fingerprint_hash>> by_crash_time_;
    std::map<run_id, fingerprint_hash> in_flight_;
    std::uint64_t last_run_ = 0;
    std::uint64_t last_crash_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace shallotwood::process
