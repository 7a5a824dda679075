// The deepest service of a deployment in virtual time: servers that may shed by
// themselves, the nodes beside them, and entry nodes that place calls there.
#pragma once

#include "process/load/admission_controller.hpp"
#include "process/load/concurrency_backoff.hpp"
#include "process/load/service_times.hpp"
#include "process/load/shed_threshold_table.hpp"
#include "process/retry/retry_budget.hpp"
#include "process/routing/load_balancer.hpp"
#include "support/virtual_loop.hpp"

#include <array>
#include <memory>
#include <string>
#include <vector>

namespace shallotwood::test
{

enum class shedding {
    none,
    // Rejects this share of all requests, whatever it runs.
    fixed_share,
    // Rejects what comes above this part of its slots.
    above_part,
};

class scarce_service
{
public:
    static constexpr int servers = 16;
    static constexpr int slots = 36;
    static constexpr int entries = 4;
    static constexpr int classes = 3;
    static constexpr int calls_in_tree = 8;
    static constexpr double rejected_share = 0.55;
    static constexpr double slots_part = 0.45;
    static constexpr process::duration check_time =
        std::chrono::milliseconds(55);
    static constexpr process::duration check_deadline =
        std::chrono::milliseconds(700);
    static constexpr process::duration read_time =
        std::chrono::milliseconds(880);
    static constexpr process::duration read_objective = std::chrono::seconds(5);

    struct tally {
        int sent = 0;
        int whole = 0;
        double served() const { return sent == 0 ? 1 : 1.0 * whole / sent; }
    };
    struct result {
        std::array<tally, classes> trees;
        std::array<tally, classes> reads;
        int rejected = 0;
        int refused = 0;
        // Calls that each server ran.
        std::array<int, servers> runs{};
        int whole() const;
        int sent() const;
    };

    scarce_service(bool with_backoff, std::uint64_t seed);
    ~scarce_service();

    // Every second server sheds from now on.
    void set_shedding(shedding how);
    // Trees and reads a second, with the load that one tree in a second makes.
    result play(double trees_per_s, double reads_per_s, process::duration span);
    int limit_of(int server) const;
    process::load::concurrency_backoff::state state_of(int server) const;

    virtual_loop loop;

private:
    struct server;
    struct entry;
    struct request;
    struct call;

    static std::string route_of(const request& of);
    void enter(bool is_tree);
    void next(const std::shared_ptr<request>& of, int left);
    void attempt(const std::shared_ptr<call>& it);
    void run(const std::shared_ptr<call>& it, server& at);
    void answer(const std::shared_ptr<call>& it, server& at,
                process::routing::attempt_outcome how, bool rejected);
    void ended(const std::shared_ptr<call>& it, bool served);

    bool with_backoff_;
    process::random_source random_;
    std::vector<std::unique_ptr<server>> servers_;
    std::vector<std::unique_ptr<entry>> entries_;
    std::uint64_t last_id_ = 0;
    std::shared_ptr<result> result_;
};

} // namespace shallotwood::test
