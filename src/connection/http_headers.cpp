#include "connection/http_headers.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace shallotwood::connection
{

namespace
{

constexpr std::string_view internal_prefix = "shallotwood-";

constexpr std::array<std::string_view, 12> hop_by_hop_names{
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "host",
    "expect"};

bool equal_names(std::string_view a, std::string_view b)
{
    return a.size() == b.size() &&
           std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
               return g_ascii_tolower(x) == g_ascii_tolower(y);
           });
}

struct name_list_release {
    void operator()(GSList* it) const { soup_header_free_list(it); }
};

using name_list = std::unique_ptr<GSList, name_list_release>;

bool is_named_in(const name_list& names, std::string_view name)
{
    for (auto* it = names.get(); it; it = it->next) {
        if (equal_names(static_cast<const char*>(it->data), name))
            return true;
    }
    return false;
}

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    for (;;) {
        auto n = text.find(separator);
        parts.push_back(text.substr(0, n));
        if (n == std::string_view::npos)
            return parts;
        text.remove_prefix(n + 1);
    }
}

template <typename Number>
bool parse(std::string_view text, Number& number)
{
    auto [end, ec] =
        std::from_chars(text.data(), text.data() + text.size(), number);
    return ec == std::errc() && end == text.data() + text.size();
}

} // namespace

bool is_internal(std::string_view name)
{
    return name.size() >= internal_prefix.size() &&
           equal_names(name.substr(0, internal_prefix.size()), internal_prefix);
}

bool is_hop_by_hop(std::string_view name)
{
    return std::any_of(hop_by_hop_names.begin(), hop_by_hop_names.end(),
                       [&](auto it) { return equal_names(it, name); });
}

header_list end_to_end_headers(SoupMessageHeaders* from)
{
    name_list connection;
    if (const auto* it = soup_message_headers_get_list(from, "Connection"))
        connection.reset(soup_header_parse_list(it));
    header_list headers;
    SoupMessageHeadersIter iter;
    soup_message_headers_iter_init(&iter, from);
    const char* name = nullptr;
    const char* value = nullptr;
    while (soup_message_headers_iter_next(&iter, &name, &value)) {
        if (!is_hop_by_hop(name) && !is_internal(name) &&
            !equal_names(name, "Authorization") &&
            !is_named_in(connection, name))
            headers.push_back({name, value});
    }
    return headers;
}

header_list end_to_end_headers(http::header_list from)
{
    from.remove_hop_by_hop();
    header_list headers;
    for (const auto& it : from) {
        if (!is_hop_by_hop(it.name) && !is_internal(it.name) &&
            !equal_names(it.name, "Authorization"))
            headers.push_back({it.name, it.value});
    }
    return headers;
}

void append_headers(SoupMessageHeaders* to, const header_list& headers)
{
    for (const auto& it : headers)
        soup_message_headers_append(to, it.name.c_str(), it.value.c_str());
}

std::optional<std::string> single_header(SoupMessageHeaders* from,
                                         const char* name)
{
    std::optional<std::string> found;
    SoupMessageHeadersIter iter;
    soup_message_headers_iter_init(&iter, from);
    const char* it_name = nullptr;
    const char* value = nullptr;
    while (soup_message_headers_iter_next(&iter, &it_name, &value)) {
        if (!equal_names(it_name, name))
            continue;
        if (found || *value == '\0')
            return std::nullopt;
        found = value;
    }
    return found;
}

std::optional<std::string> single_header(const http::header_list& from,
                                         const char* name)
{
    const auto* it = from.find(name);
    if (it == nullptr || it->empty() || from.count(name) > 1)
        return std::nullopt;
    return *it;
}

header_size size_of(SoupMessageHeaders* headers)
{
    header_size size;
    SoupMessageHeadersIter iter;
    soup_message_headers_iter_init(&iter, headers);
    const char* name = nullptr;
    const char* value = nullptr;
    while (soup_message_headers_iter_next(&iter, &name, &value)) {
        ++size.count;
        size.bytes +=
            std::string_view(name).size() + std::string_view(value).size() + 4;
    }
    return size;
}

std::string to_text(const feedback_header& it)
{
    std::string text = it.attempt_id;
    text += ';';
    text += name_of(it.feedback.what.run);
    text += ';';
    text += name_of(it.feedback.what.why);
    text += ';' + std::to_string(it.feedback.unused_retries);
    text += ';' + std::to_string(it.feedback.shed_threshold);
    text += it.feedback.final ? ";1;" : ";0;";
    if (it.retry_after)
        text += std::to_string(it.retry_after->count());
    text += ';' + it.feedback.redirect;
    return text;
}

std::optional<feedback_header> parse_feedback(std::string_view text)
{
    auto parts = split(text, ';');
    if (parts.size() != 8)
        return std::nullopt;
    feedback_header it;
    it.attempt_id = parts[0];
    it.feedback.final = parts[5] == "1";
    it.feedback.redirect = parts[7];
    if (!request::parse_execution(parts[1], it.feedback.what.run) ||
        !request::parse_reason(parts[2], it.feedback.what.why) ||
        !parse(parts[3], it.feedback.unused_retries) ||
        !parse(parts[4], it.feedback.shed_threshold))
        return std::nullopt;
    if (std::int64_t n = 0; parse(parts[6], n))
        it.retry_after = process::duration(n);
    return it;
}

} // namespace shallotwood::connection
