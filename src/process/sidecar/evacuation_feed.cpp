#include "process/sidecar/evacuation_feed.hpp"

#include "process/log.hpp"
#include "process/telemetry/decision_log.hpp"

#include <algorithm>
#include <iterator>

namespace shallotwood::process::sidecar
{

namespace
{

using telemetry::decision;

// A pause of this part of the limit may have hidden an evacuation for so long
// that requests must no longer reach the domain.
constexpr int pause_divisor = 2;
// How finely a pause is measured.
constexpr int ticks_per_pause = 10;

// Names of domains in a log line; the others are counted.
constexpr std::size_t max_logged_domains = 20;

std::string list_of(const std::set<std::string>& names)
{
    std::string text;
    std::size_t n = 0;
    for (const auto& it : names) {
        if (n == max_logged_domains) {
            text += ",...";
            break;
        }
        text += (n++ == 0 ? "" : ",") + it;
    }
    return text;
}

} // namespace

evacuation_feed::evacuation_feed(const dependencies& with, std::string prefix,
                                 duration limit, listener changed,
                                 std::function<void()> ask)
    : dependencies_(with), prefix_(std::move(prefix)),
      pause_limit_(limit / pause_divisor), changed_(std::move(changed)),
      ask_(std::move(ask)), evacuations_([this](const auto& change) {
          log_change(change);
          changed_(change, from_);
      }),
      last_tick_(with.loop.now())
{
    run_tick();
}

evacuation_feed::~evacuation_feed()
{
    set_watching(false);
    dependencies_.loop.cancel(wait_timer_);
    dependencies_.loop.cancel(tick_timer_);
}

bool evacuation_feed::was_paused() const
{
    return dependencies_.loop.now() - last_tick_ > pause_limit_;
}

bool evacuation_feed::is_awaited() const
{
    return awaited_ || was_paused();
}

// A process that was paused may handle requests before its timers run, so
// is_awaited() looks at the time as well.
void evacuation_feed::run_tick()
{
    if (was_paused() && !awaited_) {
        if (telemetry::allow(decision::state))
            SHALLOTWOOD_LOG(warning)
                << "event=process_paused"
                << field("pause_us",
                         (dependencies_.loop.now() - last_tick_).count());
        awaited_ = after_pause_ = read_failed_ = true;
        last_tick_ = dependencies_.loop.now();
        begin_wait();
    }
    last_tick_ = dependencies_.loop.now();
    tick_timer_ = dependencies_.loop.call_after(pause_limit_ / ticks_per_pause,
                                                [this] { run_tick(); });
}

void evacuation_feed::confirm()
{
    if (!current())
        return;
    awaited_ = after_pause_ = false;
    dependencies_.loop.cancel(wait_timer_);
}

void evacuation_feed::set_watching(bool watching)
{
    if (watching == watch_.has_value())
        return;
    if (!watching) {
        dependencies_.store.cancel(*watch_);
        watch_.reset();
        return;
    }
    watch_ = dependencies_.store.watch_all(
        prefix_, [this](const names_result& result) { handle_names(result); });
}

void evacuation_feed::handle_first_policy()
{
    if (awaited_)
        begin_wait();
}

void evacuation_feed::begin_wait()
{
    // Without the pause that follows an error.
    if (watch_ && read_failed_) {
        set_watching(false);
        set_watching(true);
    }
    dependencies_.loop.cancel(wait_timer_);
    wait_timer_ = dependencies_.loop.call_after(wait_limit, [this] {
        awaited_ = after_pause_ = false;
        if (telemetry::allow(decision::state))
            SHALLOTWOOD_LOG(warning) << "event=evacuations_unknown"
                                     << field("waited_us", wait_limit.count());
    });
    ask_();
}

void evacuation_feed::handle_names(const names_result& result)
{
    // Errors are logged for the watch of the policy, which runs beside it.
    const auto* all = std::get_if<stored_names>(&result);
    read_failed_ = all == nullptr;
    if (all == nullptr)
        return;
    std::set<std::string> domains;
    for (const auto& name : all->names) {
        if (name.size() <= fleet::max_domain_bytes &&
            domains.size() < fleet::max_evacuated_domains) {
            domains.insert(name);
            continue;
        }
        ++dependencies_.counts.at("evacuations_unreadable");
        if (telemetry::allow(decision::state))
            SHALLOTWOOD_LOG(error)
                << "event=evacuation_unreadable" << field("bytes", name.size())
                << field("objects", all->names.size());
    }
    learn({{all->era, all->revision}, std::move(domains)}, origin::store,
          "store");
    confirm();
}

void evacuation_feed::handle_peer_set(const std::string& name,
                                      const Json::Value& set)
{
    if (set.isNull())
        return;
    auto it = fleet::evacuation_set_from_json(set);
    if (!it) {
        ++dependencies_.counts.at("evacuations_unreadable");
        return;
    }
    learn(*it, origin::node, name);
    if (!after_pause_ && !was_paused())
        confirm();
}

void evacuation_feed::learn(const fleet::evacuation_set& it, origin from,
                            std::string_view name)
{
    from_ = from;
    source_ = name;
    evacuations_.learn(it);
    source_ = {};
}

void evacuation_feed::log_change(const fleet::evacuation_change& change) const
{
    const auto& now = *evacuations_.current();
    if (telemetry::allow(decision::state))
        SHALLOTWOOD_LOG(info) << "event=evacuations_changed"
                              << field("domains", list_of(now.domains()))
                              << field("evacuated", list_of(change.evacuated))
                              << field("restored", list_of(change.restored))
                              << field("era", now.position().era)
                              << field("rev", now.position().revision)
                              << field("source", source_);
}

void evacuation_feed::check_domains()
{
    if (!current() || (checked_position_ == current()->position() &&
                       checked_membership_ == dependencies_.fleet.membership()))
        return;
    checked_position_ = current()->position();
    checked_membership_ = dependencies_.fleet.membership();
    const auto& domains = current()->domains();
    std::set<std::string> known;
    for (const auto* it : dependencies_.fleet.all())
        known.insert(it->failure_domain);
    std::set<std::string> unknown;
    std::set_difference(domains.begin(), domains.end(), known.begin(),
                        known.end(), std::inserter(unknown, unknown.end()));
    for (const auto& it : unknown)
        if (unknown_.count(it) == 0 && telemetry::allow(decision::state))
            SHALLOTWOOD_LOG(warning)
                << "event=evacuation_unknown_domain" << field("domain", it);
    unknown_ = std::move(unknown);
    bool all = std::includes(domains.begin(), domains.end(), known.begin(),
                             known.end());
    if (all && !all_evacuated_ && telemetry::allow(decision::state))
        SHALLOTWOOD_LOG(error)
            << "event=all_domains_evacuated" << field("domains", known.size());
    all_evacuated_ = all;
}

} // namespace shallotwood::process::sidecar
