#include "process/json_text.hpp"
#include "process/keyed_hash.hpp"
#include "process/name.hpp"
#include "version/head.hpp"
#include "version/plan.hpp"

#include <catch2/catch.hpp>
#include <limits>

namespace shallotwood::version
{

namespace
{

const std::string hash = process::hash_api_key("key");

route approve()
{
    route it;
    it.name = "approve";
    it.prefix = "/approve";
    it.service = "odobritev";
    it.level = request::importance::critical;
    return it;
}

configuration sample()
{
    configuration it;
    it.revision = 41;
    it.routes["approve"] = approve();
    it.workspaces["radio"] = {"radio", 10.5, 20};
    it.keys[hash] = "radio";
    it.servers["vrsta-1"] = server_intent::leave;
    return it;
}

route with(void (*edit)(route&))
{
    auto it = approve();
    edit(it);
    return it;
}

const change all_kinds[] = {
    set_route{approve()},           remove_route{"approve"},
    set_workspace{{"press", 1, 2}}, remove_workspace{"radio"},
    issue_key{hash, "radio"},       withdraw_key{hash},
    join_server{"vrsta-1"},         leave_server{"vrsta-2"},
};

} // namespace

TEST_CASE("a change applies, or says why not")
{
    constexpr double nan = std::numeric_limits<double>::quiet_NaN();
    auto other_hash = process::hash_api_key("other");
    struct {
        change intent;
        std::optional<apply_fault> fault;
    } const cases[] = {
        {set_route{approve()}, apply_fault::no_effect},
        {set_route{with([](route& it) { it.open = true; })}, {}},
        {set_route{with([](route& it) { it.name = "b"; })},
         apply_fault::prefix_taken},
        {set_route{with([](route& it) { it.name = "a b"; })},
         apply_fault::invalid},
        {set_route{with([](route& it) { it.prefix = "approve"; })},
         apply_fault::invalid},
        {set_route{with([](route& it) { it.prefix = "/a\n"; })},
         apply_fault::invalid},
        {set_route{with([](route& it) { it.timeout = max_timeout * 2; })},
         apply_fault::invalid},
        {set_route{with([](route& it) { it.timeout += it.timeout / 7; })},
         apply_fault::invalid},
        {remove_route{"approve"}, {}},
        {remove_route{"b"}, apply_fault::not_found},
        {set_workspace{{"press", 1, 2}}, {}},
        {set_workspace{{"press", 0, 2}}, apply_fault::invalid},
        {set_workspace{{"press", nan, 2}}, apply_fault::invalid},
        {set_workspace{{"press", 1, 0.5}}, apply_fault::invalid},
        {remove_workspace{"press"}, apply_fault::not_found},
        {issue_key{other_hash, "radio"}, {}},
        {issue_key{other_hash, "press"}, apply_fault::no_workspace},
        {issue_key{hash, "radio"}, apply_fault::already_exists},
        {issue_key{"abc", "radio"}, apply_fault::invalid},
        {withdraw_key{hash}, {}},
        {withdraw_key{other_hash}, apply_fault::not_found},
        {join_server{"vrsta-1"}, {}},
        {join_server{"vrsta-2"}, apply_fault::no_effect},
        {leave_server{"vrsta-1"}, apply_fault::no_effect},
        {leave_server{"vrsta-2"}, {}},
    };
    for (const auto& it : cases) {
        INFO(process::write_json(to_json(it.intent)));
        auto result = apply(sample(), it.intent);
        if (auto* error = std::get_if<apply_error>(&result)) {
            INFO(error->message);
            CHECK(it.fault == error->fault);
        } else {
            CHECK_FALSE(it.fault);
            CHECK(std::get<configuration>(result).revision == 42);
        }
    }
}

// A key that outlives its workspace would count against no rate.
TEST_CASE("removing a workspace withdraws its keys")
{
    auto result = apply(sample(), remove_workspace{"radio"});
    REQUIRE(std::holds_alternative<configuration>(result));
    CHECK(std::get<configuration>(result).keys.empty());
}

TEST_CASE("counts of entries are bounded")
{
    auto full = sample();
    for (std::size_t n = full.servers.size(); n < max_server_intents; ++n)
        full.servers["s" + std::to_string(n)] = server_intent::leave;
    auto result = apply(std::move(full), leave_server{"another"});
    REQUIRE(std::holds_alternative<apply_error>(result));
    CHECK(std::get<apply_error>(result).fault == apply_fault::too_many);
}

TEST_CASE("changes and configurations are read back unchanged")
{
    for (const auto& it : all_kinds) {
        auto text = process::write_json(to_json(it));
        INFO(text);
        auto result = change_from_json(*process::parse_json(text));
        REQUIRE(std::holds_alternative<change>(result));
        CHECK(std::get<change>(result) == it);
    }
    auto text = process::write_json(to_json(sample()));
    auto result = configuration_from_json(*process::parse_json(text));
    REQUIRE(std::holds_alternative<configuration>(result));
    CHECK(std::get<configuration>(result) == sample());
}

// Each field of each kind in turn is missing, of a wrong type, or joined by an
// unknown one: lenient reading would let two nodes read one change differently.
TEST_CASE("malformed changes are rejected")
{
    auto rejected = [](const Json::Value& json) {
        return std::holds_alternative<codec_error>(change_from_json(json));
    };
    for (const auto& it : all_kinds) {
        auto json = to_json(it);
        for (const auto& name : json.getMemberNames()) {
            INFO(process::write_json(json) << ' ' << name);
            auto damaged = json;
            damaged.removeMember(name);
            CHECK(rejected(damaged));
            for (const auto& value :
                 {Json::Value(), Json::Value(-1), Json::Value("?"),
                  Json::Value(std::string(100'000, 'x')),
                  Json::Value(Json::arrayValue), Json::Value(1e300)}) {
                damaged[name] = value;
                CHECK(rejected(damaged));
            }
        }
        json["further"] = 1;
        CHECK(rejected(json));
    }
    for (const auto& it : {Json::Value(), Json::Value(1), Json::Value("x"),
                           Json::Value(Json::arrayValue)})
        CHECK(rejected(it));
}

TEST_CASE("text that is not strict JSON is rejected")
{
    for (const auto* it : {"", "{", "1", "{\"a\":1,\"a\":2}", "{} {}",
                           "{\"a\":NaN}", "{\"a\":1,}", "/**/{}"}) {
        INFO(it);
        CHECK_FALSE(process::parse_json(it));
    }
    CHECK_FALSE(process::parse_json(std::string(100'000, '[')));
}

TEST_CASE("a plan names its base and every difference")
{
    auto result = make_plan(sample(), remove_workspace{"radio"}, "op1");
    REQUIRE(std::holds_alternative<plan>(result));
    const auto& it = std::get<plan>(result);
    CHECK(to_text(it) == "Plan op1 against revision 41; confirming it makes "
                         "revision 42:\n"
                         "  - workspace radio\n"
                         "      rate: 10.5 requests/s\n"
                         "      burst: 20 requests\n"
                         "  - key " +
                             hash +
                             "\n"
                             "      workspace: radio\n");
    auto read = plan_from_json(to_json(it));
    REQUIRE(std::holds_alternative<plan>(read));
    CHECK(to_json(std::get<plan>(read)) == to_json(it));
    CHECK_FALSE(check_plan(std::get<plan>(read), sample()));
}

// The operator confirms what the plan shows, so that must be what happens.
TEST_CASE("a plan that shows other differences than it makes is rejected")
{
    auto it = std::get<plan>(
        make_plan(sample(), set_workspace{{"radio", 1, 20}}, "op1"));
    REQUIRE(it.differences.size() == 1);
    CHECK(it.differences[0].fields ==
          std::vector<field_difference>{
              {"rate", "10.5 requests/s", "1 requests/s"}});
    it.intent = set_workspace{{"radio", 1000, 20}};
    CHECK(check_plan(it, sample()));
}

TEST_CASE("a snapshot of a large configuration is split and put together")
{
    auto large = sample();
    for (int n = 0; n < 15'000; ++n) {
        auto name = "w" + std::to_string(n);
        large.workspaces[name] = {name, 1.0 + n / 3.0, 10};
        large.keys[process::hash_api_key(name)] = name;
    }
    auto it = make_snapshot(large, {});
    CHECK(it.chunks.size() > 1);
    snapshot_reader reader(it.reference);
    for (const auto& chunk : it.chunks) {
        CHECK(chunk.size() <= process::max_object_bytes);
        CHECK(chunk_revision(chunk) == 41);
        REQUIRE_FALSE(reader.add(chunk));
    }
    auto result = reader.finish();
    REQUIRE(std::holds_alternative<configuration>(result));
    CHECK(std::get<configuration>(result) == large);

    // A chunk that is missing must not pass as a smaller configuration.
    snapshot_reader short_reader(it.reference);
    REQUIRE_FALSE(short_reader.add(it.chunks[0]));
    CHECK(std::holds_alternative<codec_error>(short_reader.finish()));
}

// A configuration at all its bounds must still fit the objects of the platform.
TEST_CASE("the largest configuration fits the bounds of head and snapshot")
{
    auto name = [](std::size_t n) {
        auto text = std::to_string(n);
        return std::string(process::max_name_bytes - text.size(), 'x') + text;
    };
    configuration largest;
    largest.revision = std::numeric_limits<std::uint64_t>::max();
    auto widest = approve();
    widest.timeout = max_timeout;
    for (std::size_t n = 0; n < max_routes; ++n) {
        widest.name = widest.service = name(n);
        widest.prefix = '/' + std::string(max_prefix_bytes - 65, 'p') + name(n);
        largest.routes[widest.name] = widest;
    }
    for (std::size_t n = 0; n < max_workspaces; ++n)
        largest.workspaces[name(n)] = {name(n), 9999999.9999999991,
                                       99999999.999999985};
    for (std::size_t n = 0; n < max_keys; ++n)
        largest.keys[name(n)] = name(n);
    for (std::size_t n = 0; n < max_server_intents; ++n)
        largest.servers[name(n)] = server_intent::leave;
    auto it = make_snapshot(largest, {});
    CHECK(it.chunks.size() <= max_chunks);
    for (const auto& chunk : it.chunks)
        CHECK(chunk.size() <= process::max_object_bytes);
    head full;
    for (std::size_t n = 0; n < 2 * max_head_changes; ++n)
        full = append(full, std::string(max_operation_bytes, 'o'),
                      set_route{widest});
    CHECK(full.changes.size() == max_head_changes);
    CHECK(encode(full).size() <= process::max_object_bytes);
}

TEST_CASE("malformed heads are rejected")
{
    auto good = append({}, "op1", set_workspace{{"press", 1, 2}});
    auto text = encode(good);
    auto read = decode_head(text);
    REQUIRE(std::holds_alternative<head>(read));
    CHECK(std::get<head>(read) == good);
    struct {
        const char* from;
        const char* to;
    } const cases[] = {
        {"\"format\":1", "\"format\":2"},
        {"\"operation\":\"op1\"", "\"operation\":\"op 1\""},
        {"\"revision\":1,\"snapshot\"", "\"revision\":2,\"snapshot\""},
        {"\"slot\":0", "\"slot\":4"},
        {"\"chunks\":0", "\"chunks\":65"},
        {"\"rate\":1.0", "\"rate\":0"},
        {"{", "{\"further\":1,"},
    };
    for (const auto& it : cases) {
        INFO(it.to);
        auto damaged = text;
        auto at = damaged.find(it.from);
        REQUIRE(at != std::string::npos);
        damaged.replace(at, std::string(it.from).size(), it.to);
        CHECK(std::holds_alternative<codec_error>(decode_head(damaged)));
    }
}

} // namespace shallotwood::version
