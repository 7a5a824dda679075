#include "process/address.hpp"

#include <charconv>
#include <gio/gio.h>
#include <memory>

namespace shallotwood::process
{

namespace
{

struct unref_object {
    void operator()(GInetAddress* it) const { g_object_unref(it); }
};

using inet_address = std::unique_ptr<GInetAddress, unref_object>;

inet_address parse_host(const std::string& host)
{
    return inet_address(g_inet_address_new_from_string(host.c_str()));
}

std::optional<std::uint16_t> parse_port(std::string_view text)
{
    std::uint16_t port = 0;
    const auto* end = text.data() + text.size();
    auto [rest, ec] = std::from_chars(text.data(), end, port);
    if (ec != std::errc() || rest != end || port == 0)
        return std::nullopt;
    return port;
}

} // namespace

std::optional<peer_address> parse_address(std::string_view text)
{
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return std::nullopt;
    auto port = parse_port(text.substr(colon + 1));
    if (!port)
        return std::nullopt;
    auto host = text.substr(0, colon);
    bool bracketed = host.front() == '[' && host.back() == ']';
    if (bracketed)
        host = host.substr(1, host.size() - 2);
    // GLib would treat a NUL as the end of the string.
    if (host.find('\0') != std::string_view::npos)
        return std::nullopt;
    auto parsed = parse_host(std::string(host));
    if (!parsed)
        return std::nullopt;
    bool is_v6 =
        g_inet_address_get_family(parsed.get()) == G_SOCKET_FAMILY_IPV6;
    if (is_v6 != bracketed)
        return std::nullopt;
    return peer_address{std::string(host), *port};
}

std::string to_text(const peer_address& address)
{
    bool is_v6 = address.host.find(':') != std::string::npos;
    auto host = is_v6 ? '[' + address.host + ']' : address.host;
    return host + ':' + std::to_string(address.port);
}

bool is_loopback(const peer_address& address)
{
    auto parsed = parse_host(address.host);
    return parsed && g_inet_address_get_is_loopback(parsed.get());
}

bool is_unspecified(const peer_address& address)
{
    auto parsed = parse_host(address.host);
    return parsed && g_inet_address_get_is_any(parsed.get());
}

} // namespace shallotwood::process
