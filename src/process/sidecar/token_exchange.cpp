#include "process/sidecar/token_exchange.hpp"

#include "process/json_text.hpp"
#include "process/sidecar/peer_codec.hpp"

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
                               peer_channel& peers, rate::rate_lookup limits,
                               rate::token_bucket_table& token_buckets)
    : fleet_(fleet), peers_(peers), limits_(std::move(limits)),
      token_buckets_(token_buckets)
{
}

const std::string& token_exchange::owner_of(const std::string& workspace)
{
    if (fleet_revision_ != fleet_.revision() ||
        peers_revision_ != peers_.revision()) {
        owners_.clear();
        fleet_revision_ = fleet_.revision();
        peers_revision_ = peers_.revision();
    }
    auto [found, inserted] = owners_.try_emplace(workspace);
    auto& owner = found->second;
    if (!inserted)
        return owner;
    std::uint64_t most = 0;
    for (const auto* it : fleet_.all()) {
        auto name = it->name();
        if (it->leaving || !peers_.reachable(name))
            continue;
        auto weight = fleet::rendezvous_weight(workspace, name);
        if (owner.empty() || weight > most) {
            owner = name;
            most = weight;
        }
    }
    return owner;
}

void token_exchange::request_tokens(
    const std::string& workspace, int wanted,
    std::function<void(std::optional<rate::grant>)> reply)
{
    const auto& owner = owner_of(workspace);
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

double token_exchange::fallback_share() const
{
    return 1.0 / static_cast<double>(fleet_.size());
}

Json::Value token_exchange::handle_message(const Json::Value& message)
{
    Json::Value reply(Json::objectValue);
    const auto& name = message["workspace"];
    const auto& wanted = message["wanted"];
    if (!name.isString() || !wanted.isInt())
        return reply;
    auto limit = limits_(name.asString());
    if (!limit)
        return reply;
    double reserved = static_cast<double>(peers_.unreachable()) /
                      static_cast<double>(fleet_.size());
    auto given =
        token_buckets_.take(name.asString(), *limit, reserved, wanted.asInt());
    reply["tokens"] = given.tokens;
    reply["retry_after_us"] = Json::Int64(given.retry_after.count());
    return reply;
}

} // namespace shallotwood::process::sidecar
