#include "sidecar/support/token_fleet.hpp"

#include "process/json_text.hpp"
#include "process/sidecar/peer_codec.hpp"
#include "support/pausable_loop.hpp"

#include <algorithm>

namespace shallotwood::test
{

using namespace process;
using std::chrono::milliseconds;

namespace
{

constexpr duration one_way = milliseconds(1);
constexpr duration link_check_period = milliseconds(100);
// A silent link is noticed after this time, a closed one at once.
constexpr duration silence_limit = milliseconds(600);

// The platform starts a process that has ended again after this time.
constexpr duration restart_time = milliseconds(200);

} // namespace

struct token_fleet::node final : sidecar::peer_channel {
    node(token_fleet& owner, std::size_t its_number, std::uint64_t incarnation,
         bool fleet_is_new)
        : world(owner), number(its_number),
          view(owner.entry(its_number, incarnation)), random(its_number + 1),
          probes(owner.loop, random, view, *this), own_loop(owner.loop),
          buckets(own_loop, fleet_is_new),
          tokens(
              view, *this, probes,
              [this](const std::string&) { return world.limit; }, buckets),
          token_cache(owner.loop, tokens, counts)
    {
        probes.on_refuted([this] { tokens.owners_changed(); });
    }

    void call(const peer_address& to, std::string_view path,
              const std::string& body, duration time_limit,
              reply_handler done) override
    {
        auto peer = static_cast<std::size_t>(to.port);
        auto answer = std::make_shared<reply_handler>(std::move(done));
        auto finish = [answer](std::optional<std::string> text) {
            if (auto it = std::move(*answer)) {
                *answer = {};
                it(std::move(text));
            }
        };
        auto alive = std::weak_ptr<bool>(life);
        world.loop.call_after(time_limit, [alive, finish] {
            if (!alive.expired())
                finish(std::nullopt);
        });
        auto& of = world;
        auto from = number;
        if (!of.connected(from, peer))
            return;
        bool is_probe = path == sidecar::peer_path::probe;
        of.loop.call_after(one_way, [&of, alive, finish, from, peer, body,
                                     is_probe] {
            auto& at = *of.nodes_[peer];
            if (at.frozen)
                return;
            auto json = parse_json(body);
            auto text = write_json(is_probe ? at.probes.handle_message(*json)
                                            : at.tokens.handle_message(*json));
            if (!of.connected(peer, from))
                return;
            of.loop.call_after(one_way, [alive, finish, text] {
                if (!alive.expired())
                    finish(text);
            });
        });
    }

    bool reachable(const std::string& name) const override
    {
        return lost.count(name) == 0;
    }
    bool answers(const std::string& name) const override
    {
        return lost.count(name) == 0;
    }
    bool presumed_dead(const std::string& name) const override
    {
        return dead.count(name) != 0;
    }
    std::uint64_t liveness_revision() const override { return changes; }
    std::size_t unreachable() const override { return lost.size(); }

    void set_lost(const std::string& name, bool is_lost)
    {
        if (is_lost)
            lost.emplace(name, world.loop.now());
        else
            lost.erase(name);
        bool is_dead =
            is_lost && world.loop.now() - lost.at(name) > presumed_dead_time;
        if (is_dead == presumed_dead(name))
            return;
        if (is_dead)
            dead.insert(name);
        else
            dead.erase(name);
        ++changes;
        tokens.owners_changed();
    }

