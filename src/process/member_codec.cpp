#include "process/member_codec.hpp"

#include "process/keyed_hash.hpp"
#include "process/membership.hpp"

#include <algorithm>

namespace shallotwood::process
{

namespace
{

// Estimated size of the JSON punctuation and numbers of an entry.
constexpr std::size_t reduced_entry_overhead_bytes = 26;
constexpr std::size_t full_entry_overhead_bytes = 58;

} // namespace

int state_precedence(member_state it)
{
    switch (it) {
    case member_state::active:
        return 0;
    case member_state::suspect:
        return 1;
    case member_state::leaving:
        return 2;
    case member_state::dead:
        return 3;
    }
    return 0;
}

bool has_reduced_entry(const member& it)
{
    return it.state == member_state::suspect || it.state == member_state::dead;
}

Json::Value to_json(const member& it)
{
    Json::Value entry(Json::arrayValue);
    entry.append(it.instance);
    entry.append(Json::UInt64(it.incarnation));
    entry.append(state_precedence(it.state));
    if (has_reduced_entry(it))
        return entry;
    entry.append(it.service);
    entry.append(it.peer.host);
    entry.append(it.peer.port);
    entry.append(it.http_port);
    entry.append(it.slots);
    entry.append(it.failure_domain);
    entry.append(it.region);
    return entry;
}

Json::Value to_full_json(member it)
{
    if (it.state == member_state::suspect)
        it.state = member_state::active;
    return to_json(it);
}

std::size_t estimated_json_bytes(const member& it)
{
    if (has_reduced_entry(it))
        return reduced_entry_overhead_bytes + it.instance.size();
    return full_entry_overhead_bytes + it.instance.size() + it.service.size() +
           it.peer.host.size() + it.failure_domain.size() + it.region.size();
}

bool read_name(const Json::Value& from, std::string& name)
{
    if (!from.isString())
        return false;
    name = from.asString();
    return name.size() <= membership::max_name_bytes;
}

bool read_port(const Json::Value& from, std::uint16_t& port)
{
    if (!from.isUInt() || from.asUInt() > 65'535)
        return false;
    port = static_cast<std::uint16_t>(from.asUInt());
    return true;
}

namespace
{

bool read_live_fields(const Json::Value& entry, member& it)
{
    if (!read_name(entry[3], it.service) ||
        !read_name(entry[4], it.peer.host) ||
        !read_port(entry[5], it.peer.port) ||
        !read_port(entry[6], it.http_port) || !entry[7].isInt())
        return false;
    it.slots = std::max(0, entry[7].asInt());
    return read_name(entry[8], it.failure_domain) &&
           read_name(entry[9], it.region);
}

} // namespace

std::optional<member> parse_entry(const Json::Value& entry)
{
    member it;
    if (!entry.isArray() || (entry.size() != 3 && entry.size() != 10) ||
        !read_name(entry[0], it.instance) || it.instance.empty() ||
        !entry[1].isUInt64() || !entry[2].isInt())
        return std::nullopt;
    it.incarnation = entry[1].asUInt64();
    static constexpr member_state states[] = {
        member_state::active, member_state::suspect, member_state::leaving,
        member_state::dead};
    auto precedence = entry[2].asInt();
    if (precedence < 0 || precedence > 3)
        return std::nullopt;
    it.state = states[precedence];
    if (has_reduced_entry(it) != (entry.size() == 3))
        return std::nullopt;
    if (entry.size() == 10 && !read_live_fields(entry, it))
        return std::nullopt;
    return it;
}

std::size_t bucket_of(const std::string& instance, std::size_t count)
{
    return stable_hash(instance) % count;
}

std::uint64_t digest_of(const member& it)
{
    auto leaving = it.state == member_state::leaving ? 1 : 0;
    return stable_hash(it.instance, 2 * it.incarnation + leaving);
}

} // namespace shallotwood::process
