// Watching an owner, the first owner of a shard, and takeover.
#include "process/ownership_impl.hpp"

#include "process/keyed_hash.hpp"
#include "process/log.hpp"

namespace shallotwood::process
{

void ownership::impl::tick_candidate(shard_slot& slot)
{
    auto now = loop.now();
    if (slot.busy || now < started + settings.settle || now < slot.next_read)
        return;
    auto place = rank(slot);
    if (place == acting_candidates)
        return;
    if (!slot.object_known) {
        read_object(slot);
        return;
    }
    auto delay = place * settings.candidate_step;
    auto silence = now - slot.last_sign;
    if (slot.version == 0) {
        if (silence >= delay)
            create(slot);
        return;
    }
    if (slot.object.owner.boot != boot)
        send_check(slot, slot.object.owner);
    if (!slot.owner_gone && !slot.object.owner.instance.empty())
        delay += settings.silence_limit;
    if (silence >= delay)
        begin_takeover(slot);
}

void ownership::impl::read_object(shard_slot& slot)
{
    if (!may_call())
        return;
    slot.busy = true;
    read(slot, [this, &slot](const get_result& it) {
        slot.busy = false;
        adopt(slot, it);
    });
}

void ownership::impl::send_check(shard_slot& slot, const node_ref& owner)
{
    auto now = loop.now();
    if (now < slot.next_check || owner.instance.empty())
        return;
    slot.next_check = now + settings.extend_period;
    send_check_to(slot, owner, 0);
}

void ownership::impl::send_check_to(shard_slot& slot, const node_ref& owner,
                                    std::uint64_t epoch)
{
    auto out = message(slot);
    out["epoch"] = Json::UInt64(epoch);
    transport.send(owner.address, "ownership.check", out);
}

void ownership::impl::check(shard_slot& slot, const peer_address& from,
                            const Json::Value& params)
{
    message_fields in(params);
    auto epoch = in.number("epoch");
    if (!in.valid()) {
        ++malformed;
        return;
    }
    auto out = message(slot);
    if (epoch > 0)
        yield_to(slot, epoch, out);
    out["boot"] = boot;
    out["status"] = status(slot);
    out["owner"] = hint(slot);
    transport.send(from, "ownership.checked", out);
}

void ownership::impl::yield_to(shard_slot& slot, std::uint64_t epoch,
                               Json::Value& out)
{
    auto term = slot.term;
    if (term && term->epoch < epoch) {
        bool alone = term->quorum.all().empty();
        bool acting = term->phase == term_phase::active;
        if (acting && !alone)
            return;
        if (acting)
            slot.last_state = last_state(slot);
        step_down(slot);
    }
    if (slot.leaving && slot.leaving->epoch <= epoch)
        return;
    slot.begun_epoch = std::max(slot.begun_epoch, epoch - 1);
    out["below"] = Json::UInt64(epoch);
    if (!slot.last_state)
        return;
    out["complete"] = slot.last_state->complete;
    out["entries"] = Json::Value(Json::arrayValue);
    for (const auto& it : slot.last_state->entries)
        out["entries"].append(to_json(it));
}

farewell ownership::impl::last_state(shard_slot& slot)
{
    auto entries = collect(slot.id, copy_purpose::witness);
    for (auto& it : entries)
        number(*slot.term, it);
    auto pages = pages_of(std::move(entries));
    farewell it;
    it.complete = pages.size() <= 1;
    if (!pages.empty())
        it.entries = std::move(pages.front());
    return it;
}

const char* ownership::impl::status(const shard_slot& slot) const
{
    if (!slot.term)
        return "none";
    if (owns(slot))
        return "owner";
    auto since = slot.term->phase == term_phase::fencing ? slot.term->started
                                                         : slot.term->lease_end;
    return loop.now() - since > takeover_patience ? "none" : "busy";
}

void ownership::impl::checked(shard_slot& slot, const peer_address& from,
                              const Json::Value& params)
{
    message_fields in(params);
    auto owner_boot = in.text("boot", max_name_bytes);
    auto what = in.text("status", max_name_bytes);
    if (!in.valid()) {
        ++malformed;
        return;
    }
    auto& term = slot.term;
    if (term && !term->excluded_at)
        note_gone(*term, from, owner_boot, params);
    if (!slot.object_known || from != slot.object.owner.address)
        return;
    if (owner_boot != slot.object.owner.boot)
        slot.owner_gone = true;
    else if (what != "none")
        slot.last_sign = loop.now();
    auto epoch_before = slot.object.epoch;
    learn(slot, in.optional("owner"), from);
    // The shard has moved on since the object was read.
    if (!term && slot.hint && slot.hint->epoch > epoch_before)
        slot.object_known = false;
}

void ownership::impl::note_gone(shard_term& term, const peer_address& from,
                                const std::string& its_boot,
                                const Json::Value& params)
{
    message_fields in(params);
    for (const auto& it : term.earlier) {
        if (it.address != from)
            continue;
        bool promised =
            in.optional("below").isUInt64() && in.number("below") == term.epoch;
        if (it.boot != its_boot)
            term.gone.insert(it.boot);
        else if (promised)
            take_farewell(term, it, in);
    }
}

void ownership::impl::take_farewell(shard_term& term, const node_ref& node,
                                    message_fields& in)
{
    term.gone.insert(node.boot);
    if (in.optional("entries").isNull())
        return;
    auto entries = entries_from_json(in.optional("entries"));
    bool complete = in.flag("complete");
    if (!entries || !in.valid()) {
        ++malformed;
        return;
    }
    merge(term, *entries);
    term.told_state = term.told_state || complete;
}

void ownership::impl::merge(shard_term& term,
                            const std::vector<shard_entry>& entries)
{
    for (const auto& it : entries) {
        auto [known, added] = term.gathered.emplace(it.key, it);
        if (!added && is_newer(it, known->second))
            known->second = it;
    }
}

void ownership::impl::create(shard_slot& slot)
{
    auto& change = slot.first_witnesses;
    if (!change) {
        change.emplace();
        change->started = loop.now();
        change->asked = pick_witnesses(slot, {}, {});
    }
    bool waited = loop.now() - change->started > settings.witness_limit;
    if (change->known.size() < change->asked.size() && !waited) {
        send_enlist(slot, *change);
        return;
    }
    if (!may_call())
        return;
    shard_object wanted{1, self(), change->known, {}};
    change.reset();
    write(slot, wanted, 0,
          [this, &slot, wanted](std::optional<std::uint64_t> version) {
              if (version)
                  begin_term(slot, wanted, *version,
                             shard_state::origin::fresh);
          });
}

void ownership::impl::begin_takeover(shard_slot& slot)
{
    if (!may_call())
        return;
    slot.busy = true;
    auto seen = slot.version;
    read(slot, [this, &slot, seen](const get_result& it) {
        slot.busy = false;
        // A changed object restarts the wait for a sign of its owner.
        if (!adopt(slot, it) || slot.version != seen || slot.term || is_leaving)
            return;
        auto old = slot.object;
        auto earlier = old.earlier;
        if (!old.owner.instance.empty() &&
            std::find(earlier.begin(), earlier.end(), old.owner) ==
                earlier.end())
            earlier.push_back(old.owner);
        if (earlier.size() > max_earlier) {
            back_off(slot);
            return;
        }
        shard_object wanted{old.epoch + 1, self(), old.witnesses, earlier};
        write(slot, wanted, seen,
              [this, &slot, wanted](std::optional<std::uint64_t> version) {
                  if (!version)
                      return;
                  ++takeovers;
                  begin_term(slot, wanted, *version,
                             shard_state::origin::takeover);
              });
    });
}

void ownership::impl::begin_term(shard_slot& slot, const shard_object& object,
                                 std::uint64_t version,
                                 shard_state::origin from,
                                 std::vector<shard_entry> entries)
{
    if (is_leaving || object.epoch <= slot.begun_epoch)
        return;
    SHALLOTWOOD_LOG(info) << "event=shard-term"
                          << field("shard", std::to_string(slot.id))
                          << field("epoch", std::to_string(object.epoch))
                          << field("takeover",
                                   from == shard_state::origin::takeover
                                       ? "yes"
                                       : "no");
    slot.begun_epoch = object.epoch;
    slot.term = std::make_shared<shard_term>(object.witnesses);
    auto& term = *slot.term;
    term.epoch = object.epoch;
    term.version = version;
    term.started = loop.now();
    term.state.from = from;
    term.state.entries = std::move(entries);
    term.earlier = object.earlier;
    term.settled = object.earlier.empty();
    slot.last_state.reset();
    if (from == shard_state::origin::takeover) {
        for (const auto& it : object.witnesses)
            term.fences[it.boot];
    } else {
        term.excluded_at = loop.now();
    }
    set_hint(slot, object.epoch, members.self().peer);
    tick_term(slot);
}

void ownership::impl::tick_term(shard_slot& slot)
{
    // Keeps the term alive if it ends on the way.
    auto term = slot.term;
    if (!term->excluded_at) {
        tick_fencing(slot);
        return;
    }
    extend(slot);
    if (term->phase == term_phase::fencing) {
        activate(slot);
        return;
    }
    resend_copies(slot);
    watch_lease(slot);
    if (slot.term == term)
        tick_change(slot);
}

void ownership::impl::tick_fencing(shard_slot& slot)
{
    auto& term = *slot.term;
    if (term.fencing.due(loop.now(), settings.resend_period)) {
        for (const auto& it : term.quorum.current())
            send_fence(slot, it);
    }
    if (loop.now() >= term.next_direct) {
        term.next_direct = loop.now() + settings.extend_period;
        for (const auto& it : term.earlier)
            send_direct(slot, it);
    }
    evaluate_fencing(slot);
}

void ownership::impl::send_direct(shard_slot& slot, const node_ref& owner)
{
    auto& term = *slot.term;
    if (term.gone.count(owner.boot) != 0)
        return;
    // An earlier term of this process ended before this one began.
    if (owner.boot == boot)
        term.gone.insert(boot);
    else
        send_check_to(slot, owner, term.epoch);
}

void ownership::impl::send_fence(shard_slot& slot, const node_ref& witness)
{
    const auto& progress = slot.term->fences[witness.boot];
    if (progress.complete || progress.restarted)
        return;
    auto out = to_witness(slot, witness, 0);
    out["cursor"] = progress.cursor;
    transport.send(witness.address, "ownership.fence", out);
}

void ownership::impl::fenced(shard_slot& slot, const peer_address&,
                             const Json::Value& params)
{
    if (!slot.term || slot.term->phase != term_phase::fencing)
        return;
    auto& term = *slot.term;
    message_fields in(params);
    auto epoch = in.number("epoch");
    auto witness = in.text("boot", max_name_bytes);
    auto result = in.text("result", max_name_bytes);
    if (!in.valid()) {
        ++malformed;
        return;
    }
    auto found = term.fences.find(witness);
    if (epoch != term.epoch || found == term.fences.end())
        return;
    if (result == "refused") {
        step_down(slot);
        return;
    }
    if (result == "restarted")
        found->second.restarted = true;
    else if (!gather(slot, found->second, params))
        return;
    evaluate_fencing(slot);
}

bool ownership::impl::gather(shard_slot& slot, fence_progress& progress,
                             const Json::Value& params)
{
    auto& term = *slot.term;
    message_fields in(params);
    auto left = in.number("remaining_us", UINT32_MAX);
    auto cursor = in.text("cursor", max_entry_bytes);
    auto entries = entries_from_json(in.optional("entries"));
    if (!in.valid() || !entries) {
        ++malformed;
        return false;
    }
    if (progress.complete || cursor != progress.cursor)
        return false;
    merge(term, *entries);
    term.lease_bound = std::max(term.lease_bound, loop.now() + duration(left));
    if (in.optional("next").isString()) {
        progress.cursor = in.text("next", max_entry_bytes);
        auto again = in.optional("boot").asString();
        for (const auto& it : term.quorum.current()) {
            if (it.boot == again)
                send_fence(slot, it);
        }
        return true;
    }
    progress.complete = true;
    return true;
}

void ownership::impl::evaluate_fencing(shard_slot& slot)
{
    auto& term = *slot.term;
    if (term.excluded_at)
        return;
    auto now = loop.now();
    auto n = term.fences.size();
    std::size_t complete = 0;
    std::size_t restarted = 0;
    for (const auto& [it_boot, it] : term.fences) {
        complete += it.complete ? 1 : 0;
        restarted += it.restarted ? 1 : 0;
    }
    bool fenced_majority = n > 0 && complete + restarted >= majority(n);
    bool presumed = now - term.started >= settings.presume_lost_after;
    bool ended = term.gone.size() == term.earlier.size();
    if (!fenced_majority && !ended && !presumed)
        return;
    // With fewer answers, all copies of an entry may be at the others.
    auto needed = n - majority(n) + 1;
    bool possible = n - restarted >= needed;
    if (complete < needed && possible &&
        now - term.started < settings.gather_limit)
        return;
    // A restarted witness forgot when the lease it promised ends.
    if (!fenced_majority || restarted > 0)
        term.lease_bound =
            std::max(term.lease_bound,
                     now + settings.lease_term + settings.clock_margin);
    term.state.complete = complete >= needed || (n == 0 && term.told_state);
    term.excluded_at = std::max(now, term.lease_bound);
    extend(slot);
}

void ownership::impl::activate(shard_slot& slot)
{
    auto& term = *slot.term;
    auto now = loop.now();
    if (!term.excluded_at || now < *term.excluded_at)
        return;
    // The lease may come later: if the witnesses are lost, new ones must
    // get the state first. The clients check owns() before each act.
    term.phase = term_phase::active;
    for (auto& [key, it] : term.gathered) {
        if (!it.removed)
            term.state.entries.push_back(std::move(it));
    }
    term.gathered.clear();
    SHALLOTWOOD_LOG(info) << "event=shard-owned"
                          << field("shard", std::to_string(slot.id))
                          << field("epoch", std::to_string(term.epoch))
                          << field("entries",
                                   std::to_string(term.state.entries.size()))
                          << field("complete",
                                   term.state.complete ? "yes" : "no");
    auto state = std::move(term.state);
    for (const auto& [name, client] : clients)
        client->acquired(slot.id, state_of(name, state));
}

shard_state ownership::impl::state_of(const std::string& name,
                                      const shard_state& all)
{
    shard_state part;
    part.from = all.from;
    part.complete = all.complete;
    auto prefix = name + ":";
    for (const auto& it : all.entries) {
        if (it.key.compare(0, prefix.size(), prefix) != 0)
            continue;
        part.entries.push_back(it);
        part.entries.back().key.erase(0, prefix.size());
    }
    return part;
}

std::vector<shard_entry> ownership::impl::collect(shard_id shard,
                                                  copy_purpose purpose)
{
    std::vector<shard_entry> all;
    for (const auto& [name, client] : clients) {
        for (auto& it : client->state(shard, purpose)) {
            all.push_back(std::move(it));
            all.back().key.insert(0, name + ":");
        }
    }
    return all;
}

} // namespace shallotwood::process
