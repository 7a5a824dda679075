// Nodes that share the tokens of one workspace over a simulated network, in
// which links are reset or cut, and nodes freeze or restart.
#pragma once

#include "process/rate/token_cache.hpp"
#include "process/sidecar/peer_channel.hpp"
#include "process/sidecar/token_exchange.hpp"
#include "support/virtual_loop.hpp"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace shallotwood::test
{

class token_fleet
{
public:
    static constexpr const char* workspace = "w";

    token_fleet(std::size_t size, const process::rate::rate_limit& limit);
    ~token_fleet();

    // Cuts all messages from one node to another.
    void cut(std::size_t from, std::size_t to);
    // Cuts all links between the nodes of `some` and the others.
    void cut_off(const std::set<std::size_t>& some);
    // Cuts all links of each node in `some`.
    void cut_each(const std::set<std::size_t>& some);
    void heal();
    // Closes all connections; new ones can be opened.
    void reset_all();
    // A frozen node neither runs timers nor answers until it is thawed.
    void freeze(std::size_t node);
    void thaw(std::size_t node);
    // Kills the node; a new incarnation, which knows the fleet, takes its place
    // soon afterwards.
    void restart(std::size_t node);

    // Sends `rate` requests a second, spread over the nodes in turn; frozen
    // nodes get none.
    void play(double rate, process::duration span);
    // Sends the requests to these nodes only.
    void play(const std::vector<std::size_t>& nodes, double rate,
              process::duration span);

    // Largest number of requests that were admitted within `window`.
    std::size_t most_admitted(process::duration window) const;
    std::size_t admitted() const { return admitted_.size(); }
    // Node that grants the tokens when all nodes can be reached.
    std::size_t owner() const;
    std::size_t size() const { return nodes_.size(); }

    process::rate::rate_limit limit;
    virtual_loop loop;
    int refused = 0;

private:
    struct node;

    void replace(std::size_t node);
    bool connected(std::size_t from, std::size_t to) const;
    // Updates what each node knows about the reachability of the others.
    void check_links();
    std::unique_ptr<node>
    make_node(std::size_t number, std::uint64_t incarnation, bool fleet_is_new);
    process::fleet::instance entry(std::size_t number,
                                   std::uint64_t incarnation) const;

    std::vector<std::unique_ptr<node>> nodes_;
    std::set<std::pair<std::size_t, std::size_t>> cuts_;
    std::deque<process::time_point> admitted_;
    std::size_t next_ = 0;
};

} // namespace shallotwood::test
