#include "process/configuration/configuration_source.hpp"

#include "process/json_text.hpp"
#include "process/log.hpp"
#include "version/commit.hpp"

#include <memory>

namespace shallotwood::process::configuration
{

namespace
{

std::vector<std::string> changes_after(const version::head& it,
                                       std::uint64_t revision)
{
    std::vector<std::string> changes;
    for (const auto& n : it.changes) {
        if (n.revision > revision)
            changes.push_back(write_json(version::to_json(n.value)));
    }
    return changes;
}

version::configuration_ptr make_shared_configuration(version::configuration it)
{
    return std::make_shared<const version::configuration>(std::move(it));
}

} // namespace

std::string
json_configuration_codec::write(const version::configuration& it) const
{
    return write_json(version::to_json(it));
}

version::configuration_ptr
json_configuration_codec::read(const std::string& text) const
{
    auto json = parse_json(text);
    if (!json)
        return nullptr;
    auto result = version::configuration_from_json(*json);
    auto* it = std::get_if<version::configuration>(&result);
    return it ? make_shared_configuration(std::move(*it)) : nullptr;
}

version::configuration_ptr
json_configuration_codec::apply(const version::configuration& base,
                                const std::string& change) const
{
    auto json = parse_json(change);
    if (!json)
        return nullptr;
    auto parsed = version::change_from_json(*json);
    if (!std::holds_alternative<version::change>(parsed))
        return nullptr;
    auto result = version::apply(base, std::get<version::change>(parsed));
    auto* it = std::get_if<version::configuration>(&result);
    return it ? make_shared_configuration(std::move(*it)) : nullptr;
}

void platform_configuration_loader::load(
    const stored_object& head, const version::configuration_ptr& base,
    std::function<void(std::optional<loaded_configuration>)> done)
{
    auto decoded = version::decode_head(head.value);
    if (const auto* error = std::get_if<version::codec_error>(&decoded)) {
        SHALLOTWOOD_LOG(error)
            << "event=malformed-head" << field("message", error->message);
        done(std::nullopt);
        return;
    }
    const auto& to = std::get<version::head>(decoded);
    if (base && base->era == to.era && version::covers(to, base->revision)) {
        auto result = version::catch_up(*base, to);
        if (auto* it = std::get_if<version::configuration>(&result)) {
            done(loaded_configuration{make_shared_configuration(std::move(*it)),
                                      changes_after(to, base->revision)});
            return;
        }
    }
    version::load_configuration(
        store_, [done = std::move(done)](version::load_result result) {
            if (auto* it = std::get_if<version::loaded>(&result))
                done(loaded_configuration{
                    make_shared_configuration(std::move(it->value)), {}});
            else
                done(std::nullopt);
        });
}

} // namespace shallotwood::process::configuration
