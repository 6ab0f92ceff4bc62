#pragma once

#include "core/notifier.h"
#include "objectstore/storeclient.h"

#include <deque>
#include <map>
#include <memory>
#include <set>

namespace currantpitch::fakes {

/// Faults of the store that a test switches on.
struct platform_faults {
    bool away = false;           ///< every call is refused
    bool watches_silent = false; ///< watches carry nothing, not even bookmarks
    unsigned lose_answers = 0;   ///< so many next writes take effect but time out
    core::duration delay{};      ///< time before each call takes effect
};

class memory_store;

/// A watch on the store in memory.
class memory_watch {
public:
    memory_watch(memory_store& store, std::vector<std::string> kinds, core::revision from);
    core::task<core::result<objectstore::watch_event>> next(core::time_point deadline);

private:
    memory_store* store_;
    std::set<std::string> kinds_;
    core::revision seen_;
};

/// The platform's store in the memory of one process. Models store_client.
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

    platform_faults faults;
    /// Calls so far, by cause; a waiting watch counts once when it opens.
    std::map<std::string, std::uint64_t> calls;

    /// All changes in the order of their revisions.
    const std::deque<objectstore::object>& history() const { return history_; }
    core::revision last() const { return last_; }

private:
    friend class memory_watch;

    core::task<core::result<void>> begin(objectstore::call_context call);
    core::task<core::result<objectstore::object>> answer_write(objectstore::object written,
                                                               objectstore::call_context call);
    core::result<objectstore::object> change(objectstore::object_key key, std::string body,
                                             core::revision expected, bool deleted);

    core::notifier changed_;
    std::map<objectstore::object_key, objectstore::object> objects_;
    std::deque<objectstore::object> history_;
    core::revision last_;
};

static_assert(objectstore::store_client<memory_store>);

} // namespace currantpitch::fakes
