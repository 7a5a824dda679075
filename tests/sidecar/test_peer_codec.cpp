#include "process/sidecar/peer_codec.hpp"

#include "connection/peer/index_policy.hpp"
#include "process/random_source.hpp"
#include "process/routing/told_speeds.hpp"
#include "process/sidecar/connection_state.hpp"
#include "process/sidecar/packed_numbers.hpp"
#include "support/virtual_loop.hpp"

#include <catch2/catch.hpp>
#include <nghttp2/nghttp2.h>

namespace shallotwood::test
{

using namespace process;
using namespace process::sidecar;
using connection::http::header_list;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

// Encodes heads as a connection between nodes does.
class head_deflater
{
public:
    head_deflater() { nghttp2_hd_deflate_new(&deflater_, table_bytes); }
    ~head_deflater() { nghttp2_hd_deflate_del(deflater_); }
    head_deflater(const head_deflater&) = delete;
    head_deflater& operator=(const head_deflater&) = delete;

    std::size_t size_of(const header_list& headers)
    {
        auto bytes_of = [](const std::string& text) {
            return reinterpret_cast<std::uint8_t*>(
                const_cast<char*>(text.data()));
        };
        std::vector<nghttp2_nv> fields;
        for (const auto& it : headers) {
            auto flag = indexing_.indexes(it.name, it.value)
                            ? NGHTTP2_NV_FLAG_NONE
                            : NGHTTP2_NV_FLAG_NO_INDEX;
            fields.push_back({bytes_of(it.name), bytes_of(it.value),
                              it.name.size(), it.value.size(),
                              static_cast<std::uint8_t>(flag)});
        }
        std::vector<std::uint8_t> buf(16'384);
        auto n = nghttp2_hd_deflate_hd(deflater_, buf.data(), buf.size(),
                                       fields.data(), fields.size());
        REQUIRE(n > 0);
        return static_cast<std::size_t>(n);
    }

private:
    static constexpr std::size_t table_bytes = 2048;
    nghttp2_hd_deflater* deflater_ = nullptr;
    connection::peer::index_policy indexing_;
};

std::string id(random_source& random)
{
    std::string text;
    for (int n = 0; n < 16; ++n)
        text += "0123456789abcdef"[random.below(16)];
    return text;
}

// A call as it is on the platform: child calls, eight routes.
request::attempt_request call(random_source& random, int number)
{
    request::attempt_request what;
    what.request_id = id(random) + '.' + id(random);
    what.attempt_id = "10.2.0.44:8407/1784728374850/" + std::to_string(number);
    auto route = std::to_string(random.below(8));
    what.route = "r-8r4b3i" + route;
    what.service = "puzi11" + route;
    what.caller_service = "xazi32c";
    what.is_child_call = true;
    what.key = static_cast<load::shed_key>(random.below(1U << 31U));
    what.attempt_number = 2;
    what.remaining = milliseconds(random.below(700));
    what.max_queue_time = milliseconds(random.below(300));
    what.policy_revision = 4;
    what.head.method = "GET";
    what.head.target = "/r-8r4b3i/" + std::to_string(random.below(100'000));
    what.head.headers.add("Host", "h" + route + ".example");
    what.head.headers.add("X-Id", what.request_id);
    what.body = std::make_shared<request::upload>(std::nullopt);
    return what;
}

attempt_reply answer(random_source& random, const std::string& request_id)
{
    attempt_reply it;
    it.response.emplace();
    it.response->status = 200;
    it.response->headers.add("Content-Type", "application/octet-stream");
    it.response->headers.add("X-Id", request_id);
    it.response->headers.add("Server", "i-7c7fc055b1");
    it.length = random.below(5000);
    it.incarnation = 1'784'728'374'850;
    it.policy_revision = 4;
    it.load.running = static_cast<int>(random.below(36));
    it.load.limit = 36;
    it.load.service_time = duration(55'000 + random.below(9000));
    it.load.route_time = duration(55'000 + random.below(9000));
    it.load.failure_rate = 0.25;
    it.load.shed_threshold = 4'000'000'000;
    it.load.stamp_ms = it.incarnation + random.below(40'000);
    it.load.work_left = milliseconds(random.below(36 * 200));
    it.load.notice = {1'234'567'890'123'456'789, 0, false};
    return it;
}

} // namespace

// Heads are most of what crosses failure domains. Before the compact form and
// index_policy, such heads took 168 and 85 bytes without service-time reports.
TEST_CASE("heads between nodes stay small")
{
    constexpr std::size_t calls = 2000;
    random_source random(1);
    head_deflater to_server;
    head_deflater to_client;
    std::size_t asked = 0;
    std::size_t answered = 0;
    for (std::size_t n = 0; n < calls; ++n) {
        auto what = call(random, static_cast<int>(n) + 1);
        asked += to_server.size_of(to_headers(what, head_form::compact));
        answered +=
            to_client.size_of(to_headers(answer(random, what.request_id),
                                         head_form::compact, what.request_id));
    }
    CHECK(asked / calls < 90);
    CHECK(answered / calls < 45);
}

// A field that one form loses is lost only for some pairs of versions.
TEST_CASE("both forms of a request's head carry the same")
{
    random_source random(1);
    for (auto form : {head_form::plain, head_form::compact})
        for (int n = 0; n < 50; ++n) {
            auto what = call(random, n);
            what.repeatable = n % 2 == 0;
            what.is_retry = n % 3 == 0;
            if (n % 4 == 0)
                what.head.headers.remove("X-Id");
            if (n % 5 == 0)
                what.body = std::make_shared<request::upload>(n);
            auto it = attempt_from_headers(to_headers(what, form));
            REQUIRE(it);
            CHECK(it->request_id == what.request_id);
            CHECK(it->attempt_id == what.attempt_id);
            CHECK(it->route == what.route);
            CHECK(it->repeatable == what.repeatable);
            CHECK(it->is_child_call);
            CHECK(it->is_retry == what.is_retry);
            CHECK(it->key == what.key);
            CHECK(it->attempt_number == 2);
            CHECK(it->remaining == what.remaining);
            CHECK(it->max_queue_time == what.max_queue_time);
            CHECK(it->policy_revision == 4);
            CHECK(it->body->length() == what.body->length());
            CHECK(it->head.headers == what.head.headers);
        }
}

TEST_CASE("both forms of a response's head carry the same")
{
    random_source random(1);
    for (auto form : {head_form::plain, head_form::compact}) {
        auto reply = answer(random, "r1");
        auto it = reply_from_headers(to_headers(reply, form, "r1"), "r1");
        REQUIRE(it);
        CHECK(it->length == reply.length);
        CHECK(it->response->headers == reply.response->headers);
        const auto& load = it->load;
        CHECK(load.running == reply.load.running);
        CHECK(load.limit == 36);
        CHECK(load.service_time == reply.load.service_time);
        CHECK(load.route_time == reply.load.route_time);
        CHECK(load.failure_rate == 0.25);
        CHECK(load.shed_threshold == 4'000'000'000);
        CHECK(load.stamp_ms == reply.load.stamp_ms);
        CHECK(load.notice == reply.load.notice);
        CHECK(load.work_left == reply.load.work_left);
        request::attempt_failure why;
        why.what = {request::execution::not_run, request::reason::overload};
        why.retry_after = milliseconds(30);
        reply.failure = why;
        it = reply_from_headers(to_headers(reply, form, "r1"), "r1");
        REQUIRE((it && it->failure));
        CHECK(it->failure->what.why == request::reason::overload);
        CHECK(it->failure->retry_after == why.retry_after);
    }
}

// A report without the work left, as nodes of former versions send it, must not
// count as one of no work; nor may a forged number overflow.
TEST_CASE("the work left of a report is optional, rounded up and bounded")
{
    random_source random(1);
    for (auto form : {head_form::plain, head_form::compact})
        for (bool has_length : {false, true}) {
            auto reply = answer(random, "r1");
            if (!has_length)
                reply.length.reset();
            auto sent = [&](std::optional<duration> work) {
                reply.load.work_left = work;
                auto it =
                    reply_from_headers(to_headers(reply, form, "r1"), "r1");
                REQUIRE(it);
                CHECK(it->length == reply.length);
                CHECK(it->load.stamp_ms == reply.load.stamp_ms);
                return it->load.work_left;
            };
            CHECK_FALSE(sent(std::nullopt));
            CHECK(sent(duration(0)) == duration(0));
            CHECK(sent(duration(1)) == milliseconds(1));
            auto most = sent(duration::max());
            REQUIRE(most);
            CHECK(*most > seconds(1));
        }
}

// A node of the former version reads only the plain form.
TEST_CASE("the compact form is sent only to nodes that have shown to read it")
{
    random_source random(1);
    virtual_loop loop;
    auto form_after = [&](const header_list& headers) {
        connection_state it(loop, nullptr);
        CHECK(it.form() == head_form::plain);
        it.head_received(headers);
        return it.form();
    };
    auto first = to_headers(call(random, 1));
    CHECK(form_after(first) == head_form::plain);
    CHECK(form_after(to_headers(answer(random, ""))) == head_form::plain);
    first.add(form_header, compact_form);
    CHECK(form_after(first) == head_form::compact);
    CHECK(form_after(to_headers(answer(random, ""), head_form::compact)) ==
          head_form::compact);
}

TEST_CASE("packed numbers come back, and cut ones are noticed")
{
    number_packer all;
    all.add(0);
    all.add(~std::uint64_t{0});
    all.add_signed(-5);
    all.add_signed(std::numeric_limits<std::int64_t>::min());
    number_unpacker whole(all.text());
    CHECK(whole.next() == 0);
    CHECK(whole.next() == ~std::uint64_t{0});
    CHECK(whole.next_signed() == -5);
    CHECK(whole.next_signed() == std::numeric_limits<std::int64_t>::min());
    CHECK(whole.complete());
    CHECK(whole.next() == 0);
    CHECK_FALSE(whole.complete());
    for (const char* text : {"", "\x80",
                             "\xff\xff\xff\xff\xff\xff\xff\xff\xff"
                             "\xff\xff\xff"}) {
        number_unpacker cut{text};
        CHECK(cut.next() == 0);
        CHECK_FALSE(cut.complete());
    }
}

TEST_CASE("a service time is told again only if it changes or gets old")
{
    virtual_loop loop;
    routing::told_speeds link(loop);
    auto news = [&](int time_ms, std::uint64_t stamp) {
        return link.news("s", "r", {{"a:1", milliseconds(time_ms), {}, stamp}})
            .size();
    };
    CHECK(news(50, 1) == 1);
    CHECK(news(50, 1) == 0);
    CHECK(news(52, 2) == 0);
    CHECK(news(80, 3) == 1);
    // What the other end has told is not news to it.
    link.heard("s", "r", {"a:1", milliseconds(120), {}, 4});
    CHECK(news(120, 4) == 0);
    loop.advance(routing::told_speeds::renewal_interval);
    CHECK(news(120, 4) == 0);
    CHECK(news(120, 5) == 1);
}

} // namespace shallotwood::test
