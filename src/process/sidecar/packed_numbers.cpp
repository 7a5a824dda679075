#include "process/sidecar/packed_numbers.hpp"

namespace shallotwood::process::sidecar
{

namespace
{

constexpr unsigned bits_in_byte = 7;
constexpr unsigned more_follows = 0x80;
constexpr unsigned max_shift = 63;

} // namespace

void number_packer::add(std::uint64_t number)
{
    while (number >= more_follows) {
        text_ +=
            static_cast<char>((number & (more_follows - 1)) | more_follows);
        number >>= bits_in_byte;
    }
    text_ += static_cast<char>(number);
}

void number_packer::add_signed(std::int64_t number)
{
    auto bits = static_cast<std::uint64_t>(number);
    add((bits << 1) ^ (number < 0 ? ~std::uint64_t{0} : 0));
}

std::uint64_t number_unpacker::next()
{
    std::uint64_t number = 0;
    for (unsigned shift = 0; !rest_.empty() && shift <= max_shift;
         shift += bits_in_byte) {
        auto byte = static_cast<unsigned char>(rest_.front());
        rest_.remove_prefix(1);
        number |= std::uint64_t{byte & (more_follows - 1)} << shift;
        if ((byte & more_follows) == 0)
            return number;
    }
    complete_ = false;
    return 0;
}

std::int64_t number_unpacker::next_signed()
{
    auto bits = next();
    auto sign = (bits & 1) != 0 ? ~std::uint64_t{0} : 0;
    return static_cast<std::int64_t>((bits >> 1) ^ sign);
}

} // namespace shallotwood::process::sidecar
