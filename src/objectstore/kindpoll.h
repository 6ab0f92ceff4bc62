#pragma once

#include "core/timer.h"
#include "objectstore/feedhealth.h"
#include "objectstore/kindfeed.h"

#include <random>

namespace currantpitch::objectstore {

/// Timing of a poll's listings.
struct poll_timing {
    std::chrono::milliseconds interval{5000};
    /// Interval during startup_duration and after failed calls. While this process starts, others
    /// start too, so more changes are to be expected.
    std::chrono::milliseconds short_interval{1000};
    std::chrono::milliseconds startup_duration{12000};
};

/// Lists the objects of one kind at intervals. Accepts stale listings, since such calls are cheap
/// for the store. Suitable for data that may be some seconds old.
template <store_client Store, feed_sink Sink>
class kind_poll {
public:
    kind_poll(Store& store, std::string kind, Sink& sink, poll_timing timing, std::uint64_t seed)
        : store_(store), kind_(std::move(kind)), sink_(sink), timing_(timing), random_(seed),
          health_(kind_)
    {
    }

    core::task<void> run();

private:
    core::task<void> list();

    Store& store_;
    std::string kind_;
    Sink& sink_;
    poll_timing timing_;
    std::mt19937_64 random_;
    feed_health health_;
    core::revision newest_revision_;
};

template <store_client Store, feed_sink Sink>
core::task<void> kind_poll<Store, Sink>::run()
{
    const core::time_point started_at = core::runtime_clock::now();
    while (true) {
        co_await list();
        const bool starting_up = core::runtime_clock::now() - started_at < timing_.startup_duration;
        const std::chrono::milliseconds max_delay =
            starting_up || health_.consecutive_failures() > 0 ? timing_.short_interval
                                                              : timing_.interval;
        std::uniform_int_distribution<std::int64_t> jitter(max_delay.count() * 3 / 4,
                                                           max_delay.count());
        co_await core::sleep_for(std::chrono::milliseconds(jitter(random_)));
    }
}

template <store_client Store, feed_sink Sink>
core::task<void> kind_poll<Store, Sink>::list()
{
    call_context call{kind_, core::runtime_clock::now() + call_timeout};
    call.allow_stale = true;
    const std::vector<std::string> kinds{kind_};
    const core::result<listing> snapshot = co_await store_.list(kinds, call);
    if (!snapshot) {
        health_.on_failure("poll", snapshot.error());
        co_return;
    }
    if (health_.on_success()) {
        sink_.on_store_recovered();
    }
    // A stale listing can be older than the previous one.
    if (snapshot.value().at >= newest_revision_) {
        newest_revision_ = snapshot.value().at;
        sink_.on_listing(snapshot.value());
    }
}

} // namespace currantpitch::objectstore
