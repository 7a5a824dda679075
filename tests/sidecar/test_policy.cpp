#include "platform/platform_protocol_adapter.hpp"
#include "platform/policy_codec.hpp"

#include <catch2/catch.hpp>

namespace shallotwood::test
{

using namespace process::sidecar;
using connection::http::request_head;
using request::execution;
using request::reason;
using std::chrono::milliseconds;

namespace
{

const char* const two_routes = R"({"version":"r7","resources":[
 {"entry_kind":"routes","metadata":{"name":"all"},"spec":{"host":"H.example",
  "path_prefix":"/","kind":"idempotent","timeout_s":0.8,"target_latency_s":1.5,
  "priority":2,"service":"s","max_attempts":2,"anonymous":true}},
 {"entry_kind":"routes","metadata":{"name":"deep"},"spec":{"host":"h.example",
  "path_prefix":"/a/b/","kind":"non_idempotent","timeout_s":1,"priority":0,
  "weighted_services":[{"service":"s","weight":9},{"service":"t","weight":1}]}},
 {"entry_kind":"tenants","metadata":{"name":"w"},"spec":{"api_keys":["k1","k2"],
  "priority":1,"rate_per_s":59,"burst":60}},
 {"entry_kind":"services","metadata":{"name":"s"},"spec":{
  "health_path":"/health","max_connections":370,"warmup_s":4.5,
  "cold_per_s":12}},
 {"entry_kind":"limits","metadata":{},"spec":{"max_header_bytes":16384,
  "max_body_bytes":1000,"header_timeout_s":3,"idle_timeout_s":15}}]})";

version::policy_ptr parse(const std::string& text)
{
    auto result = platform::parse_policy(text);
    auto* policy = std::get_if<version::policy_ptr>(&result);
    return policy == nullptr ? nullptr : *policy;
}

request_head post(const std::string& target)
{
    request_head head;
    head.method = "POST";
    head.target = target;
    return head;
}

const char* const beat_path = "/shallotwood/Instances.Heartbeat/i-1";

} // namespace

TEST_CASE("the platform's configuration becomes a policy")
{
    auto policy = parse(two_routes);
    REQUIRE(policy);
    CHECK(policy->revision() == 7);
    const auto* all = policy->find_route("h.example:80", "/x?y=/a/b/");
    REQUIRE(all != nullptr);
    CHECK(all->name == "all");
    CHECK(all->open);
    CHECK(all->timeout == milliseconds(800));
    const auto* deep = policy->find_route("H.EXAMPLE", "/a/b/c/d");
    REQUIRE(deep != nullptr);
    CHECK(deep->kind == version::work_kind::once);
    CHECK(deep->services.size() == 2);
    CHECK(policy->find_route("h.example", "/a/b")->name == "all");
    CHECK(policy->find_route("other", "/") == nullptr);
    CHECK(policy->workspace_of_key("k2")->name == "w");
    CHECK(policy->workspace_of_key("k3") == nullptr);
    CHECK(policy->limits().idle_time == std::chrono::seconds(15));
    const auto* service = policy->find_service("s");
    REQUIRE(service != nullptr);
    CHECK(service->warmup == milliseconds(4500));
    CHECK(service->cold_rate == 12);
}

// An entry that another program wrote badly must not take the others along.
TEST_CASE("unreadable entries of a configuration are left out")
{
    auto policy = parse(
        R"({"version":"r9","resources":[1,null,{"entry_kind":"routes"},
        {"entry_kind":"routes","metadata":{"name":"x"},"spec":{"host":1}},
        {"entry_kind":"tenants","metadata":{"name":"w"},"spec":{"api_keys":7}},
        {"entry_kind":"new","metadata":{"name":"n"},"spec":{}}]})");
    REQUIRE(policy);
    CHECK(policy->routes().empty());
    CHECK(policy->workspaces().size() == 1);
    for (const char* text :
         {"", "{}", "[]", R"({"version":7,"resources":[]})",
          R"({"version":"x7","resources":[]})", R"({"version":"r7"})"})
        CHECK_FALSE(parse(text));
}

// Guards against a cold server that is taken for warm, and against a value that
// limits a server for good.
TEST_CASE("an announcement may say how long its server stays cold")
{
    platform::platform_protocol_adapter adapter;
    auto read = [&](const std::string& value) {
        return adapter.read_backend_message(
            post(beat_path),
            R"({"address":"127.0.0.1:80","info":{"service":"s",)"
            R"("concurrency":4},"status":{"state":"ready","sequence":3)" +
                value + "}}");
    };
    auto left = [&](const std::string& value) {
        return std::get<announcement>(read(value)).warmup_left;
    };
    CHECK_FALSE(left(""));
    CHECK_FALSE(left(R"(,"warmup_left_s":null)"));
    CHECK(left(R"(,"warmup_left_s":2.25)") == milliseconds(2250));
    CHECK(left(R"(,"warmup_left_s":0)") == milliseconds(0));
    CHECK(left(R"(,"warmup_left_s":-3)") == milliseconds(0));
    CHECK(left(R"(,"warmup_left_s":1e300)") <= std::chrono::hours(24));
    for (const char* bad : {R"("2")", "[]", "{}", "true"})
        CHECK(std::holds_alternative<malformed_message>(
            read(std::string(R"(,"warmup_left_s":)") + bad)));
}

