#pragma once

#include "core/notifier.h"
#include "objectstore/storeclient.h"

#include <deque>
#include <map>
#include <memory>
#include <set>

namespace currantpitch::fakes {

/// Faults that a test injects into the store.
struct memory_store_faults {
    bool unavailable = false;           ///< all calls fail and all watches end
    bool watches_silent = false;        ///< watches deliver neither changes nor bookmarks
    unsigned watch_answers_to_lose = 0; ///< number of next watch calls that are never answered
    unsigned responses_to_drop = 0;     ///< number of next writes that take effect but time out
    core::duration delay{};             ///< time before each call takes effect
};

class memory_store;

/// A watch on a memory_store.
class memory_watch {
public:
    memory_watch(memory_store& store, std::vector<std::string> kinds, core::revision from);
    core::task<core::result<objectstore::watch_event>> next(core::time_point deadline);

private:
    memory_store* store_;
    std::set<std::string> kinds_;
    core::revision last_seen_;
};

/// In-memory fake of the platform's object store. Models store_client.
class memory_store {
public:
    using watch_type = memory_watch;

    explicit memory_store(const core::asio::any_io_executor& executor) : changed_(executor) {}

    core::task<core::result<objectstore::object>> get(objectstore::object_key key,
                                                      objectstore::call_context call);
    core::task<core::result<objectstore::listing>> list(std::vector<std::string> kinds,
                                                        objectstore::call_context call);
    core::task<core::result<objectstore::object>> put(objectstore::object_key key, std::string body,
                                                      core::revision expected,
                                                      objectstore::call_context call);
    core::task<core::result<objectstore::object>>
    remove(objectstore::object_key key, core::revision expected, objectstore::call_context call);
    core::task<core::result<memory_watch>>
    watch(std::vector<std::string> kinds, core::revision from, objectstore::call_context call);

    memory_store_faults faults;
    /// Number of calls so far by cause. A watch counts once, when it opens.
    std::map<std::string, std::uint64_t> calls;

    /// Comes back from the copy of that revision: later writes are lost, and their revisions are
    /// given out again in a new era.
    void restore(core::revision copy);
    /// Returns all changes in the order of their revisions.
    const std::deque<objectstore::object>& history() const { return history_; }
    /// Returns the revision of the latest change.
    core::revision last() const { return last_; }

private:
    friend class memory_watch;

    /// Counts a call and applies the injected delays and failures.
    core::task<core::result<void>> begin_call(objectstore::call_context call);
    /// Returns the written object, or times out if the response is to be dropped.
    core::task<core::result<objectstore::object>> complete_write(objectstore::object written,
                                                                 objectstore::call_context call);
    core::result<objectstore::object> apply_write(objectstore::object_key key, std::string body,
                                                  core::revision expected, bool deleted);

    core::notifier changed_;
    std::map<objectstore::object_key, objectstore::object> objects_;
    std::deque<objectstore::object> history_;
    core::revision last_;
};

static_assert(objectstore::store_client<memory_store>);

} // namespace currantpitch::fakes
