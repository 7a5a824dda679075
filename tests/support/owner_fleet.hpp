// Several nodes with ownership, rate ledger and record store on one virtual
// clock, joined by a fake network and a fake platform.
#pragma once

#include "process/rate_ledger.hpp"
#include "process/record_store.hpp"
#include "support/fake_member_view.hpp"
#include "support/fake_network.hpp"
#include "support/fake_object_store.hpp"
#include "support/virtual_loop.hpp"

#include <map>
#include <memory>

namespace shallotwood::test
{

// The loop of one process: a frozen one runs what was due when it is thawed, a
// dead one never.
class node_loop final : public process::event_loop
{
public:
    explicit node_loop(virtual_loop& loop) : loop_(loop) {}

    process::time_point now() const override { return loop_.now(); }
    process::timer_id call_after(process::duration delay,
                                 std::function<void()> task) override;
    void cancel(process::timer_id id) override;

    void run(std::function<void()> task);
    void freeze() { frozen_ = true; }
    void thaw();
    void kill();
    bool frozen() const { return frozen_; }
    bool alive() const { return alive_; }

private:
    virtual_loop& loop_;
    bool frozen_ = false;
    bool alive_ = true;
    std::uint64_t last_ = 0;
    std::map<std::uint64_t, process::timer_id> pending_;
    std::vector<std::function<void()>> held_;
};

// The platform as one process reaches it.
class node_store final : public process::object_store
{
public:
    node_store(process::object_store& platform, node_loop& loop)
        : platform_(platform), loop_(loop)
    {
    }

    void get(const std::string& name,
             std::function<void(process::get_result)> done) override;
    void put(const std::string& name, const std::string& value,
             std::uint64_t expected_version,
             std::function<void(process::put_result)> done) override;
    void list(const std::string& prefix,
              std::function<void(process::list_result)> done) override;
    process::watch_id
    watch(const std::string& name, std::uint64_t after_version,
          std::function<void(process::get_result)> on_change) override;
    void cancel(process::watch_id id) override;

    bool cut = false;

private:
    template <typename Result>
    std::function<void(Result)> on_loop(std::function<void(Result)> done);

    process::object_store& platform_;
    node_loop& loop_;
};

struct owner_node {
    owner_node(virtual_loop& virtual_time, fake_network& network,
               process::object_store& platform, const process::member& self,
               const std::string& boot, process::rate_lookup limits,
               const process::ownership_settings& shards,
               const process::record_settings& records_settings);

    process::member entry;
    node_loop loop;
    node_store store;
    fake_member_view view;
    process::counters counts;
    process::ownership owners;
    process::rate_ledger rates;
    process::record_store records;

    bool acting() const { return loop.alive() && !loop.frozen(); }
};

class owner_fleet
{
public:
    explicit owner_fleet(std::uint64_t seed);

    void add_nodes(int count);
    void kill(const std::string& name);
    void restart(const std::string& name);
    void freeze(const std::string& name);
    // A process that resumes may see its timers or its messages first.
    void thaw(const std::string& name, bool timers_first);
    void leave(const std::string& name);
    void cut(const std::vector<std::string>& a,
             const std::vector<std::string>& b);

    owner_node& at(const std::string& name) { return *nodes.at(name); }
    std::vector<std::string> names() const;

    // Nodes that may act for the shard by their own clock, frozen ones too.
    std::vector<std::string> owners_of(process::shard_id shard) const;
    // Names of the witnesses in the platform's object.
    std::vector<std::string> witnesses_of(process::shard_id shard);

    // Advances time and checks every 5 ms that no shard has two owners.
    // Returns the most owners that one shard had.
    std::size_t advance(process::duration span);

    virtual_loop loop;
    process::random_source random;
    fake_network network;
    fake_object_store platform;
    process::ownership_settings shard_settings;
    process::record_settings record_settings;
    std::map<std::string, process::rate_limit> limits;
    std::map<std::string, std::shared_ptr<owner_node>> nodes;
    // Time until the others see that a node died.
    process::duration detection = std::chrono::seconds(2);

private:
    void announce(const process::member& it);
    void start_node(const process::member& it);

    std::uint64_t boots_ = 0;
    // Dead processes are kept, because messages to them may be under way.
    std::vector<std::shared_ptr<owner_node>> dead_;
};

// The largest number of spends by which any window exceeds rate x time +
// burst; not positive if the bound holds over all windows.
double worst_excess(const std::vector<process::time_point>& spends,
                    const process::rate_limit& limit);

} // namespace shallotwood::test
