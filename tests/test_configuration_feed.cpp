#include "process/callback_guard.hpp"
#include "support/fake_codec.hpp"
#include "support/fleet.hpp"

#include <catch2/catch.hpp>

namespace shallotwood::test
{

namespace
{

// The platform as one node sees it: may refuse the node's reads and watches.
class refusable_store final : public process::object_store
{
public:
    refusable_store(process::object_store& platform, process::event_loop& loop)
        : platform_(platform), loop_(loop)
    {
    }

    void get(const std::string& name,
             std::function<void(process::get_result)> done) override
    {
        if (refused)
            done(process::store_error::rate_limited);
        else
            platform_.get(name, std::move(done));
    }
    void put(const std::string& name, const std::string& value,
             std::uint64_t expected_version,
             std::function<void(process::put_result)> done) override
    {
        platform_.put(name, value, expected_version, std::move(done));
    }
    void remove(const std::string& name, std::uint64_t expected_version,
                std::function<void(process::put_result)> done) override
    {
        platform_.remove(name, expected_version, std::move(done));
    }
    void list(const std::string& prefix,
              std::function<void(process::list_result)> done) override
    {
        platform_.list(prefix, std::move(done));
    }
    process::watch_id
    watch(const std::string& name, std::uint64_t after_version,
          std::function<void(process::get_result)> on_change) override
    {
        auto tell = std::make_shared<decltype(on_change)>(std::move(on_change));
        auto id = platform_.watch(name, after_version,
                                  [this, tell](const process::get_result& it) {
                                      if (!refused)
                                          (*tell)(it);
                                  });
        watches_[id] = tell;
        report_refusal(id);
        return id;
    }
    void cancel(process::watch_id id) override
    {
        watches_.erase(id);
        platform_.cancel(id);
    }

    bool refused = false;

private:
    // A watch polls about once a second.
    void report_refusal(process::watch_id id)
    {
        loop_.call_after(std::chrono::seconds(1), guard_.wrap([this, id] {
            auto it = watches_.find(id);
            if (it == watches_.end())
                return;
            report_refusal(id);
            auto tell = it->second;
            if (refused)
                (*tell)(process::store_error::rate_limited);
        }));
    }

    process::object_store& platform_;
    process::event_loop& loop_;
    std::map<process::watch_id,
             std::shared_ptr<std::function<void(process::get_result)>>>
        watches_;
    process::callback_guard guard_;
};

// A feed, and what it needs.
struct node_feed {
    node_feed(process::object_store& platform, process::event_loop& loop)
        : store(platform, loop)
    {
    }

    refusable_store store;
    std::unique_ptr<process::configuration::configuration_feed> feed;
};

// A fleet whose nodes have a configuration feed.
struct feed_test {
    explicit feed_test(std::uint64_t seed) : nodes(seed)
    {
        nodes.on_node = [this](fleet_node& node) { add_feed(node); };
    }

    void add_feed(fleet_node& node)
    {
        auto name = node.members->self().instance;
        auto all = std::make_shared<node_feed>(nodes.platform, node.loop);
        all->feed =
            std::make_unique<process::configuration::configuration_feed>(
                node.loop, nodes.network.at(node.address), all->store,
                *node.members, codec, loader, node.counts,
                process::configuration::configuration_feed_settings{});
        auto* made = all->feed.get();
        feeds[name] = made;
        stores[name] = &all->store;
        seen[name] = 0;
        made->listen([this, name](const version::configuration_ptr& now) {
            reverted += now->revision <= seen[name] ? 1 : 0;
            seen[name] = now->revision;
        });
        made->start();
        node.extra = all;
    }

    // Writes the head with so many changes; what the operator's node does.
    void commit(int changes)
    {
        std::string head;
        for (int n = 1; n <= changes; ++n)
            head += "w" + std::to_string(n) + "=1\n";
        auto expected = head_version++;
        nodes.platform.put(
            process::configuration::configuration_feed::head_object_name, head,
            expected, [](const process::put_result& it) {
                REQUIRE(std::holds_alternative<std::uint64_t>(it));
            });
    }

    std::uint64_t revision_at(const std::string& name)
    {
        const auto& it = feeds.at(name)->current_configuration();
        return it ? it->revision : 0;
    }

    int count_at(std::uint64_t revision)
    {
        int count = 0;
        for (const auto& [name, it] : nodes.nodes())
            count += revision_at(name) == revision ? 1 : 0;
        return count;
    }

    void tell(const std::string& to, const std::string& method,
              const Json::Value& params)
    {
        nodes.network.at({"10.0.0.99", 7000})
            .send(nodes.at(to).address, method, params);
    }

    verb_table verbs();

