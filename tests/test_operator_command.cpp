#include "process/address.hpp"
#include "process/glib_event_loop.hpp"
#include "process/json_text.hpp"
#include "process/keyed_hash.hpp"
#include "process/operator_command.hpp"
#include "support/fake_object_store.hpp"
#include "support/platform_process.hpp"
#include "support/virtual_loop.hpp"

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <libsoup/soup.h>
#include <sstream>
#include <unistd.h>

namespace shallotwood::process
{

namespace
{

using words = std::vector<std::string>;

// Test cases run at the same time, each in a process of its own.
const std::string plan_file = PROGRAM_DIRECTORY "/test_operator_plan." +
                              std::to_string(getpid()) + ".json";

class fake_nodes final : public http::node_status_reader
{
public:
    void read(const peer_address& local, on_position done) override
    {
        const auto& it = revisions.at(local);
        done(it ? std::optional(version::position{1, *it}) : std::nullopt);
    }

    std::map<peer_address, std::optional<std::uint64_t>> revisions;
};

struct outcome {
    exit_code code;
    std::string out;
    std::string errors;
};

// One operator's terminal.
class terminal
{
public:
    ~terminal() { std::remove(plan_file.c_str()); }

    outcome run(const words& line, bool yes = false, bool json = false,
                const std::string& save = "", const std::string& input = "")
    {
        operator_options options;
        options.words = line;
        options.yes = yes;
        options.json = json;
        options.save_file = save;
        for (const auto& [node, revision] : nodes.revisions)
            options.nodes.push_back(node);
        std::istringstream in(input);
        std::ostringstream out;
        std::ostringstream errors;
        operator_command command(store, loop, random, nodes, {in, out, errors});
        std::optional<exit_code> code;
        command.run(options, [&](exit_code it) {
            REQUIRE_FALSE(code);
            code = it;
        });
        loop.advance(std::chrono::minutes(1));
        REQUIRE(code);
        return {*code, out.str(), errors.str()};
    }

    outcome confirmed(const words& line) { return run(line, true); }

    // Every value stored at the platform.
    std::string stored()
    {
        std::string text;
        store.list("", [&text](auto result) {
            for (const auto& it : std::get<std::vector<stored_object>>(result))
                text += it.value;
        });
        loop.advance(std::chrono::seconds(1));
        return text;
    }

