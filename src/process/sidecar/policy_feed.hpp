// Keeps the newest policy that this node can get, from the platform's store and
// from other nodes.
//
// Works even if the store is down, slow, or rejects some nodes: every message
// between nodes states the sender's revision, and a node with a lower one
// fetches the text from the sender. A lower revision never replaces a higher
// one.
#pragma once

#include "process/callback_guard.hpp"
#include "process/counters.hpp"
#include "process/object_store.hpp"
#include "process/sidecar/protocol_adapter.hpp"

#include <functional>
#include <optional>
#include <string>

namespace shallotwood::process::sidecar
{

class policy_feed
{
public:
    // Fetches the text of another node's policy.
    using puller = std::function<void(
        const std::string& name,
        std::function<void(std::optional<std::string>)> done)>;
    enum class origin {
        store,
        // A node of another failure domain.
        distant_node,
        node,
    };
    using listener = std::function<void(const version::policy&, origin from)>;
    // Called when the store has stopped answering this node, or answers again.
    using store_listener = std::function<void(bool lost)>;

    policy_feed(object_store& store, const protocol_adapter& adapter,
                counters& counts, std::string object_name, puller pull,
                listener adopted);
    ~policy_feed();
    policy_feed(const policy_feed&) = delete;
    policy_feed& operator=(const policy_feed&) = delete;

    // Starts or stops watching the store; without a watch, new policies come
    // from other nodes.
    void set_watching(bool watching);
    bool watching() const { return watch_.has_value(); }
    // True if the store is watched and its last answer was no error.
    bool store_answers() const { return store_answers_; }

    void on_store_state(store_listener tell) { store_state_ = std::move(tell); }

    // If the node `name` is in another failure domain, the time for which this
    // node waits to hear of a new policy from a node of its own domain before
    // it fetches the text from that node.
    using delay_rule =
        std::function<std::optional<duration>(const std::string& name)>;
    // Until this is called, texts are fetched at once.
    void set_delays(scheduler& timers, delay_rule delay);

    // Another node states that its policy has this revision.
    void handle_peer_revision(const std::string& name, std::uint64_t revision);

    version::policy_ptr current() const { return current_; }
    std::uint64_t revision() const
    {
        return current_ ? current_->revision() : 0;
    }
    // Unparsed text of the current policy, which is passed on to other nodes.
    const std::string& text() const { return text_; }

private:
    void pull(const std::string& name, origin from);
    bool adopt(const std::string& text, origin from, std::string_view name);
    void set_store_lost(bool lost);
    void changed(const get_result& result);

    object_store& store_;
    const protocol_adapter& adapter_;
    counters& counts_;
    std::string object_name_;
    puller pull_;
    listener adopted_;
    store_listener store_state_;
    std::optional<watch_id> watch_;
    version::policy_ptr current_;
    std::string text_;
    bool pulling_ = false;
    scheduler* timers_ = nullptr;
    delay_rule delay_;
    // A fetch from another domain is delayed.
    bool waiting_ = false;
    callback_guard guard_;
    bool store_lost_ = false;
    bool store_answers_ = false;
};

} // namespace shallotwood::process::sidecar
