// The commands of shallotwoodctl, without argument parsing and HTTP.
//
// Every change goes through a plan, which is made against the committed
// revision, shown to the operator, and committed only once it is confirmed.
#pragma once

#include "process/event_loop.hpp"
#include "process/http/node_status.hpp"
#include "process/object_store.hpp"
#include "process/random_source.hpp"
#include "version/commit.hpp"

#include <functional>
#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace shallotwood::process
{

// Exit statuses of shallotwoodctl. The values are part of its interface.
enum class exit_code {
    done = 0,
    // The platform was unavailable, or its stored configuration is malformed.
    // Nothing was changed.
    failed = 1,
    // Invalid arguments, intent or plan. Nothing was changed.
    invalid = 2,
    // The plan's base revision was superseded. Nothing was changed.
    conflict = 3,
    // The change may have been committed; to find out, confirm the same plan
    // again.
    unknown_outcome = 4,
    // status: a node runs an older revision, or did not respond.
    nodes_behind = 5,
};

// Size of a newly issued API key.
constexpr std::size_t key_bytes = 32;

struct operator_options {
    // The command and its arguments, such as {"keys", "issue", "radio"}.
    std::vector<std::string> words;
    // Writes one JSON object instead of text.
    bool json = false;
    // Confirms the plan without asking for a separate command.
    bool yes = false;
    // File to which the plan is written; empty for none.
    std::string save_file;
    // Local addresses of the nodes that `status` queries.
    std::vector<peer_address> nodes;
    duration time_limit = std::chrono::seconds(15);
};

struct operator_streams {
    std::istream& in;
    std::ostream& out;
    std::ostream& errors;
};

class operator_command
{
public:
    // All references must outlive this object.
    operator_command(object_store& store, event_loop& loop,
                     random_source& random, http::node_status_reader& nodes,
                     operator_streams streams);

    // Runs one command and calls `done` once. Must be called only once.
    void run(const operator_options& options,
             std::function<void(exit_code)> done);

private:
    using on_loaded = std::function<void(const version::loaded&)>;

    void run_plan();
    void run_confirm();
    void run_status();
    void run_keys();
    void issue_key(const std::string& workspace);
    void withdraw_key(const std::string& hash_or_stdin);
    void list_keys(const std::string& workspace);

    // Reads the committed configuration; retries until the time limit while the
    // platform is unavailable.
    void load(const on_loaded& next, const std::function<void()>& unavailable);
    void load(const on_loaded& next);
    void propose(const version::configuration& base,
                 const version::change& intent, const std::string& key = "");
    bool save(const version::plan& plan);
    void commit(const version::plan& plan);
    void on_commit(const version::commit_result& result);
    void report_superseded(const version::superseded& conflict);
    void report_failure(const version::commit_failure& failure);
    void query_nodes(std::optional<version::position> committed);
    void on_node_response(const peer_address& node,
                          std::optional<version::position> position);
    void report_nodes();

    // Writes the text in text mode, and nothing in JSON mode.
    void print_text(const std::string& text);
    void report_error(const std::string& message);
    void fail(exit_code code, const std::string& message);
    void finish(exit_code code);

    object_store& store_;
    event_loop& loop_;
    random_source& random_;
    http::node_status_reader& status_reader_;
    operator_streams streams_;
    operator_options options_;
    std::function<void(exit_code)> done_;
    std::optional<version::committer> committer_;
    // Written at the end in JSON mode.
    Json::Value json_output_{Json::objectValue};
    time_point deadline_;
    std::optional<version::position> committed_position_;
    std::map<peer_address, std::optional<version::position>> node_positions_;
    std::size_t pending_responses_ = 0;
};

} // namespace shallotwood::process
