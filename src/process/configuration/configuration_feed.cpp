#include "process/configuration/configuration_feed.hpp"

#include "process/log.hpp"

#include <algorithm>

namespace shallotwood::process::configuration
{

namespace
{

constexpr duration watch_check_period = std::chrono::seconds(1);
constexpr int max_pull_failures = 20;
// A node that can't join looks at the platform itself after this long.
constexpr duration join_patience = std::chrono::seconds(10);

} // namespace

configuration_feed::configuration_feed(
    event_loop& loop, peer_transport& transport, object_store& store,
    membership& members, const configuration_codec& codec,
    configuration_loader& loader, counters& counts,
    const configuration_feed_settings& settings)
    : loop_(loop), transport_(transport), store_(store), members_(members),
      codec_(codec), loader_(loader), counts_(counts), settings_(settings),
      started_(loop.now())
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
            if (!alive.expired() && params.isObject() && params["r"].isUInt64())
                heard(from, params["r"].asUInt64());
        });
    auto own = [this, alive = std::weak_ptr<bool>(alive_)] {
        return alive.expired() ? 0 : revision();
    };
    members_.piggyback_revision(
        own, [this, alive = std::weak_ptr<bool>(alive_)](
                 const peer_address& from, std::uint64_t theirs) {
            if (!alive.expired())
                heard(from, theirs);
        });
}

configuration_feed::~configuration_feed()
{
    if (watch_)
        store_.cancel(*watch_);
}

void configuration_feed::start()
{
    started_ = loop_.now();
    tick_watch();
    tick_gossip();
}

bool configuration_feed::isolated() const
{
    auto latest = started_;
    if (platform_heard_)
        latest = std::max(latest, *platform_heard_);
    if (auto peers = members_.last_message_time())
        latest = std::max(latest, *peers);
    return loop_.now() - latest > settings_.isolation_limit;
}

void configuration_feed::listen(
    std::function<void(const version::configuration_ptr&)> on_change)
{
    listeners_.push_back(std::move(on_change));
}

std::uint64_t configuration_feed::revision() const
{
    return current_configuration_ ? current_configuration_->revision : 0;
}

// Platform.

