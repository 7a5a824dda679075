#include "process/sidecar/token_exchange.hpp"

#include "process/json_text.hpp"
#include "process/sidecar/peer_codec.hpp"

#include <algorithm>
#include <utility>

namespace shallotwood::process::sidecar
{

namespace
{

// How long to wait for the owner's reply; requests wait for tokens meanwhile.
constexpr duration token_timeout = std::chrono::milliseconds(150);

std::optional<rate::grant> grant_in(const Json::Value& reply)
{
    if (!reply.isObject() || !reply["tokens"].isInt())
        return std::nullopt;
    rate::grant it;
    it.tokens = reply["tokens"].asInt();
    if (reply["retry_after_us"].isInt64())
        it.retry_after = duration(reply["retry_after_us"].asInt64());
    return it;
}

} // namespace

token_exchange::token_exchange(const fleet::fleet_view& fleet,
                               peer_channel& peers, indirect_probes& probes,
                               rate::rate_lookup limits,
                               rate::token_bucket_table& token_buckets)
    : fleet_(fleet), peers_(peers), probes_(probes), limits_(std::move(limits)),
      token_buckets_(token_buckets)
{
}

const token_exchange::ownership&
token_exchange::owner_of(const std::string& workspace)
{
    if (fleet_revision_ != fleet_.revision() ||
        liveness_revision_ != peers_.liveness_revision()) {
        owners_.clear();
        fleet_revision_ = fleet_.revision();
        liveness_revision_ = peers_.liveness_revision();
    }
    auto [found, inserted] = owners_.try_emplace(workspace);
    auto& it = found->second;
    if (!inserted)
        return it;
    std::uint64_t most = 0;
    std::vector<std::pair<std::uint64_t, std::string>> dead;
    for (const auto* instance : fleet_.all()) {
        if (instance->leaving)
            continue;
        auto name = instance->name();
        auto weight = fleet::rendezvous_weight(workspace, name);
        if (peers_.presumed_dead(name)) {
            dead.emplace_back(weight, name);
        } else if (it.owner.empty() || weight > most) {
            it.owner = name;
            most = weight;
        }
    }
    for (auto& [weight, name] : dead)
        if (weight > most)
            it.dead.push_back(std::move(name));
    return it;
}

void token_exchange::request_tokens(
    const std::string& workspace, int wanted,
    std::function<void(std::optional<rate::grant>)> reply)
{
    const auto& owner = owner_of(workspace).owner;
    Json::Value message;
    message["workspace"] = workspace;
    message["wanted"] = wanted;
    if (owner.empty() || owner == fleet_.self().name()) {
        reply(grant_in(handle_message(message)));
        return;
    }
    peers_.call(
        fleet_.find(owner)->peer, peer_path::tokens, write_json(message),
        token_timeout,
        [reply = std::move(reply)](const std::optional<std::string>& text) {
            auto json = text ? parse_json(*text) : std::nullopt;
            reply(json ? grant_in(*json) : std::nullopt);
        });
}

void token_exchange::report_spent(const rate::spent_tokens& it)
{
    if (it.tokens <= 0)
        return;
    const auto& owner = owner_of(it.workspace).owner;
    Json::Value message;
    message["workspace"] = it.workspace;
    message["spent"] = it.tokens;
    if (owner.empty() || owner == fleet_.self().name())
        handle_message(message);
    else
        peers_.call(fleet_.find(owner)->peer, peer_path::tokens,
                    write_json(message), token_timeout,
                    [](const std::optional<std::string>&) {});
}

double token_exchange::fallback_share() const
{
    return 1.0 / static_cast<double>(fleet_.size());
}

void token_exchange::owners_changed()
{
    auto closed = token_buckets_.owners_changed(
        [this](const std::string& workspace) { return owns(workspace); });
    for (const auto& it : closed)
        report_spent(it);
}

bool token_exchange::owns(const std::string& workspace)
{
    auto it = owner_of(workspace);
    return it.owner == fleet_.self().name() &&
           std::all_of(it.dead.begin(), it.dead.end(),
                       [this](const std::string& name) {
                           return probes_.confirmed_dead(name);
                       });
}

void token_exchange::check_owner(const std::string& workspace)
{
    const auto& owner = owner_of(workspace).owner;
    const auto* at = fleet_.find(owner);
    if (at == nullptr || owner == fleet_.self().name() ||
        !checked_.insert(owner).second)
        return;
    peers_.call(at->peer, peer_path::tokens, "{}", token_timeout,
                [this, owner](const std::optional<std::string>&) {
                    checked_.erase(owner);
                });
}

rate::grant_terms token_exchange::terms_for(const std::string& workspace)
{
    auto reserved = static_cast<double>(peers_.unreachable()) /
                    static_cast<double>(fleet_.size());
    return {reserved, !owner_of(workspace).dead.empty()};
}

Json::Value token_exchange::handle_message(const Json::Value& message)
{
    Json::Value reply(Json::objectValue);
    const auto& workspace = message["workspace"];
    if (!workspace.isString())
        return reply;
    auto name = workspace.asString();
    auto limit = limits_(name);
    if (!limit)
        return reply;
    if (!owns(name)) {
        check_owner(name);
        return reply;
    }
    const auto& spent = message["spent"];
    if (spent.isInt() && spent.asInt() > 0)
        token_buckets_.charge({name, spent.asInt()}, *limit, terms_for(name));
    const auto& wanted = message["wanted"];
    if (!wanted.isInt())
        return reply;
    auto given =
        token_buckets_.take(name, *limit, terms_for(name), wanted.asInt());
    reply["tokens"] = given.tokens;
    reply["retry_after_us"] = Json::Int64(given.retry_after.count());
    return reply;
}

} // namespace shallotwood::process::sidecar
