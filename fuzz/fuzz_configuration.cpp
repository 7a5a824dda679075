// What a node or an operator reads from the platform, a peer or a plan file.
#include "process/json_text.hpp"
#include "version/head.hpp"
#include "version/plan.hpp"

#include <cstdint>
#include <cstdlib>
#include <string_view>

namespace
{

using namespace shallotwood;

// What was accepted must be written such that it is read back.
void read_head(std::string_view text)
{
    auto result = version::decode_head(text);
    const auto* it = std::get_if<version::head>(&result);
    if (!it)
        return;
    auto again = version::decode_head(version::encode(*it));
    if (!std::holds_alternative<version::head>(again) ||
        !(std::get<version::head>(again) == *it))
        std::abort();
    version::catch_up({}, *it);
}

void read_chunk(std::string_view text)
{
    version::snapshot_reference reference;
    reference.revision = version::chunk_revision(text);
    reference.chunks = 1;
    version::snapshot_reader reader(reference);
    if (!reader.add(text))
        reader.finish();
}

void read_json(const Json::Value& json)
{
    version::plan_from_json(json);
    version::change_from_json(json);
    auto result = version::configuration_from_json(json);
    const auto* it = std::get_if<version::configuration>(&result);
    if (!it)
        return;
    auto again = version::configuration_from_json(version::to_json(*it));
    if (!std::holds_alternative<version::configuration>(again) ||
        !(std::get<version::configuration>(again) == *it))
        std::abort();
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    std::string_view text(reinterpret_cast<const char*>(data), size);
    read_head(text);
    read_chunk(text);
    if (auto json = process::parse_json(text))
        read_json(*json);
    return 0;
}
