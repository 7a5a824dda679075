#include "process/sidecar/peer_codec.hpp"

#include "process/sidecar/packed_numbers.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <cmath>

namespace shallotwood::process::sidecar
{

namespace
{

using connection::http::header_list;

// Prefix of the headers that nodes add; all others belong to the caller's
// request or the backend server's response.
constexpr std::string_view internal_prefix = "sw-";

// The failure rate is sent in thousandths.
constexpr double failure_rate_scale = 1000;

std::string to_text(duration it)
{
    return std::to_string(it.count());
}

// HTTP/2 requires lower-case header names; restores the usual capitalization
// for backend servers and callers.
std::string capitalized(std::string_view name)
{
    std::string text(name);
    bool first = true;
    for (auto& c : text) {
        auto byte = static_cast<unsigned char>(c);
        c = static_cast<char>(first ? std::toupper(byte) : std::tolower(byte));
        first = c == '-';
    }
    return text;
}

std::string to_lower(std::string_view name)
{
    std::string text(name);
    for (auto& c : text)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return text;
}

bool is_internal_header(std::string_view name)
{
    return name.substr(0, internal_prefix.size()) == internal_prefix ||
           (!name.empty() && name.front() == ':');
}

// The header at `place`, counted from 1, is sent without its value.
void add_message_headers(header_list& to, const header_list& from,
                         std::size_t place = 0)
{
    for (const auto& it : from) {
        auto name = to_lower(it.name);
        // Callers must not be able to set the nodes' internal headers.
        if (!is_internal_header(name))
            to.add(name, --place == 0 ? std::string_view() : it.value);
    }
}

// The header at `place`, counted from 1, has this value.
header_list message_headers(const header_list& from, std::size_t place = 0,
                            const std::string& value = {})
{
    header_list to;
    for (const auto& it : from)
        if (!is_internal_header(it.name))
            to.add(capitalized(it.name), --place == 0 ? value : it.value);
    return to;
}

// Rate limits are sent in thousandths of a request per second.
constexpr double rate_scale = 1000;

std::string to_text(const routing::backend_notice& it)
{
    return std::to_string(it.backend) + ' ' +
           std::to_string(std::llround(it.rate_limit * rate_scale)) + ' ' +
           (it.leaving ? '1' : '0');
}

// Missing or unreadable numbers are 0.
template <std::size_t Count>
std::array<std::uint64_t, Count> numbers_in(std::string_view text)
{
    std::array<std::uint64_t, Count> numbers{};
    for (auto& n : numbers) {
        auto space = std::min(text.find(' '), text.size());
        n = connection::http::parse_number(text.substr(0, space)).value_or(0);
        text.remove_prefix(std::min(space + 1, text.size()));
    }
    return numbers;
}

routing::backend_notice notice_from(const std::string& text)
{
    auto [backend, rate, leaving] = numbers_in<3>(text);
    return {backend, static_cast<double>(rate) / rate_scale, leaving != 0};
}

// Entries "INSTANCE SERVICE_TIME AGE STAMP", separated by commas; times in
// milliseconds.
std::string to_text(const std::vector<routing::instance_speed>& speeds)
{
    using milliseconds = std::chrono::milliseconds;
    std::string text;
    for (const auto& it : speeds) {
        if (!text.empty())
            text += ',';
        // Rounded up, since 0 says that it is not known.
        auto time = std::chrono::ceil<milliseconds>(it.service_time);
        auto age = std::chrono::duration_cast<milliseconds>(it.age);
        text += it.instance + ' ' + std::to_string(time.count()) + ' ' +
                std::to_string(age.count()) + ' ' + std::to_string(it.stamp_ms);
    }
    return text;
}

// A longer time is as good as this one, and can't overflow.
constexpr std::uint64_t max_time_ms = 3'600'000;

// Reads at most max_shared_speeds entries; unreadable numbers are 0.
std::vector<routing::instance_speed> speeds_from(std::string_view text)
{
    std::vector<routing::instance_speed> speeds;
    while (!text.empty() && speeds.size() < routing::max_shared_speeds) {
        auto comma = std::min(text.find(','), text.size());
        auto entry = text.substr(0, comma);
        text.remove_prefix(std::min(comma + 1, text.size()));
        auto space = std::min(entry.find(' '), entry.size());
        auto [time, age, stamp] =
            numbers_in<3>(entry.substr(std::min(space + 1, entry.size())));
        speeds.push_back(
            {std::string(entry.substr(0, space)),
             std::chrono::milliseconds(std::min(time, max_time_ms)),
             std::chrono::milliseconds(std::min(age, max_time_ms)), stamp});
    }
    return speeds;
}

// Times in the compact form of a request are in this unit, rounded down.
constexpr duration packed_time_unit = std::chrono::microseconds(100);

std::uint64_t packed_time(duration it)
{
    return static_cast<std::uint64_t>(std::max(it, duration(0)).count() /
                                      packed_time_unit.count());
}

duration unpacked_time(std::uint64_t number)
{
    // A longer time is as good as this one, and can't overflow.
    constexpr std::uint64_t max_time = 864'000'000;
    return packed_time_unit *
           static_cast<duration::rep>(std::min(number, max_time));
}

namespace flag
{
constexpr std::uint64_t repeatable = 1;
constexpr std::uint64_t child_call = 2;
constexpr std::uint64_t retry = 4;
constexpr std::uint64_t has_length = 8;
} // namespace flag

// Place of the first header of the caller or the backend server that has this
// value, counted from 1; 0 if there is none.
std::size_t place_of(const header_list& headers, const std::string& value)
{
    std::size_t place = 0;
    for (const auto& it : headers) {
        if (is_internal_header(to_lower(it.name)))
            continue;
        ++place;
        if (!value.empty() && it.value == value)
            return place;
    }
    return 0;
}

std::string value_at(const header_list& headers, std::uint64_t place)
{
    for (const auto& it : headers)
        if (!is_internal_header(it.name) && --place == 0)
            return it.value;
    return {};
}

// "NAME/NUMBER" in two parts; NUMBER is 0 if the text has another form.
std::pair<std::string, std::uint64_t> split_number(const std::string& text)
{
    auto slash = text.rfind('/');
    if (slash == std::string::npos)
        return {text, 0};
    auto number = connection::http::parse_number(
        std::string_view(text).substr(slash + 1));
    bool canonical = number && *number > 0 &&
                     std::to_string(*number) == text.substr(slash + 1);
    return canonical ? std::make_pair(text.substr(0, slash), *number)
                     : std::make_pair(text, std::uint64_t{0});
}

std::string text_in(const header_list& headers, const char* name)
{
    const auto* it = headers.find(name);
    return it == nullptr ? std::string() : *it;
}

duration time_in(const header_list& headers, const char* name)
{
    return duration(
        static_cast<duration::rep>(number_in(headers, name).value_or(0)));
}

} // namespace

std::optional<std::uint64_t> number_in(const header_list& headers,
                                       const char* name)
{
    const auto* it = headers.find(name);
    if (it == nullptr)
        return std::nullopt;
    return connection::http::parse_number(*it);
}

bool reads_compact_form(const header_list& headers)
{
    return headers.find(packed_header) != nullptr ||
           text_in(headers, form_header) == compact_form;
}

namespace
{

void add_packed(header_list& to, const request::attempt_request& what)
{
    auto [sender, number] = split_number(what.attempt_id);
    auto place = place_of(what.head.headers, what.request_id);
    auto length = what.body->length();
    to.add("sw-attempt", sender);
    if (place == 0)
        to.add("sw-request", what.request_id);
    number_packer all;
    all.add((what.repeatable ? flag::repeatable : 0) |
            (what.is_child_call ? flag::child_call : 0) |
            (what.is_retry ? flag::retry : 0) |
            (length ? flag::has_length : 0));
    all.add(number);
    all.add(place);
    all.add(what.key);
    all.add(static_cast<std::uint64_t>(std::max(what.attempt_number, 0)));
    all.add(packed_time(what.remaining));
    all.add(packed_time(what.max_queue_time));
    all.add(what.policy_revision);
    if (length)
        all.add(*length);
    to.add(packed_header, all.text());
}

void add_plain(header_list& to, const request::attempt_request& what)
{
    to.add("sw-request", what.request_id);
    to.add("sw-attempt", what.attempt_id);
    to.add("sw-repeatable", what.repeatable ? "1" : "0");
    to.add("sw-inner", what.is_child_call ? "1" : "0");
    to.add("sw-key", std::to_string(what.key));
    to.add("sw-number", std::to_string(what.attempt_number));
    to.add("sw-repeat", what.is_retry ? "1" : "0");
    to.add("sw-remaining", to_text(what.remaining));
    to.add("sw-patience", to_text(what.max_queue_time));
    to.add("sw-policy", std::to_string(what.policy_revision));
    if (what.body->length())
        to.add("sw-length", std::to_string(*what.body->length()));
}

// False if the header is unreadable.
bool read_packed(const std::string& text, const header_list& headers,
                 request::attempt_request& what)
{
    number_unpacker all(text);
    auto flags = all.next();
    auto number = all.next();
    auto place = all.next();
    auto key = all.next();
    auto attempt_number = all.next();
    what.remaining = unpacked_time(all.next());
    what.max_queue_time = unpacked_time(all.next());
    what.policy_revision = all.next();
    std::optional<std::uint64_t> length;
    if ((flags & flag::has_length) != 0)
        length = all.next();
    what.body = std::make_shared<request::upload>(length);
    what.repeatable = (flags & flag::repeatable) != 0;
    what.is_child_call = (flags & flag::child_call) != 0;
    what.is_retry = (flags & flag::retry) != 0;
    what.key = static_cast<load::shed_key>(key);
    what.attempt_number = static_cast<int>(attempt_number);
    what.attempt_id = text_in(headers, "sw-attempt");
    if (number != 0)
        what.attempt_id += '/' + std::to_string(number);
    what.request_id =
        place == 0 ? text_in(headers, "sw-request") : value_at(headers, place);
    return all.complete();
}

void read_plain(const header_list& headers, request::attempt_request& what)
{
    what.request_id = text_in(headers, "sw-request");
    what.attempt_id = text_in(headers, "sw-attempt");
    what.repeatable = text_in(headers, "sw-repeatable") == "1";
    what.is_child_call = text_in(headers, "sw-inner") == "1";
    what.is_retry = text_in(headers, "sw-repeat") == "1";
    what.key =
        static_cast<load::shed_key>(number_in(headers, "sw-key").value_or(0));
    what.attempt_number =
        static_cast<int>(number_in(headers, "sw-number").value_or(1));
    what.remaining = time_in(headers, "sw-remaining");
    what.max_queue_time = time_in(headers, "sw-patience");
    what.policy_revision = number_in(headers, "sw-policy").value_or(0);
    what.body =
        std::make_shared<request::upload>(number_in(headers, "sw-length"));
}

} // namespace

header_list to_headers(const request::attempt_request& what, head_form form)
{
    header_list to;
    to.add(":method", what.head.method);
    bool compact = form == head_form::compact;
    to.add(path_header, compact ? peer_path::compact_run : peer_path::run);
    to.add("sw-target", what.head.target);
    to.add("sw-route", what.route);
    to.add("sw-service", what.service);
    if (!what.workspace.empty())
        to.add("sw-workspace", what.workspace);
    to.add("sw-caller", what.caller_service);
    if (compact)
        add_packed(to, what);
    else
        add_plain(to, what);
    if (what.notice.rate_limit > 0 || what.notice.leaving)
        to.add("sw-notice", to_text(what.notice));
    if (!what.speeds.empty())
        to.add(speeds_header, to_text(what.speeds));
    add_message_headers(to, what.head.headers);
    return to;
}

std::optional<request::attempt_request>
attempt_from_headers(header_list&& headers)
{
    request::attempt_request what;
    what.head.method = text_in(headers, ":method");
    what.head.target = text_in(headers, "sw-target");
    what.route = text_in(headers, "sw-route");
    what.service = text_in(headers, "sw-service");
    what.workspace = text_in(headers, "sw-workspace");
    what.caller_service = text_in(headers, "sw-caller");
    if (const auto* text = headers.find(packed_header)) {
        if (!read_packed(*text, headers, what))
            return std::nullopt;
    } else {
        read_plain(headers, what);
    }
    if (what.head.method.empty() || what.head.target.empty() ||
        what.attempt_id.empty() || what.service.empty())
        return std::nullopt;
    what.notice = notice_from(text_in(headers, "sw-notice"));
    what.speeds = speeds_from(text_in(headers, speeds_header));
    what.head.headers = message_headers(headers);
    return what;
}

namespace
{

// The work left is sent in whole milliseconds, rounded up.
std::uint64_t work_number(duration it)
{
    return static_cast<std::uint64_t>(
        std::chrono::ceil<std::chrono::milliseconds>(it).count());
}

duration work_from(std::uint64_t number)
{
    return std::chrono::milliseconds(std::min(number, max_time_ms));
}

// Numbers in the text of a load report without the work left.
constexpr std::ptrdiff_t load_numbers = 8;

std::string load_text(const routing::load_report& load)
{
    return std::to_string(load.running) + ' ' + std::to_string(load.waiting) +
           ' ' + std::to_string(load.limit) + ' ' +
           std::to_string(load.service_time.count()) + ' ' +
           std::to_string(load.shed_threshold) + ' ' +
           std::to_string(std::lround(load.failure_rate * failure_rate_scale)) +
           ' ' + std::to_string(load.route_time.count()) + ' ' +
           std::to_string(load.stamp_ms) +
           (load.work_left ? ' ' + std::to_string(work_number(*load.work_left))
                           : std::string());
}

routing::load_report load_from(const std::string& text)
{
    routing::load_report it;
    auto numbers = numbers_in<load_numbers + 1>(text);
    it.running = static_cast<int>(numbers[0]);
    it.waiting = static_cast<int>(numbers[1]);
    it.limit = static_cast<int>(numbers[2]);
    it.service_time = duration(static_cast<duration::rep>(numbers[3]));
    it.shed_threshold = static_cast<load::shed_key>(numbers[4]);
    it.failure_rate = static_cast<double>(numbers[5]) / failure_rate_scale;
    it.route_time = duration(static_cast<duration::rep>(numbers[6]));
    it.stamp_ms = numbers[7];
    if (std::count(text.begin(), text.end(), ' ') >= load_numbers)
        it.work_left = work_from(numbers[load_numbers]);
    return it;
}

// `place` is that of the header that repeats the request's id, or 0.
std::string packed_reply(const attempt_reply& reply, std::size_t place)
{
    const auto& load = reply.load;
    auto count = [](int n) {
        return static_cast<std::uint64_t>(std::max(n, 0));
    };
    number_packer all;
    all.add(reply.length && !reply.failure ? flag::has_length : 0);
    all.add(place);
    all.add(count(load.running));
    all.add(count(load.waiting));
    all.add(count(load.limit));
    all.add_signed(load.service_time.count());
    all.add(load::no_shed_threshold - load.shed_threshold);
    all.add(count(
        static_cast<int>(std::lround(load.failure_rate * failure_rate_scale))));
    all.add_signed(load.route_time.count());
    // The incarnation is the time of the start by the same clock.
    all.add_signed(
        static_cast<std::int64_t>(load.stamp_ms - reply.incarnation));
    if (reply.length && !reply.failure)
        all.add(*reply.length);
    // Nodes of former versions neither send nor read it.
    if (load.work_left)
        all.add(work_number(*load.work_left));
    return all.text();
}

// Returns the place, or nothing if the header is unreadable.
std::optional<std::uint64_t> read_packed(const std::string& text,
                                         attempt_reply& reply)
{
    number_unpacker all(text);
    auto& load = reply.load;
    auto flags = all.next();
    auto place = all.next();
    load.running = static_cast<int>(all.next());
    load.waiting = static_cast<int>(all.next());
    load.limit = static_cast<int>(all.next());
    load.service_time = duration(all.next_signed());
    load.shed_threshold =
        load::no_shed_threshold - static_cast<load::shed_key>(all.next());
    load.failure_rate = static_cast<double>(all.next()) / failure_rate_scale;
    load.route_time = duration(all.next_signed());
    load.stamp_ms =
        reply.incarnation + static_cast<std::uint64_t>(all.next_signed());
    if ((flags & flag::has_length) != 0)
        reply.length = all.next();
    if (!all.at_end())
        load.work_left = work_from(all.next());
    if (!all.complete())
        return std::nullopt;
    return place;
}

} // namespace

header_list to_headers(const attempt_reply& reply, head_form form,
                       const std::string& request_id)
{
    header_list to;
    int status = reply.response ? reply.response->status : 503;
    to.add(":status", std::to_string(status));
    std::size_t place = 0;
    if (form == head_form::compact) {
        if (!reply.failure)
            place = place_of(reply.response->headers, request_id);
        to.add(packed_header, packed_reply(reply, place));
    } else {
        to.add("sw-load", load_text(reply.load));
    }
    if (!reply.speeds.empty())
        to.add(speeds_header, to_text(reply.speeds));
    to.add("sw-notice", to_text(reply.load.notice));
    to.add("sw-incarnation", std::to_string(reply.incarnation));
    to.add("sw-policy", std::to_string(reply.policy_revision));
    if (reply.failure) {
        to.add("sw-verdict",
               std::string(request::name_of(reply.failure->what.run)));
        to.add("sw-reason",
               std::string(request::name_of(reply.failure->what.why)));
        if (reply.failure->retry_after)
            to.add("sw-retry-after", to_text(*reply.failure->retry_after));
        return to;
    }
    if (reply.length && form == head_form::plain)
        to.add("sw-length", std::to_string(*reply.length));
    add_message_headers(to, reply.response->headers, place);
    return to;
}

std::optional<attempt_reply> reply_from_headers(header_list&& headers,
                                                const std::string& request_id)
{
    auto status = number_in(headers, ":status");
    if (!status)
        return std::nullopt;
    attempt_reply reply;
    reply.incarnation = number_in(headers, "sw-incarnation").value_or(0);
    std::size_t place = 0;
    if (const auto* text = headers.find(packed_header)) {
        auto read = read_packed(*text, reply);
        if (!read)
            return std::nullopt;
        place = *read;
    } else {
        reply.load = load_from(text_in(headers, "sw-load"));
        reply.length = number_in(headers, "sw-length");
    }
    reply.load.notice = notice_from(text_in(headers, "sw-notice"));
    reply.speeds = speeds_from(text_in(headers, speeds_header));
    reply.policy_revision = number_in(headers, "sw-policy").value_or(0);
    if (const auto* text = headers.find("sw-verdict")) {
        request::attempt_failure failure;
        if (!request::parse_execution(*text, failure.what.run))
            return std::nullopt;
        request::parse_reason(text_in(headers, "sw-reason"), failure.what.why);
        if (auto after = number_in(headers, "sw-retry-after"))
            failure.retry_after = duration(static_cast<duration::rep>(*after));
        reply.failure = failure;
        return reply;
    }
    connection::http::response_head head;
    head.status = static_cast<int>(std::min<std::uint64_t>(*status, 1000));
    if (!connection::http::is_final(head.status))
        return std::nullopt;
    head.headers = message_headers(headers, place, request_id);
    reply.response = std::move(head);
    return reply;
}

} // namespace shallotwood::process::sidecar
