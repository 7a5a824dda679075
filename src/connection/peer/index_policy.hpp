// Decides which headers enter the dynamic table of header compression.
//
// A value that does not repeat takes the place of others that do: with the
// ids, times and targets of calls in the table, the names of routes and
// services were gone from it when they came again. So a header is indexed if
// its value was seen lately. Of a name whose values never repeat, one in
// name_refresh enters the table, so that the name is there.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace shallotwood::connection::peer
{

class index_policy
{
public:
    // Longer values are rarely repeated.
    static constexpr std::size_t max_indexed_bytes = 64;
    static constexpr std::uint8_t name_refresh = 64;

    // Call once for each header that is sent.
    bool indexes(std::string_view name, std::string_view value);

private:
    static constexpr std::size_t remembered_values = 256;
    static constexpr std::size_t remembered_names = 64;

    // Hashes of values by their lowest bits; a collision only forgets one.
    std::array<std::uint16_t, remembered_values> values_{};
    // How often the names with this hash were not indexed since one was.
    std::array<std::uint8_t, remembered_names> skipped_{};
};

} // namespace shallotwood::connection::peer
