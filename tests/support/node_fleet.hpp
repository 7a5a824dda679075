// Whole nodes without sockets, joined by the fake network, the fake platform
// and the call driver, with the verbs for end-to-end scenarios.
//
//   nodes SERVICE COUNT           by turns in the domains d1, d2, ...
//   intent WORD...                an operator's change, as for shallotwoodctl
//   key NAME WORKSPACE            issue a key; `withdraw NAME` withdraws it
//   send LABEL NODE KEY PATH [count=N] [every=TIME] [id=KEY] [timeout=TIME]
//   kill|freeze|thaw|crash|drain NODE, cut NODE... | NODE..., heal
//   platform down|up|copy|restore, lose_answers N, drop_answers NODE on|off
//   expect LABEL WHAT N           WHAT: sent, whole, refused, repeated, the
//                                 name of a verdict or of a reason; N may be
//                                 `3`, `>=3` or `<=3`
//   delay_attempts NODE TIME      as over a slow connection; control messages
//                                 go on as before
//   mark NODE, expect_since_mark NODE N   runs on its backend server since
//   expect_runs NAME N            runs of an idempotency key or path
//   expect_revision N             in force on every living node
//
// A path that ends in `*` gets a number in its place, so that each request can
// be told apart. At the end of every scenario, a request that was told "not
// run" must not have run, and no idempotency key may have run twice.
#pragma once

#include "process/node_core.hpp"
#include "support/call_driver.hpp"
#include "support/fake_network.hpp"
#include "support/fake_object_store.hpp"
#include "support/pausable_loop.hpp"
#include "support/scenario.hpp"
#include "version/commit.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace shallotwood::test
{

class node_fleet
{
public:
    explicit node_fleet(std::uint64_t seed);

    verb_table verbs();

    // Checks what holds at the end of every scenario.
    void check_promises() const;

    // Applied to nodes made from now on.
    process::node_core_settings settings;
    virtual_loop loop;

private:
    struct node {
        explicit node(process::event_loop& outer) : loop(outer) {}

        pausable_loop loop;
        process::counters counts;
        process::peer_address address;
        process::http::backend_announcement server;
        bool server_up = true;
        std::unique_ptr<process::node_core> core;
    };
    struct sent_request {
        std::string label;
        // What runs_of() knows it by.
        std::string name;
        bool ended = false;
        caller_result result;
    };

    void add(const std::string& service, int count);
    void announce(const std::string& name);
    void commit(const words& intent);
    void commit(const version::change& it);
    void send(const words& arguments);
    void send_one(const words& arguments, const std::string& id,
                  process::duration timeout);
    void kill(const std::string& name);
    void set_frozen(const std::string& name, bool on);
    void cut(const words& arguments);
    int count(const std::string& label, const std::string& what) const;
    node& at(const std::string& name);

    std::uint64_t seed_;
    fake_network network_;
    fake_object_store platform_;
    call_driver driver_;
    process::random_source random_;
    version::committer committer_;
    std::map<std::string, std::unique_ptr<node>> nodes_;
    // Ended nodes stay: their timers are still queued.
    std::vector<std::unique_ptr<node>> ended_;
    std::map<std::string, std::string> keys_;
    std::map<std::string, int> marks_;
    std::vector<std::shared_ptr<sent_request>> sent_;
    int made_ = 0;
};

} // namespace shallotwood::test
