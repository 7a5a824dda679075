// The platform's object API in memory, with outages, delays and answers lost
// after the write took effect.
#pragma once

#include "process/event_loop.hpp"
#include "process/object_store.hpp"

#include <map>

namespace shallotwood::test
{

class fake_object_store final : public process::object_store
{
public:
    explicit fake_object_store(process::scheduler& timers) : timers_(timers) {}

    void get(const std::string& name,
             std::function<void(process::get_result)> done) override;
    void put(const std::string& name, const std::string& value,
             std::uint64_t expected_version,
             std::function<void(process::put_result)> done) override;
    void remove(const std::string& name, std::uint64_t expected_version,
                std::function<void(process::put_result)> done) override;
    void list(const std::string& prefix,
              std::function<void(process::list_result)> done) override;
    process::watch_id
    watch(const std::string& name, std::uint64_t after_version,
          std::function<void(process::get_result)> on_change) override;
    process::watch_id
    watch_all(const std::string& prefix,
              std::function<void(process::names_result)> on_change) override;
    void cancel(process::watch_id id) override;

    // Tells each watch of an error, as when the platform has become silent.
    void fail_watches(process::store_error why);

    std::uint64_t era() const override { return current_era; }
    // Removes the object, and goes to the next era, as a restore from a copy
    // that does not hold it.
    void lose(const std::string& name);
    // Copies all objects, and goes back to the last copy in the next era.
    void save_copy() { copy_ = objects_; }
    void restore_copy();
    bool holds(const std::string& name) const
    {
        return objects_.count(name) != 0;
    }

    std::uint64_t current_era = 1;
    // While true, every call ends as `unavailable` and watches are quiet.
    bool down = false;
    // While true, a read or a write is not answered: it ends as
    // `unknown_outcome` after answer_limit, without effect.
    bool silent = false;
    process::duration answer_limit{std::chrono::seconds(1)};
    // The next writes take effect and answer `unknown_outcome`.
    int answers_to_lose = 0;
    process::duration delay{std::chrono::milliseconds(2)};

    // While true, watches of names tell errors only.
    bool names_down = false;

    // Watches of names that run.
    std::size_t names_watches() const { return names_watchers_.size(); }
    // Totals of calls that arrived.
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;

private:
    struct watcher {
        std::string name;
        std::uint64_t seen_version;
        std::function<void(process::get_result)> on_change;
    };

    process::put_result write(const std::string& name, const std::string& value,
                              std::uint64_t expected_version);
    void notify(std::uint64_t id);
    void notify_names(std::uint64_t id);
    void notify_all_names();
    // Each watch reports the current version anew.
    void enter_next_era();

    process::scheduler& timers_;
    std::map<std::string, process::stored_object> objects_;
    std::map<std::string, process::stored_object> copy_;
    std::uint64_t last_watch_ = 0;
    std::map<std::uint64_t, watcher> watchers_;
    struct names_watcher {
        std::string prefix;
        std::set<std::string> seen;
        bool told = false;
        std::function<void(process::names_result)> on_change;
    };
    std::map<std::uint64_t, names_watcher> names_watchers_;
    std::uint64_t revision_ = 0;
};

} // namespace shallotwood::test