    fleet nodes;
    fake_codec codec;
    fake_loader loader;
    std::map<std::string, process::configuration::configuration_feed*> feeds;
    std::map<std::string, refusable_store*> stores;
    std::map<std::string, std::uint64_t> seen;
    int reverted = 0;
    std::uint64_t head_version = 0;
    std::uint64_t calls_before = 0;
};

verb_table feed_test::verbs()
{
    auto table = nodes.verbs();
    table["commit"] = [this](const words& it) { commit(number(it.at(0))); };
    table["expect_revision"] = [this](const words& it) {
        CHECK(count_at(std::stoull(it.at(0))) ==
              static_cast<int>(nodes.size()));
    };
    table["expect_revision_at"] = [this](const words& it) {
        CHECK(revision_at(it.at(0)) == std::stoull(it.at(1)));
    };
    table["expect_never_reverted"] = [this](const words&) {
        CHECK(reverted == 0);
    };
    table["expect_isolated"] = [this](const words& it) {
        CHECK(feeds.at(it.at(0))->isolated() == (it.at(1) == "yes"));
    };
    table["expect_watchers"] = [this](const words& it) {
        int count = 0;
        for (const auto& [name, node] : nodes.nodes())
            count += feeds.at(name)->is_watching_platform() ? 1 : 0;
        CHECK(count == number(it.at(0)));
    };
    table["kill_watchers"] = [this](const words&) {
        words watching;
        for (const auto& [name, node] : nodes.nodes()) {
            if (feeds.at(name)->is_watching_platform())
                watching.push_back(name);
        }
        for (const auto& name : watching)
            nodes.kill(name);
    };
    // The platform refuses the nodes that watch it, and answers all others.
    table["refuse_watchers"] = [this](const words&) {
        for (const auto& [name, it] : feeds)
            if (it->is_watching_platform())
                stores.at(name)->refused = true;
    };
    table["count_platform_calls"] = [this](const words&) {
        calls_before = nodes.platform.reads + nodes.platform.writes;
    };
    table["expect_platform_calls_below"] = [this](const words& it) {
        auto calls = nodes.platform.reads + nodes.platform.writes;
        CHECK(calls - calls_before < std::stoull(it.at(0)));
    };
    // A late or doubled answer of a peer with an old configuration.
    table["stale_peer"] = [this](const words& it) {
        Json::Value params;
        params["whole"] = it.at(1) + "\nold=1\n";
        params["r"] = Json::UInt64(std::stoull(it.at(1)));
        tell(it.at(0), "configuration.changes", params);
        Json::Value changes;
        changes["base"] = Json::UInt64(std::stoull(it.at(1)));
        changes["changes"].append("old=1");
        tell(it.at(0), "configuration.changes", changes);
    };
    // The platform answers with a head older than one it gave before.
    table["stale_platform"] = [this](const words& it) {
        commit(number(it.at(0)));
    };
    return table;
}

} // namespace

TEST_CASE("configuration feed scenarios", "[.scenario]")
{
    for (const auto& file : scenario_files("feed_")) {
        auto it = load_scenario(file);
        DYNAMIC_SECTION(it.name)
        {
            feed_test test(it.seed);
            run_scenario(it, test.nodes.loop, test.verbs());
        }
    }
}

TEST_CASE("malformed configuration messages are ignored")
{
    feed_test test(1);
    test.commit(3);
    test.nodes.grow(2);
    test.nodes.loop.advance(std::chrono::seconds(20));
    REQUIRE(test.count_at(3) == 2);
    for (const auto* text :
         {"[]", "{}", R"({"r":-1})", R"({"have":"x"})", R"({"whole":"x"})",
          R"({"whole":"9"})", R"({"whole":"9\nx\n"})",
          R"({"base":3,"changes":"x"})", R"({"base":3,"changes":[1]})",
          R"({"base":3,"changes":["no equals sign"]})"}) {
        Json::Value params;
        std::istringstream(text) >> params;
        for (const auto* method : {"configuration.digest", "configuration.pull",
                                   "configuration.changes"})
            test.tell("n1", method, params);
    }
    test.nodes.loop.advance(std::chrono::seconds(20));
    CHECK(test.count_at(3) == 2);
}

// A node far behind gets the changes in several messages, or the whole
// configuration once they exceed the history.
TEST_CASE("a node that is far behind catches up")
{
    auto revisions = GENERATE(200, 1'500);
    feed_test test(2);
    test.commit(1);
    test.nodes.grow(6);
    test.nodes.loop.advance(std::chrono::seconds(30));
    REQUIRE(test.count_at(1) == 6);
    test.nodes.freeze("n3");
    for (int n = 2; n <= revisions; n += 50) {
        test.commit(n);
        test.nodes.loop.advance(std::chrono::seconds(1));
    }
    test.commit(revisions);
    test.nodes.loop.advance(std::chrono::seconds(4));
    test.nodes.thaw("n3");
    test.nodes.loop.advance(std::chrono::seconds(4));
    CHECK(test.count_at(revisions) == 6);
    CHECK(test.reverted == 0);
}

TEST_CASE("a change confirmed after the platform was restored is in force")
{
    feed_test test(1);
    test.commit(5);
    test.nodes.grow(6);
    test.nodes.loop.advance(std::chrono::seconds(30));
    REQUIRE(test.count_at(5) == 6);
    // The copy holds three changes, and the operator confirms another one.
    const auto* head =
        process::configuration::configuration_feed::head_object_name;
    test.nodes.platform.lose(head);
    test.nodes.platform.put(head, "era 2\nw1=1\nw2=1\nw3=1\nnew=1\n", 0,
                            [](const process::put_result&) {});
    test.nodes.loop.advance(std::chrono::seconds(4));
    for (const auto& [name, it] : test.feeds) {
        CAPTURE(name);
        CHECK(it->current_configuration()->workspaces.count("new") == 1);
    }
}

TEST_CASE("a restored platform without a new change takes nothing back")
{
    feed_test test(1);
    test.commit(3);
    test.nodes.grow(6);
    test.nodes.loop.advance(std::chrono::seconds(30));
    test.nodes.platform.save_copy();
    test.commit(5);
    test.nodes.loop.advance(std::chrono::seconds(4));
    REQUIRE(test.count_at(5) == 6);
    test.nodes.platform.restore_copy();
    test.nodes.loop.advance(std::chrono::seconds(30));
    CHECK(test.count_at(5) == 6);
    // A node that starts now reads the copy, and has the rest from the others.
    test.nodes.grow(7);
    test.nodes.loop.advance(std::chrono::seconds(10));
    CHECK(test.count_at(5) == 7);
}

} // namespace shallotwood::test
