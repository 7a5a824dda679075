#include "connection/http/message.hpp"

// Beast's status.hpp needs the complete stream types.
#include <ostream>

#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <glib.h>

namespace shallotwood::connection::http
{

namespace
{

constexpr std::array<std::string_view, 10> hop_by_hop = {"Connection",
                                                         "Keep-Alive",
                                                         "Proxy-Connection",
                                                         "Proxy-Authorization",
                                                         "TE",
                                                         "Trailer",
                                                         "Transfer-Encoding",
                                                         "Upgrade",
                                                         "Content-Length",
                                                         "Expect"};

std::string_view trim(std::string_view text)
{
    constexpr std::string_view space = " \t";
    auto first = text.find_first_not_of(space);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(space) - first + 1);
}

void append_headers(std::string& to, const header_list& headers)
{
    for (const auto& it : headers) {
        to += it.name;
        to += ": ";
        to += it.value;
        to += "\r\n";
    }
}

void append_framing(std::string& to, const framing& body)
{
    if (body.how == framing::kind::length)
        to += "Content-Length: " + std::to_string(body.length) + "\r\n";
    else if (body.how == framing::kind::chunked)
        to += "Transfer-Encoding: chunked\r\n";
    to += "\r\n";
}

} // namespace

bool same_name(std::string_view a, std::string_view b)
{
    return a.size() == b.size() &&
           g_ascii_strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t value = 0;
    const auto* end = text.data() + text.size();
    auto [rest, ec] = std::from_chars(text.data(), end, value);
    if (ec != std::errc() || rest != end || text.empty())
        return std::nullopt;
    return value;
}

void header_list::add(std::string_view name, std::string_view value)
{
    all_.push_back({std::string(name), std::string(value)});
}

void header_list::set(std::string_view name, std::string_view value)
{
    remove(name);
    add(name, value);
}

void header_list::remove(std::string_view name)
{
    all_.erase(std::remove_if(
                   all_.begin(), all_.end(),
                   [&](const header& it) { return same_name(it.name, name); }),
               all_.end());
}

const std::string* header_list::find(std::string_view name) const
{
    for (const auto& it : all_)
        if (same_name(it.name, name))
            return &it.value;
    return nullptr;
}

std::size_t header_list::count(std::string_view name) const
{
    return static_cast<std::size_t>(
        std::count_if(all_.begin(), all_.end(), [&](const header& it) {
            return same_name(it.name, name);
        }));
}

void header_list::remove_hop_by_hop()
{
    std::vector<std::string> named;
    for (const auto& it : all_) {
        if (!same_name(it.name, "Connection"))
            continue;
        std::string_view rest = it.value;
        while (!rest.empty()) {
            auto comma = std::min(rest.find(','), rest.size());
            named.emplace_back(trim(rest.substr(0, comma)));
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    auto drop = [&](const header& it) {
        auto same = [&](std::string_view name) {
            return same_name(it.name, name);
        };
        return std::any_of(hop_by_hop.begin(), hop_by_hop.end(), same) ||
               std::any_of(named.begin(), named.end(), same);
    };
    all_.erase(std::remove_if(all_.begin(), all_.end(), drop), all_.end());
}

std::string serialize(const request_head& head, const framing& body)
{
    std::string text;
    text.reserve(512);
    text += head.method;
    text += ' ';
    text += head.target;
    text += " HTTP/1.1\r\n";
    append_headers(text, head.headers);
    append_framing(text, body);
    return text;
}

std::string serialize(const response_head& head, const framing& body)
{
    std::string text;
    text.reserve(512);
    text += "HTTP/1.1 ";
    text += std::to_string(head.status);
    text += ' ';
    text += reason_phrase(head.status);
    text += "\r\n";
    append_headers(text, head.headers);
    append_framing(text, body);
    return text;
}

std::string chunk(std::string_view bytes)
{
    std::array<char, 16> size{};
    auto [end, ec] =
        std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16);
    std::string text(size.data(), end);
    text += "\r\n";
    text += bytes;
    text += "\r\n";
    return text;
}

std::string_view reason_phrase(int status)
{
    namespace beast = boost::beast::http;
    auto known = beast::int_to_status(static_cast<unsigned>(status));
    if (known == beast::status::unknown)
        return "Status";
    auto text = beast::obsolete_reason(known);
    return {text.data(), text.size()};
}

bool is_interim(int status)
{
    return status / 100 == 1 && status != 101;
}

bool is_final(int status)
{
    return status >= 200 && status <= 599;
}

bool is_bodiless(int status)
{
    return status / 100 == 1 || status == 204 || status == 304;
}

} // namespace shallotwood::connection::http
