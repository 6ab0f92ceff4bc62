#pragma once

#include "core/timer.h"
#include "objectstore/feedhealth.h"
#include "objectstore/kindfeed.h"

#include <random>

namespace currantpitch::objectstore {

/// Timing of a poll's listings.
struct poll_timing {
    std::chrono::milliseconds interval{5000};
    /// After the start others start too, so that there is more to learn.
    std::chrono::milliseconds first_interval{1000};
    std::chrono::milliseconds first_time{12000};
};

/// Lists one kind of objects again and again, from what the store may give without being exact:
/// such calls are cheap. For what may be some seconds old.
template <store_client Store, feed_sink Sink>
class kind_poll {
public:
    kind_poll(Store& store, std::string kind, Sink& sink, poll_timing pace, std::uint64_t seed)
        : store_(store), kind_(std::move(kind)), sink_(sink), pace_(pace), random_(seed),
          health_(kind_)
    {
    }

    core::task<void> run();

private:
    core::task<void> list();

    Store& store_;
    std::string kind_;
    Sink& sink_;
    poll_timing pace_;
    std::mt19937_64 random_;
    feed_health health_;
    core::revision newest_;
};

template <store_client Store, feed_sink Sink>
core::task<void> kind_poll<Store, Sink>::run()
{
    const core::time_point began = core::runtime_clock::now();
    while (true) {
        co_await list();
        const bool first = core::runtime_clock::now() - began < pace_.first_time;
        const std::chrono::milliseconds longest =
            first || health_.failures() > 0 ? pace_.first_interval : pace_.interval;
        std::uniform_int_distribution<std::int64_t> jitter(longest.count() * 3 / 4,
                                                           longest.count());
        co_await core::sleep_for(std::chrono::milliseconds(jitter(random_)));
    }
}

template <store_client Store, feed_sink Sink>
core::task<void> kind_poll<Store, Sink>::list()
{
    call_context call{kind_, core::runtime_clock::now() + call_timeout};
    call.may_be_old = true;
    const std::vector<std::string> kinds{kind_};
    const core::result<listing> whole = co_await store_.list(kinds, call);
    if (!whole) {
        health_.on_failure("poll", whole.error());
        co_return;
    }
    if (health_.on_answer()) {
        sink_.on_store_recovered();
    }
    // One answer may be older than the one before.
    if (whole.value().at >= newest_) {
        newest_ = whole.value().at;
        sink_.on_listing(whole.value());
    }
}

} // namespace currantpitch::objectstore
