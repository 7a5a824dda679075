// What callers and backend servers have seen, checked against the promises.
//
// A violation is found when the second of two facts that exclude each other
// comes in, whichever it is.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

namespace shallotwood::soak
{

struct sent_request {
    std::string id;
    // Must not run twice.
    bool once = false;
    std::string workspace;
    // The whole body of the right answer.
    std::string expected;
};

class ledger
{
public:
    void sent(const sent_request& it);
    // A backend server begins to work on it, and what it was told.
    void ran(const std::string& id, const std::string& workspace,
             bool shown_a_key);
    // The caller got a whole answer; `marked` if it claims to be a backend
    // server's.
    void answered(const std::string& id, int status, const std::string& body,
                  bool marked);
    void violation(const std::string& text) { violations_.insert(text); }

    const std::set<std::string>& violations() const { return violations_; }
    std::size_t requests() const { return requests_.size(); }
    std::size_t runs() const { return runs_; }
    // Requests of the workspace that have run, however often.
    std::size_t requests_run(const std::string& workspace) const;
    std::size_t count(int status) const;

private:
    struct entry {
        sent_request what;
        int runs = 0;
        // Answered with a status that promises "not run".
        bool refused = false;
    };
    void check_refusal(const entry& it);

    std::map<std::string, entry> requests_;
    std::map<int, std::size_t> statuses_;
    std::size_t runs_ = 0;
    std::set<std::string> violations_;
};

} // namespace shallotwood::soak
