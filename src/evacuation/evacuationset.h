#pragma once

#include "core/identifiers.h"
#include "core/runtimeclock.h"
#include "evacuation/evacuationmessages.h"

#include <map>
#include <optional>
#include <set>

namespace currantpitch::evacuation {

/// Evacuations in the store: failure domains and the versions of their objects.
using evacuation_versions = std::map<core::failure_domain_id, core::revision>;

/// The evacuated failure domains, as known to one process. It merges what the store shows with the
/// reports of peers: of each failure domain the newest revision counts, and a state that is
/// complete up to a revision supersedes those of earlier revisions.
///
/// A store that was restored from an older copy, which begins a new era, may lack evacuations.
/// These stay in force until the store has shown their objects again, or a listing lacks them after
/// rewrite_period.
class evacuation_set {
public:
    /// Applies a complete listing. Unreadable are the failure domains whose objects are malformed;
    /// their last state stays.
    void on_listing(const evacuation_versions& evacuated,
                    const std::set<core::failure_domain_id>& unreadable, core::revision at,
                    core::time_point now);
    /// Applies one written or deleted object. Changes must arrive in the order of their revisions.
    void on_change(const core::failure_domain_id& domain, core::revision at, bool evacuated,
                   core::time_point now);
    /// Takes note that the object of a failure domain is malformed. Its last state stays.
    void on_unreadable(const core::failure_domain_id& domain) { unreadable_.insert(domain); }
    /// Merges the state of a peer.
    void on_report(const evacuation_report& report, core::time_point now);

    /// Whether a listing is needed to find out if evacuations from before a restore have ended.
    bool listing_needed(core::time_point now) const
    {
        return !unconfirmed_.empty() && !in_rewrite_period(now);
    }
    /// Whether the state of the store is known, from itself or from a peer.
    bool known() const { return as_of_.has_value(); }
    /// The evacuated failure domains.
    std::set<core::failure_domain_id> evacuated() const;
    /// Revision of a failure domain's evacuation; zero if the store has not shown it in this era.
    core::revision revision_of(const core::failure_domain_id& domain) const;
    /// The whole state, for peers.
    evacuation_report report() const;

private:
    /// Begins with the first state of an era.
    void enter_era(core::store_era era, core::time_point now);
    /// Replaces the state by one that is complete up to a later revision.
    void replace(const evacuation_versions& evacuated, core::revision at);
    /// Ends the evacuations that the store has not shown after rewrite_period.
    void end_unconfirmed();
    void merge_unconfirmed(const evacuation_report& report, core::time_point now);
    bool in_rewrite_period(core::time_point now) const;
    bool newer_than_known(core::revision at) const { return !as_of_ || at > *as_of_; }

    /// Revision up to which the state is complete; empty until the first state is known.
    std::optional<core::revision> as_of_;
    evacuation_versions evacuated_;
    /// Failure domains whose newest objects are malformed.
    std::set<core::failure_domain_id> unreadable_;
    /// Evacuations from before the era that the store has not shown in it.
    evacuation_versions unconfirmed_;
    /// Revisions at which evacuations are known to have ended, also those before the era. A peer
    /// that has not seen the end must not bring them back.
    evacuation_versions lifted_;
    /// Failure domains whose objects the store has shown or deleted in this era.
    std::set<core::failure_domain_id> shown_;
    core::time_point era_seen_at_;
    /// A listing was applied after rewrite_period in this era.
    bool rewritten_ = false;
};

} // namespace currantpitch::evacuation
