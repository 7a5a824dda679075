// Replacement of witnesses.
#include "process/ownership_impl.hpp"

#include "process/keyed_hash.hpp"
#include "process/log.hpp"

namespace shallotwood::process
{

bool ownership::impl::is_healthy(const shard_term& term,
                                 const node_ref& it) const
{
    if (it.instance == members.self().instance ||
        term.restarted.count(it.boot) != 0)
        return false;
    auto known = members.find(it.instance);
    if (!known || !may_act(*known) || known->peer != it.address)
        return false;
    auto last = term.quorum.last_acknowledged(it.boot);
    auto heard = std::max(last.value_or(term.started), term.started);
    return loop.now() - heard < settings.witness_limit;
}

std::vector<member> ownership::impl::pick_witnesses(
    shard_slot& slot, const std::vector<node_ref>& kept,
    const std::map<std::string, time_point>& avoided)
{
    std::set<std::string> excluded{members.self().instance};
    // A witness that went silent would only delay the change; one that
    // restarted may be a witness again.
    if (slot.term) {
        for (const auto& it : slot.term->quorum.current()) {
            if (slot.term->restarted.count(it.boot) == 0)
                excluded.insert(it.instance);
        }
    }
    std::set<std::string> domains{members.self().failure_domain};
    for (const auto& it : kept) {
        excluded.insert(it.instance);
        if (auto known = members.find(it.instance))
            domains.insert(known->failure_domain);
    }
    auto eligible = [&](const member& it) {
        auto wait = avoided.find(it.instance);
        return it.state == member_state::active &&
               excluded.count(it.instance) == 0 &&
               (wait == avoided.end() || wait->second <= loop.now());
    };
    auto found = rendezvous_order(members.members(),
                                  "witness/" + std::to_string(slot.id),
                                  compared_witnesses, eligible);
    std::vector<member> picked;
    auto take = [&](bool new_domain) {
        for (const auto& it : found) {
            if (kept.size() + picked.size() >= settings.witnesses)
                return;
            if (excluded.count(it.instance) != 0 ||
                (new_domain && domains.count(it.failure_domain) != 0))
                continue;
            excluded.insert(it.instance);
            domains.insert(it.failure_domain);
            picked.push_back(it);
        }
    };
    take(true);
    take(false);
    return picked;
}

void ownership::impl::tick_change(shard_slot& slot)
{
    auto& term = *slot.term;
    if (!term.change) {
        if (loop.now() >= term.next_change && !slot.busy)
            consider_change(slot);
        return;
    }
    auto& change = *term.change;
    if (change.writing)
        return;
    bool hopeless = std::any_of(change.asked.begin(), change.asked.end(),
                                [&](const auto& it) {
                                    auto known = members.find(it.instance);
                                    return !known || !may_act(*known);
                                });
    if (hopeless || loop.now() - change.started > 2 * settings.witness_limit) {
        abandon_change(slot);
        return;
    }
    if (!term.quorum.next()) {
        if (change.asked.empty())
            begin_transfer(slot);
        else
            send_enlist(slot, change);
        return;
    }
    continue_transfer(slot);
}

void ownership::impl::consider_change(shard_slot& slot)
{
    auto& term = *slot.term;
    auto now = loop.now();
    term.next_change = now + settings.extend_period / 2;
    const auto& current = term.quorum.current();
    std::vector<node_ref> healthy;
    std::vector<node_ref> own;
    for (const auto& it : current) {
        if (is_healthy(term, it))
            healthy.push_back(it);
        else if (it.boot == boot)
            own.push_back(it);
    }
    if (healthy.size() == current.size() &&
        healthy.size() >= settings.witnesses && term.settled)
        return;
    auto picked = pick_witnesses(slot, healthy, term.avoided);
    // Fewer witnesses are no better while a majority of them answers, and
    // this node itself is better than none.
    bool keep = picked.empty() &&
                healthy.size() + own.size() >= majority(current.size());
    if (keep && term.settled)
        return;
    // An owner that lost all of several witnesses is more likely cut off
    // than alone, and a successor can fence them sooner.
    if (!keep && healthy.empty() && picked.empty() && current.size() > 1 &&
        now - term.lease_end < alone_limit)
        return;
    term.change.emplace();
    term.change->known = keep ? current : healthy;
    term.change->asked = picked;
    term.change->started = now;
    tick_change(slot);
}

void ownership::impl::send_enlist(shard_slot& slot, witness_change& change)
{
    if (!change.sending.due(loop.now(), settings.resend_period))
        return;
    for (const auto& it : change.asked) {
        auto out = message(slot);
        out["version"] = Json::UInt64(slot.term ? slot.term->version : 0);
        out["instance"] = it.instance;
        transport.send(it.peer, "ownership.enlist", out);
    }
}

void ownership::impl::enlisted(shard_slot& slot, const peer_address& from,
                               const Json::Value& params)
{
    message_fields in(params);
    auto instance = in.text("instance", max_name_bytes);
    auto witness = in.text("boot", max_name_bytes);
    if (!in.valid()) {
        ++malformed;
        return;
    }
    bool first = slot.first_witnesses && !slot.term;
    if (!first &&
        (!slot.term || !slot.term->change || slot.term->quorum.next()))
        return;
    auto& change = first ? *slot.first_witnesses : *slot.term->change;
    auto found = std::find_if(
        change.asked.begin(), change.asked.end(), [&](const auto& it) {
            return it.instance == instance && it.peer == from;
        });
    if (found == change.asked.end())
        return;
    change.known.push_back({instance, witness, from});
    change.asked.erase(found);
    if (!first && change.asked.empty())
        begin_transfer(slot);
}

void ownership::impl::begin_transfer(shard_slot& slot)
{
    auto& term = *slot.term;
    auto& change = *term.change;
    term.quorum.propose(change.known);

    term.asked_all = {};
    extend(slot);
    auto entries = collect(slot.id, copy_purpose::witness);
    for (auto& it : entries)
        number(term, it);
    change.pages = pages_of(std::move(entries));
    std::reverse(change.pages.begin(), change.pages.end());
    continue_transfer(slot);
}

void ownership::impl::continue_transfer(shard_slot& slot)
{
    auto term = slot.term;
    while (slot.term == term && term->change && !term->change->pages.empty() &&
           term->change->pages_under_way < transfer_window) {
        auto page = std::move(term->change->pages.back());
        term->change->pages.pop_back();
        ++term->change->pages_under_way;
        auto arrived = [&slot](bool held) {
            if (held && slot.term && slot.term->change)
                --slot.term->change->pages_under_way;
        };
        begin_copy(slot, std::move(page), arrived, true);
    }
    if (slot.term != term || !term->change ||
        term->change->pages_under_way > 0 || term->change->writing ||
        slot.busy || !may_call() ||
        term->quorum.next_lease_end(settings.lease_term) <= loop.now())
        return;
    write_change(slot);
}

void ownership::impl::write_change(shard_slot& slot)
{
    auto term = slot.term;
    term->change->writing = true;
    term->lease_end = current_lease(*term);
    shard_object wanted{term->epoch, self(), *term->quorum.next(), {}};
    write(slot, wanted, term->version,
          [this, &slot, term](std::optional<std::uint64_t> version) {
              if (slot.term != term)
                  return;
              if (version) {
                  term->version = *version;
                  confirm_change(slot);
              } else if (slot.object_known && slot.version != term->version) {
                  step_down(slot);
              } else {
                  abandon_change(slot);
              }
          });
}

void ownership::impl::confirm_change(shard_slot& slot)
{
    auto term = slot.term;
    auto before = term->quorum.current();
    term->quorum.confirm();
    term->change.reset();
    term->settled = true;
    drop_transfer(*term);
    term->lease_end = current_lease(*term);
    const auto& now = term->quorum.current();
    for (const auto& it : before) {
        if (std::find(now.begin(), now.end(), it) != now.end())
            continue;
        auto out = message(slot);
        out["version"] = Json::UInt64(term->version);
        out["boot"] = it.boot;
        transport.send(it.address, "ownership.dismiss", out);
    }
    evaluate_copies(slot);
}

void ownership::impl::abandon_change(shard_slot& slot)
{
    auto& term = *slot.term;
    for (const auto& it : term.change->asked)
        term.avoided[it.instance] = loop.now() + avoid_limit;
    for (auto it = term.avoided.begin(); it != term.avoided.end();)
        it = it->second <= loop.now() ? term.avoided.erase(it) : std::next(it);
    term.quorum.abandon();
    term.change.reset();
    drop_transfer(term);
    term.next_change = loop.now() + settings.extend_period;
    term.lease_end = current_lease(term);
    evaluate_copies(slot);
}

void ownership::impl::drop_transfer(shard_term& term)
{
    for (auto it = term.copies.begin(); it != term.copies.end();)
        it = it->second.transfer ? term.copies.erase(it) : std::next(it);
}

void ownership::impl::evaluate_copies(shard_slot& slot)
{
    auto term = slot.term;
    std::vector<std::uint64_t> ids;
    for (const auto& [id, it] : term->copies)
        ids.push_back(id);
    for (auto id : ids) {
        if (slot.term == term && term->copies.count(id) != 0)
            evaluate_copy(slot, id);
    }
}

} // namespace shallotwood::process
