#include "process/glib_event_loop.hpp"
#include "process/keyed_hash.hpp"
#include "process/peer_socket.hpp"

#include <catch2/catch.hpp>
#include <random>
#include <unistd.h>

namespace shallotwood::process
{

namespace
{

const std::string secret(32, 's');
constexpr std::uint16_t peer_port = 20'000;
constexpr std::uint16_t control_port = 20'001;

// A loopback address of this process alone, so that test runs don't meet.
std::string own_host(int node)
{
    auto pid = static_cast<unsigned>(getpid());
    return "127." + std::to_string(64 + node) + '.' +
           std::to_string(pid >> 8 & 0xff) + '.' +
           std::to_string(1 + pid % 250);
}

struct test_node {
    explicit test_node(event_loop& loop, int number,
                       const std::string& with_secret = secret)
        : address{own_host(number), peer_port}
    {
        auto made =
            peer_socket::open(loop, counts, address, control_port, with_secret);
        REQUIRE(std::holds_alternative<std::unique_ptr<peer_socket>>(made));
        socket = std::move(std::get<0>(made));
        socket->subscribe("test.note", [this](const peer_address& from,
                                              const Json::Value& params) {
            senders.push_back(from);
            notes.push_back(params);
        });
    }

    std::uint64_t dropped(const std::string& reason)
    {
        return counts.at("peer_messages_dropped", "reason=\"" + reason + "\"");
    }