TEST_CASE("announcements that can't be read name no backend server")
{
    platform::platform_protocol_adapter adapter;
    const std::string whole =
        R"({"address":"127.0.0.1:80","born":5,"info":{"service":"s",)"
        R"("concurrency":4},"status":{"state":"ready","sequence":3}})";
    auto good = adapter.read_backend_message(post(beat_path), whole);
    REQUIRE(std::holds_alternative<announcement>(good));
    CHECK(std::get<announcement>(good).slots == 4);
    auto bad = GENERATE(
        as<std::string>{}, "", "[]", "{", R"({"address":"127.0.0.1:80"})",
        R"({"address":"h:80","info":{"service":"s","concurrency":4},)"
        R"("status":{"state":"ready","sequence":3}})",
        R"({"address":"127.0.0.1:80","info":{"service":"s","concurrency":"4"},)"
        R"("status":{"state":"ready","sequence":3}})",
        R"({"address":"127.0.0.1:80","info":{"service":"s","concurrency":4},)"
        R"("status":{"state":"asleep","sequence":3}})",
        R"({"address":"127.0.0.1:80","born":5.5,"info":{"service":"s",)"
        R"("concurrency":4},"status":{"state":"ready","sequence":3}})");
    CHECK(std::holds_alternative<malformed_message>(
        adapter.read_backend_message(post(beat_path), bad)));
    CHECK(std::holds_alternative<departure>(adapter.read_backend_message(
        post("/shallotwood/Instances.Deregister/i-1"), "")));
}

TEST_CASE("statuses that promise not run are given for nothing else")
{
    platform::platform_protocol_adapter adapter;
    auto status = [&](execution run, reason why) {
        return adapter.failure_response({{run, why}, std::nullopt}).status;
    };
    for (auto run : {execution::may_have_run, execution::ran})
        for (auto why :
             {reason::overload, reason::deadline, reason::connection_failed,
              reason::backend_server_failed, reason::draining,
              reason::malformed, reason::connection_silent}) {
            int code = status(run, why);
            bool promises = code == 503 || code == 408 || code == 421;
            CHECK_FALSE(promises);
            CHECK(code >= 500);
        }
    CHECK(status(execution::not_run, reason::overload) == 503);
    CHECK(status(execution::not_run, reason::over_rate) == 429);
    CHECK(status(execution::not_run, reason::unknown_key) == 401);
}

TEST_CASE("a backend server gets what the node says, not the caller")
{
    platform::platform_protocol_adapter adapter;
    request::attempt_request what;
    what.request_id = "id";
    what.workspace = "w";
    what.caller_service = "from";
    request_head head;
    for (const char* name : {"X-Tenant", "X-Caller-Service",
                             "X-Expect-Instance", "x-request-timeout-ms"})
        head.headers.add(name, "forged");
    head.headers.add("Authorization", "Token secret");
    adapter.prepare_backend_request(head, what, "i-1", milliseconds(250));
    CHECK(head.headers.find("Authorization") == nullptr);
    CHECK(*head.headers.find("X-Tenant") == "w");
    CHECK(*head.headers.find("X-Caller-Service") == "from");
    CHECK(*head.headers.find("X-Expect-Instance") == "i-1");
    CHECK(*head.headers.find("X-Request-Timeout-Ms") == "250");
    for (const char* name :
         {"X-Tenant", "X-Caller-Service", "X-Request-Timeout-Ms"})
        CHECK(head.headers.count(name) == 1);
    what.workspace.clear();
    adapter.prepare_backend_request(head, what, "i-1", milliseconds(250));
    CHECK(head.headers.find("X-Tenant") == nullptr);
}

TEST_CASE("a refusal because of an evacuation says that nothing has run")
{
    // Guards against a name that a node writes and another one cannot read.
    platform::platform_protocol_adapter adapter;
    auto head = adapter.failure_response(
        {{execution::not_run, reason::evacuated}, milliseconds(1000)});
    CHECK(head.status == 503);
    CHECK(*head.headers.find("Retry-After") == "1.000");
    CHECK(request::name_of(reason::evacuated) == "evacuated");
    auto why = reason::none;
    CHECK(request::parse_reason("evacuated", why));
    CHECK(why == reason::evacuated);
}

} // namespace shallotwood::test
