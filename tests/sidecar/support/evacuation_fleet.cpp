#include "sidecar/support/evacuation_fleet.hpp"

#include "platform/platform_protocol_adapter.hpp"
#include "process/json_text.hpp"
#include "process/sidecar/peer_codec.hpp"
#include "support/pausable_loop.hpp"

namespace shallotwood::test
{

using namespace process;
using std::chrono::milliseconds;

namespace
{

constexpr std::size_t domain_count = 4;
constexpr duration one_way = milliseconds(2);
constexpr duration answer_time = milliseconds(4);
constexpr duration silence_time = milliseconds(1500);
constexpr duration retry_time = milliseconds(500);

const std::string policy_text = R"({"version":"r1","resources":[]})";

} // namespace

// The store as one node sees it.
class evacuation_fleet::node_store final : public object_store
{
public:
    node_store(evacuation_fleet& owner, event_loop& loop, std::size_t number)
        : world_(owner), loop_(loop), number_(number)
    {
    }

    void get(const std::string&, std::function<void(get_result)> done) override
    {
        done(store_error::not_found);
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
        done(std::vector<stored_object>{});
    }
    watch_id watch(const std::string&, std::uint64_t,
                   std::function<void(get_result)> on_change) override
    {
        policy_change_ = std::move(on_change);
        poll_policy(++policy_watch_);
        return watch_id{policy_watch_ * 2};
    }
    watch_id watch_all(const std::string&,
                       std::function<void(names_result)> on_change) override
    {
        ++world_.watches_started;
        on_change_ = std::move(on_change);
        poll(++watch_);
        return watch_id{watch_ * 2 + 1};
    }
    void cancel(watch_id id) override
    {
        auto n = static_cast<std::uint64_t>(id);
        if (n == policy_watch_ * 2)
            policy_change_ = {};
        else if (n == watch_ * 2 + 1)
            on_change_ = {};
    }
    void notify()
    {
        if (on_change_ && world_.fault_of(number_) == fault::none)
            tell(watch_);
    }

private:
    // Refused and silent calls are reported, and tried again.
    void poll_policy(std::uint64_t watch)
    {
        auto how = world_.fault_of(number_);
        loop_.call_after(
            how == fault::silent ? silence_time : answer_time,
            [this, watch, how] {
                if (!policy_change_ || watch != policy_watch_)
                    return;
                auto tell_change = policy_change_;
                if (how == fault::none)
                    tell_change(stored_object{"p", 1, policy_text});
                else
                    tell_change(store_error::unavailable);
                loop_.call_after(retry_time, [this, watch] {
                    if (policy_change_ && watch == policy_watch_)
                        poll_policy(watch);
                });
            });
    }
    void poll(std::uint64_t watch)
    {
        auto how = world_.fault_of(number_);
        if (how == fault::none) {
            tell(watch);
            return;
        }
        loop_.call_after(how == fault::silent ? silence_time : answer_time,
                         [this, watch] {
                             if (!on_change_ || watch != watch_)
                                 return;
                             auto tell_change = on_change_;
                             tell_change(store_error::unavailable);
                             loop_.call_after(retry_time, [this, watch] {
                                 if (on_change_ && watch == watch_)
                                     poll(watch);
                             });
                         });
    }
    void tell(std::uint64_t watch)
    {
        loop_.call_after(answer_time, [this, watch,
                                       now = stored_names{1, world_.revision_,
                                                          world_.domains_}] {
            if (!on_change_ || watch != watch_)
                return;
            auto tell_change = on_change_;
            tell_change(now);
        });
    }

    evacuation_fleet& world_;
    event_loop& loop_;
    std::size_t number_;
    std::uint64_t watch_ = 0;
    std::uint64_t policy_watch_ = 0;
    std::function<void(names_result)> on_change_;
    std::function<void(get_result)> policy_change_;
};

struct evacuation_fleet::node final : sidecar::peer_channel {
    node(evacuation_fleet& owner, std::size_t its_number)
        : world(owner), number(its_number), own_loop(owner.loop),
          random(owner.seed_ * 1000 + its_number),
          view(owner.entry(its_number)),
          isolation(own_loop, std::chrono::seconds(5)),
          store(owner, own_loop, its_number),
          feed(
              store, adapter, counts, "p",
              [](const std::string&, const auto& done) { done(policy_text); },
              [this](const version::policy&, auto) {
                  if (evacuations)
                      evacuations->handle_first_policy();
              }),
          evacuations(
              owner.enabled_
                  ? std::make_unique<sidecar::evacuation_feed>(
                        sidecar::evacuation_feed::dependencies{own_loop, store,
                                                               view, counts},
                        "e/", std::chrono::seconds(5),
                        [this](const fleet::evacuation_change& change,
                               sidecar::evacuation_feed::origin from) {
                            if (!change.empty())
                                exchange.announce_evacuations(
                                    from ==
                                    sidecar::evacuation_feed::origin::store);
                        },
                        [this] { exchange.ask_for_evacuations(); })
                  : nullptr),
          election(own_loop, view, "p",
                   [](const std::string&) { return true; }),
          watch({own_loop, view, election, *this, feed, evacuations.get()},
                [this] { return isolation.isolated(); }),
          exchange({own_loop, random, store, view, election, isolation, *this,
                    feed, evacuations.get()},
                   "i/", [] {})
    {
    }

