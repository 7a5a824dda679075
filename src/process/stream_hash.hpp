// Incremental XXH3 hash, for digests of message bodies.
#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace shallotwood::process
{

class stream_hash
{
public:
    stream_hash();
    ~stream_hash();
    stream_hash(const stream_hash&) = delete;
    stream_hash& operator=(const stream_hash&) = delete;

    void add(std::string_view piece);
    void reset();
    // Hash of the data added so far, as 16 hexadecimal digits.
    std::string text() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace shallotwood::process
