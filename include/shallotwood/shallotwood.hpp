// Shallotwood: overload control for service call graphs.
//
// One node runs beside each backend server. Callers send HTTP requests to any
// node of a service; the node checks the caller's key, charges the workspace's
// rate, selects a backend server and forwards the request to the node beside
// it, which admits, queues or refuses it. Backend servers call each other
// through their own node, so that the deadline, importance and retries of
// the first request bound all calls made on its behalf.
//
// Headers of a response to a caller that no backend server produced:
//
//   Shallotwood-Verdict: not-run       the work did not start and will not
//                        may-have-run  it may have run, in whole or in part
//                        ran           it ran; the response was lost
//   Shallotwood-Reason:  see docs/OPERATIONS.md
//   Retry-After:         seconds, for overload and for requests over the rate
//
// A truncated response is never terminated as if it were complete: the node
// aborts the connection instead.
//
// This is the public API that the programs use. Everything runs on the calling
// thread, on one GLib main loop; nothing here may be called from another
// thread.
#pragma once

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace shallotwood
{

// Version of the library, such as "0.1.0".
std::string_view version_text();

struct node_options {
    // TOML; docs/settings.md lists the fields.
    std::string settings_file;
    // If not empty, the node writes one line with the ports in use to this file
    // once it listens: caller, peer, local, control.
    std::string port_file;
    // The system chooses all ports, whatever the settings say. For tests.
    bool ephemeral_ports = false;
};

// Runs a node until SIGTERM or SIGINT. The first signal starts a graceful
// shutdown: the node lets requests in flight finish, returns tokens and hands
// over ownership. A second signal, or the setting drain_limit, ends it early.
// Returns the exit status: 0 after a graceful shutdown, 1 if the node could not
// start or was ended early, 2 if the settings are invalid. Error messages for
// the operator go to `errors`; the log goes to standard error.
int run_node(const node_options& options, std::ostream& errors);

// The faults of a settings file, each as "FILE:LINE: FIELD: MESSAGE"; none if
// it is valid. Opens no other file and no socket.
std::vector<std::string> check_settings(const std::string& file_name);

} // namespace shallotwood
