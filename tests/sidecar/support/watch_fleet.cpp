#include "sidecar/support/watch_fleet.hpp"

#include "platform/platform_protocol_adapter.hpp"
#include "process/json_text.hpp"
#include "support/pausable_loop.hpp"

#include <algorithm>

namespace shallotwood::test
{

using namespace process;
using std::chrono::milliseconds;

namespace
{

constexpr const char* policy_name = "config/main";

constexpr duration one_way = milliseconds(1);
constexpr duration link_check_period = milliseconds(100);
// A node that does not answer is found unreachable after this time, if it has
// been called.
constexpr duration silence_limit = milliseconds(600);
// How long the store holds a poll, and how long it takes to answer.
constexpr duration poll_time = std::chrono::seconds(1);
constexpr duration answer_time = milliseconds(4);
constexpr duration poll_limit = poll_time + milliseconds(500);
constexpr duration retry_time = milliseconds(500);

std::string policy_text(std::uint64_t revision)
{
    Json::Value it;
    it["version"] = "r" + std::to_string(revision);
    it["resources"] = Json::Value(Json::arrayValue);
    return write_json(it);
}

} // namespace

// The store as one node sees it: long polls that are refused, hang, or return
// as soon as there is a newer revision.
class watch_fleet::node_store final : public object_store
{
public:
    node_store(watch_fleet& owner, event_loop& loop, std::size_t number)
        : world_(owner), loop_(loop), number_(number)
    {
    }

    void get(const std::string&, std::function<void(get_result)> done) override
    {
        done(store_error::unavailable);
    }
    void put(const std::string&, const std::string&, std::uint64_t,
             std::function<void(put_result)> done) override
    {
        done(store_error::unavailable);
    }
    void remove(const std::string&, std::uint64_t,
                std::function<void(put_result)> done) override
    {
        done(store_error::unavailable);
    }
    void list(const std::string&,
              std::function<void(list_result)> done) override
    {
        done(store_error::unavailable);
    }

    watch_id watch(const std::string&, std::uint64_t,
                   std::function<void(get_result)> on_change) override
    {
        on_change_ = std::move(on_change);
        seen_ = 0;
        ++watch_;
        poll(watch_);
        return watch_id{watch_};
    }
    void cancel(watch_id) override { on_change_ = {}; }

    // A watch that waits gets the new revision, unless the store is silent.
    void notify()
    {
        if (on_change_ && world_.fault_of(number_) == fault::none)
            read(watch_);
    }

    time_point last_read{};

private:
    bool current(std::uint64_t watch) const
    {
        return on_change_ && watch == watch_;
    }

    void poll(std::uint64_t watch)
    {
        if (!current(watch))
            return;
        ++world_.calls_;
        auto how = world_.fault_of(number_);
        if (how == fault::refuse) {
            loop_.call_after(answer_time, [this, watch] {
                fail(watch, store_error::rate_limited);
            });
            return;
        }
        if (how == fault::none)
            read(watch);
        auto wait = how == fault::none ? poll_time : poll_limit;
        loop_.call_after(wait, [this, watch, how] {
            if (how == fault::none && world_.fault_of(number_) != fault::silent)
                poll(watch);
            else if (how == fault::none)
                loop_.call_after(poll_limit - poll_time, [this, watch] {
                    fail(watch, store_error::unknown_outcome);
                });
            else
                fail(watch, store_error::unknown_outcome);
        });
    }

    void read(std::uint64_t watch)
    {
        loop_.call_after(answer_time, [this, watch] {
            if (!current(watch))
                return;
            last_read = loop_.now();
            bool newer = seen_ < world_.revision_;
            if (!newer && !failed_)
                return;
            seen_ = world_.revision_;
            failed_ = false;
            if (seen_ > 0) {
                auto tell = on_change_;
                tell(stored_object{policy_name, seen_, policy_text(seen_)});
            }
        });
    }

    void fail(std::uint64_t watch, store_error why)
    {
        if (!current(watch))
            return;
        failed_ = true;
        auto tell = on_change_;
        tell(why);
        loop_.call_after(retry_time, [this, watch] { poll(watch); });
    }

    watch_fleet& world_;
    event_loop& loop_;
    std::size_t number_;
    std::uint64_t watch_ = 0;
    std::uint64_t seen_ = 0;
    bool failed_ = false;
    std::function<void(get_result)> on_change_;
};

struct watch_fleet::node final : sidecar::peer_channel {
    node(watch_fleet& owner, std::size_t its_number)
        : world(owner), number(its_number), own_loop(owner.loop),
          view(owner.entry(its_number)), store(owner, own_loop, its_number),
          feed(
              store, adapter, counts, policy_name,
              [this](const std::string& name, auto done) {
                  done(world.find(name).feed.text());
              },
              [this](const version::policy&, auto) { spread(); }),
          election(own_loop, view, policy_name,
                   [this](const std::string& name) { return reachable(name); }),
          watch({own_loop, view, election, *this, feed}, [] { return false; })
    {
    }

