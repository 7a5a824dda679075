// Structured log lines through Boost.Log: `event=route request=… verdict=…`.
//
// API keys and the fleet secret are never logged.
#pragma once

#include <boost/log/trivial.hpp>
#include <ostream>
#include <string>
#include <string_view>

namespace shallotwood::process
{

// Logs lines of at least this level to standard error, with time and level.
void start_log(boost::log::trivial::severity_level lowest);

// Returns false if the name is not one of Boost.Log's levels.
bool parse_log_level(std::string_view name,
                     boost::log::trivial::severity_level& level);

// One `name=value` pair. A value with any character other than letters, digits
// and "-_./:+@" is quoted and escaped, so that untrusted text can't inject a
// field or a line.
struct field {
    std::string_view name;
    std::string value;

    field(std::string_view field_name, std::string_view text)
        : name(field_name), value(text)
    {
    }
    field(std::string_view field_name, const char* text)
        : field(field_name, std::string_view(text))
    {
    }
    field(std::string_view field_name, const std::string& text)
        : field(field_name, std::string_view(text))
    {
    }
    template <typename Number>
    field(std::string_view field_name, Number number)
        : name(field_name), value(std::to_string(number))
    {
    }
};

std::ostream& operator<<(std::ostream& out, const field& item);

} // namespace shallotwood::process

// Usage: SHALLOTWOOD_LOG(info) << "event=route" << field("request", id);
#define SHALLOTWOOD_LOG(level) BOOST_LOG_TRIVIAL(level)
