#include "process/store_position.hpp"

#include "process/log.hpp"
#include "process/telemetry/decision_log.hpp"

namespace shallotwood::process
{

store_era::response store_era::observe_and_log(std::optional<std::uint64_t> era)
{
    auto before = value_;
    auto seen = observe(era);
    if (seen != response::current &&
        telemetry::allow(telemetry::decision::state))
        SHALLOTWOOD_LOG(warning)
            << "event="
            << (seen == response::restored ? "store_restored"
                                           : "store_response_outdated")
            << field("era", *era) << field("before", before);
    return seen;
}

} // namespace shallotwood::process
