// Planned hand-over of shards.
#include "process/ownership_impl.hpp"

#include "process/keyed_hash.hpp"
#include "process/log.hpp"

namespace shallotwood::process
{

void ownership::impl::leave(duration limit, std::function<void()> done)
{
    is_leaving = true;
    leave_by = loop.now() + limit;
    on_left = std::move(done);
    for (auto& slot : slots) {
        if (!slot.term)
            continue;
        if (owns(slot) && !slot.busy)
            begin_departure(slot);
        else
            step_down(slot);
    }
}

void ownership::impl::begin_departure(shard_slot& slot)
{
    auto it = std::make_shared<departure>();
    it->epoch = slot.term->epoch + 1;
    it->version = slot.term->version;
    it->witnesses = slot.term->quorum.current();
    it->pages = pages_of(collect(slot.id, copy_purpose::successor));
    // The successor tells its boot in answer to a page.
    if (it->pages.empty())
        it->pages.emplace_back();
    step_down(slot);
    slot.leaving = it;
    tick_departure(slot);
}

void ownership::impl::tick_departure(shard_slot& slot)
{
    auto& it = *slot.leaving;
    if (it.writing)
        return;
    if (!it.written &&
        (!it.successor || loop.now() - it.asked > hand_over_answer_limit))
        choose_successor(slot);
    if (it.writing || !it.successor)
        return;
    if (!it.written && it.received.size() == it.pages.size()) {
        write_departure(slot);
        return;
    }
    if (!it.sending.due(loop.now(), settings.resend_period))
        return;
    if (it.written)
        send_commit(slot);
    else
        send_pages(slot);
}

void ownership::impl::choose_successor(shard_slot& slot)
{
    auto& it = *slot.leaving;
    if (it.successor)
        it.tried.insert(it.successor->instance);
    it.successor.reset();
    it.successor_boot.clear();
    it.received.clear();
    it.sending = {};
    it.asked = loop.now();
    for (const auto& next : candidates(slot)) {
        if (next.instance != members.self().instance &&
            next.state == member_state::active &&
            it.tried.count(next.instance) == 0) {
            it.successor = next;
            return;
        }
    }
    // Nobody is left to hand over to.
    write_departure(slot);
}

void ownership::impl::send_pages(shard_slot& slot)
{
    auto& it = *slot.leaving;
    std::size_t sent = 0;
    for (std::size_t n = 0; n < it.pages.size(); ++n) {
        if (it.received.count(n) != 0)
            continue;
        auto out = message(slot);
        out["epoch"] = Json::UInt64(it.epoch);
        out["boot"] = boot;
        out["id"] = Json::UInt64(n);
        out["commit"] = false;
        Json::Value entries(Json::arrayValue);
        for (const auto& entry : it.pages[n])
            entries.append(to_json(entry));
        out["entries"] = entries;
        transport.send(it.successor->peer, "ownership.hand_over", out);
        if (++sent == transfer_window)
            return;
    }
}

void ownership::impl::send_commit(shard_slot& slot)
{
    auto& it = *slot.leaving;
    auto out = message(slot);
    out["epoch"] = Json::UInt64(it.epoch);
    out["boot"] = boot;
    out["id"] = Json::UInt64(it.pages.size());
    out["commit"] = true;
    out["version"] = Json::UInt64(it.version);
    out["witnesses"] = to_json(it.witnesses);
    transport.send(it.successor->peer, "ownership.hand_over", out);
}

void ownership::impl::write_departure(shard_slot& slot)
{
    auto it = slot.leaving;
    if (slot.busy || !may_call())
        return;
    it->writing = true;
    shard_object wanted{it->epoch, {}, it->witnesses, {}};
    if (it->successor)
        wanted.owner = {it->successor->instance, it->successor_boot,
                        it->successor->peer};
    write(slot, wanted, it->version,
          [this, &slot, it](std::optional<std::uint64_t> version) {
              if (slot.leaving != it)
                  return;
              it->writing = false;
              if (!version || !it->successor) {
                  slot.leaving.reset();
                  return;
              }
              it->written = true;
              it->version = *version;
              it->sending = {};
              set_hint(slot, it->epoch, it->successor->peer);
              tick_departure(slot);
          });
}

void ownership::impl::handed(shard_slot& slot, const peer_address& from,
                             const Json::Value& params)
{
    message_fields in(params);
    auto epoch = in.number("epoch");
    auto id = in.number("id");
    auto successor = in.text("boot", max_name_bytes);
    if (!in.valid()) {
        ++malformed;
        return;
    }
    auto it = slot.leaving;
    if (!it || !it->successor || it->successor->peer != from ||
        it->epoch != epoch || it->writing)
        return;
    if (it->written) {
        if (id == it->pages.size() && successor == it->successor_boot)
            slot.leaving.reset();
        finish_leave();
        return;
    }
    // The successor restarted between two pages.
    if (it->successor_boot != successor)
        it->received.clear();
    it->successor_boot = successor;
    if (id < it->pages.size())
        it->received.insert(id);
    it->asked = loop.now();
    it->sending = {};
    tick_departure(slot);
}

void ownership::impl::finish_leave()
{
    if (!on_left)
        return;
    bool pending = std::any_of(slots.begin(), slots.end(), [](const auto& it) {
        return it.leaving != nullptr;
    });
    if (pending && loop.now() < leave_by)
        return;
    for (auto& it : slots)
        it.leaving.reset();
    auto done = std::move(on_left);
    on_left = nullptr;
    done();
}

void ownership::impl::hand_over(shard_slot& slot, const peer_address& from,
                                const Json::Value& params)
{
    message_fields in(params);
    auto epoch = in.number("epoch");
    auto sender = in.text("boot", max_name_bytes);
    auto id = in.number("id", max_transfer_pages);
    auto commit = in.flag("commit");
    if (!in.valid()) {
        ++malformed;
        return;
    }
    if (is_leaving)
        return;
    auto answer = message(slot);
    answer["epoch"] = Json::UInt64(epoch);
    answer["id"] = Json::UInt64(id);
    answer["boot"] = boot;
    bool begun = epoch <= slot.begun_epoch;
    bool taken = commit ? take_commit(slot, epoch, sender, id, params)
                        : take_page(slot, epoch, sender, id, params);
    if (begun || taken)
        transport.send(from, "ownership.handed", answer);
}

bool ownership::impl::take_page(shard_slot& slot, std::uint64_t epoch,
                                const std::string& sender, std::uint64_t id,
                                const Json::Value& params)
{
    message_fields in(params);
    auto entries = entries_from_json(in.optional("entries"));
    if (!entries || epoch <= slot.begun_epoch)
        return false;
    auto& it = slot.incoming;
    if (!it || it->epoch != epoch || it->boot != sender) {
        it.emplace();
        it->epoch = epoch;
        it->boot = sender;
    }
    it->last = loop.now();
    if (it->pages.count(id) != 0)
        return true;
    for (const auto& entry : *entries)
        it->bytes += size_of(entry);
    if (it->bytes > settings.max_copy_bytes) {
        it.reset();
        return false;
    }
    it->pages[id] = std::move(*entries);
    return true;
}

bool ownership::impl::take_commit(shard_slot& slot, std::uint64_t epoch,
                                  const std::string& sender,
                                  std::uint64_t count,
                                  const Json::Value& params)
{
    message_fields in(params);
    auto version = in.number("version");
    auto nodes = nodes_from_json(in.optional("witnesses"));
    auto& it = slot.incoming;
    if (!in.valid() || !nodes || !it || it->epoch != epoch ||
        it->boot != sender || it->pages.size() != count ||
        epoch <= slot.begun_epoch)
        return false;
    auto pages = std::move(it->pages);
    it.reset();
    std::vector<shard_entry> entries;
    for (auto& [part, page] : pages) {
        for (auto& entry : page)
            entries.push_back(std::move(entry));
    }
    step_down(slot);
    shard_object object{epoch, self(), *nodes, {}};
    written(slot, object, version);
    begin_term(slot, object, version, shard_state::origin::hand_over,
               std::move(entries));
    return true;
}

} // namespace shallotwood::process
