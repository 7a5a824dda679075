// The world of the load experiment: a virtual clock, backend servers with
// workers, and nodes with the decision objects of the product.
#pragma once

#include "process/admission_controller.hpp"
#include "process/experiment/load_experiment.hpp"
#include "process/load_balancer.hpp"
#include "process/random_source.hpp"
#include "process/shed_key.hpp"
#include "process/shed_threshold_table.hpp"
#include "process/success_retry_budget.hpp"
#include "request/retry_allowance.hpp"

#include <deque>
#include <memory>
#include <queue>
#include <unordered_map>
#include <utility>

namespace shallotwood::process::experiment::load_model
{

using request::call_context;
using request::execution;
using request::importance;
using request::reason;
using request::verdict;

// Timers in a heap; the virtual clock jumps from one to the next.
class experiment_loop final : public event_loop
{
public:
    time_point now() const override { return now_; }

    timer_id call_after(duration delay, std::function<void()> task) override
    {
        auto id = ++last_;
        due_.emplace(now_ + std::max(delay, duration(0)), id);
        tasks_.emplace(id, std::move(task));
        return timer_id{id};
    }

    void cancel(timer_id id) override
    {
        tasks_.erase(static_cast<std::uint64_t>(id));
    }

    void run_until(time_point end)
    {
        while (!due_.empty() && due_.top().first <= end) {
            auto [at, id] = due_.top();
            due_.pop();
            auto task = tasks_.extract(id);
            if (task.empty())
                continue;
            now_ = at;
            task.mapped()();
        }
        now_ = end;
    }

private:
    using slot = std::pair<time_point, std::uint64_t>;

    time_point now_{std::chrono::hours(1)};
    std::uint64_t last_ = 0;
    std::priority_queue<slot, std::vector<slot>, std::greater<>> due_;
    std::unordered_map<std::uint64_t, std::function<void()>> tasks_;
};

// A backend server: workers, and a line of accepted connections before them.
class backend
{
public:
    backend(int slots, int connections)
        : slots_(slots), connections_(connections)
    {
    }

    // False if no connection is free.
    bool start(std::function<void()> work)
    {
        if (running_ + static_cast<int>(waiting_.size()) >= connections_)
            return false;
        if (running_ >= slots_) {
            waiting_.push_back(std::move(work));
            return true;
        }
        ++running_;
        work();
        return true;
    }

    void end()
    {
        --running_;
        if (waiting_.empty())
            return;
        auto work = std::move(waiting_.front());
        waiting_.pop_front();
        ++running_;
        work();
    }

private:
    int slots_;
    int connections_;
    int running_ = 0;
    std::deque<std::function<void()>> waiting_;
};

struct reply {
    bool whole = false;
    verdict what;
    bool final = false;
    request::shed_key shed_threshold = request::no_shed_threshold;
    int unused_retries = 0;
};

inline reply refused(reason why, execution run = execution::not_run)
{
    reply it;
    it.what = {run, why};
    it.final = why == reason::overload || why == reason::deadline;
    return it;
}

// A node and its backend server.
struct node {
    node(event_loop& loop, random_source& random, const member& as,
         const experiment_service& of)
        : self(as), server(of.slots, of.connections),
          gate(loop, loop, as.slots), shed_thresholds(loop), demand(loop),
          routes(loop, random,
                 {as.failure_domain, std::chrono::milliseconds(2),
                  std::chrono::seconds(5), 5})
    {
    }

    member self;
    server_fault fault;
    backend server;
    admission_controller gate;
    shed_threshold_table shed_thresholds;
    demand_estimator demand;
    load_balancer routes;
    success_retry_budget retries;
    // Of the baseline with static limits.
    int running = 0;
    std::deque<std::function<void()>> waiting;
};

using node_list = std::vector<std::unique_ptr<node>>;

struct world {
    const experiment_settings& settings;
    experiment_loop loop;
    random_source random;
    // By service.
    std::vector<node_list> nodes;

    explicit world(const experiment_settings& with)
        : settings(with), random(with.seed)
    {
    }

    node& any(std::size_t service)
    {
        auto& from = nodes[service];
        return *from[random.below(from.size())];
    }
};

} // namespace shallotwood::process::experiment::load_model
