// The settings of one node, read once from a TOML file.
//
// One table of fields drives parsing, validation and the reference in
// docs/settings.md. Durations are written in seconds, with or without a
// fraction.
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

// Largest settings file that is read, in bytes.
constexpr std::size_t max_settings_bytes = 65536;

// Most faults that are reported for one file.
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
    // Of the settings file, from 1; for a missing field the last line; 0 if the
    // fault has no place in the file.
    int line = 0;
    // Empty if the fault is not about one field.
    std::string field;
    std::string message;

    friend bool operator==(const setting_error& a, const setting_error& b)
    {
        return std::tie(a.line, a.field, a.message) ==
               std::tie(b.line, b.field, b.message);
    }
};

using setting_errors = std::vector<setting_error>;

// Valid settings, or all faults in order of line. Never throws on untrusted
// text.
std::variant<settings, setting_errors> parse_settings(std::string_view text);

// As parse_settings; a file that can't be read is a fault.
std::variant<settings, setting_errors>
load_settings(const std::string& file_name);

// What `--check-config FILE` reports: the faults, none if the file is valid.
// The fleet secret file is not opened, so that a file can be checked on another
// machine than the node's.
setting_errors check_settings(const std::string& file_name);

// `FILE:LINE: FIELD: MESSAGE`, without the parts that are absent.
std::string to_text(const setting_error& fault, std::string_view file_name);

// The fleet secret itself, read from the file if it is given by file; one line
// end after the secret is dropped.
std::variant<std::string, setting_error>
load_fleet_secret(const settings& from);

// The reference of all fields as a Markdown table.
std::string settings_reference();

} // namespace shallotwood::process
