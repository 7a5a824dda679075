#include "version/commit.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace shallotwood::version
{

using process::store_error;

namespace
{

class load_operation : public std::enable_shared_from_this<load_operation>
{
public:
    load_operation(process::object_store& from,
                   std::function<void(load_result)> done)
        : store_(from), done_(std::move(done))
    {
    }

    void read_head()
    {
        ++attempts_;
        store_.get(head_name, [self = shared_from_this()](auto result) {
            self->on_head(std::move(result));
        });
    }

private:
    void on_head(process::get_result result)
    {
        result_ = loaded{};
        if (auto* error = std::get_if<store_error>(&result)) {
            if (*error == store_error::not_found)
                done_(result_);
            else
                done_(*error);
            return;
        }
        const auto& object = std::get<process::stored_object>(result);
        auto decoded = decode_head(object.value);
        if (auto* error = std::get_if<codec_error>(&decoded)) {
            done_(malformed_state{error->message});
            return;
        }
        result_.from = std::get<head>(std::move(decoded));
        result_.head_version = object.version;
        reader_ = snapshot_reader(result_.from.snapshot);
        read_chunk(0);
    }

    void read_chunk(std::uint64_t index)
    {
        const auto& snapshot = result_.from.snapshot;
        if (index == snapshot.chunks) {
            finish();
            return;
        }
        store_.get(chunk_name(snapshot.slot, index),
                   [self = shared_from_this(), index](auto result) {
                       self->on_chunk(index, std::move(result));
                   });
    }

    void on_chunk(std::uint64_t index, process::get_result result)
    {
        if (auto* error = std::get_if<store_error>(&result)) {
            if (*error == store_error::not_found)
                start_over("snapshot: a chunk is missing");
            else
                done_(*error);
            return;
        }
        const auto& object = std::get<process::stored_object>(result);
        if (auto error = reader_.add(object.value))
            start_over(error->message);
        else
            read_chunk(index + 1);
    }

    void finish()
    {
        auto snapshot = reader_.finish();
        if (auto* error = std::get_if<codec_error>(&snapshot)) {
            start_over(error->message);
            return;
        }
        auto current = catch_up(std::get<configuration>(std::move(snapshot)),
                                result_.from);
        if (auto* error = std::get_if<codec_error>(&current)) {
            done_(malformed_state{error->message});
            return;
        }
        result_.value = std::get<configuration>(std::move(current));
        done_(std::move(result_));
    }

    // The snapshot may have been overwritten since the head was read.
    void start_over(const std::string& fault)
    {
        if (attempts_ < max_load_attempts)
            read_head();
        else
            done_(malformed_state{fault});
    }

    process::object_store& store_;
    std::function<void(load_result)> done_;
    int attempts_ = 0;
    loaded result_;
    snapshot_reader reader_{{}};
};

} // namespace

void load_configuration(process::object_store& from,
                        std::function<void(load_result)> done)
{
    std::make_shared<load_operation>(from, std::move(done))->read_head();
}

// One commit: read, write the snapshot if one is due, update the head. Every
// fault of the platform leads back to the start, after a wait, because only the
// head tells what is the case now.
class committer::operation : public std::enable_shared_from_this<operation>
{
public:
    operation(committer& owner, plan it,
              std::function<void(commit_result)> done)
        : owner_(owner), plan_(std::move(it)), done_(std::move(done)),
          deadline_(owner.loop_.now() + owner.limits_.time_limit),
          backoff_(owner.limits_.first_backoff)
    {
    }

    void start()
    {
        load_configuration(owner_.store_,
                           [self = shared_from_this()](load_result result) {
                               self->on_loaded(result);
                           });
    }

private:
    void on_loaded(load_result& result)
    {
        if (std::holds_alternative<store_error>(result)) {
            retry();
            return;
        }
        if (auto* state = std::get_if<malformed_state>(&result)) {
            fail(commit_fault::malformed_state, state->message);
            return;
        }
        base_ = std::get<loaded>(std::move(result));
        if (const auto* found = find_operation(base_.from, plan_.operation)) {
            on_operation_found(found->revision);
            return;
        }
        if (base_.from.revision != plan_.base_revision) {
            on_superseded();
            return;
        }
        if (auto error = check_plan(plan_, base_.value)) {
            fail(commit_fault::invalid_plan, error->message);
            return;
        }
        next_ = append(base_.from, plan_.operation, plan_.intent);
        next_.era = current_era();
        if (!needs_snapshot(base_.from)) {
            write_head();
            return;
        }
        snapshot_ = make_snapshot(base_.value, base_.from.snapshot);
        next_.snapshot = snapshot_.reference;
        read_chunk(0);
    }

    // An operator has confirmed this plan since the restore, so a head from an
    // earlier era that ends with it goes to the current one.
    void on_operation_found(std::uint64_t revision)
    {
        if (revision != base_.from.revision ||
            base_.from.era == current_era()) {
            done_(committed{revision, !head_written_});
            return;
        }
        next_ = base_.from;
        next_.era = current_era();
        write_head();
    }

    // That of the store, unless it is not known.
    std::uint64_t current_era() const
    {
        return std::max(base_.from.era, owner_.store_.era());
    }

    void on_superseded()
    {
        auto current = base_.from.revision;
        bool may_be_committed = plan_.base_revision < current &&
                                !covers(base_.from, plan_.base_revision);
        done_(superseded{plan_.base_revision, current, may_be_committed});
    }

    // Each chunk is read before it is written: see head.hpp.
    void read_chunk(std::uint64_t index)
    {
        if (index == snapshot_.chunks.size()) {
            write_head();
            return;
        }
        owner_.store_.get(chunk_name(snapshot_.reference.slot, index),
                          [self = shared_from_this(), index](auto result) {
                              self->on_chunk(index, result);
                          });
    }

    void on_chunk(std::uint64_t index, const process::get_result& result)
    {
        const auto& text = snapshot_.chunks[index];
        std::uint64_t version = 0;
        if (const auto* object = std::get_if<process::stored_object>(&result)) {
            if (object->value == text) {
                read_chunk(index + 1);
                return;
            }
            auto revision = chunk_revision(object->value);
            if (revision == base_.from.revision) {
                fail(commit_fault::malformed_state,
                     "another version of this program began to write the "
                     "snapshot of the base revision; use that version");
                return;
            }
            if (revision > base_.from.revision) {
                // Another operator committed meanwhile; the head shows it.
                retry();
                return;
            }
            version = object->version;
        } else if (std::get<store_error>(result) != store_error::not_found) {
            retry();
            return;
        }
        owner_.store_.put(chunk_name(snapshot_.reference.slot, index), text,
                          version,
                          [self = shared_from_this(), index](auto written) {
                              self->on_chunk_written(index, written);
                          });
    }

    void on_chunk_written(std::uint64_t index,
                          const process::put_result& result)
    {
        if (std::holds_alternative<std::uint64_t>(result))
            read_chunk(index + 1);
        else
            retry();
    }

    void write_head()
    {
        owner_.store_.put(head_name, encode(next_), base_.head_version,
                          [self = shared_from_this()](auto result) {
                              self->on_head_written(result);
                          });
    }

    void on_head_written(const process::put_result& result)
    {
        if (std::holds_alternative<std::uint64_t>(result)) {
            // Restored since the head was read; see commit.hpp.
            if (owner_.store_.era() > next_.era) {
                head_written_ = true;
                retry();
                return;
            }
            done_(committed{next_.revision, false});
            return;
        }
        // An HTTP client may send a request twice, so that a conflict can be
        // with this very update.
        auto error = std::get<store_error>(result);
        if (error == store_error::unknown_outcome ||
            error == store_error::conflict)
            head_written_ = true;
        retry();
    }

    void retry()
    {
        auto half = backoff_ / 2;
        auto wait =
            half +
            process::duration(static_cast<std::int64_t>(
                owner_.random_.unit() * static_cast<double>(half.count())));
        backoff_ = std::min(backoff_ * 2, owner_.limits_.max_backoff);
        if (owner_.loop_.now() + wait > deadline_) {
            give_up();
            return;
        }
        owner_.loop_.call_after(wait,
                                [self = shared_from_this()] { self->start(); });
    }

    void give_up()
    {
        if (head_written_)
            fail(commit_fault::unknown_outcome,
                 "the platform did not say whether the change was made; "
                 "confirm the same plan again to find out");
        else
            fail(commit_fault::unavailable,
                 "the platform did not answer in time; the change was not "
                 "made");
    }

    void fail(commit_fault fault, const std::string& message)
    {
        done_(commit_failure{fault, message});
    }

    committer& owner_;
    plan plan_;
    std::function<void(commit_result)> done_;
    process::time_point deadline_;
    process::duration backoff_;
    loaded base_;
    head next_;
    snapshot snapshot_;
    // True once an update of the head may have taken effect.
    bool head_written_ = false;
};

void committer::commit(const plan& it, std::function<void(commit_result)> done)
{
    std::make_shared<operation>(*this, it, std::move(done))->start();
}

} // namespace shallotwood::version
