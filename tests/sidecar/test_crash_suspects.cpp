#include "process/load/crash_suspects.hpp"
#include "support/virtual_loop.hpp"

#include <catch2/catch.hpp>

namespace shallotwood::test
{

using namespace process;
using namespace process::load;

TEST_CASE("a request that was in flight in three crashes is refused")
{
    virtual_loop loop;
    crash_suspects table(loop);
    table.record_crash("a", {1, 2});
    table.record_crash("b", {1, 3});
    CHECK_FALSE(table.is_refused(1));
    // The same crash, reported by another node.
    table.record_crash("b", {1});
    CHECK_FALSE(table.is_refused(1));
    table.record_crash("c", {1, 4});
    CHECK(table.is_refused(1));
    for (fingerprint it : {2, 3, 4})
        CHECK_FALSE(table.is_refused(it));
}

TEST_CASE("a request that was answered is no suspect any more")
{
    virtual_loop loop;
    crash_suspects table(loop);
    for (const auto* crash : {"a", "b", "c", "d"}) {
        table.record_crash(crash, {1});
        table.record_response(1);
    }
    CHECK_FALSE(table.is_refused(1));
    CHECK(table.empty());
}

TEST_CASE("suspects are forgotten after a while, and bounded in number")
{
    virtual_loop loop;
    crash_suspects table(loop);
    for (const auto* crash : {"a", "b", "c"})
        table.record_crash(crash, {1});
    REQUIRE(table.is_refused(1));
    loop.advance(crash_suspects::suspect_lifetime + std::chrono::seconds(1));
    CHECK_FALSE(table.is_refused(1));
    // A later crash begins anew.
    table.record_crash("d", {1});
    CHECK_FALSE(table.is_refused(1));
    std::vector<fingerprint> many;
    for (fingerprint it = 0; it < 2 * crash_suspects::max_suspects; ++it)
        many.push_back(it);
    table.record_crash("e", many);
    CHECK(table.size() == crash_suspects::max_suspects);
}

TEST_CASE("fingerprints tell requests apart by each of their parts")
{
    auto it = fingerprint_of("w", "GET", "/a", "body");
    CHECK(it == fingerprint_of("w", "GET", "/a", "body"));
    CHECK(it != fingerprint_of("v", "GET", "/a", "body"));
    CHECK(it != fingerprint_of("w", "POST", "/a", "body"));
    CHECK(it != fingerprint_of("w", "GET", "/b", "body"));
    CHECK(it != fingerprint_of("w", "GET", "/a", ""));
    CHECK(fingerprint_of("", "a", "bc", "") !=
          fingerprint_of("", "ab", "c", ""));
}

} // namespace shallotwood::test
