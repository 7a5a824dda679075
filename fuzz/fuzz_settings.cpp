// A settings file.
#include "process/settings.hpp"

#include <cstdint>
#include <cstdlib>
#include <string_view>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    using namespace shallotwood::process;
    std::string_view text(reinterpret_cast<const char*>(data), size);
    auto result = parse_settings(text);
    // An invalid file without a fault would leave its operator without a clue.
    auto* faults = std::get_if<setting_errors>(&result);
    if (faults && (faults->empty() || faults->size() > max_setting_errors))
        std::abort();
    return 0;
}
