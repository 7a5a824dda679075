// HTTP messages as the data path holds them, and the framing of output.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace shallotwood::connection::http
{

struct header {
    std::string name;
    std::string value;

    friend bool operator==(const header& a, const header& b)
    {
        return std::tie(a.name, a.value) == std::tie(b.name, b.value);
    }
};

// In the order of the message. Names compare without regard to case.
class header_list
{
public:
    void add(std::string_view name, std::string_view value);
    void set(std::string_view name, std::string_view value);
    void remove(std::string_view name);
    // Null if there is none; the first if there are several.
    const std::string* find(std::string_view name) const;
    std::size_t count(std::string_view name) const;

    // Removes what concerns one connection only: the hop-by-hop headers of RFC
    // 9110, 7.6.1, those that `Connection` names, and the framing.
    void remove_hop_by_hop();

    auto begin() const { return all_.begin(); }
    auto end() const { return all_.end(); }
    std::size_t size() const { return all_.size(); }
    void clear() { all_.clear(); }

    friend bool operator==(const header_list& a, const header_list& b)
    {
        return a.all_ == b.all_;
    }

private:
    std::vector<header> all_;
};

// True if the names are equal without regard to case.
bool same_name(std::string_view a, std::string_view b);

// The number that the text consists of.
std::optional<std::uint64_t> parse_number(std::string_view text);

struct request_head {
    std::string method;
    // Path and query.
    std::string target;
    header_list headers;
};

struct response_head {
    int status = 0;
    header_list headers;
};

// How a body is delimited on the wire.
struct framing {
    enum class kind { none, length, chunked } how = kind::none;
    std::uint64_t length = 0;
};

// The head with its framing header and the empty line after it.
std::string serialize(const request_head& head, const framing& body);
std::string serialize(const response_head& head, const framing& body);

// One piece of a chunked body; `bytes` is not empty.
std::string chunk(std::string_view bytes);
constexpr std::string_view last_chunk = "0\r\n\r\n";

std::string_view reason_phrase(int status);

// Interim responses precede the response to a request. 101 is none: nobody
// here asks for another protocol.
bool is_interim(int status);
// True for 200 to 599, the statuses that a response may end with.
bool is_final(int status);

// True if a response with this status never has a body.
bool is_bodiless(int status);

} // namespace shallotwood::connection::http
