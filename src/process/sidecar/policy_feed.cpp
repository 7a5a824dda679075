#include "process/sidecar/policy_feed.hpp"

#include "process/log.hpp"
#include "process/telemetry/decision_log.hpp"

namespace shallotwood::process::sidecar
{

namespace
{

std::string_view name_of(store_error why)
{
    switch (why) {
    case store_error::not_found:
        return "not-found";
    case store_error::conflict:
        return "conflict";
    case store_error::rate_limited:
        return "rate-limited";
    case store_error::unavailable:
        return "unavailable";
    case store_error::unknown_outcome:
        return "no-answer";
    }
    return "unknown";
}

} // namespace

policy_feed::policy_feed(object_store& store, const protocol_adapter& adapter,
                         counters& counts, std::string object_name, puller pull,
                         listener adopted)
    : store_(store), adapter_(adapter), counts_(counts),
      object_name_(std::move(object_name)), pull_(std::move(pull)),
      adopted_(std::move(adopted))
{
}

policy_feed::~policy_feed()
{
    set_watching(false);
}

void policy_feed::set_watching(bool watching)
{
    if (watching == watch_.has_value())
        return;
    if (!watching) {
        store_.cancel(*watch_);
        watch_.reset();
        store_lost_ = false;
        store_answers_ = false;
        return;
    }
    // From version 0, so that the first answer is reported though nothing has
    // changed.
    watch_ = store_.watch(
        object_name_, 0, [this](const get_result& result) { changed(result); });
}

void policy_feed::set_store_lost(bool lost)
{
    if (lost == store_lost_)
        return;
    store_lost_ = lost;
    if (store_state_)
        store_state_(lost);
}

void policy_feed::changed(const get_result& result)
{
    const auto* why = std::get_if<store_error>(&result);
    store_answers_ = why == nullptr || *why == store_error::not_found;
    if (why != nullptr) {
        if (store_answers_ || store_lost_)
            return;
        if (telemetry::allow(telemetry::decision::state))
            SHALLOTWOOD_LOG(warning)
                << "event=store_lost" << field("error", name_of(*why));
        set_store_lost(true);
        return;
    }
    if (store_lost_ && telemetry::allow(telemetry::decision::state))
        SHALLOTWOOD_LOG(info) << "event=store_regained";
    set_store_lost(false);
    adopt(std::get<stored_object>(result).value, origin::store, "store");
}

void policy_feed::handle_peer_revision(const std::string& name,
                                       std::uint64_t revision)
{
    if (revision <= this->revision() || pulling_)
        return;
    auto delay = delay_ ? delay_(name) : std::nullopt;
    if (!delay || *delay <= duration(0)) {
        pull(name, delay ? origin::distant_node : origin::node);
        return;
    }
    if (waiting_)
        return;
    waiting_ = true;
    timers_->call_after(*delay, guard_.wrap([this, name, revision] {
        waiting_ = false;
        if (revision > this->revision() && !pulling_)
            pull(name, origin::distant_node);
    }));
}

void policy_feed::set_delays(scheduler& timers, delay_rule delay)
{
    timers_ = &timers;
    delay_ = std::move(delay);
}

void policy_feed::pull(const std::string& name, origin from)
{
    pulling_ = true;
    pull_(name, [this, name, from](const std::optional<std::string>& text) {
        pulling_ = false;
        if (text && !text->empty())
            adopt(*text, from, name);
    });
}

bool policy_feed::adopt(const std::string& text, origin from,
                        std::string_view name)
{
    if (current_ && text == text_)
        return false;
    auto parsed = adapter_.parse_policy(text);
    if (const auto* why = std::get_if<parse_failure>(&parsed)) {
        ++counts_.at("policies_unreadable");
        if (telemetry::allow(telemetry::decision::state))
            SHALLOTWOOD_LOG(error)
                << "event=policy_unreadable" << field("source", name)
                << field("error", why->message);
        return false;
    }
    auto policy = std::get<version::policy_ptr>(std::move(parsed));
    bool newer = policy->revision() > revision();
    if (!newer)
        return false;
    if (telemetry::allow(telemetry::decision::state))
        SHALLOTWOOD_LOG(info)
            << "event=policy_adopted" << field("revision", policy->revision())
            << field("before", revision()) << field("source", name)
            << field("routes", policy->routes().size())
            << field("workspaces", policy->workspaces().size());
    current_ = std::move(policy);
    text_ = text;
    adopted_(*current_, from);
    return true;
}

} // namespace shallotwood::process::sidecar
