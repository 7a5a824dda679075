#include "version/policy.hpp"

#include <algorithm>
#include <cctype>

namespace shallotwood::version
{

namespace
{

std::string plain_host(std::string_view host)
{
    std::string text(host.substr(0, host.rfind(':')));
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return text;
}

std::string route_key(std::string_view host, std::string_view prefix)
{
    std::string text(host);
    text += ' ';
    text += prefix;
    return text;
}

} // namespace

policy::policy(parts from) : parts_(std::move(from))
{
    for (std::size_t n = 0; n < parts_.routes.size(); ++n) {
        auto& it = parts_.routes[n];
        it.host = plain_host(it.host);
        routes_.emplace(route_key(it.host, it.prefix), n);
    }
    for (std::size_t n = 0; n < parts_.workspaces.size(); ++n)
        workspaces_.emplace(parts_.workspaces[n].name, n);
    for (std::size_t n = 0; n < parts_.services.size(); ++n)
        services_.emplace(parts_.services[n].name, n);
    for (const auto& it : parts_.keys)
        if (auto of = workspaces_.find(it.workspace); of != workspaces_.end())
            keys_.emplace(it.text, of->second);
    // The key texts are not needed any more.
    parts_.keys.clear();
}

const route* policy::find_route(std::string_view host,
                                std::string_view path) const
{
    path = path.substr(0, path.find('?'));
    auto name = plain_host(host);
    // Each slash ends a possible prefix; tries the longest first.
    for (auto slash = path.rfind('/'); slash != std::string_view::npos;
         slash = slash == 0 ? std::string_view::npos
                            : path.rfind('/', slash - 1)) {
        auto it = routes_.find(route_key(name, path.substr(0, slash + 1)));
        if (it != routes_.end())
            return &parts_.routes[it->second];
    }
    return nullptr;
}

const workspace* policy::workspace_of_key(std::string_view text) const
{
    auto it = keys_.find(std::string(text));
    return it == keys_.end() ? nullptr : &parts_.workspaces[it->second];
}

const workspace* policy::find_workspace(std::string_view name) const
{
    auto it = workspaces_.find(std::string(name));
    return it == workspaces_.end() ? nullptr : &parts_.workspaces[it->second];
}

const service* policy::find_service(std::string_view name) const
{
    auto it = services_.find(std::string(name));
    return it == services_.end() ? nullptr : &parts_.services[it->second];
}

} // namespace shallotwood::version
