#pragma once

#include "core/identifiers.h"
#include "core/runtimeclock.h"

#include <optional>
#include <random>
#include <set>

namespace currantpitch::overload {

/// Follows whether a service whose endpoints depend on each other is down as a whole: several of
/// them refuse requests and none makes progress. Its requests then wait, if it is expected to come
/// back before their callers leave, and few of them probe it.
class outage {
public:
    explicit outage(std::uint64_t seed) : random_(seed) {}

    /// Time for which a caller whose target latency is this waits for the first event.
    static core::duration patience(std::chrono::milliseconds target_latency);

    /// Records that an endpoint did not run a request.
    void on_refused(const core::endpoint_id& endpoint, core::time_point now);
    /// Records an event of a stream or an answer. Ends an outage; returns how long it lasted.
    std::optional<core::duration> on_progress(core::time_point now);
    /// Adds to the number of waiting requests of the priority.
    void on_waiting(int priority, int change);

    /// Whether several endpoints have refused requests since the last progress.
    bool suspected() const { return refused_by_.size() >= min_refusing_endpoints; }
    /// Time from which the service counts as down unless it makes progress before.
    core::time_point confirmed_at() const;
    bool down(core::time_point now) const { return suspected() && now >= confirmed_at(); }
    /// Expected time of the end, from how long earlier outages lasted.
    core::time_point expected_end(core::time_point now) const;
    /// Whether a request of the priority may probe the service now, which no more urgent one waits
    /// for. Counts as a probe.
    bool try_probe(int priority, core::time_point now);
    core::time_point next_probe() const { return next_probe_; }
    /// Time after which a refused caller should return: behind the expected end, spread at random.
    std::chrono::milliseconds retry_after(core::time_point now);
    std::size_t waiting() const { return waiting_.size(); }
    bool more_urgent_waits(int priority) const
    {
        return !waiting_.empty() && *waiting_.begin() < priority;
    }

private:
    static constexpr std::size_t min_refusing_endpoints = 2;

    std::set<core::endpoint_id> refused_by_;
    core::time_point last_progress_;
    core::time_point began_at_;
    core::time_point next_probe_;
    /// Mean duration of earlier outages.
    core::duration mean_duration_{};
    std::multiset<int> waiting_;
    std::mt19937_64 random_;
};

} // namespace currantpitch::overload
