#pragma once

#include "core/notifier.h"
#include "platform/platformclient.h"

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

class memory_platform;

/// A watch on the store in memory.
class memory_watch {
public:
    memory_watch(memory_platform& store, std::vector<std::string> kinds, core::revision from);
    core::task<core::result<platform::watch_event>> next(core::time_point deadline);

private:
    memory_platform* store_;
    std::set<std::string> kinds_;
    core::revision seen_;
};

/// The platform's store in the memory of one process. Models platform_client.
class memory_platform {
public:
    using watch_type = memory_watch;

    explicit memory_platform(const core::asio::any_io_executor& executor) : news_(executor) {}

    core::task<core::result<platform::object>> get(platform::object_key key,
                                                   platform::call_context call);
    core::task<core::result<platform::listing>> list(std::vector<std::string> kinds,
                                                     platform::call_context call);
    core::task<core::result<platform::object>> put(platform::object_key key, std::string body,
                                                   core::revision expected,
                                                   platform::call_context call);
    core::task<core::result<platform::object>>
    remove(platform::object_key key, core::revision expected, platform::call_context call);
    core::task<core::result<memory_watch>> watch(std::vector<std::string> kinds,
                                                 core::revision from, platform::call_context call);

    platform_faults faults;
    /// Calls so far, by cause; a waiting watch counts once when it opens.
    std::map<std::string, std::uint64_t> calls;

    /// All changes in the order of their revisions.
    const std::deque<platform::object>& history() const { return history_; }
    core::revision last() const { return last_; }

private:
    friend class memory_watch;

    core::task<core::result<void>> begin(platform::call_context call);
    core::task<core::result<platform::object>> answer_write(platform::object written,
                                                            platform::call_context call);
    core::result<platform::object> change(platform::object_key key, std::string body,
                                          core::revision expected, bool deleted);

    core::notifier news_;
    std::map<platform::object_key, platform::object> objects_;
    std::deque<platform::object> history_;
    core::revision last_;
};

static_assert(platform::platform_client<memory_platform>);

} // namespace currantpitch::fakes
