#include "intents/replica.h"

#include "core/hashing.h"
#include "intents/intentsconstants.h"

#include <algorithm>
#include <set>

namespace currantpitch::intents {

using objectstore::object;
using objectstore::object_key;

namespace {

std::uint64_t hash_of(const object& o)
{
    if (o.deleted) {
        return 0;
    }
    const std::uint64_t kind = core::hash64(o.key.kind, o.version.value);
    return core::hash64(o.key.name, kind);
}

} // namespace

void replica::store(const object& o)
{
    const std::map<object_key, object>::iterator found = objects_.find(o.key);
    if (found != objects_.end()) {
        content_hash_ ^= hash_of(found->second);
        tombstones_.erase({found->second.version, o.key});
    }
    content_hash_ ^= hash_of(o);
    objects_[o.key] = o;
    newest_ = std::max(newest_, o.version);
    if (o.deleted) {
        tombstones_[{o.version, o.key}] = true;
    }
}

bool replica::is_newer(const object& o) const
{
    const std::map<object_key, object>::const_iterator found = objects_.find(o.key);
    return found == objects_.end() || o.version > found->second.version;
}

bool replica::apply(const object& o)
{
    // A version up to complete_ that is not held has been replaced or deleted since.
    if (o.version <= complete_ || !is_newer(o)) {
        return false;
    }
    store(o);
    return true;
}

std::vector<object_key> replica::missing_from(const change_set& full) const
{
    std::set<object_key> existing;
    for (const object& o : full.objects) {
        existing.insert(o.key);
    }
    std::vector<object_key> missing;
    for (const std::pair<const object_key, object>& entry : objects_) {
        const bool covered = !entry.second.deleted && entry.second.version <= full.to;
        if (covered && !existing.contains(entry.first)) {
            missing.push_back(entry.first);
        }
    }
    return missing;
}

std::vector<object> replica::apply(const change_set& changes)
{
    std::vector<object> applied;
    for (const object& o : changes.objects) {
        // A full set repairs a replica that missed a change at or below its complete revision.
        const bool repairs = changes.full && changes.to >= complete_ && is_newer(o);
        if (repairs) {
            store(o);
            applied.push_back(o);
        }
        else if (apply(o)) {
            applied.push_back(o);
        }
    }
    if (changes.full && changes.to >= complete_) {
        for (const object_key& key : missing_from(changes)) {
            const object tombstone{key, changes.to, "", true};
            store(tombstone);
            applied.push_back(tombstone);
        }
    }
    if (changes.full && changes.to > complete_) {
        // A full set does not list the objects that were deleted before it was created.
        pruned_up_to_ = std::max(pruned_up_to_, changes.to);
    }
    if (changes.full || changes.from <= complete_) {
        mark_complete(changes.to);
    }
    return applied;
}

void replica::mark_complete(core::revision at)
{
    complete_ = std::max(complete_, at);
    newest_ = std::max(newest_, complete_);
    while (tombstones_.size() > max_tombstones && tombstones_.begin()->first.first <= complete_) {
        pruned_up_to_ = tombstones_.begin()->first.first;
        objects_.erase(tombstones_.begin()->first.second);
        tombstones_.erase(tombstones_.begin());
    }
}

const object* replica::find(const object_key& key) const
{
    const std::map<object_key, object>::const_iterator found = objects_.find(key);
    const bool exists = found != objects_.end() && !found->second.deleted;
    return exists ? &found->second : nullptr;
}

change_set replica::changes_since(core::revision from) const
{
    change_set changes;
    changes.from = from;
    changes.to = complete_;
    changes.full = from < pruned_up_to_ || from == core::revision{};
    for (const std::pair<const object_key, object>& entry : objects_) {
        const bool included = changes.full ? !entry.second.deleted : entry.second.version > from;
        if (included) {
            changes.objects.push_back(entry.second);
        }
    }
    return changes;
}

} // namespace currantpitch::intents
