#include "process/name.hpp"

#include <algorithm>

namespace shallotwood::process
{

namespace
{

// Independent of the locale, unlike std::isalnum.
bool is_alphanumeric(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9');
}

} // namespace

bool is_valid_name(std::string_view text)
{
    if (text.empty() || text.size() > max_name_bytes)
        return false;
    if (!is_alphanumeric(text[0]))
        return false;
    return std::all_of(text.begin(), text.end(), [](char c) {
        return is_alphanumeric(c) || c == '-' || c == '_' || c == '.';
    });
}

} // namespace shallotwood::process