    void call(const peer_address& to, std::string_view path,
              const std::string& body, duration limit,
              reply_handler done) override
    {
        if (body.find("\"evacuations\"") != std::string::npos)
            ++world.messages_with_set;
        auto peer = static_cast<std::size_t>(to.port) - 1;
        auto reply = std::make_shared<std::optional<std::string>>();
        world.loop.call_after(one_way, [&all = world, from = number, peer,
                                        path = std::string(path), body, reply] {
            auto& at = *all.nodes_[peer];
            if (at.frozen || all.cut_off_.count(peer) != 0 ||
                all.cut_off_.count(from) != 0)
                return;
            if (path == sidecar::peer_path::fleet)
                *reply = at.exchange.handle_message(*parse_json(body));
            else
                at.watch.handle_message(*parse_json(body));
        });
        // The node may have restarted meanwhile.
        own_loop.call_after(one_way * 2, guard.wrap([this, reply, limit, done] {
            if (*reply) {
                done(*reply);
                return;
            }
            own_loop.call_after(limit, guard.wrap([done] { done({}); }));
        }));
    }
    bool reachable(const std::string&) const override { return true; }
    bool answers(const std::string&) const override { return true; }
    bool presumed_dead(const std::string&) const override { return false; }
    std::uint64_t liveness_revision() const override { return 1; }
    std::size_t unreachable() const override { return 0; }

    void start(std::size_t size)
    {
        for (std::size_t n = 0; n < size; ++n)
            view.learn(world.entry(n));
        watch.start();
        exchange.start({}, true);
    }

    evacuation_fleet& world;
    std::size_t number;
    pausable_loop own_loop;
    random_source random;
    counters counts;
    platform::platform_protocol_adapter adapter;
    fleet::fleet_view view;
    fleet::isolation_detector isolation;
    node_store store;
    sidecar::policy_feed feed;
    std::unique_ptr<sidecar::evacuation_feed> evacuations;
    fleet::watcher_election election;
    sidecar::store_watch watch;
    sidecar::fleet_exchange exchange;
    bool frozen = false;
    callback_guard guard;
};

evacuation_fleet::evacuation_fleet(std::size_t size, std::uint64_t seed,
                                   bool enabled)
    : seed_(seed), enabled_(enabled)
{
    for (std::size_t n = 0; n < size; ++n)
        nodes_.push_back(std::make_unique<node>(*this, n));
    for (auto& it : nodes_)
        it->start(size);
    advance(std::chrono::seconds(3));
}

evacuation_fleet::~evacuation_fleet() = default;

fleet::instance evacuation_fleet::entry(std::size_t number) const
{
    fleet::instance it;
    it.peer = {"10.0.0." + std::to_string(seed_),
               static_cast<std::uint16_t>(number + 1)};
    it.failure_domain = "d" + std::to_string(number % domain_count);
    it.incarnation = 1;
    it.service = "s";
    it.state = fleet::backend_state::ready;
    return it;
}

evacuation_fleet::fault evacuation_fleet::fault_of(std::size_t number) const
{
    auto it = store_for_.find(number);
    return it == store_for_.end() || store_ != fault::none ? store_
                                                           : it->second;
}

void evacuation_fleet::notify()
{
    for (auto& it : nodes_)
        it->store.notify();
}

void evacuation_fleet::evacuate(const std::string& domain)
{
    domains_.insert(domain);
    ++revision_;
    notify();
}

void evacuation_fleet::withdraw(const std::string& domain)
{
    domains_.erase(domain);
    ++revision_;
    notify();
}

void evacuation_fleet::freeze(std::size_t number)
{
    nodes_[number]->frozen = true;
    nodes_[number]->own_loop.pause();
}

void evacuation_fleet::thaw(std::size_t number)
{
    nodes_[number]->frozen = false;
    nodes_[number]->own_loop.resume();
}

void evacuation_fleet::restart(std::size_t number)
{
    // Timers of the former process may still be due, so it is kept.
    retired_.push_back(std::move(nodes_[number]));
    retired_.back()->frozen = true;
    retired_.back()->own_loop.pause();
    nodes_[number] = std::make_unique<node>(*this, number);
    nodes_[number]->start(nodes_.size());
}

bool evacuation_fleet::in_contact(std::size_t number) const
{
    return !nodes_[number]->frozen && cut_off_.count(number) == 0;
}

duration evacuation_fleet::time_to_agree(duration limit)
{
    constexpr duration step = milliseconds(5);
    duration waited{0};
    auto agreed = [this] {
        for (std::size_t n = 0; n < nodes_.size(); ++n)
            if (in_contact(n) && (!knows(n) || domains_at(n) != domains_))
                return false;
        return true;
    };
    for (; waited < limit && !agreed(); waited += step)
        advance(step);
    return waited;
}

std::set<std::string> evacuation_fleet::domains_at(std::size_t number) const
{
    const auto& it = nodes_[number]->evacuations;
    return it && it->current() ? it->current()->domains()
                               : std::set<std::string>();
}

bool evacuation_fleet::knows(std::size_t number) const
{
    const auto& it = nodes_[number]->evacuations;
    return it && it->current();
}

bool evacuation_fleet::awaits(std::size_t number) const
{
    const auto& it = nodes_[number]->evacuations;
    return it && it->is_awaited();
}

std::vector<std::size_t> evacuation_fleet::watchers() const
{
    std::vector<std::size_t> all;
    for (const auto& it : nodes_)
        if (!it->frozen && it->feed.watching() && it->feed.store_answers())
            all.push_back(it->number);
    return all;
}

} // namespace shallotwood::test
