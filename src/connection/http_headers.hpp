// Which headers a node passes on, and the headers that nodes exchange.
#pragma once

#include "connection/http/message.hpp"
#include "request/call_policy.hpp"

#include <libsoup/soup.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace shallotwood::connection
{

namespace header_name
{
constexpr const char* context = "Shallotwood-Context";
constexpr const char* service = "Shallotwood-Service";
constexpr const char* fingerprint = "Shallotwood-Fingerprint";
constexpr const char* feedback = "Shallotwood-Feedback";
constexpr const char* token = "Shallotwood-Token";
constexpr const char* request_id = "Shallotwood-Request-Id";
constexpr const char* workspace = "Shallotwood-Workspace";
constexpr const char* deadline = "Shallotwood-Deadline-Ms";
constexpr const char* verdict = "Shallotwood-Verdict";
constexpr const char* reason = "Shallotwood-Reason";
} // namespace header_name

struct header {
    std::string name;
    std::string value;
};

using header_list = std::vector<header>;

// Names compare without regard to case. Internal headers start with
// `Shallotwood-`; they are accepted only where a node or backend server is
// meant to set them.
bool is_internal(std::string_view name);

// True for headers that concern one connection (RFC 9110, 7.6.1), the framing,
// and the host.
bool is_hop_by_hop(std::string_view name);

// The headers to pass on: without hop-by-hop headers, those named in
// `Connection`, internal headers, and the caller's key.
header_list end_to_end_headers(SoupMessageHeaders* from);
header_list end_to_end_headers(http::header_list from);

void append_headers(SoupMessageHeaders* to, const header_list& headers);

// The value of a header that must occur exactly once; nothing if it is absent,
// doubled or empty.
std::optional<std::string> single_header(SoupMessageHeaders* from,
                                         const char* name);
std::optional<std::string> single_header(const http::header_list& from,
                                         const char* name);

// Number and total bytes of the headers.
struct header_size {
    std::size_t count = 0;
    std::size_t bytes = 0;
};

header_size size_of(SoupMessageHeaders* headers);

// What a node adds to each response for another node. `attempt_id` matches the
// response to the attempt.
struct feedback_header {
    std::string attempt_id;
    request::call_feedback feedback;
    std::optional<process::duration> retry_after;
};

std::string to_text(const feedback_header& it);
// Nothing if the text is not a feedback header.
std::optional<feedback_header> parse_feedback(std::string_view text);

} // namespace shallotwood::connection
