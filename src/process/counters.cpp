#include "process/counters.hpp"

#include <sstream>

namespace shallotwood::process
{

std::uint64_t& counters::at(const std::string& name, const std::string& labels)
{
    auto key = std::make_pair(name, labels);
    if (auto it = values_.find(key); it != values_.end())
        return it->second;
    if (values_.size() >= max_series)
        return values_[{"counters_dropped", ""}];
    return values_[key];
}

std::string counters::text() const
{
    std::ostringstream out;
    for (const auto& [key, value] : values_) {
        const auto& [name, labels] = key;
        out << "shallotwood_" << name;
        if (!labels.empty())
            out << '{' << labels << '}';
        out << ' ' << value << '\n';
    }
    return out.str();
}

} // namespace shallotwood::process
