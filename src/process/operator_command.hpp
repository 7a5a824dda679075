// The operator's command, apart from its arguments and the HTTP connection.
//
// Every change goes through a plan: it is made against the committed revision,
// shown, and committed only when it is confirmed.
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

// The exit status of shallotwoodctl; part of its interface.
enum class exit_code {
    done = 0,
    // The platform was not available, or its content is malformed. Nothing was
    // changed.
    failed = 1,
    // Invalid arguments, intent or plan. Nothing was changed.
    invalid = 2,
    // The plan's base revision was superseded. Nothing was changed.
    conflict = 3,
    // The change may have been made; confirming the same plan again resolves
    // it.
    unknown_outcome = 4,
    // status: a node has an older revision in force, or did not answer.
    nodes_behind = 5,
};

// Bytes of a key that is issued.
constexpr std::size_t key_bytes = 32;

struct operator_options {
    // The command and its arguments, such as {"keys", "issue", "radio"}.
    std::vector<std::string> words;
    // Writes one JSON object in place of text.
    bool json = false;
    // Confirms the plan at once.
    bool yes = false;
    // File that a plan is written to; empty for none.
    std::string save_file;
    // Local addresses of the nodes that `status` asks.
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
    // All must outlive the command.
    operator_command(object_store& store, event_loop& loop,
                     random_source& random, http::node_status_reader& nodes,
                     operator_streams streams);

    // Runs one command and calls `done` once. To be called once.
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

    // Reads the committed configuration, again after a fault of the platform
    // until the time limit.
    void load(const on_loaded& next, const std::function<void()>& unavailable);
    void load(const on_loaded& next);
    void propose(const version::configuration& base,
                 const version::change& intent, const std::string& key = "");
    bool save(const version::plan& it);
    void commit(const version::plan& it);
    void on_commit(const version::commit_result& result);
    void report_superseded(const version::superseded& it);
    void report_failure(const version::commit_failure& it);
    void query_nodes(std::optional<std::uint64_t> committed);
    void on_node_response(const peer_address& node,
                          std::optional<std::uint64_t> revision);
    void report_nodes();

    // In text mode writes the line; in JSON mode it is left out.
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
    // What JSON mode writes at the end.
    Json::Value json_output_{Json::objectValue};
    time_point deadline_;
    std::optional<std::uint64_t> committed_revision_;
    std::map<peer_address, std::optional<std::uint64_t>> node_revisions_;
    std::size_t pending_responses_ = 0;
};

} // namespace shallotwood::process
