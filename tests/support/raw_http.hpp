// A blocking HTTP/1.1 client over a plain socket, which shows exactly what
// came over the connection. Independent of libsoup.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace shallotwood::support
{

struct raw_response {
    // 0 if there was no status line.
    int status = 0;
    // Status line and headers.
    std::string head;
    // Decoded.
    std::string body;
    // False if the connection ended before the end of the body.
    bool complete = false;

    // The value of the first such header; empty if there is none.
    std::string header(std::string_view name) const;
};

class raw_connection
{
public:
    explicit raw_connection(std::uint16_t port);
    ~raw_connection();
    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;

    void send(std::string_view text);
    // Reads one response.
    raw_response receive();
    // Reads until `text` has come in; false at the end of the connection.
    bool receive_until(std::string_view text);

private:
    bool read_some();
    bool read_to(std::size_t size);
    void read_chunks(raw_response& it);

    int socket_;
    std::string buffer_;
};

// One request on a connection of its own. `headers` are whole lines.
raw_response get(std::uint16_t port, const std::string& path,
                 const std::string& headers = "");
raw_response post(std::uint16_t port, const std::string& path,
                  const std::string& body, const std::string& headers = "");

} // namespace shallotwood::support
