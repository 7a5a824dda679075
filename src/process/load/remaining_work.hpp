// The work that the local backend server still has to do: the expected rest of
// the running calls and the expected cost of the queued ones.
#pragma once

#include "process/event_loop.hpp"
#include "process/load/cost_model.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace shallotwood::process::load
{

class remaining_work
{
public:
    remaining_work(const clock& time, cost_model& model)
        : clock_(time), model_(model)
    {
    }

    // A call has arrived; `id` is unique among those that have not left.
    void arrive(std::uint64_t id, const std::string& route,
                const cost_features& features);
    // It begins to run on the backend server.
    void start(std::uint64_t id);
    // It has ended on the backend server, which the model learns.
    void finish(std::uint64_t id);
    // It was refused or given up; nothing is learned.
    void leave(std::uint64_t id) { calls_.erase(id); }

    // Sum over all calls.
    duration left() const;
    std::size_t calls() const { return calls_.size(); }

private:
    struct call {
        std::string route;
        cost_features features;
        duration cost{};
        bool running = false;
        time_point started{};
    };

    const clock& clock_;
    cost_model& model_;
    std::unordered_map<std::uint64_t, call> calls_;
};

} // namespace shallotwood::process::load
