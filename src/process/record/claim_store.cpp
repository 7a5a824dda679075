#include "process/record/claim_store.hpp"

#include "process/json_text.hpp"
#include "process/keyed_hash.hpp"
#include "process/log.hpp"
#include "process/message_fields.hpp"

#include <algorithm>
#include <glib.h>
#include <utility>

namespace shallotwood::process::record
{

namespace
{

using request::execution;
using request::reason;
using request::recorded_response;

constexpr const char* state_claimed = "claimed";
constexpr const char* state_not_run = "not-run";
constexpr const char* state_may_have_run = "may-have-run";
constexpr const char* state_done = "done";

constexpr std::size_t max_content_type_bytes = 256;
constexpr std::size_t max_claim_bytes = 256;
constexpr std::size_t max_state_bytes = 16;
constexpr std::uint64_t max_status = 999;

// A claim replaces a record that was released ("not-run") or has expired.
// Other nodes may try the same at the same time, so a write can conflict.
constexpr int max_write_attempts = 4;

// Interval at which expired records are removed.
constexpr duration removal_period = std::chrono::seconds(10);

struct record {
    std::string claim;
    std::string state;
    // Wall-clock time of the last change, in milliseconds.
    std::int64_t written_at = 0;
    recorded_response response;
};

// The object name is a hash over the workspace and the key, so that equal keys
// of different workspaces have different records.
std::string record_object_name(const std::string& workspace,
                               const std::string& key)
{
    auto text = workspace + '\n' + key;
    auto* raw = g_compute_checksum_for_string(G_CHECKSUM_SHA256, text.data(),
                                              static_cast<gssize>(text.size()));
    std::string name = object_prefix + std::string(raw);
    g_free(raw);
    return name;
}

Json::Value to_json(const recorded_response& response)
{
    Json::Value out;
    out["status"] = response.status;
    out["type"] = to_base64(response.content_type);
    out["body"] = to_base64(response.body);
    out["recorded"] = response.body_recorded;
    return out;
}

std::optional<recorded_response> response_from_json(const Json::Value& value)
{
    message_fields in(value);
    recorded_response it;
    it.status = static_cast<int>(in.number("status", max_status));
    auto type = from_base64(in.text("type", 2 * max_content_type_bytes));
    auto body = from_base64(in.text("body", max_object_bytes));
    it.body_recorded = in.flag("recorded");
    if (!in.valid() || !type || !body)
        return std::nullopt;
    it.content_type = std::move(*type);
    it.body = std::move(*body);
    return it;
}

std::optional<record> parse_record(const std::string& text)
{
    auto json = parse_json(text);
    if (!json || !json->isObject() || !(*json)["written_at"].isInt64())
        return std::nullopt;
    message_fields in(*json);
    record it;
    it.claim = in.text("claim", max_claim_bytes);
    it.state = in.text("state", max_state_bytes);
    it.written_at = (*json)["written_at"].asInt64();
    if (!in.valid())
        return std::nullopt;
    if (it.state == state_done) {
        auto response = response_from_json((*json)["response"]);
        if (!response)
            return std::nullopt;
        it.response = std::move(*response);
    }
    return it;
}

std::int64_t to_ms(duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

} // namespace

claim_store::claim_store(event_loop& loop, object_store& store,
                         counters& counts, std::string boot_id, wall_clock wall,
                         claim_settings settings)
    : loop_(loop), store_(store), counts_(counts), boot_id_(std::move(boot_id)),
      wall_clock_(std::move(wall)), settings_(settings)
{
    removal_timer_ =
        loop_.call_after(removal_period, [this] { remove_expired(); });
}

claim_store::~claim_store()
{
    loop_.cancel(removal_timer_);
    for (const auto& [id, it] : open_)
        loop_.cancel(it.limit);
}

std::string claim_store::encode(const std::string& id, const char* state) const
{
    Json::Value json;
    json["claim"] = id;
    json["state"] = state;
    json["written_at"] = Json::Int64(wall_clock_());
    return write_json(json);
}

// ---- claiming ---------------------------------------------------------------

void claim_store::claim(const std::string& workspace, const std::string& key,
                        time_point deadline,
                        std::function<void(const claim_result&)> done)
{
    if (key.size() > settings_.max_key_bytes) {
        done(claim_refused{reason::malformed});
        return;
    }
    if (open_.size() >= settings_.max_open_claims) {
        ++counts_.at("claims_over_bound");
        done(claim_refused{reason::record_capacity});
        return;
    }
    auto id = boot_id_ + '-' + std::to_string(++last_claim_);
    auto& it = open_[id];
    it.object = record_object_name(workspace, key);
    it.on_claimed = std::move(done);
    auto left = std::chrono::duration_cast<duration>(
        (deadline - loop_.now()) * settings_.max_deadline_share);
    it.limit = loop_.call_after(std::min(left, settings_.store_timeout),
                                [this, id] { claim_timed_out(id); });
    write_claim(id, 0);
}

void claim_store::write_claim(const std::string& id,
                              std::uint64_t expected_version)
{
    auto& it = open_.at(id);
    ++it.tries;
    store_.put(it.object, encode(id, state_claimed), expected_version,
               [this, id,
                alive = std::weak_ptr<bool>(alive_)](const put_result& result) {
                   if (!alive.expired() && open_.count(id) != 0)
                       on_claim_written(id, result);
               });
}

void claim_store::on_claim_written(const std::string& id,
                                   const put_result& result)
{
    if (const auto* version = std::get_if<std::uint64_t>(&result)) {
        on_claim_granted(id, *version);
        return;
    }
    auto why = std::get<store_error>(result);
    if (why == store_error::conflict || why == store_error::unknown_outcome)
        read_record(id);
    else
        complete_claim(id, claim_refused{});
}

void claim_store::read_record(const std::string& id)
{
    store_.get(open_.at(id).object,
               [this, id,
                alive = std::weak_ptr<bool>(alive_)](const get_result& result) {
                   if (!alive.expired() && open_.count(id) != 0)
                       on_record_read(id, result);
               });
}

void claim_store::on_record_read(const std::string& id,
                                 const get_result& result)
{
    const auto& it = open_.at(id);
    if (const auto* object = std::get_if<stored_object>(&result)) {
        auto found = parse_record(object->value);
        if (found && found->claim == id && found->state == state_claimed)
            on_claim_granted(id, object->version);
        else
            on_key_already_claimed(id, *object);
        return;
    }
    bool gone = std::get<store_error>(result) == store_error::not_found;
    if (gone && it.on_claimed && it.tries < max_write_attempts)
        write_claim(id, 0);
    else
        // The write may have taken effect, or may still do so.
        read_record_later(id);
}

void claim_store::read_record_later(const std::string& id)
{
    loop_.call_after(settings_.retry_interval,
                     [this, id, alive = std::weak_ptr<bool>(alive_)] {
                         if (!alive.expired() && open_.count(id) != 0)
                             read_record(id);
                     });
}

void claim_store::on_key_already_claimed(const std::string& id,
                                         const stored_object& object)
{
    auto found = parse_record(object.value);
    if (!found) {
        // Not a record that this program wrote, so whether a request with the
        // key ran is unknown.
        complete_claim(id, claim_may_have_run{});
        return;
    }
    auto age = wall_clock_() - found->written_at;
    bool free = found->state == state_not_run || age > to_ms(settings_.window);
    if (free && open_.at(id).tries < max_write_attempts) {
        write_claim(id, object.version);
        return;
    }
    bool runs =
        found->state == state_claimed && age <= to_ms(settings_.max_run_time);
    if (free || runs)
        complete_claim(id, claim_in_progress{});
    else if (found->state == state_done)
        complete_claim(id, claim_done{found->response});
    else
        complete_claim(id, claim_may_have_run{});
}

void claim_store::on_claim_granted(const std::string& id, std::uint64_t version)
{
    auto& it = open_.at(id);
    it.version = version;
    if (!it.on_claimed) {
        // The request was already refused, so release the key.
        it.at = phase::running;
        finish(id, execution::not_run, [](bool) {});
        return;
    }
    it.at = phase::running;
    loop_.cancel(it.limit);
    auto done = std::move(it.on_claimed);
    it.on_claimed = {};
    done(claim_granted{id});
}

// Completes a claim that was not granted.
void claim_store::complete_claim(const std::string& id,
                                 const claim_result& result)
{
    auto it = open_.extract(id);
    loop_.cancel(it.mapped().limit);
    if (auto done = std::move(it.mapped().on_claimed))
        done(result);
}

void claim_store::claim_timed_out(const std::string& id)
{
    auto& it = open_.at(id);
    loop_.cancel(it.limit);
    auto done = std::move(it.on_claimed);
    it.on_claimed = {};
    // If the store has written the claim, the key is released; see granted().
    it.limit = loop_.call_after(settings_.outcome_write_timeout,
                                [this, id] { open_.erase(id); });
    if (done) {
        ++counts_.at("claims_unanswered");
        done(claim_refused{});
    }
}

// ---- outcomes ---------------------------------------------------------------

void claim_store::finish(const std::string& claim, claim_outcome outcome,
                         std::function<void(bool recorded)> done)
{
    auto found = open_.find(claim);
    if (found == open_.end() || found->second.at != phase::running) {
        done(false);
        return;
    }
    auto& it = found->second;
    Json::Value json;
    json["claim"] = claim;
    json["written_at"] = Json::Int64(wall_clock_());
    if (auto* response = std::get_if<recorded_response>(&outcome)) {
        if (response->content_type.size() > max_content_type_bytes)
            response->content_type.clear();
        if (response->body.size() > settings_.max_body_bytes) {
            response->body.clear();
            response->body_recorded = false;
        }
        json["state"] = state_done;
        json["response"] = to_json(*response);
    } else {
        bool free = std::get<execution>(outcome) == execution::not_run;
        json["state"] = free ? state_not_run : state_may_have_run;
    }
    it.at = phase::finishing;
    it.outcome = write_json(json);
    it.on_outcome_done = std::move(done);
    it.retry_deadline = loop_.now() + settings_.outcome_write_timeout;
    // Bounds how long the caller waits for the store; the write goes on.
    loop_.cancel(it.limit);
    it.limit = loop_.call_after(settings_.store_timeout, [this, claim] {
        if (auto tell = std::exchange(open_.at(claim).on_outcome_done, {}))
            tell(false);
    });
    write_outcome(claim);
}

void claim_store::write_outcome(const std::string& id)
{
    const auto& it = open_.at(id);
    store_.put(it.object, it.outcome, it.version,
               [this, id,
                alive = std::weak_ptr<bool>(alive_)](const put_result& result) {
                   if (!alive.expired() && open_.count(id) != 0)
                       on_outcome_written(id, result);
               });
}

void claim_store::on_outcome_written(const std::string& id,
                                     const put_result& result)
{
    auto& it = open_.at(id);
    if (const auto* version = std::get_if<std::uint64_t>(&result)) {
        if (removals_.size() < settings_.max_removals)
            removals_.push_back(
                {loop_.now() + settings_.window, it.object, *version});
        complete_outcome(id, true);
        return;
    }
    if (std::get<store_error>(result) == store_error::conflict)
        // Only an earlier attempt to write this outcome can have replaced the
        // claim.
        complete_outcome(id, true);
    else
        retry_outcome(id);
}

void claim_store::retry_outcome(const std::string& id)
{
    if (loop_.now() >= open_.at(id).retry_deadline) {
        ++counts_.at("outcomes_not_recorded");
        SHALLOTWOOD_LOG(warning)
            << "event=outcome_not_recorded" << field("claim", id);
        complete_outcome(id, false);
        return;
    }
    loop_.call_after(settings_.retry_interval,
                     [this, id, alive = std::weak_ptr<bool>(alive_)] {
                         if (!alive.expired() && open_.count(id) != 0)
                             write_outcome(id);
                     });
}

void claim_store::complete_outcome(const std::string& id, bool recorded)
{
    auto it = open_.extract(id);
    loop_.cancel(it.mapped().limit);
    if (auto tell = std::move(it.mapped().on_outcome_done))
        tell(recorded);
}

void claim_store::remove_expired()
{
    while (!removals_.empty() && removals_.front().due <= loop_.now()) {
        auto it = std::move(removals_.front());
        removals_.pop_front();
        // A record that was claimed again in the meantime has another version
        // and is kept.
        store_.remove(it.object, it.version, [](const put_result&) {});
    }
    removal_timer_ =
        loop_.call_after(removal_period, [this] { remove_expired(); });
}

} // namespace shallotwood::process::record
