#include "process/http/node_status.hpp"

#include "process/address.hpp"
#include "process/json_text.hpp"

namespace shallotwood::process::http
{

namespace
{

constexpr int max_connections = 16;
constexpr auto time_limit = std::chrono::seconds(3);

std::optional<version::position> parse_position(const http_response& response)
{
    if (response.status != SOUP_STATUS_OK)
        return std::nullopt;
    auto json = parse_json(response.body);
    return json ? version::read_position(*json, "era", "revision")
                : std::nullopt;
}

} // namespace

http_node_status_reader::http_node_status_reader(event_loop& loop)
    : client_(loop, max_connections)
{
}

void http_node_status_reader::read(const peer_address& local, on_position done)
{
    http_request it;
    it.uri = "http://" + to_text(local) + "/status";
    it.time_limit = time_limit;
    client_.send(it, [done = std::move(done)](const http_response& response) {
        done(parse_position(response));
    });
}

} // namespace shallotwood::process::http
