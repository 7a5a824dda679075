// Packs numbers into the value of a header between nodes.
//
// Each number takes 7 bits of its value per byte, lowest first; the highest bit
// of a byte says that more follow. Values of headers between nodes may contain
// any byte.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace shallotwood::process::sidecar
{

class number_packer
{
public:
    void add(std::uint64_t number);
    // Small for numbers near zero on either side.
    void add_signed(std::int64_t number);
    const std::string& text() const { return text_; }

private:
    std::string text_;
};

// Numbers that are missing or don't fit are 0, and complete() is false.
class number_unpacker
{
public:
    explicit number_unpacker(std::string_view text) : rest_(text) {}

    std::uint64_t next();
    std::int64_t next_signed();
    bool complete() const { return complete_; }
    // All numbers have been read.
    bool at_end() const { return rest_.empty(); }

private:
    std::string_view rest_;
    bool complete_ = true;
};

} // namespace shallotwood::process::sidecar
