// One seed of the soak: a small fleet of real nodes under faults that overlap.
//
// Nodes are processes; the store, the backend servers and the callers are here,
// behind proxies. Signals stop, pause, kill and restart nodes; proxies delay,
// cut and silence connections; the store and the backend servers misbehave.
// The promises are checked from what callers and backend servers see.
#pragma once

#include "connection/http/client_pool.hpp"
#include "process/loop/reactor.hpp"
#include "process/random_source.hpp"
#include "sidecar/support/object_api.hpp"
#include "soak/fault_proxy.hpp"
#include "soak/ledger.hpp"
#include "soak/node_process.hpp"
#include "soak/soak_backend.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace shallotwood::soak
{

struct soak_settings {
    std::string program;
    // Settings and logs of the nodes.
    std::string directory;
    std::uint64_t seed = 1;
    int nodes = 5;
    process::duration length = std::chrono::seconds(8);
    // Requests a second over all nodes.
    double rate = 200;
};

class soak_run
{
public:
    explicit soak_run(const soak_settings& settings);
    ~soak_run();
    soak_run(const soak_run&) = delete;
    soak_run& operator=(const soak_run&) = delete;

    // Plays the faults, ends them, and checks that all is served again.
    void play();
    const ledger& seen() const { return seen_; }
    const std::vector<std::string>& faults() const { return faults_; }

private:
    struct instance {
        std::unique_ptr<node_process> node;
        std::unique_ptr<soak_backend> backend;
        std::string domain;
        // Callers reach the node through it.
        std::unique_ptr<fault_proxy> line;
        std::unique_ptr<connection::http::client_pool> pool;
        bool paused = false;
        // When its process started, or woke.
        process::time_point runs_since{};
        // Highest revision whose route this process has served.
        int served_revision = 0;
        int starts = 0;
    };
    class caller;
    struct outcome {
        bool ended = false;
        int status = 0;
    };

    struct credentials {
        std::string workspace;
        std::string key;
    };

    // Writes the next revision.
    void write_configuration();
    // Writes the current revision.
    void put_configuration();
    void send_requests();
    void send_one(const credentials& who);
    std::shared_ptr<outcome> request(instance& at, const std::string& service,
                                     bool once, int revision,
                                     const credentials& who);

    void next_fault();
    void start_fault();
    void node_fault(std::size_t at);
    void backend_fault(std::size_t at);
    void store_fault();
    void line_fault(std::size_t at);
    void pause(instance& it);
    void wake(instance& it);
    void kill(instance& it);
    // Neither paused nor ended.
    static bool is_up(instance& it);
    leaving some_leaving();
    // Two nodes freeze for a short while each; one has just started and has
    // sent to the other, which is killed after it woke.
    void overlapping_freezes(std::size_t at);
    void freeze_entry(instance& entry, instance& other);
    instance& neighbour_of(const instance& entry, const instance& other);
    void when_started(instance& it, int starts, std::function<void()> task);
    // A backend server leaves while the store is silent, and all nodes are
    // killed.
    void restart_under_silent_store(std::size_t at);
    void silence_store(process::duration time);
    void hold_faults(process::duration time);
    // The operator evacuates a domain now and then.
    void next_evacuation();
    void put_evacuations();
    // No request may reach a server of the domain now.
    bool is_evacuated(const std::string& domain) const;
    void store_fault_ended();
    void later(process::duration delay, std::function<void()> task);
    void note(const std::string& text);
    process::duration some_time(int least_ms, int most_ms);

    void watch_processes();
    void end_faults();
    void check_service();
    void check_rate(process::duration elapsed);
    bool wait_until(const std::function<bool()>& done);
    bool served(instance& at, const std::string& service, bool once,
                std::size_t key);

    soak_settings settings_;
    process::loop::reactor loop_;
    process::random_source random_;
    ledger seen_;
    test::object_api store_;
    fault_proxy store_line_;
    std::vector<std::unique_ptr<instance>> instances_;
    // Waiting for an answer.
    std::set<std::shared_ptr<caller>> callers_;
    int revision_ = 0;
    std::size_t first_key_ = 0;
    std::uint64_t last_request_ = 0;
    process::time_point ends_at_{};
    // No new fault starts before.
    process::time_point held_until_{};
    bool playing_ = false;
    // Evacuated domains, and since when.
    std::map<std::string, process::time_point> evacuations_;
    // Faults of the store that go on, and when the last one ended.
    int store_faults_ = 0;
    process::time_point store_clear_since_{};
    std::vector<std::string> faults_;
};

} // namespace shallotwood::soak
