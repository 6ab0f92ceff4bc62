#pragma once

#include "core/error.h"
#include "core/runtimeclock.h"
#include "sessions/sessionmessages.h"

#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace currantpitch::sessions {

/// Decides which attempts an agent may start and keeps their outcomes until they are settled. The
/// state of an entry incarnation is bounded by the number of its unsettled attempts.
class attempt_gate {
public:
    explicit attempt_gate(core::incarnation own_incarnation) : own_incarnation_(own_incarnation) {}

    /// Opens a session: fences every lower epoch of the incarnation and reports the attempts that
    /// started and are not settled. Returns errc::stale if the epoch is not above all earlier ones
    /// or if unsettled attempts of the incarnation may have been dropped.
    core::result<std::vector<attempt_report>> open(const hello& h, core::time_point now);

    /// Marks an attempt as started. Returns errc::stale for a fenced epoch, errc::conflict for a
    /// repeated number and errc::refused for an attempt that was resolved as never started.
    core::result<void> start(core::incarnation entry, core::epoch epoch,
                             core::attempt_number number);

    /// Records the end of a started attempt.
    void end(core::incarnation entry, const work_end& result);

    /// Marks the attempts of the heartbeat as settled: the entry needs no further report of them.
    void settle(core::incarnation entry, const entry_heartbeat& heartbeat, core::time_point now);

    /// Returns the status of an attempt of any entry. An attempt that has not started is prevented
    /// from starting later.
    resolution resolve_attempt(const resolve& request, core::time_point now);

    /// Drops entry incarnations that sent no message for the retention time.
    void expire(core::time_point now);

    /// Number of attempts retained over all incarnations.
    std::size_t retained_attempts() const;

private:
    struct attempt_state {
        std::optional<work_end> end;
        bool settled = false;
    };
    struct entry_state {
        core::epoch epoch;
        /// Sessions with this or a lower epoch are refused.
        core::epoch fenced_epoch;
        /// Highest attempt number that has started.
        core::attempt_number highest_started;
        core::attempt_number settled_below;
        std::map<core::attempt_number, attempt_state> attempts;
        std::set<core::attempt_number> blocked_attempts;
        core::time_point last_contact;
    };

    /// Summary of an incarnation that was dropped, used to reject it if it may have lost attempts.
    struct dropped_entry {
        core::epoch epoch;
        core::attempt_number highest_started;
    };

    static void drop_below(entry_state& state, core::attempt_number below);
    bool may_have_dropped(const hello& h) const;

    core::incarnation own_incarnation_;
    std::map<core::incarnation, entry_state> entries_;
    std::unordered_map<core::incarnation, dropped_entry> dropped_;
    std::deque<core::incarnation> dropped_order_;
    bool dropped_overflow_ = false;
};

} // namespace currantpitch::sessions
