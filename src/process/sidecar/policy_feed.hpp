// Keeps the newest policy that this node can get, from the platform's store and
// from other nodes.
//
// Answers a store that is down, slow, or turns some nodes away: every message
// between nodes names the sender's revision, and a node with a lower one asks
// the sender for the text. A lower revision never replaces a higher one.
#pragma once

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
    // Asks another node for its policy's text.
    using puller = std::function<void(
        const std::string& name,
        std::function<void(std::optional<std::string>)> done)>;
    enum class origin { store, node };
    using listener = std::function<void(const version::policy&, origin from)>;
    // The store does not answer this node, or does again.
    using store_listener = std::function<void(bool lost)>;

    policy_feed(object_store& store, const protocol_adapter& adapter,
                counters& counts, std::string object_name, puller pull,
                listener adopted);
    ~policy_feed();
    policy_feed(const policy_feed&) = delete;
    policy_feed& operator=(const policy_feed&) = delete;

    // Watches the store, or leaves that to other nodes.
    void set_watching(bool watching);
    bool watching() const { return watch_.has_value(); }
    // The store is watched, has answered, and no error came since.
    bool store_answers() const { return store_answers_; }

    void on_store_state(store_listener tell) { store_state_ = std::move(tell); }

    // Another node has a policy of this revision.
    void heard(const std::string& name, std::uint64_t revision);

    version::policy_ptr current() const { return current_; }
    std::uint64_t revision() const
    {
        return current_ ? current_->revision() : 0;
    }
    // As the store gave it; for other nodes.
    const std::string& text() const { return text_; }

private:
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
    std::uint64_t object_version_ = 0;
    version::policy_ptr current_;
    std::string text_;
    bool pulling_ = false;
    bool store_lost_ = false;
    bool store_answers_ = false;
};

} // namespace shallotwood::process::sidecar
