#include "support/fake_object_store.hpp"

namespace shallotwood::test
{

using process::store_error;

void fake_object_store::get(const std::string& name,
                            std::function<void(process::get_result)> done)
{
    if (silent) {
        timers_.call_after(answer_limit, [done = std::move(done)] {
            done(store_error::unknown_outcome);
        });
        return;
    }
    timers_.call_after(delay, [this, name, done = std::move(done)] {
        ++reads;
        auto it = objects_.find(name);
        if (down)
            done(store_error::unavailable);
        else if (it == objects_.end())
            done(store_error::not_found);
        else
            done(it->second);
    });
}

void fake_object_store::put(const std::string& name, const std::string& value,
                            std::uint64_t expected_version,
                            std::function<void(process::put_result)> done)
{
    if (silent) {
        timers_.call_after(answer_limit, [done = std::move(done)] {
            done(store_error::unknown_outcome);
        });
        return;
    }
    timers_.call_after(
        delay, [this, name, value, expected_version, done = std::move(done)] {
            ++writes;
            done(down ? store_error::unavailable
                      : write(name, value, expected_version));
        });
}

process::put_result fake_object_store::write(const std::string& name,
                                             const std::string& value,
                                             std::uint64_t expected_version)
{
    auto it = objects_.find(name);
    auto current = it == objects_.end() ? 0 : it->second.version;
    if (expected_version != process::any_version && current != expected_version)
        return store_error::conflict;
    objects_[name] = {name, current + 1, value};
    notify_all_names();
    for (const auto& [id, it_watcher] : watchers_) {
        if (it_watcher.name == name)
            timers_.call_after(delay, [this, id = id] { notify(id); });
    }
    if (answers_to_lose > 0) {
        --answers_to_lose;
        return store_error::unknown_outcome;
    }
    return current + 1;
}

void fake_object_store::remove(const std::string& name,
                               std::uint64_t expected_version,
                               std::function<void(process::put_result)> done)
{
    timers_.call_after(delay,
                       [this, name, expected_version, done = std::move(done)] {
                           ++writes;
                           auto it = objects_.find(name);
                           if (down)
                               done(store_error::unavailable);
                           else if (it == objects_.end())
                               done(store_error::not_found);
                           else if (it->second.version != expected_version)
                               done(store_error::conflict);
                           else {
                               objects_.erase(it);
                               notify_all_names();
                               done(expected_version);
                           }
                       });
}

void fake_object_store::list(const std::string& prefix,
                             std::function<void(process::list_result)> done)
{
    if (silent) {
        timers_.call_after(answer_limit, [done = std::move(done)] {
            done(store_error::unknown_outcome);
        });
        return;
    }
    timers_.call_after(delay, [this, prefix, done = std::move(done)] {
        ++reads;
        if (down) {
            done(store_error::unavailable);
            return;
        }
        std::vector<process::stored_object> found;
        for (auto it = objects_.lower_bound(prefix); it != objects_.end();
             ++it) {
            if (it->first.compare(0, prefix.size(), prefix) != 0)
                break;
            found.push_back(it->second);
        }
        done(std::move(found));
    });
}

process::watch_id
fake_object_store::watch(const std::string& name, std::uint64_t after_version,
                         std::function<void(process::get_result)> on_change)
{
    auto id = ++last_watch_;
    watchers_[id] = {name, after_version, std::move(on_change)};
    timers_.call_after(delay, [this, id] { notify(id); });
    return process::watch_id{id};
}

process::watch_id fake_object_store::watch_all(
    const std::string& prefix,
    std::function<void(process::names_result)> on_change)
{
    auto id = ++last_watch_;
    names_watchers_[id] = {prefix, {}, false, std::move(on_change)};
    timers_.call_after(delay, [this, id] { notify_names(id); });
    return process::watch_id{id};
}

void fake_object_store::notify_names(std::uint64_t id)
{
    auto it = names_watchers_.find(id);
    if (it == names_watchers_.end())
        return;
    auto on_change = it->second.on_change;
    if (down || names_down) {
        timers_.call_after(std::chrono::milliseconds(500),
                           [this, id] { notify_names(id); });
        on_change(store_error::unavailable);
        return;
    }
    const auto& prefix = it->second.prefix;
    process::stored_names found{era(), revision_, {}};
    for (const auto& [name, object] : objects_)
        if (name.compare(0, prefix.size(), prefix) == 0)
            found.names.insert(name.substr(prefix.size()));
    if (it->second.told && found.names == it->second.seen)
        return;
    it->second.told = true;
    it->second.seen = found.names;
    on_change(found);
}

void fake_object_store::notify_all_names()
{
    ++revision_;
    for (const auto& [id, it] : names_watchers_)
        timers_.call_after(delay, [this, id = id] { notify_names(id); });
}

void fake_object_store::cancel(process::watch_id id)
{
    names_watchers_.erase(static_cast<std::uint64_t>(id));
    watchers_.erase(static_cast<std::uint64_t>(id));
}

void fake_object_store::notify(std::uint64_t id)
{
    auto it = watchers_.find(id);
    if (it == watchers_.end())
        return;
    if (down) {
        // A watch goes on by itself once the platform answers again.
        timers_.call_after(std::chrono::seconds(1), [this, id] { notify(id); });
        return;
    }
    auto object = objects_.find(it->second.name);
    if (object == objects_.end() ||
        object->second.version <= it->second.seen_version)
        return;
    it->second.seen_version = object->second.version;
    ++reads;
    // The callback may cancel the watch.
    auto on_change = it->second.on_change;
    on_change(object->second);
}

void fake_object_store::lose(const std::string& name)
{
    objects_.erase(name);
    enter_next_era();
}

void fake_object_store::restore_copy()
{
    objects_ = copy_;
    enter_next_era();
}

void fake_object_store::enter_next_era()
{
    ++current_era;
    for (auto& [id, it] : watchers_) {
        it.seen_version = 0;
        timers_.call_after(delay, [this, id = id] { notify(id); });
    }
}

void fake_object_store::fail_watches(process::store_error why)
{
    auto all = watchers_;
    for (const auto& [id, it] : all)
        it.on_change(why);
}

} // namespace shallotwood::test
