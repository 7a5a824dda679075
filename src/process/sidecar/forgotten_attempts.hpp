// Attempts whose outcomes this node does not hold any more.
//
// A sender numbers its attempts upwards, so the highest number that was
// forgotten bounds which of its attempts can have been here: it is
// sure only of later ones. Holds one number for each sender of the last
// minutes, instead of every id.
#pragma once

#include "process/event_loop.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace shallotwood::process::sidecar
{

class forgotten_attempts
{
public:
    explicit forgotten_attempts(const clock& time);

    void add(const std::string& attempt_id);
    // False if the attempt was never added.
    bool may_contain(const std::string& attempt_id) const;

private:
    // By the part of the attempt's id that names the process of the sender.
    using highest_numbers = std::unordered_map<std::string, std::uint64_t>;

    const clock& clock_;
    highest_numbers recent_;
    highest_numbers former_;
    // When recent_ was begun.
    time_point begun_at_;
};

} // namespace shallotwood::process::sidecar
