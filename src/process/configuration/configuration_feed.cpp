#include "process/configuration/configuration_feed.hpp"

#include "process/log.hpp"

#include <algorithm>

namespace shallotwood::process::configuration
{

namespace
{

constexpr duration watch_check_period = std::chrono::seconds(1);
constexpr int max_pull_failures = 20;
// Number of nodes per watcher that are told if the platform does not answer it.
constexpr std::size_t candidates_per_watcher = 4;
// A node that has not joined after this long watches the platform itself.
constexpr duration watch_without_join_delay = std::chrono::seconds(10);

// Fields of the messages between nodes.
constexpr const char* era_field = "e";
constexpr const char* revision_field = "r";
constexpr const char* base_era_field = "base_era";
constexpr const char* base_field = "base";
constexpr const char* have_field = "have";

} // namespace

configuration_feed::configuration_feed(
    event_loop& loop, peer_transport& transport, object_store& store,
    membership& members, const configuration_codec& codec,
    configuration_loader& loader, counters& counts,
    const configuration_feed_settings& settings)
    : loop_(loop), transport_(transport), store_(store), members_(members),
      codec_(codec), loader_(loader), counts_(counts), settings_(settings),
      start_time_(loop.now())
{
    using handle =
        void (configuration_feed::*)(const peer_address&, const Json::Value&);
    auto subscribe = [this](const char* method, handle it) {
        transport_.subscribe(
            method, [this, it, alive = std::weak_ptr<bool>(alive_)](
                        const peer_address& from, const Json::Value& params) {
                if (!alive.expired() && params.isObject())
                    (this->*it)(from, params);
            });
    };
    subscribe("configuration.pull", &configuration_feed::on_pull);
    subscribe("configuration.changes", &configuration_feed::on_changes);
    transport_.subscribe(
        "configuration.digest",
        [this, alive = std::weak_ptr<bool>(alive_)](const peer_address& from,
                                                    const Json::Value& params) {
            if (alive.expired())
                return;
            if (auto theirs =
                    version::read_position(params, era_field, revision_field))
                on_announced(from, *theirs);
        });
    transport_.subscribe("configuration.watcher_lost",
                         [this, alive = std::weak_ptr<bool>(alive_)](
                             const peer_address&, const Json::Value& params) {
                             if (!alive.expired())
                                 on_watcher_lost(params);
                         });
    auto own = [this, alive = std::weak_ptr<bool>(alive_)] {
        return alive.expired() ? version::position() : position();
    };
    members_.piggyback_position(
        own, [this, alive = std::weak_ptr<bool>(alive_)](
                 const peer_address& from, const version::position& theirs) {
            if (!alive.expired())
                on_announced(from, theirs);
        });
}

configuration_feed::~configuration_feed()
{
    if (watch_)
        store_.cancel(*watch_);
}

void configuration_feed::start()
{
    start_time_ = loop_.now();
    check_watch();
    run_gossip_round();
}

bool configuration_feed::isolated() const
{
    auto latest = start_time_;
    if (last_platform_reply_)
        latest = std::max(latest, *last_platform_reply_);
    if (auto peers = members_.last_message_time())
        latest = std::max(latest, *peers);
    return loop_.now() - latest > settings_.isolation_limit;
}

void configuration_feed::listen(
    std::function<void(const version::configuration_ptr&)> on_change)
{
    listeners_.push_back(std::move(on_change));
}

version::position configuration_feed::position() const
{
    return current_configuration_ ? current_configuration_->position()
                                  : version::position();
}

// Platform.

void configuration_feed::check_watch()
{
    after(watch_check_period, [this] { check_watch(); });
    for (auto it = skipped_until_.begin(); it != skipped_until_.end();)
        it = skipped(it->first) ? std::next(it) : skipped_until_.erase(it);
    update_watch();
}

void configuration_feed::update_watch()
{
    bool wanted = should_watch();
    if (wanted && !watch_) {
        watch_ = store_.watch(head_object_name, 0,
                              [this, alive = std::weak_ptr<bool>(alive_)](
                                  const get_result& result) {
                                  if (!alive.expired())
                                      on_head(result);
                              });
        SHALLOTWOOD_LOG(info) << "event=watch-platform";
    } else if (!wanted && watch_) {
        store_.cancel(*watch_);
        watch_.reset();
    }
    if (should_poll() && loop_.now() - last_poll_ >= settings_.poll_period)
        poll();
}

bool configuration_feed::should_watch() const
{
    if (!members_.joined())
        return loop_.now() - start_time_ > watch_without_join_delay;
    auto all = watch_candidates();
    auto first = all;
    first.erase(std::remove_if(
                    first.begin(), first.end(),
                    [this](const member& it) { return skipped(it.instance); }),
                first.end());
    // While the platform answers no candidate, the first ones keep trying.
    if (first.empty())
        first = all;
    first.resize(std::min(first.size(), settings_.watchers_per_domain));
    const auto& self = members_.self();
    return std::any_of(first.begin(), first.end(), [&self](const member& it) {
        return it.instance == self.instance;
    });
}

std::vector<member> configuration_feed::watch_candidates() const
{
    const auto& self = members_.self();
    return rendezvous_order(
        members_.members(), head_object_name + self.failure_domain,
        settings_.watchers_per_domain * candidates_per_watcher,
        [&self](const member& it) {
            return it.failure_domain == self.failure_domain &&
                   it.state == member_state::active;
        });
}

bool configuration_feed::skipped(const std::string& instance) const
{
    auto it = skipped_until_.find(instance);
    return it != skipped_until_.end() && it->second > loop_.now();
}

void configuration_feed::on_platform_state(bool answers)
{
    const auto& self = members_.self().instance;
    if (answers) {
        skipped_until_.erase(self);
        return;
    }
    if (!watch_ || skipped(self))
        return;
    SHALLOTWOOD_LOG(warning) << "event=platform-lost";
    skipped_until_[self] = loop_.now() + settings_.skip_time;
    Json::Value params;
    params["instance"] = self;
    for (const auto& it : watch_candidates())
        if (it.instance != self)
            transport_.send(it.peer, "configuration.watcher_lost", params);
}

void configuration_feed::on_watcher_lost(const Json::Value& params)
{
    if (!params.isObject() || !params["instance"].isString() ||
        !members_.find(params["instance"].asString()))
        return;
    skipped_until_[params["instance"].asString()] =
        loop_.now() + settings_.skip_time;
    update_watch();
}

// True for watchers. A node that has heard from no peer for half the isolation
// limit polls too, because the platform's answer may show that it is not
// isolated.
bool configuration_feed::should_poll() const
{
    if (watch_)
        return true;
    auto latest = members_.last_message_time().value_or(start_time_);
    return loop_.now() - latest > settings_.isolation_limit / 2;
}

void configuration_feed::poll()
{
    last_poll_ = loop_.now();
    store_.get(head_object_name, [this, alive = std::weak_ptr<bool>(alive_)](
                                     const get_result& result) {
        if (!alive.expired())
            on_head(result);
    });
}

void configuration_feed::on_head(const get_result& result)
{
    const auto* error = std::get_if<store_error>(&result);
    // The platform may answer although it holds no configuration yet.
    bool answers = error == nullptr || *error == store_error::not_found;
    on_platform_state(answers);
    if (answers)
        last_platform_reply_ = loop_.now();
    if (error != nullptr)
        return;
    loader_.load(std::get<stored_object>(result), current_configuration_,
                 [this, alive = std::weak_ptr<bool>(alive_)](
                     const std::optional<loaded_configuration>& newer) {
                     if (alive.expired())
                         return;
                     if (newer && newer->it)
                         adopt(*newer);
                     else
                         ++counts_.at("configuration_load_failures");
                 });
}

void configuration_feed::adopt(const loaded_configuration& newer)
{
    if (!newer.it || newer.it->position() <= position())
        return;
    install(newer.it, newer.changes);
    send_digests();
}

// Peers.

void configuration_feed::run_gossip_round()
{
    after(settings_.gossip_period, [this] { run_gossip_round(); });
    if (gossip_rounds_left_ == 0)
        return;
    bool busy = last_adoption_ &&
                previous_adoption_interval_ < settings_.busy_interval &&
                loop_.now() - *last_adoption_ < settings_.busy_interval;
    skip_gossip_round_ = busy && !skip_gossip_round_;
    if (skip_gossip_round_)
        return;
    --gossip_rounds_left_;
    send_digests();
}

void configuration_feed::send_digests()
{
    Json::Value params;
    version::write_position(params, era_field, revision_field, position());
    for (const auto& it : members_.random_members(settings_.fan_out))
        transport_.send(it.peer, "configuration.digest", params);
}

void configuration_feed::on_announced(const peer_address& from,
                                      const version::position& theirs)
{
    if (theirs <= position() || theirs < newest_announced_)
        return;
    newest_announced_ = theirs;
    announcer_ = from;
    pull();
}

// Sends at most one pull at a time, and no more often than pull_interval:
// changes that arrive faster are pulled together.
void configuration_feed::pull()
{
    if (next_pull_ || !announcer_ || newest_announced_ <= position())
        return;
    auto gap = pull_pending_ ? settings_.pull_timeout : settings_.pull_interval;
    auto elapsed = last_pull_ ? loop_.now() - *last_pull_ : gap;
    if (elapsed < gap) {
        schedule_pull(gap - elapsed);
        return;
    }
    if (pull_pending_ && ++pull_failures_ > max_pull_failures) {
        // No peer provides what was announced.
        newest_announced_ = {};
        pull_pending_ = false;
        pull_failures_ = 0;
        return;
    }
    send_pull();
    schedule_pull(settings_.pull_timeout);
}

void configuration_feed::schedule_pull(duration delay)
{
    next_pull_ =
        loop_.call_after(delay, [this, alive = std::weak_ptr<bool>(alive_)] {
            if (alive.expired())
                return;
            next_pull_.reset();
            pull();
        });
}

void configuration_feed::send_pull()
{
    auto from = *announcer_;
    if (pull_pending_) {
        // The announcer did not answer; most other nodes have the revision by
        // now.
        ++counts_.at("configuration_pull_timeouts");
        auto others = members_.random_members(1);
        if (!others.empty())
            from = others[0].peer;
    }
    Json::Value params;
    version::write_position(params, era_field, have_field, position());
    transport_.send(from, "configuration.pull", params);
    ++counts_.at("configuration_pulls");
    last_pull_ = loop_.now();
    pull_pending_ = true;
}

void configuration_feed::on_pull(const peer_address& from,
                                 const Json::Value& params)
{
    auto base = version::read_position(params, era_field, have_field);
    if (!base || !current_configuration_ || position() <= *base)
        return;
    Json::Value answer;
    version::write_position(answer, era_field, revision_field, position());
    // Changes apply to a configuration of the same era only.
    auto missing = base->era == position().era
                       ? position().revision - base->revision
                       : UINT64_MAX;
    if (missing > recent_changes_.size()) {
        answer["whole"] = codec_.write(*current_configuration_);
        transport_.send(from, "configuration.changes", answer);
        return;
    }
    version::write_position(answer, base_era_field, base_field, *base);
    std::size_t bytes = 0;
    for (auto n = recent_changes_.size() - missing; n < recent_changes_.size();
         ++n) {
        bytes += recent_changes_[n].size();
        if (bytes > max_changes_message_bytes && !answer["changes"].empty())
            break;
        answer["changes"].append(recent_changes_[n]);
    }
    transport_.send(from, "configuration.changes", answer);
}

void configuration_feed::on_changes(const peer_address& from,
                                    const Json::Value& params)
{
    auto before = position();
    if (params["whole"].isString()) {
        auto complete = codec_.read(params["whole"].asString());
        if (complete && before < complete->position())
            install(complete, {});
    } else if (version::read_position(params, base_era_field, base_field) ==
               before) {
        apply_changes(params["changes"]);
    }
    if (position() == before) {
        ++counts_.at("configuration_useless_answers");
        return;
    }
    pull_pending_ = false;
    pull_failures_ = 0;
    if (next_pull_)
        loop_.cancel(*next_pull_);
    next_pull_.reset();
    if (auto theirs = version::read_position(params, era_field, revision_field))
        on_announced(from, *theirs);
    pull();
}

void configuration_feed::apply_changes(const Json::Value& changes)
{
    if (!changes.isArray() || !current_configuration_)
        return;
    auto newer = current_configuration_;
    std::vector<std::string> applied;
    for (const auto& it : changes) {
        if (!it.isString())
            break;
        auto next = codec_.apply(*newer, it.asString());
        if (!next || next->revision != newer->revision + 1)
            break;
        newer = next;
        applied.push_back(it.asString());
    }
    if (!applied.empty())
        install(newer, applied);
}

void configuration_feed::install(const version::configuration_ptr& newer,
                                 const std::vector<std::string>& changes)
{
    auto before = position();
    if (newer->position() !=
            version::position{before.era, before.revision + changes.size()} ||
        !current_configuration_) {
        recent_changes_.clear();
        recent_changes_bytes_ = 0;
    } else {
        for (const auto& it : changes) {
            recent_changes_.push_back(it);
            recent_changes_bytes_ += it.size();
        }
    }
    while (recent_changes_.size() > max_recent_changes ||
           recent_changes_bytes_ > max_recent_changes_bytes) {
        recent_changes_bytes_ -= recent_changes_.front().size();
        recent_changes_.pop_front();
    }
    current_configuration_ = newer;
    gossip_rounds_left_ = settings_.gossip_rounds;
    previous_adoption_interval_ = last_adoption_ ? loop_.now() - *last_adoption_
                                                 : settings_.busy_interval;
    last_adoption_ = loop_.now();
    ++counts_.at("configuration_adopted");
    SHALLOTWOOD_LOG(info) << "event=configuration-adopted"
                          << field("era", newer->era)
                          << field("revision", newer->revision)
                          << field("before_era", before.era)
                          << field("before", before.revision);
    // What was confirmed after the copy was made is no longer in force.
    if (before.era < newer->era && newer->revision <= before.revision)
        SHALLOTWOOD_LOG(warning) << "event=configuration-changes-undone"
                                 << field("lost_after", newer->revision - 1)
                                 << field("last_lost", before.revision);
    for (const auto& it : listeners_)
        it(newer);
}

void configuration_feed::after(duration delay, std::function<void()> task)
{
    loop_.call_after(
        delay, [task = std::move(task), alive = std::weak_ptr<bool>(alive_)] {
            if (!alive.expired())
                task();
        });
}

} // namespace shallotwood::process::configuration
