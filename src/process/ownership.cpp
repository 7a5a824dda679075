#include "process/ownership_impl.hpp"

#include "process/keyed_hash.hpp"
#include "process/log.hpp"

namespace shallotwood::process
{

node_ref ownership::impl::self() const
{
    const auto& it = members.self();
    return {it.instance, boot, it.peer};
}

void ownership::impl::subscribe()
{
    using params = Json::Value;
    auto answer = [this](const char* request, const char* reply,
                         Json::Value (witness_table::*act)(const params&)) {
        on(request, [this, reply, act](const auto& from, const auto& in) {
            auto out = (witnesses.*act)(in);
            if (out.isNull())
                ++malformed;
            else
                transport.send(from, reply, out);
        });
    };
    answer("ownership.extend", "ownership.extended", &witness_table::extend);
    answer("ownership.fence", "ownership.fenced", &witness_table::fence);
    answer("record.copy", "record.copied", &witness_table::copy);
    answer("ownership.enlist", "ownership.enlisted", &witness_table::enlist);
    on("ownership.dismiss",
       [this](const auto&, const auto& in) { witnesses.dismiss(in); });
    on_shard("ownership.extended", &impl::extended);
    on_shard("ownership.fenced", &impl::fenced);
    on_shard("record.copied", &impl::copied);
    on_shard("ownership.enlisted", &impl::enlisted);
    on_shard("ownership.check", &impl::check);
    on_shard("ownership.checked", &impl::checked);
    on_shard("ownership.hand_over", &impl::hand_over);
    on_shard("ownership.handed", &impl::handed);
}

void ownership::impl::on(const char* method, peer_transport::handler act)
{
    transport.subscribe(method, guarded(std::move(act)));
}

void ownership::impl::on_shard(const char* method, shard_handler act)
{
    on(method, [this, act](const auto& from, const auto& params) {
        message_fields in(params);
        auto shard = in.number("shard", settings.shards - 1);
        if (in.valid())
            (this->*act)(slots[shard], from, params);
        else
            ++malformed;
    });
}

Json::Value ownership::impl::message(const shard_slot& slot) const
{
    Json::Value out;
    out["shard"] = slot.id;
    return out;
}

Json::Value ownership::impl::to_witness(const shard_slot& slot,
                                        const node_ref& witness,
                                        std::uint64_t id) const
{
    auto out = message(slot);
    out["epoch"] = Json::UInt64(slot.term->epoch);
    out["id"] = Json::UInt64(id);
    out["boot"] = witness.boot;
    return out;
}

const std::vector<member>& ownership::impl::candidates(shard_slot& slot)
{
    if (!slot.candidates_known) {
        slot.candidates = rendezvous_order(
            members.members(), object_name(slot.id), kept_candidates, may_act);
        slot.candidates_known = true;
    }
    return slot.candidates;
}

void ownership::impl::member_changed(const member& changed)
{
    for (auto& slot : slots) {
        if (!slot.candidates_known)
            continue;
        auto& list = slot.candidates;
        auto found =
            std::find_if(list.begin(), list.end(), [&](const auto& it) {
                return it.instance == changed.instance;
            });
        if (!may_act(changed)) {
            if (found != list.end())
                list.erase(found);
            slot.candidates_known = list.size() >= fewest_candidates;
        } else if (found != list.end()) {
            *found = changed;
        } else {
            list.push_back(changed);
            list = rendezvous_order(list, object_name(slot.id), kept_candidates,
                                    may_act);
        }
    }
}

std::size_t ownership::impl::rank(shard_slot& slot)
{
    const auto& list = candidates(slot);
    auto n = std::min(acting_candidates, list.size());
    for (std::size_t it = 0; it < n; ++it) {
        if (list[it].instance == members.self().instance)
            return it;
    }
    return acting_candidates;
}

peer_address ownership::impl::route(shard_slot& slot)
{
    if (owns(slot))
        return members.self().peer;
    if (slot.hint)
        return slot.hint->address;
    const auto& list = candidates(slot);
    if (list.empty())
        return members.self().peer;
    auto n = std::min(acting_candidates, list.size());
    return list[slot.guess % n].peer;
}

void ownership::impl::set_hint(shard_slot& slot, std::uint64_t epoch,
                               const peer_address& address)
{
    if (!slot.hint || slot.hint->epoch <= epoch)
        slot.hint = owner_hint{epoch, address};
}

Json::Value ownership::impl::hint(shard_slot& slot) const
{
    owner_hint it;
    if (slot.term && slot.term->phase == term_phase::active)
        it = {slot.term->epoch, members.self().peer};
    else if (slot.hint)
        it = *slot.hint;
    else
        return {};
    Json::Value out;
    out["epoch"] = Json::UInt64(it.epoch);
    out["host"] = it.address.host;
    out["port"] = it.address.port;
    return out;
}

bool ownership::impl::learn(shard_slot& slot, const Json::Value& value,
                            const peer_address& asked)
{
    if (!value.isObject())
        return false;
    message_fields in(value);
    auto epoch = in.number("epoch");
    peer_address address;
    address.host = in.text("host", max_name_bytes);
    address.port = static_cast<std::uint16_t>(in.number("port", UINT16_MAX));
    if (!in.valid())
        return false;
    bool news = !slot.hint || slot.hint->epoch < epoch;
    set_hint(slot, epoch, address);
    return news || address != asked;
}

bool ownership::impl::may_call() const
{
    return calls_under_way < settings.max_platform_calls;
}

void ownership::impl::read(shard_slot& slot,
                           std::function<void(get_result)> done)
{
    ++calls_under_way;
    ++platform_calls;
    store.get(object_name(slot.id),
              guarded([this, done = std::move(done)](get_result it) {
                  --calls_under_way;
                  done(std::move(it));
              }));
}

void ownership::impl::back_off(shard_slot& slot)
{
    auto spread = random.below(slot.backoff.count());
    slot.next_read = loop.now() + slot.backoff + duration(spread);
    slot.backoff = std::min(2 * slot.backoff, longest_backoff);
}

bool ownership::impl::adopt(shard_slot& slot, const get_result& result)
{
    auto now = loop.now();
    if (auto it = std::get_if<stored_object>(&result)) {
        auto parsed = parse_shard_object(it->value);
        if (!parsed) {
            SHALLOTWOOD_LOG(error) << "event=shard-object-malformed"
                                   << field("shard", std::to_string(slot.id));
            back_off(slot);
            return false;
        }
        if (!slot.object_known || slot.version != it->version) {
            slot.last_sign = now;
            slot.owner_gone = false;
        }
        slot.object = std::move(*parsed);
        slot.version = it->version;
        if (!slot.object.owner.instance.empty())
            set_hint(slot, slot.object.epoch, slot.object.owner.address);
    } else if (std::get<store_error>(result) == store_error::not_found) {
        if (!slot.object_known)
            slot.last_sign = now;
        slot.object = {};
        slot.version = 0;
    } else {
        back_off(slot);
        return false;
    }
    slot.object_known = true;
    slot.backoff = first_backoff;
    return true;
}

void ownership::impl::write(
    shard_slot& slot, const shard_object& wanted, std::uint64_t expected,
    const std::function<void(std::optional<std::uint64_t>)>& done)
{
    ++calls_under_way;
    ++platform_calls;
    slot.busy = true;
    store.put(object_name(slot.id), to_text(wanted), expected,
              guarded([this, &slot, wanted, expected, done](put_result result) {
                  --calls_under_way;
                  if (auto version = std::get_if<std::uint64_t>(&result)) {
                      written(slot, wanted, *version);
                      done(*version);
                      return;
                  }
                  auto why = std::get<store_error>(result);
                  if (why == store_error::conflict ||
                      why == store_error::unknown_outcome) {
                      resolve(slot, wanted, expected, done);
                      return;
                  }
                  slot.busy = false;
                  back_off(slot);
                  done(std::nullopt);
              }));
}

void ownership::impl::written(shard_slot& slot, const shard_object& wanted,
                              std::uint64_t version)
{
    slot.busy = false;
    slot.object_known = true;
    slot.object = wanted;
    slot.version = version;
    slot.backoff = first_backoff;
    slot.last_sign = loop.now();
    slot.owner_gone = false;
}

void ownership::impl::resolve(
    shard_slot& slot, const shard_object& wanted, std::uint64_t expected,
    const std::function<void(std::optional<std::uint64_t>)>& done)
{
    read(slot, [this, &slot, wanted, expected, done](get_result result) {
        if (auto it = std::get_if<stored_object>(&result)) {
            auto parsed = parse_shard_object(it->value);
            if (parsed && *parsed == wanted) {
                written(slot, wanted, it->version);
                done(it->version);
                return;
            }
            if (it->version != expected) {
                slot.busy = false;
                adopt(slot, result);
                done(std::nullopt);
                return;
            }
            // The write may still arrive, so the same one is sent again.
            write(slot, wanted, expected, done);
            return;
        }
        if (std::get<store_error>(result) == store_error::not_found) {
            write(slot, wanted, expected, done);
            return;
        }
        back_off(slot);
        loop.call_after(slot.next_read - loop.now(),
                        guarded([this, &slot, wanted, expected, done] {
                            resolve(slot, wanted, expected, done);
                        }));
    });
}

void ownership::impl::start()
{
    started = loop.now();
    subscribe();
    members.listen(guarded([this](const member& it) { member_changed(it); }));
    tick();
}

void ownership::impl::tick()
{
    for (auto& slot : slots) {
        if (slot.incoming && loop.now() - slot.incoming->last > incoming_limit)
            slot.incoming.reset();
        if (slot.leaving)
            tick_departure(slot);
        else if (slot.term)
            tick_term(slot);
        else if (!is_leaving)
            tick_candidate(slot);
    }
    witnesses.expire(next_expiry);
    next_expiry = (next_expiry + 1) % settings.shards;
    finish_leave();
    timer =
        loop.call_after(settings.resend_period, guarded([this] { tick(); }));
}

ownership::ownership(event_loop& loop, peer_transport& transport,
                     object_store& store, member_view& members,
                     counters& counts, std::uint64_t seed, std::string boot,
                     ownership_settings settings)
    : impl_(std::make_shared<impl>(loop, transport, store, members, counts,
                                   seed, std::move(boot), settings))
{
}

ownership::~ownership()
{
    impl_->loop.cancel(impl_->timer);
}

void ownership::attach(const std::string& name, shard_client& client)
{
    impl_->clients[name] = &client;
}

void ownership::start()
{
    impl_->start();
}

void ownership::leave(duration limit, std::function<void()> done)
{
    impl_->leave(limit, std::move(done));
}

shard_id ownership::shard_of(std::string_view key) const
{
    return static_cast<shard_id>(stable_hash(key) % impl_->settings.shards);
}

bool ownership::owns(shard_id shard) const
{
    return impl_->owns(impl_->slots.at(shard));
}

std::uint64_t ownership::epoch(shard_id shard) const
{
    const auto& slot = impl_->slots.at(shard);
    return impl_->owns(slot) ? slot.term->epoch : 0;
}

peer_address ownership::route(shard_id shard) const
{
    return impl_->route(impl_->slots.at(shard));
}

void ownership::no_answer(shard_id shard, const peer_address& asked)
{
    auto& slot = impl_->slots.at(shard);
    if (slot.hint) {
        if (slot.hint->address == asked)
            slot.hint.reset();
        return;
    }
    if (impl_->route(slot) == asked)
        ++slot.guess;
}

Json::Value ownership::hint(shard_id shard) const
{
    return impl_->hint(impl_->slots.at(shard));
}

bool ownership::learn(shard_id shard, const Json::Value& hint,
                      const peer_address& asked)
{
    return impl_->learn(impl_->slots.at(shard), hint, asked);
}

void ownership::replicate(const std::string& client, shard_id shard,
                          shard_entry entry,
                          std::function<void(bool held)> done)
{
    impl_->replicate(client, impl_->slots.at(shard), std::move(entry),
                     std::move(done));
}

const std::string& ownership::boot() const
{
    return impl_->boot;
}

const ownership_settings& ownership::settings() const
{
    return impl_->settings;
}

} // namespace shallotwood::process
