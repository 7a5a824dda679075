// The settings of one node, read once from a TOML file.
//
// Parsing, validation and the reference in docs/settings.md use the same table
// of fields. Durations are written in seconds, with an optional fraction.
#pragma once

#include "process/event_loop.hpp"
#include "process/peer_transport.hpp"

#include <boost/log/trivial.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

namespace shallotwood::process
{

// Largest accepted settings file, in bytes.
constexpr std::size_t max_settings_bytes = 65536;

// Limit of the errors that are reported for one file.
constexpr std::size_t max_setting_errors = 100;

struct settings {
    std::string instance;
    std::string failure_domain;
    std::string region;
    process::peer_address caller_address;
    process::peer_address peer_address;
    process::peer_address control_address;
    process::peer_address local_address;
    process::peer_address platform_address;
    std::vector<process::peer_address> seeds;
    // Exactly one of the two is set; see load_fleet_secret.
    std::string fleet_secret;
    std::string fleet_secret_file;
    boost::log::trivial::severity_level log_level = boost::log::trivial::info;
    duration isolation_limit = std::chrono::seconds(10);
    duration drain_limit = std::chrono::seconds(30);
    duration record_window = std::chrono::hours(24);
    std::int64_t retry_allowance = 2;
    std::int64_t queue_count_limit = 1024;
    duration queue_time_limit = std::chrono::milliseconds(500);
};

struct setting_error {
    // Line of the settings file, from 1; the last line for a missing field; 0
    // if the error has no position in the file.
    int line = 0;
    // Empty if the error is not about a single field.
    std::string field;
    std::string message;

    friend bool operator==(const setting_error& a, const setting_error& b)
    {
        return std::tie(a.line, a.field, a.message) ==
               std::tie(b.line, b.field, b.message);
    }
};

using setting_errors = std::vector<setting_error>;

// Returns valid settings, or all errors ordered by line. Never throws on
// untrusted text.
std::variant<settings, setting_errors> parse_settings(std::string_view text);

// As parse_settings; a file that can't be read is reported as an error.
std::variant<settings, setting_errors>
load_settings(const std::string& file_name);

// The errors that `--check-config FILE` reports; empty if the file is valid.
// Doesn't open the fleet secret file, so that a settings file can be checked on
// a machine other than the node's.
setting_errors check_settings(const std::string& file_name);

// Formats `FILE:LINE: FIELD: MESSAGE`, without line or field if not set.
std::string to_text(const setting_error& error, std::string_view file_name);

// Returns the fleet secret, read from its file if the settings name one; one
// newline at the end of the file is dropped.
std::variant<std::string, setting_error>
load_fleet_secret(const settings& configured);

// Returns the reference of all fields as a Markdown table.
std::string settings_reference();

} // namespace shallotwood::process
