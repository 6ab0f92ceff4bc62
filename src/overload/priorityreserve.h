#pragma once

#include "core/runtimeclock.h"
#include "overload/priorityload.h"

#include <set>

namespace currantpitch::overload {

/// Decides for one service at one gateway whether a request of a priority may take a slot, or
/// leaves it to more urgent ones. Acts only where requests of at least two priorities have been
/// seen.
///
/// The slots that more urgent requests are expected to use are left free by all gateways together:
/// while more slots than these are free, every request starts. Otherwise a gateway is limited to
/// its equal part of the slots that remain for the priority. A priority with demand keeps
/// min_priority_part of the slots against more urgent ones.
class priority_reserve {
public:
    /// Decision on one request and the figures that it rests on, in slots.
    struct decision {
        bool room = true;
        /// Slots that the request has to leave free.
        double reserved = 0;
        /// Requests of this priority that this gateway may run while no more slots are free.
        double allowed = 0;
    };

    void on_arrival(int priority, core::time_point now);
    void on_start(int priority);
    /// Ends a running request that has held its slot for the time. A request that did not run does
    /// not count for the service time.
    void on_finish(int priority, core::duration service_time, bool ran);
    /// Adds to the number of waiting requests.
    void on_waiting(int priority, int change);
    /// Replaces the sum of the peers' reports. Empty if no peer reports.
    void set_peer_load(load_by_priority peers);

    /// Sets whether slots are reserved at all; true at first.
    void set_enabled(bool enabled) { enabled_ = enabled; }
    /// Whether it is enabled and requests of at least two priorities have been seen.
    bool active() const { return enabled_ && seen_.size() >= 2; }
    /// Whether no requests of a more urgent priority have been seen.
    bool most_urgent(int priority) const;
    /// Whether a request of the priority may take a slot.
    decision room_for(int priority, const service_capacity& capacity, core::time_point now);
    /// Number of requests of the priority that this gateway is expected to start within the time,
    /// if it has no room now. Infinite while no service time is known.
    double expected_starts(int priority, const decision& d, core::duration within) const;
    /// Load of this gateway.
    load_by_priority own_load(core::time_point now) const;
    /// Number of this gateway's waiting requests of the priority.
    double waiting(int priority) const;

private:
    struct priority_state {
        /// Arrivals in a second, as of rate_at.
        double rate = 0;
        core::time_point rate_at;
        /// Mean time for which a request holds its slot; zero before the first has ended.
        std::chrono::duration<double> service_time{};
        double running = 0;
        double waiting = 0;

        double rate_after(core::time_point now) const;
    };
    struct held_demand {
        double expected = 0;
        core::time_point at;
    };

    /// Slots that requests of the priority are expected to use.
    double need_of(int priority, double expected, core::time_point now);
    /// Load that a decision rests on: of all gateways, or of this one if it is cut off.
    load_by_priority total_load(const service_capacity& capacity, core::time_point now) const;

    /// Priorities of requests that arrived here or that peers reported.
    std::set<int> seen_;
    std::map<int, priority_state> own_;
    load_by_priority peers_;
    /// Demand after its latest rise. Declines slowly.
    std::map<int, held_demand> held_;
    bool enabled_ = true;
};

} // namespace currantpitch::overload
