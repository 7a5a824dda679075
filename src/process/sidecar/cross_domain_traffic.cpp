#include "process/sidecar/cross_domain_traffic.hpp"

#include "process/log.hpp"
#include "process/sidecar/peer_codec.hpp"

#include <algorithm>
#include <nghttp2/nghttp2.h>
#include <sstream>

namespace shallotwood::connection::peer
{

// The purposes of what the client and the server of a stream send.
struct stream_class {
    process::sidecar::traffic_purpose asked;
    process::sidecar::traffic_purpose answered;
};

} // namespace shallotwood::connection::peer

namespace shallotwood::process::sidecar
{

namespace
{

using connection::peer::frame_direction;
using connection::peer::metered_frame;
using connection::peer::stream_class;

constexpr std::array<std::string_view, traffic_purposes> purpose_names = {
    "request", "response", "speeds", "tokens", "fleet",
    "policy",  "probe",    "ping",   "other"};

constexpr std::array<std::string_view, 2> direction_names = {"sent",
                                                             "received"};

constexpr stream_class attempts{traffic_purpose::request,
                                traffic_purpose::response};
constexpr stream_class tokens{traffic_purpose::tokens, traffic_purpose::tokens};
constexpr stream_class fleet{traffic_purpose::fleet, traffic_purpose::fleet};
constexpr stream_class policy{traffic_purpose::policy, traffic_purpose::policy};
constexpr stream_class probe{traffic_purpose::probe, traffic_purpose::probe};
constexpr stream_class other{traffic_purpose::other, traffic_purpose::other};

struct path_class {
    std::string_view path;
    const stream_class* streams;
};

constexpr std::array<path_class, 8> path_classes = {
    {{peer_path::run, &attempts},
     {peer_path::compact_run, &attempts},
     {peer_path::attach, &attempts},
     {peer_path::fleet, &fleet},
     {peer_path::watch, &fleet},
     {peer_path::policy, &policy},
     {peer_path::tokens, &tokens},
     {peer_path::probe, &probe}}};

std::string labels_of(std::size_t direction, std::size_t purpose)
{
    return "purpose=\"" + std::string(purpose_names[purpose]) +
           "\",direction=\"" + std::string(direction_names[direction]) + '"';
}

} // namespace

std::string_view name_of(traffic_purpose purpose)
{
    return purpose_names[static_cast<std::size_t>(purpose)];
}

cross_domain_traffic::cross_domain_traffic(counters& counts,
                                           std::string own_domain)
    : own_domain_(std::move(own_domain)),
      attempts_own_(&counts.at("attempts", "domain=\"own\"")),
      attempts_other_(&counts.at("attempts", "domain=\"other\""))
{
    for (std::size_t way = 0; way < bytes_.size(); ++way)
        for (std::size_t n = 0; n < traffic_purposes; ++n)
            bytes_[way][n] =
                &counts.at("cross_domain_bytes", labels_of(way, n));
}

std::shared_ptr<cross_domain_traffic::link>
cross_domain_traffic::make_link(role at) const
{
    return std::make_shared<link>(at, own_domain_, bytes_);
}

void cross_domain_traffic::log() const
{
    std::ostringstream fields;
    for (std::size_t way = 0; way < bytes_.size(); ++way)
        for (std::size_t n = 0; n < traffic_purposes; ++n)
            fields << field(std::string(purpose_names[n]) + '_' +
                                std::string(direction_names[way]),
                            *bytes_[way][n]);
    SHALLOTWOOD_LOG(info) << "event=cross_domain_bytes" << fields.str()
                          << field("attempts_own", *attempts_own_)
                          << field("attempts_other", *attempts_other_);
}

void cross_domain_traffic::link::set_domain(const std::string& domain)
{
    domain_ = domain;
    state_ = domain == own_domain_ ? state::own_domain : state::other_domain;
    if (state_ == state::own_domain)
        return;
    for (std::size_t way = 0; way < pending_.size(); ++way)
        for (std::size_t n = 0; n < traffic_purposes; ++n)
            *bytes_[way][n] += pending_[way][n];
}

const stream_class*
cross_domain_traffic::link::class_of(std::string_view path) const
{
    const auto* it =
        std::find_if(path_classes.begin(), path_classes.end(),
                     [&](const auto& n) { return n.path == path; });
    return it == path_classes.end() ? &other : it->streams;
}

std::string_view cross_domain_traffic::link::separate_header() const
{
    return speeds_header;
}

void cross_domain_traffic::link::on_frame(const metered_frame& it)
{
    if (state_ == state::own_domain)
        return;
    auto purpose = traffic_purpose::other;
    bool carries_message =
        it.type == NGHTTP2_HEADERS || it.type == NGHTTP2_DATA;
    if (it.type == NGHTTP2_PING) {
        purpose = traffic_purpose::ping;
    } else if (carries_message && it.stream != nullptr) {
        bool by_client =
            (it.direction == frame_direction::sent) == (role_ == role::client);
        purpose = by_client ? it.stream->asked : it.stream->answered;
    }
    auto separate = std::min(it.separate_bytes, it.bytes);
    add(it.direction, traffic_purpose::speeds, separate);
    add(it.direction, purpose, it.bytes - separate);
}

void cross_domain_traffic::link::add(frame_direction way,
                                     traffic_purpose purpose, std::size_t bytes)
{
    auto direction = static_cast<std::size_t>(way);
    auto n = static_cast<std::size_t>(purpose);
    if (state_ == state::other_domain)
        *bytes_[direction][n] += bytes;
    else
        pending_[direction][n] += bytes;
}

} // namespace shallotwood::process::sidecar
