// Keeps the newest set of evacuated failure domains that this node can get,
// from the platform's store and from other nodes.
//
// A node that can reach neither keeps the set that it had. A node that starts
// must not send to an evacuated domain, so it waits for the first set before it
// serves. The same holds for a node whose process has been paused: what it
// knows may be outdated, and it has requests to handle before it hears of that.
// Since service must not depend on the store, the wait is limited.
#pragma once

#include "process/counters.hpp"
#include "process/fleet/evacuations.hpp"
#include "process/fleet/fleet_view.hpp"
#include "process/object_store.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace shallotwood::process::sidecar
{

class evacuation_feed
{
public:
    enum class origin { store, node };
    // Called with the first set, and then with each set that differs in its
    // domains.
    using listener =
        std::function<void(const fleet::evacuation_change&, origin from)>;
    // All referenced objects must outlive the feed.
    struct dependencies {
        event_loop& loop;
        object_store& store;
        const fleet::fleet_view& fleet;
        counters& counts;
    };

    // Longest time for which a node that has a policy waits for a set. The
    // store answers within milliseconds, and so does another node.
    static constexpr duration wait_limit = std::chrono::seconds(1);

    // An object that is named by `prefix` and a domain evacuates that domain.
    // After a pause of the process for a part of `limit`, the set is read
    // again. `ask` is called when a wait begins, to ask other nodes.
    evacuation_feed(const dependencies& with, std::string prefix,
                    duration limit, listener changed,
                    std::function<void()> ask);
    ~evacuation_feed();
    evacuation_feed(const evacuation_feed&) = delete;
    evacuation_feed& operator=(const evacuation_feed&) = delete;

    // Starts or stops watching the store; without a watch, new sets come from
    // other nodes.
    void set_watching(bool watching);
    bool watching() const { return watch_.has_value(); }

    // The node has got its first policy: limits the wait for the first set.
    void handle_first_policy();
    // True until a set is known that was read since the process started or was
    // paused, or the wait for it has ended.
    bool is_awaited() const;
    // Another node has answered this process with its set since the wait began.
    void confirm();

    // Another node's set, as JSON that may be anything.
    void handle_peer_set(const std::string& name, const Json::Value& set);

    // Empty until a set is known.
    const std::optional<fleet::evacuation_set>& current() const
    {
        return evacuations_.current();
    }
    bool contains(const std::string& domain) const
    {
        return evacuations_.contains(domain);
    }

    // Logs evacuations of unknown domains and of all domains. Called from time
    // to time, since a node that starts does not know all domains at once.
    void check_domains();

private:
    void run_tick();
    bool was_paused() const;
    void begin_wait();
    void handle_names(const names_result& result);
    void learn(const fleet::evacuation_set& it, origin from,
               std::string_view name);
    void log_change(const fleet::evacuation_change& change) const;

    dependencies dependencies_;
    std::string prefix_;
    duration pause_limit_;
    listener changed_;
    std::function<void()> ask_;
    fleet::evacuations evacuations_;
    std::optional<watch_id> watch_;
    // Where the set that is being learned comes from.
    origin from_ = origin::store;
    std::string_view source_;
    // The store's latest answer was an error.
    bool read_failed_ = false;
    bool awaited_ = true;
    // What was received before a pause ended does not end the wait.
    bool after_pause_ = false;
    time_point last_tick_;
    timer_id tick_timer_{};
    timer_id wait_timer_{};
    // What check_domains() has looked at, and what it has logged.
    std::uint64_t checked_membership_ = 0;
    std::optional<fleet::evacuation_position> checked_position_;
    std::set<std::string> unknown_;
    bool all_evacuated_ = false;
};

} // namespace shallotwood::process::sidecar
