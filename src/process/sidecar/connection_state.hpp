// What a node knows of the other end of one connection between nodes.
#pragma once

#include "process/routing/load_balancer.hpp"
#include "process/routing/told_speeds.hpp"
#include "process/sidecar/cross_domain_traffic.hpp"
#include "process/sidecar/peer_codec.hpp"

#include <memory>
#include <string>
#include <vector>

namespace shallotwood::process::sidecar
{

class connection_state
{
public:
    // `traffic` is null if bytes are not counted; then the other end is taken
    // to be in the own failure domain.
    connection_state(const clock& time,
                     std::shared_ptr<cross_domain_traffic::link> traffic)
        : traffic_(std::move(traffic)), told_(time)
    {
    }

    const std::shared_ptr<cross_domain_traffic::link>& traffic() const
    {
        return traffic_;
    }

    // Of heads that are sent to the other end.
    head_form form() const { return form_; }
    // A head has arrived from the other end.
    void head_received(const connection::http::header_list& headers)
    {
        if (reads_compact_form(headers))
            form_ = head_form::compact;
    }

    void heard(const std::string& service, const std::string& route,
               const std::vector<routing::instance_speed>& all)
    {
        if (crosses())
            for (const auto& it : all)
                told_.heard(service, route, it);
    }

    // Those of `all` that are worth sending. All of them within a domain, where
    // traffic is free.
    std::vector<routing::instance_speed>
    worth_telling(const routing::load_balancer& balancer,
                  const std::string& service, const std::string& route,
                  std::vector<routing::instance_speed> all)
    {
        if (!crosses())
            return all;
        return told_.news(
            service, route,
            balancer.useful_in(traffic_->domain(), service, std::move(all)));
    }

private:
    bool crosses() const { return traffic_ && traffic_->crosses(); }

    std::shared_ptr<cross_domain_traffic::link> traffic_;
    head_form form_ = head_form::plain;
    routing::told_speeds told_;
};

} // namespace shallotwood::process::sidecar
