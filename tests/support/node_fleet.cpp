#include "support/node_fleet.hpp"

#include "process/keyed_hash.hpp"
#include "version/intent.hpp"

#include <catch2/catch.hpp>

namespace shallotwood::test
{

using std::chrono::milliseconds;

namespace
{

constexpr int domain_count = 4;

// The value of `name=VALUE` among the arguments.
std::string option(const words& arguments, const std::string& name,
                   const std::string& otherwise)
{
    for (const auto& it : arguments) {
        if (it.compare(0, name.size() + 1, name + "=") == 0)
            return it.substr(name.size() + 1);
    }
    return otherwise;
}

void check_count(int actual, const std::string& wanted)
{
    INFO("found " << actual << ", expected " << wanted);
    if (wanted.compare(0, 2, ">=") == 0)
        CHECK(actual >= std::stoi(wanted.substr(2)));
    else if (wanted.compare(0, 2, "<=") == 0)
        CHECK(actual <= std::stoi(wanted.substr(2)));
    else
        CHECK(actual == std::stoi(wanted));
}

} // namespace

node_fleet::node_fleet(std::uint64_t seed)
    : seed_(seed), network_(loop, seed), platform_(loop), driver_(loop),
      random_(seed), committer_(platform_, loop, random_)
{
    settings.wall = [this] {
        return std::chrono::duration_cast<milliseconds>(
                   loop.now().time_since_epoch())
            .count();
    };
    driver_.on_crash = [this](const std::string& name) {
        at(name).server_up = false;
    };
}

node_fleet::node& node_fleet::at(const std::string& name)
{
    auto it = nodes_.find(name);
    INFO("node " << name);
    REQUIRE(it != nodes_.end());
    return *it->second;
}

void node_fleet::add(const std::string& service, int count)
{
    for (int n = 1; n <= count; ++n) {
        auto name = service + "-" + std::to_string(n);
        auto made = std::make_unique<node>(loop);
        ++made_;
        made->address = {"10.0.0." + std::to_string(made_), 7000};
        made->server = {service, "127.0.0.1", 9000, 20, 100};
        process::member self;
        self.instance = name;
        self.incarnation = loop.now().time_since_epoch().count();
        self.peer = made->address;
        self.failure_domain = "d" + std::to_string(1 + made_ % domain_count);
        self.region = "r1";
        auto* it = made.get();
        made->core = std::make_unique<process::node_core>(
            made->loop, network_.at(made->address), platform_, made->counts,
            settings, self, name + "-boot", seed_ * 1000 + made_,
            [it](const auto&) { return !it->server_up; });
        driver_.add(name, {made->core->entry(), made->core->routing(),
                           made->core->execution()});
        made->core->start(8000);
        nodes_[name] = std::move(made);
        announce(name);
    }
}

// As a backend server does, every second.
void node_fleet::announce(const std::string& name)
{
    auto it = nodes_.find(name);
    if (it == nodes_.end())
        return;
    auto& announced = *it->second;
    if (announced.server_up)
        announced.core->server().announced(announced.server);
    announced.loop.call_after(std::chrono::seconds(1),
                              [this, name] { announce(name); });
}

void node_fleet::commit(const words& intent)
{
    version::load_configuration(
        platform_, [this, intent](version::load_result result) {
            REQUIRE(std::holds_alternative<version::loaded>(result));
            auto parsed = version::parse_intent(
                intent, std::get<version::loaded>(result).value);
            REQUIRE(std::holds_alternative<version::change>(parsed));
            commit(std::get<version::change>(parsed));
        });
}

void node_fleet::commit(const version::change& it)
{
    version::load_configuration(platform_, [this,
                                            it](version::load_result result) {
        REQUIRE(std::holds_alternative<version::loaded>(result));
        auto plan = version::make_plan(
            std::get<version::loaded>(result).value, it,
            "op" + std::to_string(random_.below(UINT64_MAX)));
        REQUIRE(std::holds_alternative<version::plan>(plan));
        committer_.commit(
            std::get<version::plan>(plan), [](const auto& committed) {
                CHECK(std::holds_alternative<version::committed>(committed));
            });
    });
}

void node_fleet::send(const words& arguments)
{
    REQUIRE(arguments.size() >= 4);
    int n = std::stoi(option(arguments, "count", "1"));
    auto gap = parse_time(option(arguments, "every", "10ms"));
    auto id = option(arguments, "id", "");
    auto timeout = parse_time(option(arguments, "timeout", "5s"));
    for (int it = 0; it < n; ++it)
        loop.call_after(gap * it, [this, arguments, id, timeout] {
            send_one(arguments, id, timeout);
        });
}

void node_fleet::send_one(const words& arguments, const std::string& id,
                          process::duration timeout)
{
    request::caller_request it;
    it.method = id.empty() ? "GET" : "POST";
    it.key = arguments[2] == "-" ? "" : keys_[arguments[2]];
    it.path = arguments[3];
    if (it.path.back() == '*')
        it.path.replace(it.path.size() - 1, 1, std::to_string(sent_.size()));
    it.idempotency_key = id;
    it.timeout = timeout;
    it.fingerprint = it.path + id;
    auto sent = std::make_shared<sent_request>();
    sent->label = arguments[0];
    sent->name = id.empty() ? it.path : id;
    sent_.push_back(sent);
    driver_.send(arguments[1], it, [sent](const caller_result& result) {
        // A caller gets one answer.
        CHECK(!sent->ended);
        sent->ended = true;
        sent->result = result;
    });
}

void node_fleet::kill(const std::string& name)
{
    auto& it = at(name);
    driver_.remove(name);
    network_.kill(it.address);
    it.loop.pause();
    ended_.push_back(std::move(nodes_.at(name)));
    nodes_.erase(name);
}

void node_fleet::set_frozen(const std::string& name, bool on)
{
    auto& it = at(name);
    if (on) {
        driver_.freeze(name);
        network_.freeze(it.address);
        it.loop.pause();
    } else {
        driver_.thaw(name);
        it.loop.resume();
        network_.thaw(it.address);
    }
}

void node_fleet::cut(const words& arguments)
{
    std::set<process::peer_address> sides[2];
    int side = 0;
    for (const auto& it : arguments) {
        if (it == "|")
            side = 1;
        else
            sides[side].insert(at(it).address);
    }
    network_.cut(sides[0], sides[1]);
}

int node_fleet::count(const std::string& label, const std::string& what) const
{
    int n = 0;
    for (const auto& it : sent_) {
        if (it->label != label)
            continue;
        const auto& result = it->result;
        bool refused = it->ended && !result.whole;
        if (what == "sent" || (what == "whole" && result.whole) ||
            (what == "repeated" && result.repeated) ||
            (what == "refused" && refused) ||
            (what == "unanswered" && !it->ended) ||
            (refused && (what == request::name_of(result.what.run) ||
                         what == request::name_of(result.what.why))))
            ++n;
    }
    return n;
}

void node_fleet::check_promises() const
{
    for (const auto& it : sent_) {
        int runs = driver_.runs_of(it->name);
        INFO("request " << it->label << " " << it->name << " ran " << runs
                        << " times");
        bool is_path = it->name[0] == '/';
        if (!is_path)
            CHECK(runs <= 1);
        bool unique = is_path &&
                      it->name.find_first_of("0123456789") != std::string::npos;
        if (unique && it->ended && !it->result.whole &&
            it->result.what.run == request::execution::not_run)
            CHECK(runs == 0);
    }
}

verb_table node_fleet::verbs()
{
    verb_table it;
    it["nodes"] = [this](const words& n) { add(n.at(0), std::stoi(n.at(1))); };
    it["intent"] = [this](const words& n) { commit(n); };
    it["key"] = [this](const words& n) {
        keys_[n.at(0)] = "key-of-" + n.at(0) + "-" + std::to_string(seed_);
        commit(
            version::issue_key{process::hash_api_key(keys_[n.at(0)]), n.at(1)});
    };
    it["withdraw"] = [this](const words& n) {
        commit(version::withdraw_key{process::hash_api_key(keys_.at(n.at(0)))});
    };
    it["send"] = [this](const words& n) { send(n); };
    it["kill"] = [this](const words& n) { kill(n.at(0)); };
    it["freeze"] = [this](const words& n) { set_frozen(n.at(0), true); };
    it["thaw"] = [this](const words& n) { set_frozen(n.at(0), false); };
    it["crash"] = [this](const words& n) { driver_.crash_server(n.at(0)); };
    it["restart_server"] = [this](const words& n) {
        at(n.at(0)).server_up = true;
    };
    it["drain"] = [this](const words& n) {
        const auto& name = n.at(0);
        at(name).core->drain([this, name = name] { kill(name); });
    };
    it["cut"] = [this](const words& n) { cut(n); };
    it["heal"] = [this](const words&) { network_.heal(); };
    it["loss"] = [this](const words& n) { network_.loss = std::stod(n.at(0)); };
    it["platform"] = [this](const words& n) {
        if (n.at(0) == "copy")
            platform_.save_copy();
        else if (n.at(0) == "restore")
            platform_.restore_copy();
        else
            platform_.down = n.at(0) == "down";
    };
    it["lose_answers"] = [this](const words& n) {
        platform_.answers_to_lose = std::stoi(n.at(0));
    };
    it["drop_answers"] = [this](const words& n) {
        driver_.drop_answers(n.at(0), n.at(1) == "on");
    };
    it["delay_attempts"] = [this](const words& n) {
        driver_.delay_attempts(n.at(0), parse_time(n.at(1)));
    };
    it["mark"] = [this](const words& n) {
        marks_[n.at(0)] = driver_.runs_on(n.at(0));
    };
    it["expect_since_mark"] = [this](const words& n) {
        check_count(driver_.runs_on(n.at(0)) - marks_.at(n.at(0)), n.at(1));
    };
    it["calls"] = [this](const words& n) {
        driver_.calls_of_service[n.at(0)].push_back(n.at(1));
    };
    it["service_time"] = [this](const words& n) {
        driver_.service_time = parse_time(n.at(0));
    };
    it["expect"] = [this](const words& n) {
        INFO(n.at(0) << ' ' << n.at(1));
        check_count(count(n.at(0), n.at(1)), n.at(2));
    };
    it["expect_runs"] = [this](const words& n) {
        check_count(driver_.runs_of(n.at(0)), n.at(1));
    };
    it["expect_runs_on"] = [this](const words& n) {
        check_count(driver_.runs_on(n.at(0)), n.at(1));
    };
    it["expect_revision"] = [this](const words& n) {
        for (const auto& [name, at] : nodes_) {
            INFO(name);
            const auto& now = at->core->feed().current_configuration();
            REQUIRE(now);
            CHECK(std::to_string(now->revision) == n.at(0));
        }
    };
    it["expect_alive"] = [this](const words& n) {
        check_count(static_cast<int>(nodes_.size()), n.at(0));
    };
    return it;
}

} // namespace shallotwood::test