    void call(const peer_address& to, std::string_view, const std::string& body,
              duration, reply_handler) override
    {
        auto peer = static_cast<std::size_t>(to.port);
        called.insert(peer);
        world.loop.call_after(one_way, [this, peer, body] {
            auto& at = *world.nodes_[peer];
            if (!at.frozen)
                at.watch.handle_message(*parse_json(body));
        });
    }
    bool reachable(const std::string& name) const override
    {
        return lost.count(name) == 0;
    }
    bool answers(const std::string& name) const override
    {
        return reachable(name);
    }
    bool presumed_dead(const std::string&) const override { return false; }
    std::uint64_t liveness_revision() const override { return 1; }
    std::size_t unreachable() const override { return lost.size(); }

    // Tells all nodes of the policy; a real node tells some, and these others.
    void spread()
    {
        for (auto& it : world.nodes_)
            world.loop.call_after(one_way * 10, [this, at = it.get()] {
                if (!at->frozen && !frozen)
                    at->feed.handle_peer_revision(view.self().name(),
                                                  feed.revision());
            });
    }

    watch_fleet& world;
    std::size_t number;
    pausable_loop own_loop;
    counters counts;
    platform::platform_protocol_adapter adapter;
    fleet::fleet_view view;
    node_store store;
    sidecar::policy_feed feed;
    fleet::watcher_election election;
    sidecar::store_watch watch;
    std::set<std::size_t> called;
    std::set<std::string> lost;
    std::map<std::size_t, time_point> silent;
    bool frozen = false;
};

watch_fleet::watch_fleet(std::size_t size, std::uint64_t seed) : seed_(seed)
{
    for (std::size_t n = 0; n < size; ++n)
        nodes_.push_back(std::make_unique<node>(*this, n));
    for (auto& it : nodes_)
        for (std::size_t n = 0; n < size; ++n)
            it->view.learn(entry(n));
    for (auto& it : nodes_)
        it->watch.start();
    check_links();
    observe();
    change();
    advance(std::chrono::seconds(3));
}

watch_fleet::~watch_fleet() = default;

fleet::instance watch_fleet::entry(std::size_t number) const
{
    fleet::instance it;
    it.peer = {"10.0.0." + std::to_string(seed_),
               static_cast<std::uint16_t>(number)};
    it.incarnation = 1;
    it.service = "s";
    it.state = fleet::backend_state::ready;
    return it;
}

watch_fleet::node& watch_fleet::find(const std::string& name)
{
    auto found =
        std::find_if(nodes_.begin(), nodes_.end(), [&](const auto& it) {
            return it->view.self().name() == name;
        });
    return **found;
}

watch_fleet::fault watch_fleet::fault_of(std::size_t number) const
{
    auto it = store_for_.find(number);
    return it == store_for_.end() || store_ != fault::none ? store_
                                                           : it->second;
}

void watch_fleet::heal_store()
{
    store_ = fault::none;
    store_for_.clear();
}

void watch_fleet::freeze(std::size_t number)
{
    nodes_[number]->frozen = true;
    nodes_[number]->own_loop.pause();
}

void watch_fleet::thaw(std::size_t number)
{
    nodes_[number]->frozen = false;
    nodes_[number]->own_loop.resume();
}

// A node finds out that another one is silent only if it has called it.
void watch_fleet::check_links()
{
    for (auto& it : nodes_)
        for (auto n : it->called) {
            auto name = entry(n).name();
            if (!nodes_[n]->frozen) {
                it->silent.erase(n);
                it->lost.erase(name);
                continue;
            }
            auto since = it->silent.emplace(n, loop.now()).first->second;
            if (loop.now() - since >= silence_limit)
                it->lost.insert(name);
        }
    loop.call_after(link_check_period, [this] { check_links(); });
}

void watch_fleet::change()
{
    written_[++revision_] = loop.now();
    for (auto& it : nodes_)
        it->store.notify();
}

void watch_fleet::observe()
{
    auto oldest = revision_;
    for (auto& it : nodes_) {
        bool calm = !it->frozen && fault_of(it->number) == fault::none;
        if (calm)
            oldest = std::min(oldest, it->feed.revision());
    }
    while (!written_.empty() && written_.begin()->first <= oldest) {
        slowest_ = std::max(slowest_, loop.now() - written_.begin()->second);
        written_.erase(written_.begin());
    }
    loop.call_after(milliseconds(10), [this] { observe(); });
}

duration watch_fleet::slowest() const
{
    auto slowest = slowest_;
    for (const auto& [revision, when] : written_)
        slowest = std::max(slowest, loop.now() - when);
    return slowest;
}

std::vector<std::size_t> watch_fleet::watchers() const
{
    std::vector<std::size_t> all;
    for (const auto& it : nodes_)
        if (!it->frozen && it->feed.watching() && it->feed.store_answers())
            all.push_back(it->number);
    return all;
}

std::vector<std::size_t> watch_fleet::readers() const
{
    std::vector<std::size_t> all(nodes_.size());
    for (std::size_t n = 0; n < all.size(); ++n)
        all[n] = n;
    std::stable_sort(all.begin(), all.end(), [this](auto a, auto b) {
        return nodes_[a]->store.last_read > nodes_[b]->store.last_read;
    });
    return all;
}

} // namespace shallotwood::test