void configuration_feed::tick_watch()
{
    after(watch_check_period, [this] { tick_watch(); });
    bool wanted = should_watch();
    if (wanted && !watch_) {
        watch_ = store_.watch(head_name, 0,
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
    if (should_poll() && loop_.now() - polled_ >= settings_.poll_period)
        poll();
}

bool configuration_feed::should_watch() const
{
    if (!members_.joined())
        return loop_.now() - started_ > join_patience;
    const auto& self = members_.self();
    auto first = rendezvous_order(
        members_.members(), head_name + self.failure_domain,
        settings_.watchers_per_domain, [&self](const member& it) {
            return it.failure_domain == self.failure_domain &&
                   it.state == member_state::active;
        });
    return std::any_of(first.begin(), first.end(), [&self](const member& it) {
        return it.instance == self.instance;
    });
}

// Beside the watchers, a node that no peer has reached for half the limit asks
// the platform itself before it counts as isolated.
bool configuration_feed::should_poll() const
{
    if (watch_)
        return true;
    auto latest = members_.last_message_time().value_or(started_);
    return loop_.now() - latest > settings_.isolation_limit / 2;
}

void configuration_feed::poll()
{
    polled_ = loop_.now();
    store_.get(head_name, [this, alive = std::weak_ptr<bool>(alive_)](
                              const get_result& result) {
        if (!alive.expired())
            on_head(result);
    });
}

void configuration_feed::on_head(const get_result& result)
{
    if (const auto* error = std::get_if<store_error>(&result)) {
        // An empty platform answers as well as a full one.
        if (*error == store_error::not_found)
            platform_heard_ = loop_.now();
        return;
    }
    platform_heard_ = loop_.now();
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
    if (!newer.it || newer.it->revision <= revision())
        return;
    set(newer.it, newer.changes);
    push();
}

// Peers.

void configuration_feed::tick_gossip()
{
    after(settings_.gossip_period, [this] { tick_gossip(); });
    if (rounds_left_ == 0)
        return;
    bool busy = adopted_ && adoption_gap_ < settings_.busy_interval &&
                loop_.now() - *adopted_ < settings_.busy_interval;
    skip_round_ = busy && !skip_round_;
    if (skip_round_)
        return;
    --rounds_left_;
    push();
}

void configuration_feed::push()
{
    Json::Value params;
    params["r"] = Json::UInt64(revision());
    for (const auto& it : members_.random_members(settings_.fan_out))
        transport_.send(it.peer, "configuration.digest", params);
}

void configuration_feed::heard(const peer_address& from,
                               std::uint64_t their_revision)
{
    if (their_revision <= revision() || their_revision < highest_heard_)
        return;
    highest_heard_ = their_revision;
    teller_ = from;
    pull();
}

// One pull at a time, and no more often than the interval: changes that come
// faster are pulled together.
void configuration_feed::pull()
{
    if (next_pull_ || !teller_ || highest_heard_ <= revision())
        return;
    auto gap = pull_pending_ ? settings_.pull_timeout : settings_.pull_interval;
    auto elapsed = pulled_ ? loop_.now() - *pulled_ : gap;
    if (elapsed < gap) {
        pull_after(gap - elapsed);
        return;
    }
    if (pull_pending_ && ++pull_failures_ > max_pull_failures) {
        // Nobody has what was announced.
        highest_heard_ = 0;
        pull_pending_ = false;
        pull_failures_ = 0;
        return;
    }
    send_pull();
    pull_after(settings_.pull_timeout);
}

void configuration_feed::pull_after(duration delay)
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
    auto from = *teller_;
    if (pull_pending_) {
        // The teller did not answer; most others know the revision by now.
        ++counts_.at("configuration_pull_timeouts");
        auto others = members_.random_members(1);
        if (!others.empty())
            from = others[0].peer;
    }
    Json::Value params;
    params["have"] = Json::UInt64(revision());
    transport_.send(from, "configuration.pull", params);
    ++counts_.at("configuration_pulls");
    pulled_ = loop_.now();
    pull_pending_ = true;
}

void configuration_feed::on_pull(const peer_address& from,
                                 const Json::Value& params)
{
    if (!params["have"].isUInt64() || !current_configuration_)
        return;
    auto have = params["have"].asUInt64();
    if (have >= revision())
        return;
    auto missing = revision() - have;
    Json::Value answer;
    answer["r"] = Json::UInt64(revision());
    if (missing > history_.size()) {
        answer["whole"] = codec_.write(*current_configuration_);
        transport_.send(from, "configuration.changes", answer);
        return;
    }
    answer["base"] = Json::UInt64(have);
    std::size_t bytes = 0;
    for (auto n = history_.size() - missing; n < history_.size(); ++n) {
        bytes += history_[n].size();
        if (bytes > max_changes_bytes && !answer["changes"].empty())
            break;
        answer["changes"].append(history_[n]);
    }
    transport_.send(from, "configuration.changes", answer);
}

void configuration_feed::on_changes(const peer_address& from,
                                    const Json::Value& params)
{
    auto before = revision();
    if (params["whole"].isString()) {
        auto whole = codec_.read(params["whole"].asString());
        if (whole && whole->revision > revision())
            set(whole, {});
    } else if (params["base"].isUInt64() &&
               params["base"].asUInt64() == revision()) {
        take_changes(params["changes"]);
    }
    if (revision() == before) {
        ++counts_.at("configuration_useless_answers");
        return;
    }
    pull_pending_ = false;
    pull_failures_ = 0;
    if (next_pull_)
        loop_.cancel(*next_pull_);
    next_pull_.reset();
    if (params["r"].isUInt64())
        heard(from, params["r"].asUInt64());
    pull();
}

void configuration_feed::take_changes(const Json::Value& changes)
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
        set(newer, applied);
}

void configuration_feed::set(const version::configuration_ptr& newer,
                             const std::vector<std::string>& changes)
{
    if (newer->revision != revision() + changes.size() ||
        !current_configuration_) {
        history_.clear();
        history_bytes_ = 0;
    } else {
        for (const auto& it : changes) {
            history_.push_back(it);
            history_bytes_ += it.size();
        }
    }
    while (history_.size() > max_history_changes ||
           history_bytes_ > max_history_bytes) {
        history_bytes_ -= history_.front().size();
        history_.pop_front();
    }
    current_configuration_ = newer;
    rounds_left_ = settings_.rounds;
    adoption_gap_ =
        adopted_ ? loop_.now() - *adopted_ : settings_.busy_interval;
    adopted_ = loop_.now();
    ++counts_.at("configuration_adopted");
    SHALLOTWOOD_LOG(info) << "event=configuration-adopted"
                          << field("revision", newer->revision);
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
