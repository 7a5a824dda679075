// The parts of a node around its backend server, without the rest.
#pragma once

#include "platform/platform_protocol_adapter.hpp"
#include "process/sidecar/local_executor.hpp"

#include <string>

namespace shallotwood::test
{

struct local_node {
    local_node(process::loop::reactor& loop,
               const process::peer_address& server)
        : backend("s", server), shed_thresholds(loop), suspects(loop),
          executor(loop, adapter, counts, backend, shed_thresholds, suspects)
    {
        process::sidecar::announcement it;
        it.backend_id = "b";
        it.service = "s";
        it.address = server;
        it.slots = 4;
        backend.handle_announcement(it);
        executor.backend_changed();
    }

    platform::platform_protocol_adapter adapter;
    process::counters counts;
    process::sidecar::local_backend backend;
    process::load::shed_threshold_table shed_thresholds;
    process::load::crash_suspects suspects;
    process::sidecar::local_executor executor;
};

// A run on the service of a local_node.
inline request::attempt_request run_on_s(const std::string& attempt,
                                         bool repeatable)
{
    request::attempt_request what;
    what.request_id = "r";
    what.attempt_id = attempt;
    what.route = "route";
    what.service = "s";
    what.repeatable = repeatable;
    what.remaining = what.max_queue_time = std::chrono::seconds(20);
    what.head.method = repeatable ? "GET" : "DELETE";
    what.head.target = "/";
    what.body = std::make_shared<request::upload>(std::nullopt);
    what.body->finish();
    return what;
}

} // namespace shallotwood::test
