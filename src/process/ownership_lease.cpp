// The lease of an owner and the copies of its entries.
#include "process/ownership_impl.hpp"

#include "process/keyed_hash.hpp"
#include "process/log.hpp"

namespace shallotwood::process
{

bool ownership::impl::owns(const shard_slot& slot) const
{
    return slot.term && slot.term->phase == term_phase::active &&
           loop.now() < slot.term->lease_end;
}

time_point ownership::impl::current_lease(const shard_term& term) const
{
    return term.quorum.lease_end(settings.lease_term,
                                 term.change && term.change->writing);
}

void ownership::impl::extend(shard_slot& slot)
{
    auto& term = *slot.term;
    auto now = loop.now();
    bool all = now >= term.asked_all + settings.extend_period;
    if (!all && now < term.next_nudge)
        return;
    if (all)
        term.asked_all = now;
    term.next_nudge = now + nudge_period;
    auto id = ++term.last_id;
    term.questions[id] = now;
    while (term.questions.size() > remembered_questions)
        term.questions.erase(term.questions.begin());
    for (const auto& it : term.quorum.all()) {
        auto last = term.quorum.last_acknowledged(it.boot);
        if (all || !last || *last < term.asked_all)
            transport.send(it.address, "ownership.extend",
                           to_witness(slot, it, id));
    }
    term.lease_end = current_lease(term);
}

bool ownership::impl::accepted(shard_slot& slot, message_fields& in,
                               std::string& witness, std::uint64_t& id)
{
    auto epoch = in.number("epoch");
    id = in.number("id");
    witness = in.text("boot", max_name_bytes);
    auto result = in.text("result", max_name_bytes);
    if (!in.valid()) {
        ++malformed;
        return false;
    }
    if (!slot.term || slot.term->epoch != epoch)
        return false;
    if (result == "restarted")
        slot.term->restarted.insert(witness);
    if (result == "refused")
        slot.term->superseded = true;
    return result == "ok";
}

void ownership::impl::extended(shard_slot& slot, const peer_address&,
                               const Json::Value& params)
{
    message_fields in(params);
    std::string witness;
    std::uint64_t id = 0;
    if (!accepted(slot, in, witness, id))
        return;
    auto term = slot.term;
    auto asked = term->questions.find(id);
    if (asked == term->questions.end())
        return;
    term->quorum.acknowledge(witness, asked->second);
    term->lease_end = current_lease(*term);
    if (term->phase == term_phase::fencing)
        activate(slot);
}

void ownership::impl::watch_lease(shard_slot& slot)
{
    auto& term = *slot.term;
    auto now = loop.now();
    if (now < term.lease_end)
        return;
    if (term.superseded) {
        ++lapses;
        step_down(slot);
        return;
    }
    if (slot.busy || now < slot.next_read || !may_call())
        return;
    // Nobody else acts unless the object names another epoch.
    slot.next_read = now + settings.lease_term;
    slot.busy = true;
    read(slot, [this, &slot](const get_result& it) {
        slot.busy = false;
        if (adopt(slot, it) && slot.term &&
            slot.object.epoch > slot.term->epoch)
            step_down(slot);
    });
}

void ownership::impl::step_down(shard_slot& slot)
{
    auto term = std::move(slot.term);
    slot.term.reset();
    if (!term)
        return;
    SHALLOTWOOD_LOG(info) << "event=shard-lost"
                          << field("shard", std::to_string(slot.id))
                          << field("epoch", std::to_string(term->epoch));
    slot.object_known = false;
    if (slot.hint && slot.hint->address == members.self().peer)
        slot.hint.reset();
    if (term->phase == term_phase::active) {
        for (const auto& [name, client] : clients)
            client->released(slot.id);
    }
    fail_copies(*term);
}

void ownership::impl::replicate(const std::string& client, shard_slot& slot,
                                shard_entry entry,
                                std::function<void(bool)> done)
{
    if (!owns(slot) ||
        slot.term->copies.size() >= settings.max_pending_copies) {
        done(false);
        return;
    }
    entry.key.insert(0, client + ":");
    number(*slot.term, entry);
    begin_copy(slot, {std::move(entry)}, std::move(done));
}

void ownership::impl::number(shard_term& term, shard_entry& it)
{
    it.epoch = term.epoch;
    it.sequence = ++term.last_sequence;
}

void ownership::impl::begin_copy(shard_slot& slot,
                                 std::vector<shard_entry> entries,
                                 std::function<void(bool)> done, bool transfer)
{
    auto& term = *slot.term;
    auto id = ++term.last_id;
    auto& it = term.copies[id];
    it.entries = std::move(entries);
    it.done = std::move(done);
    it.transfer = transfer;
    it.started = loop.now();
    it.sending.due(loop.now(), settings.resend_period);
    send_copy(slot, id, it);
    evaluate_copy(slot, id);
}

void ownership::impl::send_copy(shard_slot& slot, std::uint64_t id,
                                const copy_operation& copy)
{
    Json::Value entries(Json::arrayValue);
    for (const auto& it : copy.entries)
        entries.append(to_json(it));
    for (const auto& it : slot.term->quorum.all()) {
        if (copy.held_by.count(it.boot) != 0)
            continue;
        auto out = to_witness(slot, it, id);
        out["entries"] = entries;
        transport.send(it.address, "record.copy", out);
    }
}

void ownership::impl::copied(shard_slot& slot, const peer_address&,
                             const Json::Value& params)
{
    message_fields in(params);
    std::string witness;
    std::uint64_t id = 0;
    if (!accepted(slot, in, witness, id))
        return;
    auto found = slot.term->copies.find(id);
    if (found == slot.term->copies.end())
        return;
    found->second.held_by.insert(witness);
    evaluate_copy(slot, id);
}

void ownership::impl::evaluate_copy(shard_slot& slot, std::uint64_t id)
{
    auto term = slot.term;
    auto found = term->copies.find(id);
    auto& copy = found->second;
    if (copy.transfer ? !term->quorum.next_reached(copy.held_by)
                      : !term->quorum.reached(copy.held_by))
        return;
    auto done = std::move(copy.done);
    copy.done = nullptr;
    auto nodes = term->quorum.all();
    bool everywhere =
        std::all_of(nodes.begin(), nodes.end(), [&](const auto& it) {
            return copy.held_by.count(it.boot) != 0;
        });
    bool old = loop.now() - copy.started > straggler_limit;
    if (everywhere || old)
        term->copies.erase(found);
    if (done)
        done(true);
}

void ownership::impl::resend_copies(shard_slot& slot)
{
    auto term = slot.term;
    std::vector<std::uint64_t> due;
    for (auto& [id, it] : term->copies) {
        if (!it.sending.due(loop.now(), settings.resend_period))
            continue;
        send_copy(slot, id, it);
        due.push_back(id);
    }
    for (auto id : due) {
        if (slot.term == term && term->copies.count(id) != 0)
            evaluate_copy(slot, id);
    }
}

void ownership::impl::fail_copies(shard_term& term)
{
    auto copies = std::move(term.copies);
    term.copies.clear();
    for (auto& [id, it] : copies) {
        if (it.done)
            it.done(false);
    }
}

} // namespace shallotwood::process
