#include "process/address.hpp"
#include "process/settings.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <sstream>

namespace shallotwood::process
{

namespace
{

const std::string minimal = R"(instance = "a"
failure_domain = "kranj"
region = "slo"
caller_address = "127.0.0.1:1"
peer_address = "127.0.0.1:2"
local_address = "127.0.0.1:3"
platform_address = "127.0.0.1:4"
fleet_secret = "0123456789abcdef0123456789abcdef"
control_address = "127.0.0.1:5"
)";

setting_errors faults_of(const std::string& text)
{
    auto result = parse_settings(text);
    auto* faults = std::get_if<setting_errors>(&result);
    return faults ? *faults : setting_errors{};
}

std::string replaced(const std::string& from, const std::string& to)
{
    auto text = minimal;
    auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

} // namespace

TEST_CASE("the annotated example is valid and shows the defaults")
{
    auto result = load_settings(EXAMPLE_DIRECTORY "/node.toml");
    REQUIRE(std::holds_alternative<settings>(result));
    const auto& it = std::get<settings>(result);
    settings defaults;
    CHECK(it.seeds.size() == 2);
    CHECK(it.log_level == defaults.log_level);
    CHECK(it.isolation_limit == defaults.isolation_limit);
    CHECK(it.drain_limit == defaults.drain_limit);
    CHECK(it.record_window == defaults.record_window);
    CHECK(it.retry_allowance == defaults.retry_allowance);
    CHECK(it.queue_count_limit == defaults.queue_count_limit);
    CHECK(it.queue_time_limit == defaults.queue_time_limit);
}

// The reference must not lag behind the table of fields.
TEST_CASE("the reference in docs is the one that the table gives")
{
    std::ifstream in(EXAMPLE_DIRECTORY "/../docs/settings.md");
    std::ostringstream text;
    text << in.rdbuf();
    CHECK(text.str().find(settings_reference()) != std::string::npos);
}

TEST_CASE("each faulty field is reported with its line")
{
    const auto added =
        static_cast<int>(std::count(minimal.begin(), minimal.end(), '\n') + 1);
    struct {
        std::string text;
        setting_error expected;
    } const cases[] = {
        {minimal + "colour = 1\n", {10, "colour", "is not a known field"}},
        {minimal + "queue_count_limit = 0\n",
         {10, "queue_count_limit", "must be 1 to 1000000 requests"}},
        {minimal + "queue_count_limit = 1.5\n",
         {10, "queue_count_limit", "must be an integer"}},
        {minimal + "drain_limit = nan\n",
         {10, "drain_limit", "must be 0.1 to 3600 s"}},
        {minimal + "drain_limit = \"1\"\n",
         {10, "drain_limit", "must be a number of seconds"}},
        {minimal + "log_level = \"loud\"\n",
         {10, "log_level",
          "must be trace, debug, info, warning, error or fatal"}},
        {minimal + "region = \"b\"\n", {10, "region", "is set twice"}},
        {minimal + "seeds = [\"127.0.0.1:9\", \"127.0.0.1:9\"]\n",
         {10, "seeds", "names 127.0.0.1:9 twice"}},
        {minimal + "fleet_secret_file = \"x\"\n",
         {10, "fleet_secret", "is set twice, as fleet_secret_file is set too"}},
        {replaced("instance = \"a\"\n", ""), {8, "instance", "is missing"}},
        {replaced("\"slo\"", "7"), {3, "region", "must be a string"}},
        {replaced(":3", ":2"),
         {6, "local_address", "is the same as peer_address"}},
        {replaced("\"127.0.0.1:3\"", "\"10.0.0.1:3\""),
         {6, "local_address", "must be an address of the loopback interface"}},
        {replaced("\"127.0.0.1:2\"", "\"0.0.0.0:2\""),
         {5, "peer_address",
          "must be an address that other processes can connect to"}},
        {replaced("0123456789abcdef0123", "0"),
         {8, "fleet_secret", "must have 32 to 128 bytes"}},
        {minimal + "queue_count_limit = 16 \xc5\xa1 # \xc5\xa1\n",
         {added, "queue_count_limit", "must be ASCII, except for comments"}},
        {minimal + "queue_count_limit = \"\"\"\n",
         {added, "queue_count_limit", "a string can't span several lines"}},
        {std::string(max_settings_bytes + 1, '\n'),
         {0, "", "the file is too large"}},
    };
    REQUIRE(faults_of(minimal + "queue_count_limit = 16 # \xc5\xa1\n").empty());
    for (const auto& it : cases) {
        INFO(it.text.substr(0, 500));
        auto faults = faults_of(it.text);
        REQUIRE(faults.size() == 1);
        CHECK(to_text(faults[0], "f") == to_text(it.expected, "f"));
    }
}

// toml++ stops at the first syntax error; an operator would then find one fault
// a start.
TEST_CASE("all faults are reported at once, duplicates and syntax too")
{
    auto faults = faults_of("instance = \"a b\"\n"
                            "region = \n"
                            "seeds = [\n"
                            "  \"127.0.0.1:9\",\n"
                            "]\n"
                            "queue_count_limit = 16\n"
                            "seeds = [\n"
                            "  \"127.0.0.1:8\"\n"
                            "]\n"
                            "queue_count_limit = 17\n"
                            "unknown = 2\n");
    std::vector<std::pair<int, std::string>> found;
    for (const auto& it : faults)
        found.emplace_back(it.line, it.field);
    std::vector<std::pair<int, std::string>> expected{
        {1, "instance"},
        {2, "region"},
        {7, "seeds"},
        {10, "queue_count_limit"},
        {11, "unknown"},
        {11, "failure_domain"},
        {11, "caller_address"},
        {11, "peer_address"},
        {11, "control_address"},
        {11, "local_address"},
        {11, "platform_address"},
        {11, "fleet_secret_file"},
    };
    std::sort(found.begin(), found.end());
    std::sort(expected.begin(), expected.end());
    CHECK(found == expected);
}

// toml++ states with assertions what these lines violate: they would end the
// process.
TEST_CASE("a line that toml++ asserts on is reported")
{
    for (const auto* it : {"[", "queue_count_limit = [}", "seeds = [\n }\n]"}) {
        INFO(it);
        auto faults = faults_of(minimal + it + "\n");
        REQUIRE_FALSE(faults.empty());
        auto valid = std::count(minimal.begin(), minimal.end(), '\n');
        CHECK(faults[0].line > valid);
        CHECK(faults[0].line <= valid + 2);
    }
}

TEST_CASE("untrusted text never crashes the parser")
{
    const std::string cases[] = {"",
                                 "\n",
                                 "=",
                                 "[",
                                 "[[",
                                 "a.b.c = 1",
                                 "\xff\xfe",
                                 std::string(9, '\0'),
                                 "instance = [[[[[[[[",
                                 "\"\"\"",
                                 "[instance]\nx = 1",
                                 "instance = 1979-05-27",
                                 std::string(3000, '[')};
    for (const auto& it : cases) {
        INFO(it.substr(0, 40));
        CHECK_FALSE(faults_of(it).empty());
    }
}

TEST_CASE("addresses are IP numbers with a port")
{
    for (const auto* it : {"127.0.0.1:80", "[::1]:80", "10.0.0.1:65535"}) {
        INFO(it);
        auto address = parse_address(it);
        REQUIRE(address);
        CHECK(to_text(*address) == it);
    }
    for (const auto* it : {"", ":", ":80", "localhost:80", "127.0.0.1",
                           "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:8x",
                           "::1:80", "[127.0.0.1]:80", "127.0.0.1:+8"}) {
        INFO(it);
        CHECK_FALSE(parse_address(it));
    }
}

TEST_CASE("the fleet secret is read from its file")
{
    std::string name = PROGRAM_DIRECTORY "/test_fleet_secret";
    settings it;
    it.fleet_secret_file = name;
    CHECK(std::holds_alternative<setting_error>(load_fleet_secret(it)));
    std::ofstream(name) << std::string(32, 's') << '\n';
    auto secret = load_fleet_secret(it);
    REQUIRE(std::holds_alternative<std::string>(secret));
    CHECK(std::get<std::string>(secret) == std::string(32, 's'));
    std::ofstream(name) << "short";
    CHECK(std::holds_alternative<setting_error>(load_fleet_secret(it)));
    std::remove(name.c_str());
}

} // namespace shallotwood::process
