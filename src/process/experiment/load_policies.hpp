// What differs between the policies that the load experiment compares.
#pragma once

#include "process/experiment/load_model.hpp"

namespace shallotwood::process::experiment::load_model
{

constexpr const char* entry_route = "entry";

// The decisions that differ between the policies.
class hop_policy
{
public:
    using decision = std::function<void(std::optional<verdict>)>;

    explicit hop_policy(world& in) : world_(in) {}
    virtual ~hop_policy() = default;

    // Fixes the context at the entry node; false refuses the request there.
    virtual bool enter(node& at, call_context& it, double weight) = 0;
    virtual node* choose(node& from, std::size_t service,
                         const call_context& it,
                         const std::vector<std::string>& tried) = 0;
    virtual void sent(node&, std::size_t, node&) {}
    virtual void arrive(node& at, const call_context& it, time_point deadline,
                        decision done) = 0;
    virtual void finished(node& at, const call_context& it, bool success,
                          duration downstream) = 0;
    virtual void answered(node&, std::size_t, node&, const reply&, duration) {}
    virtual bool retry(node& from, request::retry_allowance& left,
                       const reply& last, int attempts) = 0;
    // Adds the cut in force to what goes back.
    virtual void feed_back(node&, int, reply&) {}
    virtual void left(node&, const reply&) {}
    virtual bool checks_deadlines() const = 0;

protected:
    world& all() { return world_; }

private:
    world& world_;
};

std::unique_ptr<hop_policy> make_policy(world& in);

} // namespace shallotwood::process::experiment::load_model