    token_fleet& world;
    std::size_t number;
    counters counts;
    fleet::fleet_view view;
    random_source random;
    sidecar::indirect_probes probes;
    pausable_loop own_loop;
    rate::token_bucket_table buckets;
    sidecar::token_exchange tokens;
    rate::token_cache token_cache;
    std::map<std::string, time_point> lost;
    std::set<std::string> dead;
    std::set<std::string> answered;
    // Since when a node has been silent.
    std::map<std::string, time_point> silent;
    std::uint64_t changes = 1;
    bool frozen = false;
    std::shared_ptr<bool> life = std::make_shared<bool>(true);
};

token_fleet::token_fleet(std::size_t size, const rate::rate_limit& of)
    : limit(of)
{
    for (std::size_t n = 0; n < size; ++n)
        nodes_.push_back(make_node(n, 1, true));
    for (auto& it : nodes_)
        for (std::size_t n = 0; n < size; ++n)
            if (n != it->number)
                it->view.learn(entry(n, 1));
    for (auto& it : nodes_)
        it->tokens.owners_changed();
    check_links();
}

token_fleet::~token_fleet() = default;

std::unique_ptr<token_fleet::node>
token_fleet::make_node(std::size_t number, std::uint64_t incarnation,
                       bool fleet_is_new)
{
    return std::make_unique<node>(*this, number, incarnation, fleet_is_new);
}

fleet::instance token_fleet::entry(std::size_t number,
                                   std::uint64_t incarnation) const
{
    fleet::instance it;
    it.peer = {"10.0.0.1", static_cast<std::uint16_t>(number)};
    it.incarnation = incarnation;
    it.service = "s";
    it.state = fleet::backend_state::ready;
    it.slots = 10;
    return it;
}

bool token_fleet::connected(std::size_t from, std::size_t to) const
{
    return cuts_.count({from, to}) == 0;
}

void token_fleet::check_links()
{
    for (auto& it : nodes_) {
        if (it->frozen)
            continue;
        for (std::size_t n = 0; n < nodes_.size(); ++n) {
            if (n == it->number)
                continue;
            auto name = entry(n, 1).name();
            bool answers = connected(it->number, n) &&
                           connected(n, it->number) && !nodes_[n]->frozen;
            if (answers) {
                it->silent.erase(name);
                it->answered.insert(name);
                it->set_lost(name, false);
                continue;
            }
            auto since = it->silent.emplace(name, loop.now()).first->second;
            bool is_new = it->answered.count(name) == 0;
            if (is_new || loop.now() - since >= silence_limit)
                it->set_lost(name, true);
        }
    }
    loop.call_after(link_check_period, [this] { check_links(); });
}

void token_fleet::cut(std::size_t from, std::size_t to)
{
    cuts_.emplace(from, to);
}

void token_fleet::cut_off(const std::set<std::size_t>& some)
{
    for (auto one : some)
        for (std::size_t n = 0; n < nodes_.size(); ++n)
            if (some.count(n) == 0) {
                cut(one, n);
                cut(n, one);
            }
}

void token_fleet::cut_each(const std::set<std::size_t>& some)
{
    for (auto one : some)
        for (std::size_t n = 0; n < nodes_.size(); ++n)
            if (n != one) {
                cut(one, n);
                cut(n, one);
            }
}

void token_fleet::heal()
{
    cuts_.clear();
}

void token_fleet::reset_all()
{
    for (auto& it : nodes_)
        for (std::size_t n = 0; n < nodes_.size(); ++n)
            if (n != it->number)
                it->set_lost(entry(n, 1).name(), true);
}

void token_fleet::freeze(std::size_t number)
{
    nodes_[number]->frozen = true;
    nodes_[number]->own_loop.pause();
}

void token_fleet::thaw(std::size_t number)
{
    nodes_[number]->frozen = false;
    nodes_[number]->own_loop.resume();
}

void token_fleet::restart(std::size_t number)
{
    freeze(number);
    loop.call_after(restart_time, [this, number] { replace(number); });
}

void token_fleet::replace(std::size_t number)
{
    auto incarnation = nodes_[number]->view.self().incarnation + 1;
    nodes_[number] = make_node(number, incarnation, false);
    for (std::size_t n = 0; n < nodes_.size(); ++n)
        if (n != number) {
            nodes_[number]->view.learn(nodes_[n]->view.self());
            nodes_[n]->view.learn(nodes_[number]->view.self());
        }
}

std::size_t token_fleet::owner() const
{
    std::size_t best = 0;
    std::uint64_t most = 0;
    for (std::size_t n = 0; n < nodes_.size(); ++n)
        if (auto weight =
                fleet::rendezvous_weight(workspace, entry(n, 1).name());
            weight > most) {
            most = weight;
            best = n;
        }
    return best;
}

void token_fleet::play(double rate, duration span)
{
    std::vector<std::size_t> all(nodes_.size());
    for (std::size_t n = 0; n < all.size(); ++n)
        all[n] = n;
    play(all, rate, span);
}

void token_fleet::play(const std::vector<std::size_t>& nodes, double rate,
                       duration span)
{
    auto gap = duration(static_cast<duration::rep>(1e6 / rate));
    for (auto end = loop.now() + span; loop.now() < end;) {
        auto& at = *nodes_[nodes[next_++ % nodes.size()]];
        if (!at.frozen)
            at.token_cache.acquire_token(workspace, limit, [this](auto why) {
                if (why)
                    ++refused;
                else
                    admitted_.push_back(loop.now());
            });
        loop.advance(gap);
    }
}

std::size_t token_fleet::most_admitted(duration window) const
{
    std::size_t most = 0;
    for (auto first = admitted_.begin(); first != admitted_.end(); ++first) {
        auto last = std::upper_bound(first, admitted_.end(), *first + window);
        most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
}

} // namespace shallotwood::test
