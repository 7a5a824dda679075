#include "process/node_core.hpp"

#include "process/log.hpp"

namespace shallotwood::process
{

node_core::node_core(
    event_loop& loop, peer_transport& transport, object_store& store,
    counters& counts, const node_core_settings& settings, const member& self,
    const std::string& boot_id, std::uint64_t seed,
    std::function<bool(const http::backend_announcement&)> refuses_connections)
    : loop_(loop), boot_id_(boot_id), settings_(settings), random_(seed),
      members_(loop, transport, store, counts, settings.members, self,
               random_.below(UINT64_MAX)),
      loader_(store), feed_(loop, transport, store, members_, codec_, loader_,
                            counts, settings.feed),
      token_buckets_(loop, false),
      tokens_(loop, transport, members_, token_buckets_,
              [this](const std::string& workspace) {
                  return rate_limit_of(workspace);
              }),
      rates_(loop, tokens_, counts),
      records_(loop, store, counts, boot_id, settings.wall, settings.records),
      attempts_(loop, transport, counts, settings.attempts,
                [this] { return members_.first_incarnation(); }),
      suspects_(loop, transport, members_, counts, settings.suspects),
      shed_thresholds_(loop), demand_(loop),
      balancer_(loop, random_, {self.failure_domain}),
      entry_({loop, *this, rates_, records_, shed_thresholds_, demand_, random_,
              counts, settings.retry_allowance}),
      routing_({loop, *this, members_, balancer_, calls_, shed_thresholds_,
                retries_, attempts_, counts}),
      execution_({loop, calls_, attempts_, suspects_, counts, settings.queue,
                  std::move(refuses_connections),
                  [this] { server_.connection_refused(); }}),
      server_(loop, {[this](const http::backend_announcement& it) {
                         server_present(it);
                     },
                     [this](bool lost) { server_absent(lost); }})
{
}

node_core::~node_core() = default;

void node_core::start(std::uint16_t http_port)
{
    members_.set_http_port(http_port);
    feed_.listen([this](const version::configuration_ptr& current) {
        SHALLOTWOOD_LOG(info)
            << "event=configuration" << field("revision", current->revision);
        routing_.reassign_all();
    });
    members_.listen([this](const member&) { tokens_.owners_changed(); });
    members_.start();
    feed_.start();
}

version::configuration_ptr node_core::configuration() const
{
    return feed_.current_configuration();
}

bool node_core::isolated() const
{
    return feed_.isolated();
}

std::optional<rate::rate_limit>
node_core::rate_limit_of(const std::string& workspace) const
{
    const auto& current = feed_.current_configuration();
    if (!current)
        return std::nullopt;
    auto it = current->workspaces.find(workspace);
    if (it == current->workspaces.end())
        return std::nullopt;
    return rate::rate_limit{it->second.rate, it->second.burst};
}

void node_core::server_present(const http::backend_announcement& it)
{
    if (draining_)
        return;
    execution_.server_present(it);
    members_.announce(it.service, it.slots);
}

void node_core::server_absent(bool lost)
{
    execution_.server_absent(lost);
    members_.leave();
}

void node_core::drain(std::function<void()> done)
{
    draining_ = true;
    draining_since_ = loop_.now();
    on_drained_ = std::move(done);
    members_.leave();
    loop_.call_after(settings_.leave_grace_period,
                     [this] { execution_.drain([this] { finish_drain(); }); });
}

// Calls that start in the first half of the drain limit have more time than a
// usual call takes.
bool node_core::ends_before(duration remaining) const
{
    auto elapsed = loop_.now() - draining_since_;
    return draining_ && elapsed >= settings_.drain_limit / 2 &&
           elapsed + remaining > settings_.drain_limit;
}

void node_core::finish_drain()
{
    members_.stop();
    on_drained_();
}

Json::Value node_core::status() const
{
    Json::Value it;
    const auto& current = feed_.current_configuration();
    it["instance"] = members_.self().instance;
    version::write_position(it, "era", "revision",
                            current ? current->position()
                                    : version::position());
    it["members"] = Json::UInt64(members_.members().size());
    it["isolated"] = feed_.isolated();
    it["draining"] = draining_;
    it["watches_platform"] = feed_.is_watching_platform();
    it["running"] = execution_.running();
    it["queued"] = Json::UInt64(execution_.queued());
    const auto& server = server_.current();
    it["service"] = server ? server->service : "";
    return it;
}

} // namespace shallotwood::process
