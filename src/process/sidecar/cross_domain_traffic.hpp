// Counts the bytes that this node exchanges with nodes of other failure
// domains, by purpose: traffic between failure domains is charged.
//
// Counted are the frames of HTTP/2, after header compression; TCP and IP are
// not included.
#pragma once

#include "connection/peer/frame_meter.hpp"
#include "process/counters.hpp"

#include <array>
#include <memory>
#include <string>

namespace shallotwood::process::sidecar
{

enum class traffic_purpose {
    // Heads and bodies of attempts, without the service-time reports.
    request,
    response,
    // Service-time reports in the heads of attempts and responses.
    speeds,
    tokens,
    fleet,
    policy,
    probe,
    ping,
    // Settings, windows, resets, crash reports.
    other,
};

constexpr std::size_t traffic_purposes = 9;

std::string_view name_of(traffic_purpose purpose);

class cross_domain_traffic
{
public:
    enum class role {
        client,
        server,
    };
    class link;

    cross_domain_traffic(counters& counts, std::string own_domain);

    // The meter of one connection. It must not outlive the counters.
    std::shared_ptr<link> make_link(role at) const;

    const std::string& own_domain() const { return own_domain_; }

    void attempt_started(const std::string& domain)
    {
        ++*(domain == own_domain_ ? attempts_own_ : attempts_other_);
    }

    // Writes all counts to the log.
    void log() const;

private:
    using values = std::array<std::uint64_t, traffic_purposes>;
    using references = std::array<std::uint64_t*, traffic_purposes>;

    std::string own_domain_;
    std::array<references, 2> bytes_{};
    std::uint64_t* attempts_own_;
    std::uint64_t* attempts_other_;
};

// Counts are kept back until the failure domain of the other node is known,
// and dropped if it is the own one.
class cross_domain_traffic::link final : public connection::peer::frame_meter
{
public:
    link(role at, const std::string& own_domain,
         const std::array<references, 2>& bytes)
        : role_(at), own_domain_(own_domain), bytes_(bytes)
    {
    }

    bool domain_known() const { return state_ != state::unknown; }
    void set_domain(const std::string& domain);
    // Of the other node; empty if it is not known.
    const std::string& domain() const { return domain_; }
    bool crosses() const { return state_ == state::other_domain; }

    const connection::peer::stream_class*
    class_of(std::string_view path) const override;
    std::string_view separate_header() const override;
    void on_frame(const connection::peer::metered_frame& it) override;

private:
    enum class state {
        unknown,
        own_domain,
        other_domain,
    };

    void add(connection::peer::frame_direction way, traffic_purpose purpose,
             std::size_t bytes);

    role role_;
    std::string own_domain_;
    std::string domain_;
    std::array<references, 2> bytes_;
    std::array<values, 2> pending_{};
    state state_ = state::unknown;
};

} // namespace shallotwood::process::sidecar
