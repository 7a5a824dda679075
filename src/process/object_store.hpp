// Interface of the platform's object store.
//
// All calls are asynchronous: the callback runs later on the event loop,
// exactly once, or repeatedly until cancelled for a watch.
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace shallotwood::process
{

// Largest value that the platform accepts, in bytes.
constexpr std::size_t max_object_bytes = 1'000'000;

struct stored_object {
    std::string name;
    // Counts the updates of this object from 1.
    std::uint64_t version = 0;
    std::string value;

    friend bool operator==(const stored_object& a, const stored_object& b)
    {
        return std::tie(a.name, a.version, a.value) ==
               std::tie(b.name, b.version, b.value);
    }
};

// As the expected version: replaces any current version, or creates the object.
constexpr std::uint64_t any_version = ~std::uint64_t{0};

enum class store_error {
    not_found,
    // The expected version is not the current one; nothing was written.
    conflict,
    // The platform refused the call because of its rate limits; not executed.
    rate_limited,
    // The platform could not be reached; not executed.
    unavailable,
    // No response; a write may have taken effect. Read the object to find out.
    unknown_outcome,
};

using get_result = std::variant<stored_object, store_error>;
// The new version, or why it was not written.
using put_result = std::variant<std::uint64_t, store_error>;
using list_result = std::variant<std::vector<stored_object>, store_error>;

// The names of all objects with a prefix, as they were at one point of the
// store's history.
struct stored_names {
    // Era and revision of the store. Sets of an earlier era are older.
    std::uint64_t era = 0;
    std::uint64_t revision = 0;
    // Without the prefix.
    std::set<std::string> names;

    friend bool operator==(const stored_names& a, const stored_names& b)
    {
        return std::tie(a.era, a.revision, a.names) ==
               std::tie(b.era, b.revision, b.names);
    }
};

using names_result = std::variant<stored_names, store_error>;

// Identifies a running watch; 0 is never used.
enum class watch_id : std::uint64_t {};

class object_store
{
public:
    virtual ~object_store() = default;

    virtual void get(const std::string& name,
                     std::function<void(get_result)> done) = 0;

    // Writes if the current version is `expected_version`; 0 means that the
    // object must not exist yet.
    virtual void put(const std::string& name, const std::string& value,
                     std::uint64_t expected_version,
                     std::function<void(put_result)> done) = 0;

    // Removes the object if its current version is `expected_version`. The
    // result holds that version, or why nothing was removed.
    virtual void remove(const std::string& name, std::uint64_t expected_version,
                        std::function<void(put_result)> done) = 0;

    // All objects whose names start with `prefix`, in order of name.
    virtual void list(const std::string& prefix,
                      std::function<void(list_result)> done) = 0;

    // As list(), but the result may be some seconds old where that is cheaper.
    virtual void list_stale(const std::string& prefix,
                            std::function<void(list_result)> done)
    {
        list(prefix, std::move(done));
    }

    // Calls `on_change` with each newer version of the object, beginning with
    // the current one if it is above `after_version`. Versions may be skipped.
    // Errors are reported and the watch continues; the first version reported
    // after an error may be one that was already reported.
    virtual watch_id watch(const std::string& name, std::uint64_t after_version,
                           std::function<void(get_result)> on_change) = 0;

    // Calls `on_change` with the names of all objects that start with `prefix`:
    // first as they are, then after each creation or removal. Values are not
    // read. Errors are reported and the watch continues; it reports the names
    // again once the store answers. A store without it reports nothing.
    virtual watch_id
    // NOLINTNEXTLINE(performance-unnecessary-value-param)
    watch_all(const std::string&, std::function<void(names_result)>)
    {
        return watch_id{0};
    }

    // Does nothing if the watch is not known.
    virtual void cancel(watch_id id) = 0;

    // Rises when the store was restored from an older copy; 0 if unknown.
    // Writes that were acknowledged in an earlier era may be lost, and their
    // versions are given out again. Watches go on, and report the current
    // version anew.
    virtual std::uint64_t era() const { return 0; }
};

} // namespace shallotwood::process
