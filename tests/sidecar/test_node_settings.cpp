#include "process/sidecar/node_settings.hpp"

#include <catch2/catch.hpp>

namespace shallotwood::test
{

using namespace process::sidecar;

namespace
{

const std::string usual = R"(name = "n"
failure_domain = "d"
service = "s"
backend_address = "127.0.0.1:1"
caller_address = "127.0.0.1:2"
peer_address = "127.0.0.1:3"
announce_address = "127.0.0.1:4"
readiness_address = "127.0.0.1:5"
metrics_address = "127.0.0.1:6"
platform_address = "127.0.0.1:7"
retry_ratio = 0.1
retry_allowance = 10
retry_window = 10
shutdown_limit = 6
isolation_limit = 5
max_descriptors = 4096
)";

} // namespace

TEST_CASE("placement by cost is enabled by a setting")
{
    // Guards against a deployment whose choices change without being asked.
    for (const auto* text :
         {"", "placement_by_cost = false\n", "placement_by_cost = true\n"}) {
        CAPTURE(text);
        auto result = parse_node_settings(usual + text);
        REQUIRE(std::holds_alternative<node_settings>(result));
        CHECK(std::get<node_settings>(result).placement_by_cost ==
              (std::string(text).find("true") != std::string::npos));
    }
}

TEST_CASE("evacuations are enabled by a setting")
{
    // Guards against a deployment without evacuations that watches them, and
    // against a limit that is taken though it is no time.
    auto result = parse_node_settings(usual);
    REQUIRE(std::holds_alternative<node_settings>(result));
    CHECK_FALSE(std::get<node_settings>(result).evacuation_limit);
    result = parse_node_settings(usual + "evacuation_limit = 5\n");
    REQUIRE(std::holds_alternative<node_settings>(result));
    CHECK(std::get<node_settings>(result).evacuation_limit ==
          std::chrono::seconds(5));
    for (const auto* text : {"0", "-5", "\"5\"", "nan"}) {
        CAPTURE(text);
        CHECK(std::holds_alternative<settings_error>(
            parse_node_settings(usual + "evacuation_limit = " + text + "\n")));
    }
}

} // namespace shallotwood::test
