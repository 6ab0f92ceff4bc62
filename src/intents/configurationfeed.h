#pragma once

#include "core/counters.h"
#include "core/eventlog.h"
#include "intents/disseminator.h"
#include "intents/intentsconstants.h"
#include "intents/specs.h"
#include "objectstore/objectstoreconstants.h"

#include <functional>
#include <random>

namespace currantpitch::intents {

/// Reads the configuration from the platform. It lists at the start and then keeps a watch
/// open while must_watch returns true. A watch that is idle for too long, closed or has a gap is
/// replaced.
template <objectstore::store_client Store>
class configuration_feed {
public:
    configuration_feed(Store& store, disseminator& configuration, std::uint64_t seed)
        : store_(store), configuration_(configuration), random_(seed)
    {
    }

    /// Whether this process has to watch the platform; called before each step.
    std::function<bool()> must_watch;
    /// Called with the messages to send after a listing or watch event has been applied.
    std::function<void(std::vector<sync_outgoing>)> on_update;

    core::task<void> run();

private:
    core::task<void> wait_before_retry();
    core::task<void> list();
    core::task<void> watch();

    Store& store_;
    disseminator& configuration_;
    std::mt19937_64 random_;
};

template <objectstore::store_client Store>
core::task<void> configuration_feed<Store>::run()
{
    co_await list();
    while (true) {
        if (!configuration_.has_content() || configuration_.needs_listing()) {
            co_await list();
        }
        if (must_watch()) {
            co_await watch();
        }
        co_await wait_before_retry();
    }
}

template <objectstore::store_client Store>
core::task<void> configuration_feed<Store>::wait_before_retry()
{
    std::uniform_int_distribution<std::int64_t> jitter(watch_retry_delay.count() / 2,
                                                       watch_retry_delay.count());
    co_await core::sleep_for(std::chrono::milliseconds(jitter(random_)));
}

template <objectstore::store_client Store>
core::task<void> configuration_feed<Store>::list()
{
    const objectstore::call_context call{"configuration_list",
                                         core::runtime_clock::now() + objectstore::call_timeout};
    const std::vector<std::string> kinds = all_kind_names();
    const core::result<objectstore::listing> l = co_await store_.list(kinds, call);
    if (!l) {
        core::log_event("configuration_list_failed", core::log_event::level::warning)
            .field("error", core::to_string(l.error().code))
            .field("reason", l.error().detail);
        co_return;
    }
    on_update(configuration_.on_listing(l.value(), core::runtime_clock::now()));
}

template <objectstore::store_client Store>
core::task<void> configuration_feed<Store>::watch()
{
    const objectstore::call_context call{"configuration_watch",
                                         core::runtime_clock::now() + objectstore::call_timeout};
    const std::vector<std::string> kinds = all_kind_names();
    core::result<typename Store::watch_type> opened =
        co_await store_.watch(kinds, configuration_.complete(), call);
    if (!opened && opened.error().code == core::errc::stale) {
        co_await list();
    }
    while (opened && must_watch() && !configuration_.needs_listing()) {
        const core::time_point deadline =
            core::runtime_clock::now() + objectstore::watch_idle_timeout;
        const core::result<objectstore::watch_event> event = co_await opened.value().next(deadline);
        if (!event) {
            core::counter_for("configuration_watch_ends_total").add();
            core::log_event("configuration_watch_end")
                .field("error", core::to_string(event.error().code))
                .field("complete", configuration_.complete());
            // An idle watch may have missed changes. A listing contains them.
            if (event.error().code == core::errc::timeout) {
                co_await list();
            }
            co_return;
        }
        on_update(configuration_.on_watch_event(event.value(), core::runtime_clock::now()));
    }
}

} // namespace currantpitch::intents
