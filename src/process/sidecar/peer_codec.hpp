// Encodes and decodes the headers of HTTP/2 streams between nodes.
//
// Heads have two forms. In the plain one each field is a header of its own,
// which nodes of all versions read. In the compact one the fields that change
// with each call are packed into one header (packed_header), since such values
// don't compress, and what another header or the receiver already has is left
// out. A node reads both forms, and sends the compact one on a connection only
// after the other end has shown that it reads it: a client by form_header in
// its first request, a server by a compact head.
#pragma once

#include "connection/http/message.hpp"
#include "request/attempt.hpp"

#include <optional>
#include <vector>

namespace shallotwood::process::sidecar
{

// Values of `:path`, which select the operation of a stream.
namespace peer_path
{
constexpr std::string_view run = "/run";
// The same in the compact form: in the static table of HPACK, which has no
// dynamic entries for paths.
constexpr std::string_view compact_run = "/";
// Asks for the response of an attempt whose connection was lost.
constexpr std::string_view attach = "/attach";
// Exchange of fleet entries.
constexpr std::string_view fleet = "/fleet";
// Asks for the text of the policy.
constexpr std::string_view policy = "/policy";
// Asks for tokens of a workspace's rate limit.
constexpr std::string_view tokens = "/tokens";
// Asks whether the node reaches another one.
constexpr std::string_view probe = "/probe";
// Says whether the store answers the node.
constexpr std::string_view watch = "/watch";
// Reports the requests that were in flight when a backend server crashed.
constexpr std::string_view crash = "/crash";
} // namespace peer_path

constexpr const char* path_header = ":path";
constexpr const char* speeds_header = "sw-speeds";
// Failure domain of the client; in the first requests on a connection.
constexpr const char* domain_header = "sw-domain";

// Says in the first requests on a connection which forms the client reads.
constexpr const char* form_header = "sw-form";
constexpr const char* compact_form = "2";
// In a head of the compact form.
constexpr const char* packed_header = "sw-c";

enum class head_form {
    plain,
    compact,
};

connection::http::header_list to_headers(const request::attempt_request& what,
                                         head_form form = head_form::plain);
// Nothing if a field is missing or unreadable.
std::optional<request::attempt_request>
attempt_from_headers(connection::http::header_list&& headers);

struct attempt_reply {
    // Head of the response; empty if the attempt failed.
    std::optional<connection::http::response_head> response;
    std::optional<std::uint64_t> length;
    std::optional<request::attempt_failure> failure;
    process::routing::load_report load;
    // What the node knows of the speed of the service's other instances.
    std::vector<process::routing::instance_speed> speeds;
    // Incarnation and policy revision of the node that replies.
    std::uint64_t incarnation = 0;
    std::uint64_t policy_revision = 0;
};

// `request_id` is that of the request; empty if it is not known.
connection::http::header_list to_headers(const attempt_reply& reply,
                                         head_form form = head_form::plain,
                                         const std::string& request_id = {});
std::optional<attempt_reply>
reply_from_headers(connection::http::header_list&& headers,
                   const std::string& request_id = {});

// True if the sender of the head sends and reads the compact form.
bool reads_compact_form(const connection::http::header_list& headers);

// Value of a numeric header; nothing if it is missing or not a number.
std::optional<std::uint64_t>
number_in(const connection::http::header_list& headers, const char* name);

} // namespace shallotwood::process::sidecar
