// An operator's intent as words, such as
//
//     set-route approve prefix=/approve service=odobritev importance=critical
//     remove-route approve
//     set-workspace radio rate=10 burst=20
//     remove-workspace radio
//     join vrsta-1
//     leave vrsta-1
//
// Fields of a route or workspace that exists already keep their values unless
// they are given. A timeout takes a unit: ms, s or m.
#pragma once

#include "version/change.hpp"

#include <string>
#include <variant>
#include <vector>

namespace shallotwood::version
{

struct intent_error {
    std::string message;
};

// The change that the words ask for; `base` supplies the fields not given. The
// bounds of fields are checked when the change is applied.
std::variant<change, intent_error>
parse_intent(const std::vector<std::string>& words, const configuration& base);

// The hash of the only key of the configuration whose hash begins with
// `prefix`, which must have at least min_hash_prefix digits.
constexpr std::size_t min_hash_prefix = 8;
std::variant<std::string, intent_error> find_key_hash(const std::string& prefix,
                                                      const configuration& in);

} // namespace shallotwood::version
