// The verbs of the scenarios of ownership, rate and records.
//
// NODE is a name (n1), an alias, or a role at this moment: owner, witness0,
// witness1, witness2, other (neither). Shard 0 counts for roles.
//
//     shards N                  nodes N                 detection TIME
//     kill|restart|freeze|leave NODE                    alias NAME NODE
//     thaw NODE [timers-first]  (otherwise it sees its messages first)
//     cut NODE,... NODE,...     heal                    cut-platform NODE
//     platform down|up          lose-answers N          heal-platform
//     loss P                    duplication P           window TIME
//     believe-dead NODE NODE    (the first sees the second as dead)
//     records N                 (bound on records of an owner)
//     workspace NAME RATE BURST
//     load NAME PER_SECOND TIME NODE,...|all            charge NODE NAME COUNT
//     expect owners N           expect terms-of NODE
//     expect refused NAME MAX_PERCENT                   expect granted NAME MIN
//     claim NODE KEY TAG        finish TAG STATUS|not-run|may-have-run
//     expect claim TAG granted|in-progress|may-have-run|refused|none|STATUS
//     expect runs KEY N
//     forget                    (forgets the counts of charges)
//
// After every step and at the end: no shard had two owners, the rate bound
// holds in every window, and no key ran twice.
#pragma once

#include "support/owner_fleet.hpp"
#include "support/scenario.hpp"

namespace shallotwood::test
{

class fleet_world
{
public:
    explicit fleet_world(std::uint64_t seed) : it(seed) {}

    verb_table verbs();
    void run(const scenario& steps);

    // Checks that the promises held so far.
    void check();

    void load(const std::string& workspace, double per_second,
              process::duration span, const std::vector<std::string>& at);
    void claim(const std::string& node, const std::string& key,
               const std::string& tag);
    void finish(const std::string& tag, const std::string& how);
    std::string resolve(const std::string& role);

    owner_fleet it;

    struct tally {
        std::vector<process::time_point> spends;
        std::uint64_t granted = 0;
        std::map<request::reason, std::uint64_t> refused;
        std::uint64_t total_refused = 0;
    };
    std::map<std::string, tally> tallies;

    struct claimed {
        std::string node;
        std::string key;
        std::shared_ptr<owner_node> process;
        std::optional<process::claim_result> result;
        std::optional<bool> finished;
    };
    std::map<std::string, claimed> claims;
    std::map<std::string, int> runs;
    std::size_t most_owners = 0;

private:
    void charge(const std::string& workspace, const std::string& node);
    void expect(const words& arguments);
    void expect_claim(const std::string& tag, const std::string& result);
    std::vector<std::string> node_list(const std::string& text);

    std::map<std::string, std::string> aliases_;
};

// Runs every scenario whose name starts with the prefix.
void run_fleet_scenarios(const std::string& prefix);

} // namespace shallotwood::test
