// A commit while the platform is restored from a copy.
#include "support/fake_object_store.hpp"
#include "support/virtual_loop.hpp"
#include "version/commit.hpp"

#include <catch2/catch.hpp>

namespace shallotwood::version
{

namespace
{

struct commit_test {
    // Starts to commit a new workspace; `loop` has to be advanced.
    void commit(const std::string& name)
    {
        std::optional<loaded> base;
        load_configuration(store, [&base](load_result it) {
            base = std::get<loaded>(std::move(it));
        });
        loop.advance(store.delay * 2);
        auto made =
            make_plan(base->value, set_workspace{{name, 1, 1}}, "op-" + name);
        result.reset();
        operators.commit(std::get<plan>(made), [this](const auto& it) {
            result = std::get<committed>(it);
        });
    }

    loaded read()
    {
        std::optional<loaded> found;
        load_configuration(store, [&found](load_result it) {
            found = std::get<loaded>(std::move(it));
        });
        loop.advance(std::chrono::seconds(1));
        return *found;
    }

    test::virtual_loop loop;
    test::fake_object_store store{loop};
    process::random_source random{1};
    committer operators{store, loop, random};
    std::optional<committed> result;
};

} // namespace

TEST_CASE("a change that is committed during a restore gets the new era")
{
    commit_test test;
    test.commit("a");
    test.loop.advance(std::chrono::seconds(1));
    REQUIRE(test.result);
    CHECK(test.read().from.era == 1);
    test.store.save_copy();
    test.commit("b");
    // After the head was read, and before it is written.
    test.loop.advance(test.store.delay * 3 / 2);
    test.store.restore_copy();
    test.loop.advance(std::chrono::seconds(5));
    REQUIRE(test.result);
    CHECK(test.result->revision == 2);
    auto now = test.read();
    CHECK(now.from.era == 2);
    CHECK(now.value.position() == position{2, 2});
    CHECK(now.value.workspaces.count("b") == 1);
}

TEST_CASE("heads with an era are read back, and such without one")
{
    head it;
    it.era = 7;
    CHECK(std::get<head>(decode_head(encode(it))) == it);
    it.era = 0;
    CHECK(encode(it).find("era") == std::string::npos);
    CHECK(std::get<head>(decode_head(encode(it))) == it);
}

} // namespace shallotwood::version
