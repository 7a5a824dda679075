// Orders what a node reads from the object store, across restores of the store.
//
// The store numbers its changes. If it is restored from a copy, it loses the
// changes made since the copy and gives their numbers out again; a number then
// says nothing about one from before. The store's era rises with each restore.
//
// No I/O: the store's client passes in what its responses say.
#pragma once

#include <cstdint>
#include <optional>

namespace shallotwood::process
{

// The store's era, as far as its responses have told.
class store_era
{
public:
    enum class response {
        // From the era that is known, or names none.
        current,
        // The first response of a later era.
        restored,
        // Sent before a restore that is already known.
        outdated,
    };

    response observe(std::optional<std::uint64_t> era)
    {
        if (!era || *era == value_)
            return response::current;
        if (*era < value_)
            return response::outdated;
        bool is_first = value_ == 0;
        value_ = *era;
        return is_first ? response::current : response::restored;
    }

    // As above, and logs what is not current.
    response observe_and_log(std::optional<std::uint64_t> era);

    // 0 until a response has named it.
    std::uint64_t value() const { return value_; }

private:
    std::uint64_t value_ = 0;
};

// What a watch of one object has reported, and where it continues.
class watch_position
{
public:
    explicit watch_position(std::uint64_t after_version)
        : last_version_(after_version)
    {
    }

    // Continues after this revision of the store. The versions seen in another
    // era are forgotten.
    void continue_from(std::uint64_t revision, std::uint64_t era)
    {
        enter(era);
        revision_ = revision;
    }

    // Forgets the versions seen in another era.
    void enter(std::uint64_t era)
    {
        // The first era that is named is that of the versions seen so far.
        if (era != era_ && era_ != 0)
            last_version_ = 0;
        era_ = era;
    }

    // False if `revision()` is from another era, so that changes may have been
    // missed.
    bool is_valid_in(std::uint64_t era) const { return era == era_; }

    // Returns whether the object is to be reported: it is newer than the last
    // one, or the first since an error or a restore.
    bool take(std::uint64_t version, std::uint64_t era)
    {
        enter(era);
        if (version < last_version_ ||
            (version == last_version_ && !report_equal_))
            return false;
        last_version_ = version;
        report_equal_ = false;
        return true;
    }

    void record_error() { report_equal_ = true; }

    // The newest version of the object seen in this era.
    std::uint64_t last_version() const { return last_version_; }

    std::uint64_t revision() const { return revision_; }

private:
    std::uint64_t last_version_;
    bool report_equal_ = false;
    std::uint64_t revision_ = 0;
    std::uint64_t era_ = 0;
};

} // namespace shallotwood::process
