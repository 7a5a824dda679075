#include "process/stream_hash.hpp"

#include <array>
#include <cinttypes>
#include <cstdio>
#include <xxhash.h>

namespace shallotwood::process
{

struct stream_hash::state {
    XXH3_state_t* hash = XXH3_createState();
};

stream_hash::stream_hash() : state_(std::make_unique<state>())
{
    XXH3_64bits_reset(state_->hash);
}

stream_hash::~stream_hash()
{
    XXH3_freeState(state_->hash);
}

void stream_hash::add(std::string_view piece)
{
    XXH3_64bits_update(state_->hash, piece.data(), piece.size());
}

std::string stream_hash::text() const
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016" PRIx64,
                  std::uint64_t{XXH3_64bits_digest(state_->hash)});
    return text.data();
}

} // namespace shallotwood::process
