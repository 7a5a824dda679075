// HTTP/1.1 responses as a backend server sends them; every status is interim,
// final or bad, and a final one can be written again.
#include "connection/http/reader.hpp"

#include <cstdint>
#include <cstdlib>
#include <string_view>

namespace
{

using namespace shallotwood::connection::http;

class checker final : public reader_events
{
public:
    // Reads one response; returns how many bytes it takes.
    std::size_t read(std::string_view bytes)
    {
        response_reader reader({}, false, *this);
        reader_ = &reader;
        ended_ = false;
        std::size_t taken = 0;
        auto ec = read_error::none;
        while (taken < bytes.size() && !ended_) {
            auto n = reader.put(bytes.substr(taken), ec);
            taken += n;
            if (ec != read_error::none)
                return bytes.size();
            if (n == 0)
                break;
        }
        if (!ended_)
            reader.put_end();
        return ended_ && taken > 0 ? taken : bytes.size();
    }

private:
    void on_head(const message_info& info) override
    {
        const auto& head = reader_->head();
        if (head.status < 0 || head.status > 999 ||
            (is_interim(head.status) && is_final(head.status)))
            std::abort();
        if (is_final(head.status) &&
            serialize(head, {framing::kind::length, info.length.value_or(0)})
                .empty())
            std::abort();
    }
    void on_body(std::string_view) override {}
    void on_message_end() override { ended_ = true; }

    response_reader* reader_ = nullptr;
    bool ended_ = false;
};

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    std::string_view bytes(reinterpret_cast<const char*>(data), size);
    checker it;
    while (!bytes.empty())
        bytes.remove_prefix(it.read(bytes));
    return 0;
}
