#include "process/http/node_status.hpp"

#include "process/address.hpp"
#include "process/json_text.hpp"

namespace shallotwood::process::http
{

namespace
{

constexpr int max_connections = 16;
constexpr auto time_limit = std::chrono::seconds(3);

std::optional<std::uint64_t> parse_revision(const http_response& response)
{
    if (response.status != SOUP_STATUS_OK)
        return std::nullopt;
    auto json = parse_json(response.body);
    if (!json || !json->isObject() || !(*json)["revision"].isUInt64())
        return std::nullopt;
    return (*json)["revision"].asUInt64();
}

} // namespace

http_node_status_reader::http_node_status_reader(event_loop& loop)
    : client_(loop, max_connections)
{
}

void http_node_status_reader::read(const peer_address& local, on_revision done)
{
    http_request it;
    it.uri = "http://" + to_text(local) + "/status";
    it.time_limit = time_limit;
    client_.send(it, [done = std::move(done)](const http_response& response) {
        done(parse_revision(response));
    });
}

} // namespace shallotwood::process::http