    test::virtual_loop loop;
    test::fake_object_store store{loop};
    random_source random{1};
    fake_nodes nodes;
};

const words set_radio{"plan", "set-workspace", "radio", "rate=10", "burst=20"};

} // namespace

TEST_CASE_METHOD(terminal, "a plan changes nothing until it is confirmed")
{
    auto planned = run(set_radio, false, false, plan_file);
    CHECK(planned.code == exit_code::done);
    CHECK(planned.out.find("against revision 0") != std::string::npos);
    CHECK(planned.out.find("rate: 10 requests/s") != std::string::npos);
    CHECK(store.writes == 0);

    auto confirm = run({"confirm", plan_file});
    CHECK(confirm.code == exit_code::done);
    CHECK(confirm.out.find("Committed as revision 1.") != std::string::npos);
    auto again = run({"confirm", plan_file});
    CHECK(again.code == exit_code::done);
    CHECK(again.out.find("committed before, as revision 1") !=
          std::string::npos);
    CHECK(store.writes == 1);
}

TEST_CASE_METHOD(terminal,
                 "a superseded plan is a conflict with both revisions")
{
    run(set_radio, false, false, plan_file);
    CHECK(confirmed({"plan", "set-workspace", "press", "rate=1", "burst=2"})
              .code == exit_code::done);
    CHECK(confirmed({"plan", "set-workspace", "press", "rate=3"}).code ==
          exit_code::done);
    auto late = run({"confirm", plan_file});
    CHECK(late.code == exit_code::conflict);
    CHECK(late.errors.find("against revision 0, but the current revision is "
                           "2") != std::string::npos);
    auto json = parse_json(run({"confirm", plan_file}, false, true).out);
    REQUIRE(json);
    CHECK((*json)["result"]["status"] == "conflict");
    CHECK((*json)["result"]["base_revision"] == 0);
    CHECK((*json)["result"]["current_revision"] == 2);
    CHECK(stored().find("radio") == std::string::npos);
}

TEST_CASE_METHOD(terminal, "fields that are not given keep their values")
{
    confirmed(set_radio);
    auto it = run({"plan", "set-workspace", "radio", "rate=5"});
    CHECK(it.out.find("rate: 10 requests/s -> 5 requests/s") !=
          std::string::npos);
    CHECK(it.out.find("burst") == std::string::npos);
    confirmed({"plan", "set-route", "approve", "prefix=/approve",
               "service=odobritev", "importance=critical", "timeout=1.5s"});
    auto route = run({"plan", "set-route", "approve", "repeatable=no"});
    CHECK(route.out.find("  ~ route approve\n      repeatable: yes -> no\n") !=
          std::string::npos);
}

// Whoever reads the platform's content must not obtain a key.
TEST_CASE_METHOD(terminal, "a key is shown once and stored as a hash only")
{
    confirmed(set_radio);
    auto json = parse_json(run({"keys", "issue", "radio"}, true, true).out);
    REQUIRE(json);
    auto key = (*json)["key"].asString();
    CHECK(from_base64(key).value_or("").size() == key_bytes);
    auto hash = hash_api_key(key);
    CHECK(stored().find(key) == std::string::npos);
    CHECK(stored().find(hash) != std::string::npos);
    CHECK(run({"keys", "list"}).out == hash + " radio\n");
    CHECK(run({"keys", "list", "press"}).out.empty());

    auto second = run({"keys", "issue", "radio"}, true);
    CHECK(second.out.find("works once the plan is confirmed") !=
          std::string::npos);
    CHECK(confirmed({"keys", "withdraw", hash.substr(0, 8)}).code ==
          exit_code::done);
    CHECK(stored().find("withdraw_key") != std::string::npos);
    CHECK(run({"keys", "list"}).out.find(hash) == std::string::npos);
}

TEST_CASE_METHOD(terminal, "a leaked key is withdrawn by the key itself")
{
    confirmed(set_radio);
    auto json = parse_json(run({"keys", "issue", "radio"}, true, true).out);
    auto key = (*json)["key"].asString();
    auto result = run({"keys", "withdraw", "-"}, true, false, "", key + "\n");
    CHECK(result.code == exit_code::done);
    CHECK(run({"keys", "list"}).out.empty());
}

TEST_CASE_METHOD(terminal, "status compares the nodes with the platform")
{
    peer_address a{"127.0.0.1", 1};
    peer_address b{"127.0.0.1", 2};
    confirmed(set_radio);
    CHECK(run({"status"}).code == exit_code::done);
    nodes.revisions = {{a, 1}, {b, 2}};
    CHECK(run({"status"}).code == exit_code::done);
    nodes.revisions[a] = 0;
    auto behind = run({"status"});
    CHECK(behind.code == exit_code::nodes_behind);
    CHECK(behind.out.find("127.0.0.1:1: revision 0 in force, behind") !=
          std::string::npos);
    nodes.revisions = {{a, std::nullopt}, {b, 1}};
    auto json = parse_json(run({"status"}, false, true).out);
    REQUIRE(json);
    CHECK((*json)["revision"] == 1);
    CHECK((*json)["nodes"][0]["revision"].isNull());
    CHECK((*json)["nodes"][1]["current"] == true);
    store.down = true;
    auto down = run({"status"});
    CHECK(down.code == exit_code::failed);
    CHECK(down.out.find("127.0.0.1:2: revision 1 in force") !=
          std::string::npos);
}

TEST_CASE_METHOD(terminal, "what the platform does shows in the exit status")
{
    CHECK(confirmed(set_radio).code == exit_code::done);
    run({"plan", "set-workspace", "radio", "rate=1"}, false, false, plan_file);
    store.answers_to_lose = 1'000'000;
    CHECK(run({"confirm", plan_file}).code == exit_code::done);
    store.answers_to_lose = 0;
    run({"plan", "set-workspace", "radio", "rate=2"}, false, false, plan_file);
    store.down = true;
    CHECK(run({"confirm", plan_file}).code == exit_code::failed);
    CHECK(run(set_radio).code == exit_code::failed);
    store.down = false;
    store.answers_to_lose = 1;
    // Down from the time that the head is written, for longer than the limit.
    loop.call_after(std::chrono::milliseconds(5),
                    [this] { store.down = true; });
    CHECK(run({"confirm", plan_file}).code == exit_code::unknown_outcome);
    store.down = false;
    CHECK(run({"confirm", plan_file}).code == exit_code::done);
}

TEST_CASE_METHOD(terminal, "invalid commands exit with 2 and write nothing")
{
    std::ofstream(plan_file) << R"({"format":1})";
    const words cases[] = {
        {},
        {"plan"},
        {"plan", "set-workspace"},
        {"plan", "set-workspace", "radio", "rate"},
        {"plan", "set-workspace", "radio", "rate=x", "burst=1"},
        {"plan", "set-workspace", "radio", "rate=1", "rate=2", "burst=1"},
        {"plan", "set-workspace", "radio", "rate=1", "burst=1", "open=yes"},
        {"plan", "set-workspace", "radio", "rate=-1", "burst=1"},
        {"plan", "set-route", "r", "prefix=/r"},
        {"plan", "set-route", "r", "prefix=/r", "service=s", "timeout=1"},
        {"plan", "set-route", "r", "prefix=/r", "service=s", "timeout=.s"},
        {"plan", "set-route", "r", "prefix=/r", "service=s", "timeout=9e9s"},
        {"plan", "set-route", "r", "prefix=/r", "service=s", "open=true"},
        {"plan", "remove-route", "r"},
        {"plan", "remove-route", "r", "s"},
        {"plan", "explode", "r"},
        {"confirm"},
        {"confirm", "/nonexistent/plan"},
        {"confirm", plan_file},
        {"confirm", "-"},
        {"keys"},
        {"keys", "issue"},
        {"keys", "issue", "unknown"},
        {"keys", "withdraw", "12"},
        {"keys", "withdraw", "0123456789"},
        {"keys", "withdraw", "-"},
        {"status", "now"},
        {"restart"},
    };
    for (const auto& it : cases) {
        for (bool json : {false, true}) {
            INFO((it.empty() ? "" : it[0]) << " " << it.size());
            auto result = run(it, true, json);
            CHECK(result.code == exit_code::invalid);
            CHECK(result.errors.empty() == json);
            CHECK((!json || parse_json(result.out)));
        }
    }
    CHECK(store.writes == 0);
}

// A plan file may come from somebody else; its text reaches the terminal.
TEST_CASE_METHOD(terminal, "a plan file with control characters is rejected")
{
    run(set_radio, false, false, plan_file);
    std::ifstream in(plan_file);
    std::stringstream text;
    text << in.rdbuf();
    auto json = *parse_json(text.str());
    json["differences"][0]["name"] = "radio\x1b[2J";
    std::ofstream(plan_file) << write_json(json);
    auto result = run({"confirm", plan_file});
    CHECK(result.code == exit_code::invalid);
    CHECK(result.out.empty());
}

TEST_CASE("the program confirms plans over HTTP")
{
    test::platform_process platform;
    auto run = [&platform](words line, const std::string& input = "") {
        line.insert(line.begin(), "--platform=" + platform.address());
        return test::run_program("shallotwoodctl", line, input);
    };
    auto other = plan_file + ".other";
    CHECK(run({"--save", plan_file, "plan", "set-workspace", "radio", "rate=10",
               "burst=20"})
              .exit_code == 0);
    CHECK(run({"--save", other, "plan", "leave", "vrsta-1"}).exit_code == 0);
    CHECK(run({"status"}).output.find("Revision 0") == 0);
    CHECK(run({"confirm", plan_file}).exit_code == 0);
    auto conflict = run({"confirm", other});
    CHECK(conflict.exit_code == 3);
    CHECK(conflict.errors.find("revision 0, but the current revision is 1") !=
          std::string::npos);
    platform.control(R"({"lose_answers":1})");
    auto lost = run({"--yes", "--json", "keys", "issue", "radio"});
    CHECK(lost.exit_code == 0);
    auto json = parse_json(lost.output);
    REQUIRE(json);
    CHECK((*json)["result"]["revision"] == 2);
    CHECK(run({"--yes", "keys", "withdraw", "-"},
              (*json)["key"].asString() + "\n")
              .exit_code == 0);
    platform.control(R"({"outage":"refused"})");
    CHECK(run({"--timeout=1", "status"}).exit_code == 1);
    CHECK(run({"--ye", "plan", "leave", "vrsta-1"}).exit_code == 2);
    std::remove(plan_file.c_str());
    std::remove(other.c_str());
}

TEST_CASE("every program has --help and --version")
{
    for (const auto* name : {"shallotwoodctl", "platform_standin"}) {
        auto help = test::run_program(name, {"--help"});
        CHECK(help.exit_code == 0);
        CHECK(help.output.find("Usage: ") == 0);
        auto version = test::run_program(name, {"--version"});
        CHECK(version.output ==
              std::string(name) + " " + SHALLOTWOOD_VERSION + "\n");
        CHECK(test::run_program(name, {"--unknown"}).exit_code == 2);
    }
}

TEST_CASE("the revision of a node is read over HTTP")
{
    struct {
        const char* body;
        std::optional<version::position> expected;
    } const cases[] = {{R"({"revision":7,"other":1})", version::position{0, 7}},
                       {R"({"era":2,"revision":7})", version::position{2, 7}},
                       {R"({"era":"2","revision":7})", std::nullopt},
                       {R"({"revision":-7})", std::nullopt},
                       {R"({})", std::nullopt},
                       {"7", std::nullopt}};
    for (const auto& it : cases) {
        auto* server = soup_server_new(nullptr, nullptr);
        soup_server_add_handler(
            server, "/status",
            [](SoupServer*, SoupServerMessage* message, const char*,
               GHashTable*, gpointer data) {
                const auto* body = static_cast<const char*>(data);
                soup_server_message_set_status(message, SOUP_STATUS_OK,
                                               nullptr);
                soup_server_message_set_response(message, "application/json",
                                                 SOUP_MEMORY_COPY, body,
                                                 std::string(body).size());
            },
            const_cast<char*>(it.body), nullptr);
        REQUIRE(soup_server_listen_local(
            server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, nullptr));
        auto* uris = soup_server_get_uris(server);
        auto port = g_uri_get_port(static_cast<GUri*>(uris->data));
        g_slist_free_full(
            uris, [](gpointer uri) { g_uri_unref(static_cast<GUri*>(uri)); });
        glib_event_loop loop;
        http::http_node_status_reader reader(loop);
        std::optional<version::position> position;
        bool done = false;
        reader.read({"127.0.0.1", static_cast<std::uint16_t>(port)},
                    [&](auto found) {
                        position = found;
                        done = true;
                    });
        test::iterate_until([&] { return done; });
        CHECK(position == it.expected);
        soup_server_disconnect(server);
        g_object_unref(server);
    }
}

} // namespace shallotwood::process
