// XXH3 over a text that comes in pieces, for digests of bodies.
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
    // Of what was added so far: 16 hexadecimal digits.
    std::string text() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace shallotwood::process
