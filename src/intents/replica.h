#pragma once

#include "core/identifiers.h"
#include "objectstore/storeclient.h"

#include <map>
#include <utility>
#include <vector>

namespace currantpitch::intents {

/// Changes of a replica between two revisions.
struct change_set {
    /// The changes follow on this revision.
    core::revision from;
    /// Everything from there up to this revision is contained.
    core::revision to;
    /// The objects are all that exist, instead of only what changed.
    bool full = false;
    std::vector<objectstore::object> objects;
};

/// The configuration held by one process. Each object only moves to higher versions, deletions
/// included. The replica is complete up to a revision: of everything at or below it, what the
/// replica does not hold does not exist.
class replica {
public:
    /// Takes one object. False when it is not newer than what is held or known to be gone.
    bool apply(const objectstore::object& o);
    /// Takes changes. Returns what was applied. Changes that leave a gap do not move complete().
    std::vector<objectstore::object> apply(const change_set& changes);
    /// States that everything up to the revision has been applied.
    void mark_complete(core::revision at);

    core::revision complete() const { return complete_; }
    /// Hash over all objects that exist. Two replicas complete up to the same revision that hold
    /// nothing newer have the same hash, unless one of them missed a change.
    std::uint64_t content_hash() const { return content_hash_; }
    /// Highest version held, at or above complete().
    core::revision newest() const { return newest_; }

    const objectstore::object* find(const objectstore::object_key& key) const;
    /// All objects held, tombstones included.
    const std::map<objectstore::object_key, objectstore::object>& objects() const
    {
        return objects_;
    }

    /// What a peer that is complete up to the revision lacks.
    change_set changes_since(core::revision from) const;

private:
    void store(const objectstore::object& o);
    bool newer_than_held(const objectstore::object& o) const;
    std::vector<objectstore::object_key> missing_from(const change_set& full) const;

    std::map<objectstore::object_key, objectstore::object> objects_;
    /// Deletions held in objects_, oldest first.
    std::map<std::pair<core::revision, objectstore::object_key>, bool> tombstones_;
    /// Deletions at or below this revision may have been dropped from objects_.
    core::revision forgotten_;
    core::revision complete_;
    core::revision newest_;
    std::uint64_t content_hash_ = 0;
};

} // namespace currantpitch::intents
