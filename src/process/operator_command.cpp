#include "process/operator_command.hpp"

#include "process/address.hpp"
#include "process/json_text.hpp"
#include "process/keyed_hash.hpp"
#include "version/intent.hpp"

#include <fstream>
#include <glib.h>
#include <istream>
#include <ostream>

namespace shallotwood::process
{

namespace
{

constexpr std::size_t operation_id_bytes = 12;
constexpr std::size_t max_key_text_bytes = 256;
constexpr duration load_backoff = std::chrono::milliseconds(250);

// The whole content of the stream; empty if it can't be read or is too large.
std::optional<std::string> read_all(std::istream& in, std::size_t max_bytes)
{
    std::string text(max_bytes + 1, '\0');
    in.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (!in.eof())
        return std::nullopt;
    text.resize(static_cast<std::size_t>(in.gcount()));
    return text;
}

std::optional<std::string> read_plan_text(const std::string& file_name,
                                          std::istream& standard_input)
{
    if (file_name == "-")
        return read_all(standard_input, version::max_plan_bytes);
    std::ifstream in(file_name, std::ios::binary);
    return in ? read_all(in, version::max_plan_bytes) : std::nullopt;
}

std::string plural(std::uint64_t count, const std::string& noun)
{
    return std::to_string(count) + ' ' + noun + (count == 1 ? "" : "s");
}

Json::Value result_json(const char* status)
{
    Json::Value json(Json::objectValue);
    json["status"] = status;
    return json;
}

} // namespace

operator_command::operator_command(object_store& store, event_loop& loop,
                                   random_source& random,
                                   http::node_status_reader& nodes,
                                   operator_streams streams)
    : store_(store), loop_(loop), random_(random), status_reader_(nodes),
      streams_(streams)
{
}

void operator_command::run(const operator_options& options,
                           std::function<void(exit_code)> done)
{
    options_ = options;
    done_ = std::move(done);
    deadline_ = loop_.now() + options_.time_limit;
    version::commit_limits limits;
    limits.time_limit = options_.time_limit;
    committer_.emplace(store_, loop_, random_, limits);
    auto command = options_.words.empty() ? std::string() : options_.words[0];
    if (command == "plan")
        run_plan();
    else if (command == "confirm")
        run_confirm();
    else if (command == "status")
        run_status();
    else if (command == "keys")
        run_keys();
    else
        fail(exit_code::invalid,
             "the command must be plan, confirm, status or keys; see --help");
}

void operator_command::run_plan()
{
    load([this](const version::loaded& base) {
        std::vector<std::string> words(options_.words.begin() + 1,
                                       options_.words.end());
        auto intent = version::parse_intent(words, base.value);
        if (auto* error = std::get_if<version::intent_error>(&intent))
            fail(exit_code::invalid, error->message);
        else
            propose(base.value, std::get<version::change>(intent));
    });
}

void operator_command::run_confirm()
{
    if (options_.words.size() != 2) {
        fail(exit_code::invalid, "confirm takes one plan file, or - for "
                                 "standard input");
        return;
    }
    auto text = read_plan_text(options_.words[1], streams_.in);
    if (!text) {
        fail(exit_code::invalid,
             options_.words[1] + " can't be read, or is too large");
        return;
    }
    auto json = parse_json(*text);
    auto it = version::plan_from_json(json.value_or(Json::Value()));
    if (auto* error = std::get_if<version::codec_error>(&it)) {
        fail(exit_code::invalid,
             options_.words[1] + " is not a plan: " + error->message);
        return;
    }
    const auto& plan = std::get<version::plan>(it);
    json_output_["plan"] = to_json(plan);
    print_text(to_text(plan));
    commit(plan);
}

void operator_command::run_status()
{
    if (options_.words.size() != 1) {
        fail(exit_code::invalid, "status takes no arguments");
        return;
    }
    load(
        [this](const version::loaded& it) {
            const auto& value = it.value;
            json_output_["revision"] = Json::UInt64(value.revision);
            json_output_["routes"] = Json::UInt64(value.routes.size());
            json_output_["workspaces"] = Json::UInt64(value.workspaces.size());
            json_output_["keys"] = Json::UInt64(value.keys.size());
            json_output_["leaving"] = Json::UInt64(value.servers.size());
            print_text(
                "Revision " + std::to_string(value.revision) +
                " is committed: " + plural(value.routes.size(), "route") +
                ", " + plural(value.workspaces.size(), "workspace") + ", " +
                plural(value.keys.size(), "key") + ", " +
                plural(value.servers.size(), "leaving backend server") + ".\n");
            query_nodes(value.position());
        },
        [this] {
            json_output_["revision"] = Json::Value();
            report_error("the platform did not answer in time");
            query_nodes(std::nullopt);
        });
}

void operator_command::run_keys()
{
    const auto& words = options_.words;
    auto verb = words.size() > 1 ? words[1] : std::string();
    if (verb == "issue" && words.size() == 3)
        issue_key(words[2]);
    else if (verb == "withdraw" && words.size() == 3)
        withdraw_key(words[2]);
    else if (verb == "list" && words.size() <= 3)
        list_keys(words.size() == 3 ? words[2] : std::string());
    else
        fail(exit_code::invalid, "keys takes `issue WORKSPACE`, `withdraw "
                                 "HASH`, or `list` with a workspace or none");
}

void operator_command::issue_key(const std::string& workspace)
{
    load([this, workspace](const version::loaded& base) {
        auto key = random_token(key_bytes);
        propose(base.value, version::issue_key{hash_api_key(key), workspace},
                key);
    });
}

void operator_command::withdraw_key(const std::string& hash_or_stdin)
{
    auto hash = hash_or_stdin;
    if (hash == "-") {
        // Reads the key itself, for example one that leaked, from standard
        // input, so that it doesn't appear in the process list.
        std::string key;
        std::getline(streams_.in, key);
        if (key.empty() || key.size() > max_key_text_bytes) {
            fail(exit_code::invalid, "standard input holds no key");
            return;
        }
        hash = hash_api_key(key);
    }
    load([this, hash](const version::loaded& base) {
        auto found = version::find_key_hash(hash, base.value);
        if (auto* error = std::get_if<version::intent_error>(&found))
            fail(exit_code::invalid, error->message);
        else
            propose(base.value,
                    version::withdraw_key{std::get<std::string>(found)});
    });
}

void operator_command::list_keys(const std::string& workspace)
{
    load([this, workspace](const version::loaded& base) {
        json_output_["keys"] = Json::Value(Json::arrayValue);
        for (const auto& [hash, owner] : base.value.keys) {
            if (!workspace.empty() && owner != workspace)
                continue;
            Json::Value entry(Json::objectValue);
            entry["hash"] = hash;
            entry["workspace"] = owner;
            json_output_["keys"].append(entry);
            auto line = hash;
            line += ' ';
            line += owner;
            print_text(line + '\n');
        }
        finish(exit_code::done);
    });
}

void operator_command::load(const on_loaded& next,
                            const std::function<void()>& unavailable)
{
    version::load_configuration(
        store_, [this, next, unavailable](const version::load_result& result) {
            if (const auto* it = std::get_if<version::loaded>(&result)) {
                next(*it);
                return;
            }
            if (const auto* it =
                    std::get_if<version::malformed_state>(&result)) {
                fail(exit_code::failed,
                     "the platform's content is malformed: " + it->message);
                return;
            }
            if (loop_.now() + load_backoff > deadline_) {
                unavailable();
                return;
            }
            loop_.call_after(load_backoff, [this, next, unavailable] {
                load(next, unavailable);
            });
        });
}

void operator_command::load(const on_loaded& next)
{
    load(next, [this] {
        fail(exit_code::failed,
             "the platform did not answer in time; nothing was changed");
    });
}

void operator_command::propose(const version::configuration& base,
                               const version::change& intent,
                               const std::string& key)
{
    auto plan_result =
        version::make_plan(base, intent, random_token(operation_id_bytes));
    if (auto* error = std::get_if<version::apply_error>(&plan_result)) {
        fail(exit_code::invalid, error->message);
        return;
    }
    const auto& it = std::get<version::plan>(plan_result);
    json_output_["plan"] = to_json(it);
    print_text(to_text(it));
    if (!save(it))
        return;
    if (!key.empty()) {
        json_output_["key"] = key;
        print_text(
            "The key, which is not shown again and works once the plan is "
            "confirmed:\n" +
            key + '\n');
    }
    if (options_.yes) {
        commit(it);
        return;
    }
    if (options_.save_file.empty())
        print_text(
            "Nothing was changed. With --save FILE the plan can be confirmed "
            "later.\n");
    else
        print_text("Nothing was changed. To confirm: shallotwoodctl confirm " +
                   options_.save_file + '\n');
    finish(exit_code::done);
}

bool operator_command::save(const version::plan& plan)
{
    if (options_.save_file.empty())
        return true;
    auto text = write_indented_json(to_json(plan));
    GError* error = nullptr;
    if (g_file_set_contents(options_.save_file.c_str(), text.data(),
                            static_cast<gssize>(text.size()), &error))
        return true;
    std::string message = error->message;
    g_error_free(error);
    fail(exit_code::invalid, "the plan can't be saved: " + message);
    return false;
}

void operator_command::commit(const version::plan& plan)
{
    // The operator must have received a new key before it becomes valid.
    streams_.out.flush();
    committer_->commit(plan, [this](const version::commit_result& result) {
        on_commit(result);
    });
}

void operator_command::on_commit(const version::commit_result& result)
{
    if (const auto* it = std::get_if<version::superseded>(&result)) {
        report_superseded(*it);
        return;
    }
    if (const auto* it = std::get_if<version::commit_failure>(&result)) {
        report_failure(*it);
        return;
    }
    const auto& it = std::get<version::committed>(result);
    auto json = result_json(it.earlier ? "already-committed" : "committed");
    json["revision"] = Json::UInt64(it.revision);
    json_output_["result"] = json;
    auto revision = std::to_string(it.revision);
    print_text(it.earlier ? "The plan was committed before, as revision " +
                                revision + "; nothing was written now.\n"
                          : "Committed as revision " + revision + ".\n");
    finish(exit_code::done);
}

void operator_command::report_superseded(const version::superseded& conflict)
{
    auto json = result_json("conflict");
    json["base_revision"] = Json::UInt64(conflict.base_revision);
    json["current_revision"] = Json::UInt64(conflict.current_revision);
    json["may_be_committed"] = conflict.may_be_committed;
    json_output_["result"] = json;
    std::string message = "conflict: the plan is against revision " +
                          std::to_string(conflict.base_revision) +
                          ", but the current revision is " +
                          std::to_string(conflict.current_revision) +
                          "; nothing was written now";
    if (conflict.may_be_committed)
        message += ". If the plan was confirmed before, its change may have "
                   "been made then: the platform no longer lists it";
    fail(exit_code::conflict, message);
}

void operator_command::report_failure(const version::commit_failure& failure)
{
    auto code = exit_code::failed;
    if (failure.fault == version::commit_fault::invalid_plan)
        code = exit_code::invalid;
    else if (failure.fault == version::commit_fault::unknown_outcome)
        code = exit_code::unknown_outcome;
    json_output_["result"] = result_json(
        code == exit_code::unknown_outcome ? "unknown" : "not-committed");
    fail(code, failure.message);
}

void operator_command::query_nodes(std::optional<version::position> committed)
{
    committed_position_ = committed;
    if (options_.nodes.empty()) {
        report_nodes();
        return;
    }
    pending_responses_ = options_.nodes.size();
    for (const auto& node : options_.nodes)
        status_reader_.read(node, [this, node](auto position) {
            on_node_response(node, position);
        });
}

void operator_command::on_node_response(
    const peer_address& node, std::optional<version::position> position)
{
    node_positions_[node] = position;
    if (--pending_responses_ == 0)
        report_nodes();
}

void operator_command::report_nodes()
{
    bool behind = false;
    json_output_["nodes"] = Json::Value(Json::arrayValue);
    for (const auto& [node, position] : node_positions_) {
        bool current = position && (!committed_position_ ||
                                    *committed_position_ <= *position);
        behind = behind || !current;
        Json::Value entry(Json::objectValue);
        entry["address"] = to_text(node);
        entry["revision"] = position
                                ? Json::Value(Json::UInt64(position->revision))
                                : Json::Value();
        entry["current"] = current;
        json_output_["nodes"].append(entry);
        auto line = to_text(node) + ": ";
        if (!position)
            line += "no answer";
        else
            line += "revision " + std::to_string(position->revision) +
                    " in force" + (current ? "" : ", behind");
        print_text(line + '\n');
    }
    if (!committed_position_)
        finish(exit_code::failed);
    else
        finish(behind ? exit_code::nodes_behind : exit_code::done);
}

void operator_command::print_text(const std::string& text)
{
    if (!options_.json)
        streams_.out << text;
}

void operator_command::fail(exit_code code, const std::string& message)
{
    report_error(message);
    finish(code);
}

void operator_command::report_error(const std::string& message)
{
    json_output_["error"] = message;
    if (!options_.json)
        streams_.errors << "shallotwoodctl: " << message << '\n';
}

void operator_command::finish(exit_code code)
{
    if (options_.json)
        streams_.out << write_indented_json(json_output_);
    streams_.out.flush();
    done_(code);
}

} // namespace shallotwood::process
