// Implements the configuration feed's codec and loader with the format in which
// configurations are stored on the platform.
#pragma once

#include "process/configuration/configuration_feed.hpp"
#include "process/object_store.hpp"

namespace shallotwood::process::configuration
{

class json_configuration_codec final : public configuration_codec
{
public:
    std::string write(const version::configuration& it) const override;
    version::configuration_ptr read(const std::string& text) const override;
    version::configuration_ptr apply(const version::configuration& base,
                                     const std::string& change) const override;
};

// Applies the changes in the head object if they reach back to the base, and
// reads the snapshot from the platform otherwise.
class platform_configuration_loader final : public configuration_loader
{
public:
    explicit platform_configuration_loader(object_store& from) : store_(from) {}

    void load(
        const stored_object& head, const version::configuration_ptr& base,
        std::function<void(std::optional<loaded_configuration>)> done) override;

private:
    object_store& store_;
};

} // namespace shallotwood::process::configuration
