#pragma once

#include "core/identifiers.h"
#include "objectstore/storeclient.h"

#include <map>
#include <utility>
#include <vector>

namespace currantpitch::intents {

/// Changes of a replica between two revisions.
struct change_set {
    /// Revision after which the changes begin.
    core::revision from;
    /// Revision up to which the changes are complete.
    core::revision to;
    /// Whether the objects are a full snapshot instead of only the changed ones.
    bool full = false;
    std::vector<objectstore::object> objects;
};

/// The configuration held by one process. The version of an object only increases, also when the
/// object is deleted. The replica is complete up to a revision: a version at or below it that the
/// replica does not hold has been replaced or deleted.
class replica {
public:
    /// Applies one object. Returns false when the replica holds the same or a newer version, or
    /// when the given version is known to have been replaced or deleted.
    bool apply(const objectstore::object& o);
    /// Applies changes and returns the applied objects. Changes after a gap do not advance
    /// complete().
    std::vector<objectstore::object> apply(const change_set& changes);
    /// Records that all changes up to the revision have been applied.
    void mark_complete(core::revision at);

    core::revision complete() const { return complete_; }
    /// Hash over all objects that are not deleted. Two replicas that are complete up to the same
    /// revision and hold no newer objects have the same hash, unless one of them missed a change.
    std::uint64_t content_hash() const { return content_hash_; }
    /// Highest version held; at least complete().
    core::revision newest() const { return newest_; }

    const objectstore::object* find(const objectstore::object_key& key) const;
    /// All objects held, including tombstones.
    const std::map<objectstore::object_key, objectstore::object>& objects() const
    {
        return objects_;
    }

    /// The changes that a peer needs when it is complete up to the revision.
    change_set changes_since(core::revision from) const;

private:
    void store(const objectstore::object& o);
    bool is_newer(const objectstore::object& o) const;
    std::vector<objectstore::object_key> missing_from(const change_set& full) const;

    std::map<objectstore::object_key, objectstore::object> objects_;
    /// Keys of the tombstones in objects_, ordered by version.
    std::map<std::pair<core::revision, objectstore::object_key>, bool> tombstones_;
    /// Tombstones at or below this revision may be missing from objects_.
    core::revision pruned_up_to_;
    core::revision complete_;
    core::revision newest_;
    std::uint64_t content_hash_ = 0;
};

} // namespace currantpitch::intents
