#include "support/raw_http.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <cstdlib>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace shallotwood::support
{

namespace
{

// Ends a test that would hang; no verdict depends on it otherwise.
constexpr time_t receive_limit_seconds = 20;

bool equal_names(std::string_view a, std::string_view b)
{
    return a.size() == b.size() &&
           std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
               return std::tolower(static_cast<unsigned char>(x)) ==
                      std::tolower(static_cast<unsigned char>(y));
           });
}

} // namespace

std::string raw_response::header(std::string_view name) const
{
    for (std::size_t n = head.find("\r\n"); n != std::string::npos;
         n = head.find("\r\n", n + 2)) {
        auto line = std::string_view(head).substr(n + 2);
        line = line.substr(0, line.find("\r\n"));
        auto colon = line.find(": ");
        if (colon != std::string_view::npos &&
            equal_names(line.substr(0, colon), name))
            return std::string(line.substr(colon + 2));
    }
    return {};
}

raw_connection::raw_connection(std::uint16_t port)
    : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    ::timeval limit{receive_limit_seconds, 0};
    ::setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    ::sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(socket_, reinterpret_cast<::sockaddr*>(&address),
                  sizeof address) != 0)
        throw std::runtime_error("connection refused");
}

raw_connection::~raw_connection()
{
    ::close(socket_);
}

void raw_connection::send(std::string_view text)
{
    while (!text.empty()) {
        auto count = ::send(socket_, text.data(), text.size(), MSG_NOSIGNAL);
        if (count <= 0)
            return;
        text.remove_prefix(static_cast<std::size_t>(count));
    }
}

bool raw_connection::read_some()
{
    std::array<char, 65536> buf{};
    auto count = ::recv(socket_, buf.data(), buf.size(), 0);
    if (count <= 0)
        return false;
    buffer_.append(buf.data(), static_cast<std::size_t>(count));
    return true;
}

bool raw_connection::read_to(std::size_t size)
{
    while (buffer_.size() < size) {
        if (!read_some())
            return false;
    }
    return true;
}

bool raw_connection::receive_until(std::string_view text)
{
    while (buffer_.find(text) == std::string::npos) {
        if (!read_some())
            return false;
    }
    return true;
}

raw_response raw_connection::receive()
{
    raw_response it;
    if (!receive_until("\r\n\r\n"))
        return it;
    auto end = buffer_.find("\r\n\r\n") + 2;
    it.head = buffer_.substr(0, end);
    buffer_.erase(0, end + 2);
    it.status = std::atoi(it.head.c_str() + it.head.find(' ') + 1);
    if (equal_names(it.header("Transfer-Encoding"), "chunked")) {
        read_chunks(it);
        return it;
    }
    auto length =
        std::strtoull(it.header("Content-Length").c_str(), nullptr, 10);
    it.complete = read_to(length);
    it.body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return it;
}

void raw_connection::read_chunks(raw_response& it)
{
    for (;;) {
        if (!receive_until("\r\n"))
            return;
        auto line = buffer_.find("\r\n") + 2;
        auto size = std::strtoull(buffer_.c_str(), nullptr, 16);
        bool whole = read_to(line + size + 2);
        it.body += buffer_.substr(line, size);
        if (!whole)
            return;
        buffer_.erase(0, line + size + 2);
        if (size == 0) {
            it.complete = true;
            return;
        }
    }
}

raw_response get(std::uint16_t port, const std::string& path,
                 const std::string& headers)
{
    raw_connection it(port);
    it.send("GET " + path + " HTTP/1.1\r\nHost: test\r\n" + headers + "\r\n");
    return it.receive();
}

raw_response post(std::uint16_t port, const std::string& path,
                  const std::string& body, const std::string& headers)
{
    raw_connection it(port);
    it.send("POST " + path + " HTTP/1.1\r\nHost: test\r\n" + headers +
            "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
            body);
    return it.receive();
}

} // namespace shallotwood::support
