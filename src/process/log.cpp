#include "process/log.hpp"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <cctype>
#include <iostream>

namespace shallotwood::process
{

namespace
{

constexpr std::size_t max_value_bytes = 256;

bool is_plain(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
           std::string_view("-_./:+@").find(c) != std::string_view::npos;
}

void write_escaped(std::ostream& out, char c)
{
    constexpr std::string_view digits = "0123456789abcdef";
    auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\')
        out << '\\' << c;
    else if (byte < 0x20 || byte >= 0x7f)
        out << "\\x" << digits[byte >> 4] << digits[byte & 15];
    else
        out << c;
}

} // namespace

void start_log(boost::log::trivial::severity_level lowest)
{
    namespace expr = boost::log::expressions;
    boost::log::add_common_attributes();
    boost::log::add_console_log(
        std::cerr, boost::log::keywords::auto_flush = true,
        boost::log::keywords::format =
            (expr::stream << expr::format_date_time<boost::posix_time::ptime>(
                                 "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                          << " level=" << boost::log::trivial::severity << ' '
                          << expr::smessage));
    boost::log::core::get()->set_filter(boost::log::trivial::severity >=
                                        lowest);
}

bool parse_log_level(std::string_view name,
                     boost::log::trivial::severity_level& level)
{
    return boost::log::trivial::from_string(name.data(), name.size(), level);
}

std::ostream& operator<<(std::ostream& out, const field& item)
{
    auto value = std::string_view(item.value).substr(0, max_value_bytes);
    out << ' ' << item.name << '=';
    bool plain = !value.empty();
    for (char c : value)
        plain = plain && is_plain(c);
    if (plain)
        return out << value;
    out << '"';
    for (char c : value)
        write_escaped(out, c);
    return out << '"';
}

} // namespace shallotwood::process
