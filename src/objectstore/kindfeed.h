#pragma once

#include "core/timer.h"
#include "objectstore/feedhealth.h"
#include "objectstore/objectstoreconstants.h"
#include "objectstore/storeclient.h"

#include <concepts>
#include <random>
#include <string>

namespace currantpitch::objectstore {

/// Receives the objects of one kind.
template <class S>
concept feed_sink = requires(S& s, const listing& whole, const object& changed, core::boot_time t)
{
    s.on_listing(whole);
    s.on_change(changed);
    /// Everything received so far was still current at that time.
    s.on_confirmed_current(t);
    /// The store answers again after an outage.
    s.on_store_recovered();
};

/// Timing of a feed's calls to the store.
struct feed_timing {
    /// Time for which a watch's call waits at the store when nothing changes.
    std::chrono::milliseconds watch_wait{1000};
    /// Pause after changes, so that many at once cost few calls.
    std::chrono::milliseconds gather{0};
    /// Longest pause between calls that fail. Each failed call counts at the store.
    std::chrono::milliseconds longest_retry_pause{600};
};

/// Follows one kind of objects in the store: a listing, then a watch for as long as it holds. Each
/// failure is retried after a jittered pause; a watch whose history is gone begins with a listing.
template <store_client Store, feed_sink Sink>
class kind_feed {
public:
    kind_feed(Store& store, std::string kind, Sink& sink, feed_timing pace, std::uint64_t seed)
        : store_(store), kind_(std::move(kind)), sink_(sink), pace_(pace), random_(seed),
          health_(kind_)
    {
    }

    core::task<void> run();

private:
    core::task<core::result<core::revision>> list();
    core::task<core::error> follow(core::revision from);
    core::task<void> pause();
    void on_answer();

    Store& store_;
    std::string kind_;
    Sink& sink_;
    feed_timing pace_;
    std::mt19937_64 random_;
    feed_health health_;
};

template <store_client Store, feed_sink Sink>
core::task<void> kind_feed<Store, Sink>::run()
{
    while (true) {
        core::result<core::revision> at = co_await list();
        if (!at) {
            health_.on_failure("list", at.error());
            co_await pause();
            continue;
        }
        core::revision from = at.value();
        const core::error ended = co_await follow(from);
        health_.on_failure("watch", ended);
        co_await pause();
    }
}

template <store_client Store, feed_sink Sink>
core::task<core::result<core::revision>> kind_feed<Store, Sink>::list()
{
    const call_context call{kind_, core::runtime_clock::now() + call_timeout};
    const std::vector<std::string> kinds{kind_};
    const core::result<listing> whole = co_await store_.list(kinds, call);
    if (!whole) {
        co_return whole.error();
    }
    on_answer();
    sink_.on_listing(whole.value());
    sink_.on_confirmed_current(whole.value().current_as_of);
    co_return whole.value().at;
}

template <store_client Store, feed_sink Sink>
core::task<core::error> kind_feed<Store, Sink>::follow(core::revision from)
{
    const std::vector<std::string> kinds{kind_};
    while (true) {
        const call_context call{kind_, core::runtime_clock::now() + call_timeout, pace_.watch_wait};
        core::result<typename Store::watch_type> opened = co_await store_.watch(kinds, from, call);
        core::error failure{core::errc::closed, ""};
        if (!opened) {
            failure = opened.error();
        }
        bool changed = false;
        while (opened) {
            const core::time_point deadline =
                core::runtime_clock::now() + pace_.watch_wait + call_timeout;
            const core::result<watch_event> event = co_await opened.value().next(deadline);
            if (!event) {
                failure = event.error();
                break;
            }
            on_answer();
            from = event.value().at;
            if (event.value().changed) {
                changed = true;
                sink_.on_change(*event.value().changed);
            }
            else {
                sink_.on_confirmed_current(event.value().current_as_of);
                if (changed && pace_.gather.count() > 0) {
                    co_await core::sleep_for(pace_.gather);
                }
                changed = false;
            }
        }
        if (failure.code == core::errc::stale) {
            co_return failure;
        }
        health_.on_failure("watch", failure);
        co_await pause();
    }
}

template <store_client Store, feed_sink Sink>
core::task<void> kind_feed<Store, Sink>::pause()
{
    const std::chrono::milliseconds longest = std::min(
        watch_retry_delay * (1 << std::min(health_.failures(), 6)), pace_.longest_retry_pause);
    std::uniform_int_distribution<std::int64_t> jitter(longest.count() / 2, longest.count());
    co_await core::sleep_for(std::chrono::milliseconds(jitter(random_)));
}

template <store_client Store, feed_sink Sink>
void kind_feed<Store, Sink>::on_answer()
{
    if (health_.on_answer()) {
        sink_.on_store_recovered();
    }
}

} // namespace currantpitch::objectstore
