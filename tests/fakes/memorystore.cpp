#include "fakes/memorystore.h"

#include "objectstore/objectstoreconstants.h"

namespace currantpitch::fakes {

using core::errc;
using core::error;
using objectstore::call_context;
using objectstore::object;
using objectstore::object_key;

memory_watch::memory_watch(memory_store& store, std::vector<std::string> kinds, core::revision from)
    : store_(&store), kinds_(kinds.begin(), kinds.end()), last_seen_(from)
{
}

core::task<core::result<objectstore::watch_event>> memory_watch::next(core::time_point deadline)
{
    if (store_->faults.watch_answers_to_lose > 0) {
        --store_->faults.watch_answers_to_lose;
        co_await core::sleep_for(deadline - core::runtime_clock::now());
        co_return error{errc::timeout, "the answer was lost"};
    }
    const core::time_point bookmark_due =
        core::runtime_clock::now() + objectstore::bookmark_interval;
    while (core::runtime_clock::now() < deadline) {
        const bool silent = store_->faults.watches_silent;
        if (store_->last().era != last_seen_.era) {
            co_return error{errc::stale, "the store was restored from an older copy"};
        }
        if (store_->faults.unavailable) {
            co_return error{errc::closed, "the store is away"};
        }
        const std::deque<object>& history = store_->history();
        for (auto it = history.begin(); !silent && it != history.end(); ++it) {
            if (it->version > last_seen_ && kinds_.contains(it->key.kind)) {
                last_seen_ = it->version;
                co_return objectstore::watch_event{*it, last_seen_};
            }
        }
        if (!silent && core::runtime_clock::now() >= bookmark_due) {
            last_seen_ = store_->last();
            co_return objectstore::watch_event{std::nullopt, last_seen_};
        }
        co_await store_->changed_.wait_until(silent ? deadline : std::min(deadline, bookmark_due));
    }
    co_return error{errc::timeout, "the watch is silent"};
}

void memory_store::restore(core::revision copy)
{
    const core::store_era era = last_.era.next();
    objects_.clear();
    std::erase_if(history_, [copy](const object& o) { return o.version.value > copy.value; });
    for (object& o : history_) {
        o.version.era = era;
        objects_[o.key] = o;
    }
    last_ = core::revision{copy.value, era};
    changed_.notify();
}

core::task<core::result<void>> memory_store::begin_call(call_context call)
{
    ++calls[std::string(call.cause)];
    if (faults.delay > core::duration::zero()) {
        co_await core::sleep_for(faults.delay);
    }
    if (faults.unavailable) {
        co_return error{errc::unavailable, "the store is away"};
    }
    if (core::runtime_clock::now() > call.deadline) {
        co_return error{errc::timeout, "the store is slow"};
    }
    co_return core::ok();
}

core::result<object> memory_store::apply_write(object_key key, std::string body,
                                               core::revision expected, bool deleted)
{
    const std::map<object_key, object>::iterator found = objects_.find(key);
    const bool present = found != objects_.end() && !found->second.deleted;
    const core::revision current = present ? found->second.version : core::revision{0};
    if (deleted && !present) {
        return error{errc::not_found, "no such object"};
    }
    // A conditional write names the number alone.
    if (current.value != expected.value) {
        return error{errc::conflict, "the object has another version"};
    }
    last_ = last_.next();
    object changed{key, last_, std::move(body), deleted};
    objects_[key] = changed;
    history_.push_back(changed);
    changed_.notify();
    return changed;
}

core::task<core::result<object>> memory_store::complete_write(object written, call_context call)
{
    if (faults.responses_to_drop == 0) {
        co_return written;
    }
    --faults.responses_to_drop;
    core::timer t(co_await core::asio::this_coro::executor);
    co_await t.wait_until(call.deadline);
    co_return error{errc::timeout, "the answer was lost"};
}

core::task<core::result<object>> memory_store::get(object_key key, call_context call)
{
    const core::result<void> started = co_await begin_call(call);
    if (!started) {
        co_return started.error();
    }
    const std::map<object_key, object>::const_iterator found = objects_.find(key);
    if (found == objects_.end() || found->second.deleted) {
        co_return error{errc::not_found, "no such object"};
    }
    co_return found->second;
}

core::task<core::result<objectstore::listing>> memory_store::list(std::vector<std::string> kinds,
                                                                  call_context call)
{
    const core::result<void> started = co_await begin_call(call);
    if (!started) {
        co_return started.error();
    }
    const std::set<std::string> kind_set(kinds.begin(), kinds.end());
    objectstore::listing found{last_, {}};
    for (const std::pair<const object_key, object>& entry : objects_) {
        if (!entry.second.deleted && kind_set.contains(entry.first.kind)) {
            found.objects.push_back(entry.second);
        }
    }
    co_return found;
}

core::task<core::result<object>> memory_store::put(object_key key, std::string body,
                                                   core::revision expected, call_context call)
{
    const core::result<void> started = co_await begin_call(call);
    if (!started) {
        co_return started.error();
    }
    core::result<object> changed = apply_write(std::move(key), std::move(body), expected, false);
    if (!changed) {
        co_return changed;
    }
    co_return co_await complete_write(std::move(changed.value()), call);
}

core::task<core::result<object>> memory_store::remove(object_key key, core::revision expected,
                                                      call_context call)
{
    const core::result<void> started = co_await begin_call(call);
    if (!started) {
        co_return started.error();
    }
    core::result<object> changed = apply_write(std::move(key), "", expected, true);
    if (!changed) {
        co_return changed;
    }
    co_return co_await complete_write(std::move(changed.value()), call);
}

core::task<core::result<memory_watch>> memory_store::watch(std::vector<std::string> kinds,
                                                           core::revision from, call_context call)
{
    const core::result<void> started = co_await begin_call(call);
    if (!started) {
        co_return started.error();
    }
    co_return memory_watch(*this, std::move(kinds), from);
}

} // namespace currantpitch::fakes
