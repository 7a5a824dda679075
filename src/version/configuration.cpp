#include "version/configuration.hpp"

namespace shallotwood::version
{

const route* find_route(const configuration& in, const std::string& path)
{
    const route* best = nullptr;
    for (const auto& [name, it] : in.routes) {
        bool matches = path.compare(0, it.prefix.size(), it.prefix) == 0;
        if (matches && (!best || it.prefix.size() > best->prefix.size()))
            best = &it;
    }
    return best;
}

} // namespace shallotwood::version
