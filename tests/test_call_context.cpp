#include "process/keyed_hash.hpp"
#include "request/call_context.hpp"

#include <catch2/catch.hpp>

namespace shallotwood::request
{

namespace
{

call_context sample()
{
    call_context it;
    it.request_id = "r1";
    it.attempt_id = "a1";
    it.workspace = "radio";
    it.route = "approve";
    it.level = importance::critical;
    it.key = 17;
    it.repeatable = false;
    it.idempotency_key = "k \"quoted\"";
    it.remaining = std::chrono::seconds(2);
    it.retries = 2;
    it.depth = 3;
    return it;
}

const std::string secret(32, 's');

} // namespace

TEST_CASE("a sealed context is read back unchanged")
{
    auto result = unseal(seal(sample(), secret), secret);
    REQUIRE(std::holds_alternative<call_context>(result));
    CHECK(std::get<call_context>(result) == sample());
}

// Without the check, anyone on the network could claim a workspace.
TEST_CASE("a context under another secret is rejected")
{
    auto result = unseal(seal(sample(), std::string(32, 't')), secret);
    REQUIRE(std::holds_alternative<context_error>(result));
    CHECK(std::get<context_error>(result) == context_error::bad_seal);
}

TEST_CASE("malformed contexts are rejected")
{
    auto sealed = [](const std::string& text) {
        return process::to_base64(process::keyed_hash(text, secret) + text);
    };
    const std::string cases[] = {
        "",
        "!",
        "YWJj",
        std::string(9000, 'a'),
        sealed("{"),
        sealed("[]"),
        // The parser is recursive and throws beyond its own limit.
        sealed(std::string(2000, '[')),
        sealed(R"(["","","","",9,0,true,"",0,0,0])"),
        sealed(R"(["","","","",1,0,true,"",0,-1,0])"),
        sealed(R"(["","","","",1,0,1,"",0,0,0])"),
    };
    for (const auto& it : cases) {
        INFO(it);
        CHECK(std::holds_alternative<context_error>(unseal(it, secret)));
    }
}

} // namespace shallotwood::request
