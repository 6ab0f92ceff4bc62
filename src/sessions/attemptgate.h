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

/// What an agent lets start, and what it can say of each attempt afterwards. State for each entry
/// incarnation is bounded by its unsettled attempts.
class attempt_gate {
public:
    explicit attempt_gate(core::incarnation own) : own_(own) {}

    /// Opens a session: fences every lower epoch of the incarnation and reports the attempts that
    /// started and are not settled. errc::stale when the epoch is not above all earlier ones, or
    /// when unsettled attempts of the incarnation may have been dropped.
    core::result<std::vector<attempt_report>> open(const hello& h, core::time_point now);

    /// Marks an attempt as started. errc::stale for a fenced epoch, errc::conflict for a repeated
    /// number, errc::refused for one that was resolved as never started.
    core::result<void> start(core::incarnation entry, core::epoch epoch,
                             core::attempt_number number);

    /// Records the end of a started attempt.
    void end(core::incarnation entry, const work_end& how);

    /// The entry needs no further report of these attempts.
    void settle(core::incarnation entry, const entry_heartbeat& beat, core::time_point now);

    /// Fate of an attempt of any entry. One that has not started is kept from starting.
    resolution resolve_attempt(const resolve& question, core::time_point now);

    /// Drops entry incarnations that have been silent for the retention time.
    void expire(core::time_point now);

    /// Attempts that are remembered over all incarnations.
    std::size_t remembered() const;

private:
    struct attempt_state {
        std::optional<work_end> end;
        bool settled = false;
    };
    struct entry_state {
        core::epoch epoch;
        /// Sessions up to this epoch are refused.
        core::epoch floor;
        /// Highest number that ever started.
        core::attempt_number highest_started;
        core::attempt_number settled_below;
        std::map<core::attempt_number, attempt_state> attempts;
        std::set<core::attempt_number> kept_from_starting;
        core::time_point last_seen;
    };

    /// What is left of an incarnation that was dropped.
    struct dropped_entry {
        core::epoch epoch;
        core::attempt_number highest_started;
    };

    static void drop_below(entry_state& state, core::attempt_number below);
    bool may_have_dropped(const hello& h) const;

    core::incarnation own_;
    std::map<core::incarnation, entry_state> entries_;
    std::unordered_map<core::incarnation, dropped_entry> dropped_;
    std::deque<core::incarnation> dropped_order_;
    bool dropped_overflow_ = false;
};

} // namespace currantpitch::sessions
