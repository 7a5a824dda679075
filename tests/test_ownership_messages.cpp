#include "support/fleet.hpp"

#include <catch2/catch.hpp>

namespace shallotwood::test
{

namespace
{

const char* const methods[] = {
    "ownership.extend",    "ownership.extended", "ownership.fence",
    "ownership.fenced",    "ownership.enlist",   "ownership.enlisted",
    "ownership.dismiss",   "ownership.check",    "ownership.checked",
    "ownership.hand_over", "ownership.handed",   "record.copy",
    "record.copied",       "record.claim",       "record.claimed",
    "record.finish",       "record.finished",    "rate.ask",
    "rate.grant",          "rate.return"};

const char* const field_names[] = {
    "shard",    "epoch",    "id",           "boot",     "cursor",
    "entries",  "result",   "version",      "instance", "commit",
    "status",   "owner",    "witnesses",    "claim",    "key",
    "how",      "response", "workspace",    "node",     "sequence",
    "held",     "returned", "need",         "ahead",    "count",
    "retry_us", "next",     "remaining_us", "below",    "complete"};

Json::Value random_value(process::random_source& random, int depth)
{
    static const char* const texts[] = {
        "",   "n1.1",    "ok",        "done",      "granted", "!",
        "ws", "refused", "restarted", "not_owner", "record:x"};
    switch (random.below(depth > 2 ? 9 : 11)) {
    case 0:
        return {};
    case 1:
        return random.below(2) == 0;
    case 2:
        return Json::Int64(-1);
    case 3:
        return Json::UInt64(random.below(4));
    case 4:
        return Json::UInt64(UINT64_MAX - random.below(3));
    case 5:
        return 1e308 * random.unit();
    case 6:
        return std::string(random.below(3000), 'x');
    case 7:
    case 8:
        return texts[random.below(std::size(texts))];
    case 9: {
        Json::Value list(Json::arrayValue);
        for (auto n = random.below(4); n > 0; --n)
            list.append(random_value(random, depth + 1));
        return list;
    }
    default: {
        static const char* const inner[] = {"k",    "e",        "s",    "l",
                                            "v",    "r",        "host", "port",
                                            "boot", "instance", "epoch"};
        Json::Value object;
        for (const auto* name : inner) {
            if (random.below(2) == 0)
                object[name] = random_value(random, depth + 1);
        }
        return object;
    }
    }
}

} // namespace

// Messages come over the network; a wrong type must neither throw nor leave
// the node unable to serve.
TEST_CASE("random messages do not break a node")
{
    fleet it(1);
    it.limits["ws"] = {100, 100};
    it.add_nodes(4);
    it.advance(std::chrono::seconds(10));
    auto& stranger = it.network.at({"10.9.9.9", 1});
    for (int round = 0; round < 20000; ++round) {
        const auto* method = methods[it.random.below(std::size(methods))];
        Json::Value params;
        if (it.random.below(50) == 0) {
            params = random_value(it.random, 0);
        } else {
            params["shard"] = 0;
            for (const auto* name : field_names) {
                if (it.random.below(4) != 0)
                    params[name] = random_value(it.random, 0);
            }
            // Most of the checks come after these.
            if (it.random.below(3) != 0) {
                params["shard"] = 0;
                params["id"] = 1;
                params["boot"] = "n1.1";
                params["epoch"] = Json::UInt64(it.random.below(3));
            }
        }
        stranger.send(it.at("n1").entry.peer, method, params);
        if (round % 100 == 0)
            it.advance(std::chrono::milliseconds(10));
    }
    it.advance(std::chrono::seconds(60));
    bool granted = false;
    it.at("n2").rates.charge(
        "ws", it.loop.now() + std::chrono::seconds(10),
        [&](const process::charge_result& result) {
            granted = std::holds_alternative<process::charge_granted>(result);
        });
    it.advance(std::chrono::seconds(2));
    CHECK(granted);
}

// A holder's bucket must stay within the invariant whatever it is told.
TEST_CASE("a bucket keeps its invariant under random questions")
{
    process::random_source random(7);
    for (int run = 0; run < 50; ++run) {
        process::rate_limit limit{1.0 + random.unit() * 100,
                                  static_cast<double>(1 + random.below(50))};
        process::token_bucket bucket(limit);
        process::time_point now{std::chrono::hours(1)};
        for (int n = 0; n < 500; ++n) {
            now += std::chrono::milliseconds(random.below(300));
            process::token_question question{
                "n" + std::to_string(random.below(4)),
                random.below(600),
                random.below(60),
                random.below(60),
                random.below(20),
                random.below(20)};
            bucket.ask(question, now, std::chrono::seconds(2), 3);
            auto burst =
                static_cast<process::token_bucket::nanotokens>(limit.burst) *
                1'000'000'000;
            REQUIRE(bucket.level() >= 0);
            REQUIRE(bucket.outstanding() >= 0);
            REQUIRE(bucket.level() + bucket.outstanding() <= burst);
            if (n % 50 != 0)
                continue;
            auto moved = process::token_bucket::from_json(bucket.to_json(now),
                                                          limit, now);
            REQUIRE(moved);
            CHECK(moved->level() == bucket.level());
            CHECK(moved->outstanding() == bucket.outstanding());
        }
    }
}

} // namespace shallotwood::test
