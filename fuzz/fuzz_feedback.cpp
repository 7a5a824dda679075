// The header Shallotwood-Feedback; what was read must be written and read back
// alike.
#include "connection/http_headers.hpp"

#include <cstdint>
#include <cstdlib>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    using namespace shallotwood;
    std::string text(reinterpret_cast<const char*>(data), size);
    auto it = connection::parse_feedback(text);
    if (!it)
        return 0;
    auto written = connection::to_text(*it);
    auto again = connection::parse_feedback(written);
    if (!again || connection::to_text(*again) != written)
        std::abort();
    return 0;
}
