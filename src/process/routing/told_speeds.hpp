// Which service-time reports the node at the other end of a link has not been
// told yet.
//
// Traffic between failure domains is charged, and most reports repeat: an
// instance states its time with each reply, and the times change little. A
// report is passed on over a link if it is newer than what either end has told
// the other one, and either differs from it or is due to be renewed before it
// expires. Bounded: max_entries; beyond it, all is forgotten and told again.
#pragma once

#include "process/event_loop.hpp"
#include "process/routing/speed_board.hpp"

#include <string>
#include <unordered_map>
#include <vector>

namespace shallotwood::process::routing
{

class told_speeds
{
public:
    static constexpr std::size_t max_entries = 4096;
    // Statements expire after 4 s or more.
    static constexpr duration renewal_interval = std::chrono::seconds(2);

    explicit told_speeds(const clock& time) : clock_(time) {}

    // The other end has told `it`.
    void heard(const std::string& service, const std::string& route,
               const instance_speed& it);
    // Those of `all` that the other end does not know yet; they count as told.
    std::vector<instance_speed> news(const std::string& service,
                                     const std::string& route,
                                     std::vector<instance_speed> all);

private:
    struct statement {
        duration service_time{};
        std::uint64_t stamp_ms = 0;
        time_point told_at{};
    };

    static std::string key_of(const std::string& service,
                              const std::string& route,
                              const std::string& instance);
    bool is_news(const statement& told, const instance_speed& it) const;
    void record(const std::string& key, const instance_speed& it);

    const clock& clock_;
    std::unordered_map<std::string, statement> told_;
};

} // namespace shallotwood::process::routing
