// Configurations and changes in a form just rich enough for tests: a change
// is "NAME=RATE" of a workspace; the platform's head holds the era and all
// changes.
#pragma once

#include "process/configuration/configuration_feed.hpp"

#include <sstream>

namespace shallotwood::test
{

class fake_codec final : public process::configuration::configuration_codec
{
public:
    std::string write(const version::configuration& it) const override
    {
        std::ostringstream out;
        out << it.era << ' ' << it.revision << '\n';
        for (const auto& [name, space] : it.workspaces)
            out << name << '=' << space.rate << '\n';
        return out.str();
    }

    version::configuration_ptr read(const std::string& text) const override
    {
        std::istringstream in(text);
        auto made = std::make_shared<version::configuration>();
        std::string line;
        if (!(in >> made->era >> made->revision) || !std::getline(in, line))
            return nullptr;
        while (std::getline(in, line)) {
            if (!set(*made, line))
                return nullptr;
        }
        return made;
    }

    version::configuration_ptr apply(const version::configuration& base,
                                     const std::string& change) const override
    {
        auto made = std::make_shared<version::configuration>(base);
        ++made->revision;
        return set(*made, change) ? made : nullptr;
    }

private:
    static bool set(version::configuration& it, const std::string& change)
    {
        auto equals = change.find('=');
        if (equals == std::string::npos)
            return false;
        auto name = change.substr(0, equals);
        it.workspaces[name] = {name, double(change.size()), 0};
        return true;
    }
};

// Reads heads whose lines are the changes, the first of them at revision 1. A
// first line "era NUMBER" is that of the head.
class fake_loader final : public process::configuration::configuration_loader
{
public:
    void load(const process::stored_object& head,
              const version::configuration_ptr& base,
              std::function<void(
                  std::optional<process::configuration::loaded_configuration>)>
                  done) override
    {
        auto empty = std::make_shared<version::configuration>();
        process::configuration::loaded_configuration result;
        std::istringstream in(head.value);
        std::string line;
        const std::string era = "era ";
        if (head.value.compare(0, era.size(), era) == 0) {
            std::getline(in, line);
            empty->era = std::stoull(line.substr(era.size()));
        }
        version::configuration_ptr now = empty;
        while (std::getline(in, line)) {
            now = codec_.apply(*now, line);
            if (!now) {
                done(std::nullopt);
                return;
            }
            if (base && now->era == base->era && now->revision > base->revision)
                result.changes.push_back(line);
        }
        result.it = now;
        done(std::move(result));
    }

private:
    fake_codec codec_;
};

} // namespace shallotwood::test
