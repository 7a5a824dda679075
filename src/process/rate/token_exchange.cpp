#include "process/rate/token_exchange.hpp"

#include "process/address.hpp"
#include "process/message_fields.hpp"

#include <algorithm>

namespace shallotwood::process::rate
{

namespace
{

constexpr const char* request_method = "rate.ask";
constexpr const char* response_method = "rate.grant";
constexpr const char* spent_method = "rate.spent";

// Limits how long a caller's request waits for its token.
constexpr duration response_timeout = std::chrono::milliseconds(150);

// Messages may be lost; a response from another failure domain takes 2 ms.
constexpr duration resend_interval = std::chrono::milliseconds(40);

constexpr std::size_t max_name_bytes = 256;
constexpr std::uint64_t max_wanted = 1'000'000;

} // namespace

token_exchange::token_exchange(event_loop& loop, peer_transport& transport,
                               const member_view& members,
                               token_bucket_table& buckets, rate_lookup limits)
    : loop_(loop), transport_(transport), members_(members), buckets_(buckets),
      limits_(std::move(limits))
{
    auto alive = std::weak_ptr<bool>(alive_);
    transport_.subscribe(
        request_method,
        [this, alive](const peer_address& from, const Json::Value& params) {
            if (!alive.expired())
                on_request(from, params);
        });
    transport_.subscribe(response_method, [this, alive](const peer_address&,
                                                        const Json::Value& it) {
        if (!alive.expired())
            on_response(it);
    });
    transport_.subscribe(spent_method, [this, alive](const peer_address&,
                                                     const Json::Value& it) {
        if (!alive.expired())
            on_spent(it);
    });
}

token_exchange::~token_exchange()
{
    for (const auto& [id, it] : pending_requests_) {
        loop_.cancel(it.resend);
        loop_.cancel(it.timeout);
    }
}

double token_exchange::fallback_share() const
{
    return 1.0 / static_cast<double>(
                     std::max<std::size_t>(members_.members().size(), 1));
}

void token_exchange::request_tokens(
    const std::string& workspace, int wanted,
    std::function<void(std::optional<grant>)> reply)
{
    auto owner = other_owner(workspace);
    if (!owner) {
        reply(take(workspace, wanted));
        return;
    }
    if (pending_requests_.size() >= max_pending_requests) {
        reply(std::nullopt);
        return;
    }
    auto id = ++last_request_id_;
    auto& it = pending_requests_[id];
    it.to = owner->peer;
    it.params["id"] = Json::UInt64(id);
    it.params["workspace"] = workspace;
    it.params["wanted"] = wanted;
    it.reply = std::move(reply);
    it.timeout = loop_.call_after(response_timeout,
                                  [this, id] { end(id, std::nullopt); });
    send(id);
}

void token_exchange::send(std::uint64_t id)
{
    auto& it = pending_requests_.at(id);
    transport_.send(it.to, request_method, it.params);
    it.resend = loop_.call_after(resend_interval, [this, id] { send(id); });
}

void token_exchange::end(std::uint64_t id, const std::optional<grant>& given)
{
    auto it = pending_requests_.extract(id);
    if (it.empty())
        return;
    loop_.cancel(it.mapped().resend);
    loop_.cancel(it.mapped().timeout);
    it.mapped().reply(given);
}

std::optional<member>
token_exchange::other_owner(const std::string& workspace) const
{
    auto owner = rendezvous_order(
        members_.members(), "rate/" + workspace, 1,
        [](const member& it) { return it.state == member_state::active; });
    if (owner.empty() || owner[0].instance == members_.self().instance)
        return std::nullopt;
    return owner[0];
}

void token_exchange::owners_changed()
{
    auto closed = buckets_.owners_changed([this](const std::string& workspace) {
        return !other_owner(workspace);
    });
    for (const auto& it : closed)
        report_spent(it);
}

void token_exchange::report_spent(const spent_tokens& it)
{
    Json::Value params;
    params["workspace"] = it.workspace;
    params["tokens"] = it.tokens;
    if (auto owner = other_owner(it.workspace))
        transport_.send(owner->peer, spent_method, params);
    else
        on_spent(params);
}

void token_exchange::on_spent(const Json::Value& params)
{
    message_fields in(params);
    auto workspace = in.text("workspace", max_name_bytes);
    auto tokens = static_cast<int>(in.number("tokens", max_wanted));
    if (!in.valid() || other_owner(workspace))
        return;
    if (auto limit = limits_(workspace))
        buckets_.charge({workspace, tokens}, *limit, reserved());
}

double token_exchange::reserved() const
{
    const auto& all = members_.members();
    auto suspects = std::count_if(all.begin(), all.end(), [](const member& it) {
        return it.state == member_state::suspect;
    });
    return static_cast<double>(suspects) /
           static_cast<double>(std::max<std::size_t>(all.size(), 1));
}

std::optional<grant> token_exchange::take(const std::string& workspace,
                                          int wanted)
{
    auto limit = limits_(workspace);
    if (!limit || other_owner(workspace))
        return std::nullopt;
    return buckets_.take(workspace, *limit, reserved(), wanted);
}

void token_exchange::on_request(const peer_address& from,
                                const Json::Value& params)
{
    message_fields in(params);
    auto id = in.number("id");
    auto workspace = in.text("workspace", max_name_bytes);
    auto wanted = static_cast<int>(in.number("wanted", max_wanted));
    if (!in.valid())
        return;
    if (cached_responses_.size() >= max_cached_responses)
        cached_responses_.clear();
    auto& last = cached_responses_[to_text(from) + '/' + workspace];
    bool again = last["id"].isUInt64() && last["id"].asUInt64() == id;
    if (!again) {
        auto given = take(workspace, wanted);
        if (!given) {
            Json::Value refusal;
            refusal["id"] = Json::UInt64(id);
            refusal["not_owner"] = true;
            transport_.send(from, response_method, refusal);
            return;
        }
        last = Json::Value();
        last["id"] = Json::UInt64(id);
        last["tokens"] = given->tokens;
        last["retry_after_us"] = Json::UInt64(given->retry_after.count());
    }
    transport_.send(from, response_method, last);
}

void token_exchange::on_response(const Json::Value& params)
{
    message_fields in(params);
    auto id = in.number("id");
    if (in.valid() && params["not_owner"].isBool()) {
        end(id, std::nullopt);
        return;
    }
    grant given;
    given.tokens = static_cast<int>(in.number("tokens", max_wanted));
    given.retry_after =
        duration(static_cast<duration::rep>(in.number("retry_after_us")));
    if (in.valid())
        end(id, given);
}

} // namespace shallotwood::process::rate
