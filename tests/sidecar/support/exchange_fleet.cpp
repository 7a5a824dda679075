#include "sidecar/support/exchange_fleet.hpp"

#include "platform/platform_protocol_adapter.hpp"
#include "process/json_text.hpp"

namespace shallotwood::test
{

using namespace process;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace
{

constexpr duration near_one_way = microseconds(200);
constexpr duration far_one_way = microseconds(3900);
constexpr duration pull_limit = milliseconds(500);
constexpr std::size_t policy_length = 20'000;
constexpr std::size_t watcher_count = 5;

} // namespace

struct exchange_fleet::node final : sidecar::peer_channel {
    node(exchange_fleet& owner, std::size_t its_number)
        : world(owner), number(its_number), random(its_number + 1),
          view(owner.entry(its_number)),
          isolation(owner.loop, std::chrono::seconds(5)),
          feed(
              owner.store_, adapter, counts, "p",
              [this](const std::string& name, const auto& done) {
                  pull(name, done);
              },
              [this](const version::policy&, auto from) {
                  exchange.announce_policy(from);
              }),
          election(owner.loop, view, "p",
                   [](const std::string&) { return true; }),
          exchange({owner.loop, random, owner.store_, view, election, isolation,
                    *this, feed},
                   "i/", [] {})
    {
    }

    static std::size_t number_of(const std::string& name)
    {
        return std::stoul(name.substr(name.find(':') + 1)) - 1;
    }

    void count(std::size_t peer, std::size_t length, std::size_t policy = 0)
    {
        if (peer % world.domains_ == number % world.domains_)
            return;
        ++world.crossed.messages;
        world.crossed.bytes += length;
        world.crossed.policy_bytes += policy;
    }

    void call(const peer_address& to, std::string_view, const std::string& body,
              duration limit, reply_handler done) override
    {
        auto peer = static_cast<std::size_t>(to.port) - 1;
        count(peer, body.size());
        if (peer % world.domains_ != number % world.domains_)
            world.contacts.emplace(number, peer % world.domains_);
        auto way = world.one_way(number, peer);
        if (world.lost(number, peer)) {
            world.loop.call_after(limit, [done] { done({}); });
            return;
        }
        world.loop.call_after(way, [this, peer, body, way, limit, done] {
            auto& at = *world.nodes_[peer];
            auto message = *parse_json(body);
            if (world.former_.count(peer) + world.former_.count(number) != 0)
                message.removeMember("parts_form");
            auto reply = at.exchange.handle_message(message);
            at.count(number, reply.size());
            bool lost = world.lost(peer, number);
            world.loop.call_after(lost ? limit : way, [reply, lost, done] {
                done(lost ? std::nullopt : std::make_optional(reply));
            });
        });
    }
    template <typename Done>
    void pull(const std::string& name, Done done)
    {
        auto peer = number_of(name);
        if (world.lost(number, peer)) {
            world.loop.call_after(pull_limit, [done] { done(std::nullopt); });
            return;
        }
        world.loop.call_after(world.one_way(number, peer) * 2,
                              [this, peer, done] {
                                  auto& at = *world.nodes_[peer];
                                  at.count(number, 0, at.feed.text().size());
                                  done(at.feed.text());
                              });
    }
    bool reachable(const std::string&) const override { return true; }
    bool answers(const std::string&) const override { return true; }
    bool presumed_dead(const std::string&) const override { return false; }
    std::uint64_t liveness_revision() const override { return 1; }
    std::size_t unreachable() const override { return 0; }

    void start()
    {
        feed.set_watching(number < watcher_count);
        exchange.start({}, true);
        exchange.write_entry();
    }

    exchange_fleet& world;
    std::size_t number;
    random_source random;
    counters counts;
    platform::platform_protocol_adapter adapter;
    fleet::fleet_view view;
    fleet::isolation_detector isolation;
    sidecar::policy_feed feed;
    fleet::watcher_election election;
    sidecar::fleet_exchange exchange;
};

exchange_fleet::exchange_fleet(std::size_t size, std::size_t domains,
                               std::uint64_t seed)
    : domains_(domains), random_(seed), store_(loop)
{
    for (std::size_t n = 0; n < size; ++n)
        nodes_.push_back(std::make_unique<node>(*this, n));
    for (auto& it : nodes_) {
        auto at = milliseconds(random_.below(300));
        loop.call_after(at, [&it] { it->start(); });
        // The backend server announces itself.
        loop.call_after(at + milliseconds(200),
                        [this, n = it->number] { publish(n); });
    }
}

exchange_fleet::~exchange_fleet() = default;

fleet::instance exchange_fleet::entry(std::size_t number) const
{
    fleet::instance it;
    it.peer = {"10.0.0.1", static_cast<std::uint16_t>(number + 1)};
    it.failure_domain = "d" + std::to_string(number % domains_);
    it.incarnation = 1'765'000'000'000'000 + number;
    it.service = "service-" + std::to_string(number % 7);
    it.backend_id = "backend-" + std::to_string(number);
    it.backend_started_at_ms = 1'765'000'000'000 + number;
    return it;
}

duration exchange_fleet::one_way(std::size_t from, std::size_t to) const
{
    return from % domains_ == to % domains_ ? near_one_way : far_one_way;
}

bool exchange_fleet::lost(std::size_t from, std::size_t to)
{
    auto a = from % domains_;
    auto b = to % domains_;
    if (a != b && (cut_off_.count(a) != 0 || cut_off_.count(b) != 0))
        return true;
    return lose_all_ || (loss_ > 0 && random_.unit() < loss_);
}

void exchange_fleet::publish(std::size_t number)
{
    auto& it = *nodes_[number];
    it.view.update_self([](fleet::instance& own) {
        own.state = fleet::backend_state::ready;
        ++own.slots;
    });
    it.exchange.publish_own_entry();
}

void exchange_fleet::publish_unheard(std::size_t number)
{
    lose_all_ = true;
    publish(number);
    // Longer than updates are collected.
    advance(milliseconds(20));
    lose_all_ = false;
}

void exchange_fleet::write_policy(int revision)
{
    auto text =
        R"({"version":"r)" + std::to_string(revision) + R"(","resources":[]})";
    text.resize(policy_length, ' ');
    store_.put("p", text, any_version, [](const auto&) {});
}

bool exchange_fleet::all_know(std::size_t number) const
{
    const auto& wanted = nodes_[number]->view.self();
    for (const auto& at : nodes_) {
        const auto* it = at->view.find(wanted.name());
        if (it == nullptr || !(*it == wanted))
            return false;
    }
    return true;
}

bool exchange_fleet::all_equal() const
{
    for (const auto& it : nodes_)
        if (it->view.size() != nodes_.size() ||
            it->view.digest() != nodes_.front()->view.digest())
            return false;
    return true;
}

bool exchange_fleet::all_have_policy(std::uint64_t revision) const
{
    for (const auto& it : nodes_)
        if (it->feed.revision() != revision)
            return false;
    return true;
}

} // namespace shallotwood::test