    counters counts;
    peer_address address;
    std::unique_ptr<peer_socket> socket;
    std::vector<peer_address> senders;
    std::vector<Json::Value> notes;
};

template <typename Condition>
void run_until(Condition condition)
{
    while (!condition())
        g_main_context_iteration(nullptr, TRUE);
}

std::string random_text(std::size_t size)
{
    std::mt19937 engine(1);
    std::string text;
    while (text.size() < size)
        text.push_back(static_cast<char>('0' + engine() % 75));
    return text;
}

std::string sealed(const peer_message& it, const std::string& with = secret)
{
    return std::get<std::string>(encode_message(it, with));
}

} // namespace

TEST_CASE("messages arrive by datagram and, when large, by stream")
{
    glib_event_loop loop;
    test_node a(loop, 1);
    test_node b(loop, 2);
    for (std::size_t size : {10, 1'000, 5'000, 300'000, 900'000}) {
        Json::Value params;
        params["text"] = random_text(size);
        b.notes.clear();
        a.socket->send(b.address, "test.note", params);
        run_until([&] { return !b.notes.empty(); });
        CHECK(b.notes[0] == params);
        CHECK(b.senders.back() == a.address);
    }
    // Several on one connection keep their bounds.
    b.notes.clear();
    for (int n = 0; n < 5; ++n) {
        Json::Value params;
        params["text"] = random_text(3'000 + n);
        a.socket->send(b.address, "test.note", params);
    }
    run_until([&] { return b.notes.size() == 5; });
    CHECK(b.notes[4]["text"].asString().size() == 3'004);
}

TEST_CASE("messages beyond the bound are not sent")
{
    glib_event_loop loop;
    test_node a(loop, 1);
    Json::Value params;
    params["text"] = std::string(max_message_bytes, 'x');
    a.socket->send({own_host(2), peer_port}, "test.note", params);
    CHECK(a.dropped("too-large") == 1);
    a.socket->send({"no number", peer_port}, "test.note", Json::Value());
    CHECK(a.dropped("bad-address") == 1);
}

// Without the secret or for another node, a message must not reach a handler.
TEST_CASE("messages under another secret are dropped")
{
    glib_event_loop loop;
    test_node a(loop, 1, "another secret");
    test_node b(loop, 2);
    a.socket->send(b.address, "test.note", Json::Value());
    run_until([&] { return b.dropped("unauthenticated") == 1; });
    Json::Value large;
    large["text"] = random_text(5'000);
    a.socket->send(b.address, "test.note", large);
    run_until([&] { return b.dropped("unauthenticated") == 2; });
    CHECK(b.notes.empty());
}

TEST_CASE("bytes that are no messages are counted and dropped")
{
    glib_event_loop loop;
    test_node b(loop, 2);
    auto* to = g_inet_socket_address_new_from_string(b.address.host.c_str(),
                                                     control_port);
    auto* raw = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_DATAGRAM,
                             G_SOCKET_PROTOCOL_UDP, nullptr);
    peer_message redirected{b.address, {"127.0.0.1", 1}, "test.note", {}};
    peer_message unknown{b.address, b.address, "test.other", {}};
    auto tagged = [&b](const std::string& content) {
        auto receiver = b.address.host + ':' + std::to_string(peer_port);
        return keyed_hash(receiver + content, secret) + content;
    };
    const std::vector<std::pair<std::string, std::string>> cases{
        {"x", "malformed"},
        {std::string(600, 'x'), "unauthenticated"},
        {std::string(peer_socket::max_datagram_bytes + 1, 'x'), "too-large"},
        {sealed(redirected), "unauthenticated"},
        {sealed(unknown), "unknown-method"},
        {tagged('\2' + std::string("{}")), "malformed"},
        {tagged('\1' + std::string("no zlib")), "malformed"},
        {tagged('\0' + std::string("{\"jsonrpc\":")), "malformed"},
        {tagged(std::string(1, '\0') + std::string(1'100, '[')), "malformed"},
        {tagged(std::string(1, '\0') +
                R"({"jsonrpc":"2.0","method":"test.note","params":[]})"),
         "malformed"},
        {tagged(
             std::string(1, '\0') +
             R"({"jsonrpc":"2.0","method":"test.note","params":{"from":"x"}})"),
         "malformed"}};
    for (const auto& it : cases) {
        const auto& bytes = it.first;
        const auto& reason = it.second;
        INFO(reason << " " << bytes.size());
        auto before = b.dropped(reason);
        g_socket_send_to(raw, to, bytes.data(), bytes.size(), nullptr, nullptr);
        run_until([&] { return b.dropped(reason) > before; });
    }
    CHECK(b.notes.empty());
    g_object_unref(raw);
    g_object_unref(to);
}

// A length beyond the bound must not make the node reserve memory for it.
TEST_CASE("an oversize length closes the stream")
{
    glib_event_loop loop;
    test_node b(loop, 2);
    auto* client = g_socket_client_new();
    auto* to = g_inet_socket_address_new_from_string(b.address.host.c_str(),
                                                     control_port);
    auto* connection = g_socket_client_connect(client, G_SOCKET_CONNECTABLE(to),
                                               nullptr, nullptr);
    REQUIRE(connection != nullptr);
    g_output_stream_write(
        g_io_stream_get_output_stream(G_IO_STREAM(connection)), "\xff\xff\xff",
        4, nullptr, nullptr);
    run_until([&] { return b.dropped("too-large") == 1; });
    char byte = 0;
    auto size = g_input_stream_read(
        g_io_stream_get_input_stream(G_IO_STREAM(connection)), &byte, 1,
        nullptr, nullptr);
    CHECK(size <= 0);
    g_object_unref(connection);
    g_object_unref(to);
    g_object_unref(client);
}

// A small message that expands without end would exhaust the memory.
TEST_CASE("expansion is bounded")
{
    Json::Value body(std::string(max_message_bytes - 200, 'x'));
    auto whole = sealed({{"h", 1}, {"h", 2}, "test.note", body});
    CHECK(whole.size() < 20'000);
    auto opened = decode_message(whole, {"h", 2}, secret);
    CHECK(std::holds_alternative<std::string>(opened));
    // The same form, expanding to more than the bound.
    auto* by = g_zlib_compressor_new(G_ZLIB_COMPRESSOR_FORMAT_RAW, 9);
    std::string input(3 * max_message_bytes, 'x');
    std::string output(20'000, '\0');
    gsize taken = 0;
    gsize made = 0;
    g_converter_convert(G_CONVERTER(by), input.data(), input.size(),
                        output.data(), output.size(), G_CONVERTER_INPUT_AT_END,
                        &taken, &made, nullptr);
    g_object_unref(by);
    auto content = '\1' + output.substr(0, made);
    auto result = decode_message(keyed_hash("h:2" + content, secret) + content,
                                 {"h", 2}, secret);
    CHECK(std::get<message_error>(result) == message_error::malformed);
}

TEST_CASE("an address in use is reported")
{
    glib_event_loop loop;
    test_node a(loop, 1);
    counters counts;
    auto second =
        peer_socket::open(loop, counts, a.address, control_port, secret);
    REQUIRE(std::holds_alternative<std::string>(second));
    CHECK(!std::get<std::string>(second).empty());
}

} // namespace shallotwood::process
