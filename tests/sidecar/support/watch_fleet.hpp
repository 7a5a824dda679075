// Nodes that watch one store for each other over a simulated network. The store
// refuses some of them or goes silent, and nodes freeze or vanish.
#pragma once

#include "process/sidecar/store_watch.hpp"
#include "support/virtual_loop.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace shallotwood::test
{

class watch_fleet
{
public:
    enum class fault {
        none,
        // Each call is refused at once.
        refuse,
        // Calls are not answered.
        silent,
    };

    watch_fleet(std::size_t size, std::uint64_t seed);
    ~watch_fleet();

    // How the store treats all nodes, or one node.
    void set_store(fault how) { store_ = how; }
    void set_store(std::size_t number, fault how) { store_for_[number] = how; }
    void heal_store();
    // A frozen node neither runs timers nor answers until it is thawed.
    void freeze(std::size_t number);
    void thaw(std::size_t number);
    // The node ends without a word and never comes back.
    void vanish(std::size_t number) { freeze(number); }

    // The operator writes the next revision.
    void change();
    void advance(process::duration span) { loop.advance(span); }

    // Nodes that watch the store and that it answers.
    std::vector<std::size_t> watchers() const;
    // Nodes that last read the store, the latest first.
    std::vector<std::size_t> readers() const;
    // Longest time from a change until a node that is neither frozen nor
    // refused had it, over all changes so far.
    process::duration slowest() const;
    // Calls that the store got from all nodes.
    std::size_t calls() const { return calls_; }
    std::size_t size() const { return nodes_.size(); }

    virtual_loop loop;

private:
    struct node;
    class node_store;

    node& find(const std::string& name);
    fault fault_of(std::size_t number) const;
    process::fleet::instance entry(std::size_t number) const;
    void check_links();
    // Records for each revision when the last calm node has it.
    void observe();

    // Selects the addresses, and so the order of the election.
    std::uint64_t seed_;
    std::vector<std::unique_ptr<node>> nodes_;
    fault store_ = fault::none;
    std::map<std::size_t, fault> store_for_;
    std::uint64_t revision_ = 0;
    // When each revision was written, and how long the calm nodes took.
    std::map<std::uint64_t, process::time_point> written_;
    process::duration slowest_{0};
    std::size_t calls_ = 0;
};

} // namespace shallotwood::test
